package inferrer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestCacheThatMayBeCut has an engine send a cache whose end only the end of the connection
// marks. The transfer must fail, since the importing engine would get a cut cache as whole.
func TestCacheThatMayBeCut(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		whole        bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncache", true},
		{"length, cut", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncac", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncache\r\n0\r\n\r\n", true},
		{"chunks, cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ncache\r\n", false},
		{"end of the connection", "HTTP/1.1 200 OK\r\n\r\ncac", false},
		{"another status", "HTTP/1.1 202 Accepted\r\nContent-Length: 3\r\n\r\nnot", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			from := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, tc.answer)
			}))
			defer from.Close()
			imported := ""
			to := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				b, err := io.ReadAll(r.Body)
				if err == nil {
					imported = string(b)
				}
			}))
			cache, err := NewClient(ClientConfig{Address: addressOf(from)}).Export(t.Context(), "r")
			if err == nil {
				err = NewClient(ClientConfig{Address: addressOf(to)}).Import(t.Context(), "r", cache)
				cache.Close()
			}
			// Close waits for the import to end.
			to.Close()
			if want := map[bool]string{true: "cache"}[tc.whole]; (err == nil) != tc.whole || imported != want {
				t.Errorf("got cache %q imported as whole (%v), want %q", imported, err, want)
			}
			var status *StatusError
			if !tc.whole && !errors.Is(err, ErrTruncated) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &status) {
				t.Errorf("got error %v, want one of a cut answer or another status", err)
			}
		})
	}
}

func addressOf(srv *httptest.Server) string { return srv.Listener.Addr().(*net.TCPAddr).String() }
