package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Tags of the template of settings, as DEPLOY.md tells them.
var (
	sectionTag = regexp.MustCompile(`(?s)\{\{([#^])([^{}|]+)\}\}(.*?)\{\{/([^{}|]+)\}\}`)
	valueTag   = regexp.MustCompile(`\{\{([^{}#^/|]+)(\|json)?\}\}`)
)

// render fills in a template of settings with the fields that the platform has for a process.
func render(template string, fields map[string]any) string {
	out := sectionTag.ReplaceAllStringFunc(template, func(section string) string {
		m := sectionTag.FindStringSubmatch(section)
		value, ok := lookUp(fields, m[2])
		isSet := ok && value != nil && value != false
		switch {
		case m[1] == "^" && isSet || m[1] == "#" && !isSet:
			return ""
		case m[1] == "^":
			return m[3]
		}
		entries, isTable := value.(map[string]any)
		if !isTable {
			return m[3]
		}
		return renderEntries(m[3], entries)
	})
	return valueTag.ReplaceAllStringFunc(out, func(tag string) string {
		m := valueTag.FindStringSubmatch(tag)
		value, ok := lookUp(fields, m[1])
		if !ok {
			return ""
		}
		if m[2] != "" {
			b, err := json.Marshal(value)
			if err != nil {
				return ""
			}
			return string(b)
		}
		return formatValue(value)
	})
}

// renderEntries renders a section once for each entry of a table.
func renderEntries(section string, entries map[string]any) string {
	var names []string
	for name := range entries {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for i, name := range names {
		comma := ","
		if i == len(names)-1 {
			comma = ""
		}
		b.WriteString(strings.NewReplacer("{{@}}", name, "{{,}}", comma).Replace(section))
	}
	return b.String()
}

// lookUp returns the value at a path of names and indexes that are separated by dots.
func lookUp(fields any, path string) (any, bool) {
	for name := range strings.SplitSeq(path, ".") {
		switch v := fields.(type) {
		case map[string]any:
			next, ok := v[name]
			if !ok {
				return nil, false
			}
			fields = next
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i < 0 || i >= len(v) {
				return nil, false
			}
			fields = v[i]
		default:
			return nil, false
		}
	}
	return fields, true
}

func formatValue(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}
