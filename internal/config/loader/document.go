package loader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Fault is one error in a configuration or in settings.
type Fault struct {
	// Object is the section and the name of the object, such as "routes/chat".
	Object string `json:"object"`
	Field  string `json:"field,omitempty"`
	// Line is the line in the text, from 1; 0 if the fault has no position.
	Line    int    `json:"line,omitempty"`
	Problem string `json:"problem"`
	// Want describes the values that are valid.
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

// FaultsError is an error that lists all faults of a configuration or of settings.
type FaultsError struct {
	Faults []Fault
}

// Error lists the faults, one per line of output, sorted by their line in the text.
func (e *FaultsError) Error() string {
	sorted := slices.SortedStableFunc(slices.Values(e.Faults), func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	var b strings.Builder
	fmt.Fprintf(&b, "faults: %d", len(sorted))
	for _, f := range sorted {
		b.WriteString("\n  " + f.String())
	}
	return b.String()
}

// Document is a decoded configuration with the line number of each object and field.
type Document struct {
	Set   Set
	lines map[string]int
}

// Line returns the line of an object's field. It returns the line of the object if the text
// does not contain the field, and 0 if it does not contain the object.
func (d Document) Line(object, field string) int {
	if n := d.lines[object+"."+field]; n > 0 {
		return n
	}
	return d.lines[object]
}

// section is a top-level list of the configuration. decode adds one object to the set and
// returns its name.
type section struct {
	name   string
	decode func(*Set, ast.Node) (string, []Fault)
}

var sections = []section{
	{"organisations", func(s *Set, n ast.Node) (string, []Fault) {
		return appendDecoded(&s.Organisations, n, func(o Organisation) string { return o.Name })
	}},
	{"pools", func(s *Set, n ast.Node) (string, []Fault) {
		return appendDecoded(&s.Pools, n, func(p Pool) string { return p.Name })
	}},
	{"versions", func(s *Set, n ast.Node) (string, []Fault) {
		return appendDecoded(&s.Versions, n, func(v Version) string { return v.Name })
	}},
	{"routes", func(s *Set, n ast.Node) (string, []Fault) {
		return appendDecoded(&s.Routes, n, func(r Route) string { return r.Name })
	}},
	{"moves", func(s *Set, n ast.Node) (string, []Fault) {
		return appendDecoded(&s.Moves, n, func(m Move) string { return m.Name })
	}},
}

func appendDecoded[T any](all *[]T, n ast.Node, nameOf func(T) string) (string, []Fault) {
	var v T
	faults := decodeFields(n, &v)
	*all = append(*all, v)
	return nameOf(v), faults
}

// Parse decodes a configuration. It continues after a fault and returns all faults together
// as a *FaultsError.
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
	name, faults := s.decode(&d.Set, n)
	if name == "" {
		name = fmt.Sprintf("#%d", i+1)
	}
	object := s.name + "/" + name
	d.recordLines(object, n)
	for i := range faults {
		faults[i].Object = object
	}
	return faults
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
