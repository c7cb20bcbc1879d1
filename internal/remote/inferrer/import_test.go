package inferrer

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"pomelotiller/internal/standin/garbler"
)

// An engine answers the import of a long cache before it has read it, and resets the connection. The cache must not
// count as imported.
func TestImportThatIsNotRead(t *testing.T) {
	const plays = 20
	cache := strings.Repeat("x", 16<<20)
	for name, fields := range map[string]string{"no length": "", "no body": "Content-Length: 0\r\n", "length": "Content-Length: 2\r\n"} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go garbler.ServeAndReset(l, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" + fields + "\r\n{}" })
			c, imported := NewClient(ClientConfig{Address: l.Addr().String()}), 0
			for range plays {
				if err := c.Import(t.Context(), "r", strings.NewReader(cache)); err == nil {
					imported++
				}
			}
			if imported > 0 {
				t.Errorf("got a cache that was not read imported in %d of %d plays, want none", imported, plays)
			}
		})
	}
}
