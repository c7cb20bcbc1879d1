package loader

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is one thing wrong with a configuration or with settings.
type Fault struct {
	// Object is the section and the name of the object, such as "routes/chat".
	Object string `json:"object"`
	Field  string `json:"field,omitempty"`
	// Line is counted from 1; 0 where the fault has no place.
	Line    int    `json:"line,omitempty"`
	Problem string `json:"problem"`
	// Want says what would be right.
	Want string `json:"want,omitempty"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	b.WriteString(f.Object)
	if f.Field != "" {
		b.WriteString("." + f.Field)
	}
	b.WriteString(": " + f.Problem)
	if f.Want != "" {
		b.WriteString("; want " + f.Want)
	}
	return b.String()
}

// FaultsError is the list of everything wrong with a configuration.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded set with the line of each object and field.
type Document struct {
	Set   Set
	lines map[string]int
}

// Line returns the line of an object's field, of the object itself if the
// field is not written, or 0.
func (d Document) Line(object, field string) int {
	if n := d.lines[object+"."+field]; n > 0 {
		return n
	}
	return d.lines[object]
}

// section decodes the objects of one section into the set.
type section struct {
	name   string
	decode func(*Set, ast.Node) (string, error)
}

var sections = []section{
	{"organisations", func(s *Set, n ast.Node) (string, error) {
		o, err := decodeStrict[Organisation](n)
		s.Organisations = append(s.Organisations, o)
		return o.Name, err
	}},
	{"pools", func(s *Set, n ast.Node) (string, error) {
		p, err := decodeStrict[Pool](n)
		s.Pools = append(s.Pools, p)
		return p.Name, err
	}},
	{"versions", func(s *Set, n ast.Node) (string, error) {
		v, err := decodeStrict[Version](n)
		s.Versions = append(s.Versions, v)
		return v.Name, err
	}},
	{"routes", func(s *Set, n ast.Node) (string, error) {
		r, err := decodeStrict[Route](n)
		s.Routes = append(s.Routes, r)
		return r.Name, err
	}},
	{"moves", func(s *Set, n ast.Node) (string, error) {
		m, err := decodeStrict[Move](n)
		s.Moves = append(s.Moves, m)
		return m.Name, err
	}},
}

// Parse decodes a configuration. It goes on after a fault, and returns all it
// finds as a *FaultsError.
func Parse(text []byte) (Document, error) {
	d := Document{lines: make(map[string]int)}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return d, &FaultsError{Faults: []Fault{syntaxFault("set", err)}}
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return d, &FaultsError{Faults: []Fault{{Object: "set", Problem: "is empty", Want: "organisations, pools, versions and routes"}}}
	}
	if len(file.Docs) > 1 {
		return d, &FaultsError{Faults: []Fault{{Object: "set", Problem: "holds more than one document", Want: "one"}}}
	}
	body, ok := file.Docs[0].Body.(ast.MapNode)
	if !ok {
		return d, &FaultsError{Faults: []Fault{{Object: "set", Line: 1, Problem: "is not a mapping", Want: "sections with lists of objects"}}}
	}
	var faults []Fault
	for it := body.MapRange(); it.Next(); {
		faults = append(faults, d.parseSection(it.KeyValue())...)
	}
	if len(faults) > 0 {
		return d, &FaultsError{Faults: faults}
	}
	return d, nil
}

func (d *Document) parseSection(kv *ast.MappingValueNode) []Fault {
	name := kv.Key.String()
	line := kv.Key.GetToken().Position.Line
	for _, s := range sections {
		if s.name != name {
			continue
		}
		if _, ok := kv.Value.(*ast.NullNode); ok {
			return nil
		}
		seq, ok := kv.Value.(*ast.SequenceNode)
		if !ok {
			return []Fault{{Object: name, Line: line, Problem: "is not a list", Want: "a list of objects"}}
		}
		var faults []Fault
		for i, n := range seq.Values {
			faults = append(faults, d.parseObject(s, i, n)...)
		}
		return faults
	}
	return []Fault{{Object: name, Line: line, Problem: "is not a section", Want: "one of organisations, pools, versions, routes, moves"}}
}

func (d *Document) parseObject(s section, i int, n ast.Node) []Fault {
	name, err := s.decode(&d.Set, n)
	if name == "" {
		name = fmt.Sprintf("#%d", i+1)
	}
	object := s.name + "/" + name
	d.recordLines(object, n)
	if err != nil {
		return []Fault{syntaxFault(object, err)}
	}
	return nil
}

func (d *Document) recordLines(object string, n ast.Node) {
	m, ok := n.(ast.MapNode)
	if !ok {
		return
	}
	for it := m.MapRange(); it.Next(); {
		line := it.Key().GetToken().Position.Line
		if d.lines[object] == 0 {
			d.lines[object] = line
		}
		d.lines[object+"."+it.Key().String()] = line
	}
}

func decodeStrict[T any](n ast.Node) (T, error) {
	var v T
	err := yaml.NodeToValue(n, &v, yaml.Strict())
	return v, err
}

func syntaxFault(object string, err error) Fault {
	f := Fault{Object: object, Problem: err.Error()}
	var ye yaml.Error
	if errors.As(err, &ye) {
		f.Problem = ye.GetMessage()
		if t := ye.GetToken(); t != nil && t.Position != nil {
			f.Line = t.Position.Line
			if strings.HasPrefix(f.Problem, "unknown field") {
				f.Field, f.Problem = t.Value, "is not a known field"
			}
		}
	}
	return f
}
