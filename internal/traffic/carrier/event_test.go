package carrier

import "testing"

func TestEventIDs(t *testing.T) {
	for _, tc := range []struct {
		name, events, first, last string
	}{
		{"one", "id: 1\ndata: a\n\n", "1", "1"},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "1", "2"},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "1", "2"},
		{"id after another field", "event: x\nid:7\n\n", "7", "7"},
		{"some without an id", ": comment\n\nid: 3\ndata: a\n\ndata: b\n\n", "3", "3"},
		{"id within data", "data: id: 4\n\n", "", ""},
		{"blank lines before", "\n\nid: 5\ndata: a\n\n", "5", "5"},
		{"none", "", "", ""},
	} {
		var o eventOrder
		if got, err := o.admit([]byte(tc.events), true, false); err != nil || got.firstID != tc.first || got.lastID != tc.last {
			t.Errorf("%s: got ids %q to %q (%v), want %q to %q", tc.name, got.firstID, got.lastID, err, tc.first, tc.last)
		}
	}
}

// Bytes that an endpoint sends in the body of a stream and that are no event must not reach the caller.
func TestIsEvent(t *testing.T) {
	for text, want := range map[string]bool{
		"id: 1\ndata: a\n\n":                     true,
		"data:a\r\n\r\n":                         true,
		"data\n\n":                               true,
		": comment, with: a colon\n\n":           true,
		"weight-versions: 3\nid: 1\ndata: a\n\n": true,
		"\n\n":                                   true,
		"wrong\n\n":                              false,
		"{\"error\": 1}\n\n":                     false,
		"HTTP/1.1 500 Internal Server Error\r\n\r\n": false,
		"id: 1\ndata: a\nHTTP/1.1 200 OK\n\n":        false,
		"<html>\n\n":                                 false,
	} {
		if got := isEvent([]byte(text)); got != want {
			t.Errorf("%q: got %t, want %t", text, got, want)
		}
	}
}
