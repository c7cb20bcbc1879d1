package inferrer

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pomelotiller/internal/standin/garbler"
)

// An engine answers the import of a long cache before it has read it, and resets the connection. The answer has no
// length, so that nothing shows that it is whole, and the cache must not count as imported.
func TestImportWithBrokenAnswer(t *testing.T) {
	const plays = 20
	cache := strings.Repeat("x", 16<<20)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go garbler.ServeAndReset(l, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n{}" })
	c, imported := NewClient(ClientConfig{Address: l.Addr().String()}), 0
	for range plays {
		if err := c.Import(t.Context(), "r", strings.NewReader(cache)); err == nil {
			imported++
		}
	}
	if imported > 0 {
		t.Errorf("got a cache imported in %d of %d plays with a broken answer, want none", imported, plays)
	}
}

// An engine answers an import once it has read the cache, whose end it knows from the cache itself, and the end of the
// request comes later, as it does while the exporting engine is slow. The cache must count as imported.
func TestImportAnsweredBeforeTheEndOfTheRequest(t *testing.T) {
	const endDelay = 300 * time.Millisecond
	for _, body := range []string{"", "{}"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var cache map[string]int
			if err := json.NewDecoder(r.Body).Decode(&cache); err != nil {
				w.WriteHeader(http.StatusBadRequest)
			}
			_, _ = io.WriteString(w, body)
		}))
		cache, export := io.Pipe()
		go func() {
			_, _ = io.WriteString(export, `{"tokens":1}`)
			time.Sleep(endDelay)
			export.Close()
		}()
		if err := NewClient(ClientConfig{Address: addressOf(srv)}).Import(t.Context(), "r", cache); err != nil {
			t.Errorf("answer %q: got error %v, want the cache imported", body, err)
		}
		cache.Close()
		srv.Close()
	}
}
