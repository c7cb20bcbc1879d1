package loader

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// decodeFields decodes a mapping into the struct that v points to. It decodes each field on its
// own, so that it reports the faults of all fields and not only the first.
func decodeFields(n ast.Node, v any) []Fault {
	m, ok := n.(ast.MapNode)
	if !ok {
		return []Fault{{Line: n.GetToken().Position.Line, Problem: "is not a mapping", Want: "fields with values"}}
	}
	fields := fieldsByName(reflect.ValueOf(v).Elem())
	var faults []Fault
	for it := m.MapRange(); it.Next(); {
		name := it.Key().String()
		f, ok := fields[name]
		if !ok {
			faults = append(faults, Fault{
				Field: name, Line: it.Key().GetToken().Position.Line,
				Problem: "is not a known field", Want: "one of " + fieldNames(reflect.TypeOf(v).Elem()),
			})
			continue
		}
		if err := decodeValue(it.Value(), f); err != nil {
			fault := valueFault(name, it.Key().GetToken().Position.Line, err)
			if fault.Field == name {
				fault.Problem, fault.Want = fmt.Sprintf("is %s", it.Value()), describeExpected(f.Type())
			}
			faults = append(faults, fault)
		}
	}
	return faults
}

// decodeValue decodes one value. It parses instants itself, because the YAML library leaves a
// time that it cannot parse at zero.
func decodeValue(n ast.Node, v reflect.Value) error {
	if at, ok := v.Addr().Interface().(*time.Time); ok {
		var text string
		if err := yaml.NodeToValue(n, &text); err != nil {
			return err
		}
		var err error
		*at, err = time.Parse(time.RFC3339, text)
		return err
	}
	if v.Kind() == reflect.Pointer {
		// The YAML library leaves a pointer to a pointer unchanged, so decode into a new value.
		v.Set(reflect.New(v.Type().Elem()))
		return yaml.NodeToValue(n, v.Interface(), yaml.Strict())
	}
	return yaml.NodeToValue(n, v.Addr().Interface(), yaml.Strict())
}

// describeExpected describes the values that a field of type t takes.
func describeExpected(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "a duration such as 250ms or 30s"
	case t == reflect.TypeFor[time.Time]():
		return "an instant such as 2026-12-04T06:00:00Z"
	}
	switch t.Kind() {
	case reflect.Float64:
		return "a number"
	case reflect.Int:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "a mapping of " + fieldNames(t)
	default:
		return "a text"
	}
}

// yamlName returns the name of a field in YAML.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		fields[yamlName(v.Type().Field(i))] = v.Field(i)
	}
	return fields
}

func fieldNames(t reflect.Type) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = yamlName(t.Field(i))
	}
	return strings.Join(names, ", ")
}

// valueFault converts the error of a value that failed to decode into a Fault. If the error has
// a position, which may be inside a nested value, it replaces the given line.
func valueFault(field string, line int, err error) Fault {
	f := Fault{Field: field, Line: line, Problem: err.Error()}
	var ye yaml.Error
	if !errors.As(err, &ye) {
		return f
	}
	f.Problem = ye.GetMessage()
	if t := ye.GetToken(); t != nil && t.Position != nil {
		f.Line = t.Position.Line
		if strings.HasPrefix(f.Problem, "unknown field") {
			f.Field, f.Problem = field+"."+t.Value, "is not a known field"
		}
	}
	return f
}

// syntaxFault converts the error of a text that is not valid YAML into a Fault.
func syntaxFault(object string, err error) Fault {
	f := valueFault("", 0, err)
	f.Object, f.Want = object, "valid YAML"
	f.Problem = fmt.Sprintf("cannot be read: %s", f.Problem)
	return f
}
