package carrier

import (
	"bytes"
	"unicode"
)

// endOfEvents returns the length of the whole events at the start of a part of a stream. Each ends
// with a blank line. The first scanned bytes hold no such end, unless bytes after them complete it.
func endOfEvents(b []byte, scanned int) int {
	start, end := max(0, scanned-len(longestBlank)+1), 0
	for _, blank := range []string{"\n\n", longestBlank} {
		if i := bytes.LastIndex(b[start:], []byte(blank)); i >= 0 {
			end = max(end, start+i+len(blank))
		}
	}
	return end
}

// longestBlank is the longest end of a line with a blank line after it.
const longestBlank = "\n\r\n"

// cutEvent returns the first of whole events, and the events after it.
func cutEvent(events []byte) (event, rest []byte) {
	for i := bytes.IndexByte(events, '\n') + 1; i > 0 && i < len(events); {
		line, _, found := bytes.Cut(events[i:], []byte("\n"))
		i += len(line) + 1
		if !found {
			break
		}
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return events[:i], events[i:]
		}
	}
	return events, nil
}

// eventID returns the id of an event, or an empty string if it has none.
func eventID(event []byte) string {
	id := ""
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return id
}

// hasData reports whether an event has a field with data.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// byteOrderMark may stand before the first event of a stream.
var byteOrderMark = []byte("\ufeff")

// isEvent reports whether the lines of an event are fields or comments. The names of fields are words; a
// line that is a name alone is a field without a value.
func isEvent(event []byte) bool {
	event = bytes.TrimPrefix(event, byteOrderMark)
	for line := range bytes.Lines(event) {
		name, _, hasValue := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if bytes.IndexFunc(name, isNotWord) >= 0 || !hasValue && !isStandardField(string(name)) {
			return false
		}
	}
	return true
}

func isNotWord(r rune) bool {
	return r != '-' && r != '_' && r != '.' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
}

// isStandardField reports whether a line is a blank one, or the name of a field that the standard of
// server-sent events defines.
func isStandardField(name string) bool {
	switch name {
	case "", "data", "event", "id", "retry":
		return true
	}
	return false
}
