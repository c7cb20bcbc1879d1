package requester

import (
	"encoding/json"
	"net/http"
	"testing"

	"pomelotiller/internal/standin/garbler"
)

// The documents of the platform's services come without a length and are cut after each of their bytes. A cut one must
// not be decoded, by any client that decodes it.
func TestDocumentsCutAtEachByte(t *testing.T) {
	for _, document := range []string{`{"name":"w","size":7}`, `[{"name":"h"},{"name":"i"}]`, `[]`} {
		for cut := range len(document) + 1 {
			l, err := garbler.Listen(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + document[:cut] })
			if err != nil {
				t.Fatal(err)
			}
			a, err := New(Config{Address: l.Addr().String()}).Call(t.Context(), http.MethodGet, "/", nil)
			var out json.RawMessage
			if err == nil {
				err = a.Decode(&out)
			}
			if isWhole := cut == len(document); (err == nil) != isWhole {
				t.Errorf("%s cut after %d bytes: got %q (%v), want it decoded: %t", document, cut, out, err, isWhole)
			}
			l.Close()
		}
	}
}
