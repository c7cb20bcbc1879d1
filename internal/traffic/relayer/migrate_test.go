package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"pomelotiller/internal/fleet/viewer"
)

// serveLateExports starts an engine that sends each answer on a connection twice, the second
// time when the next request on it arrives.
func serveLateExports(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		requests, late := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			cache := "cache of " + strings.TrimPrefix(r.URL.Path, "/kv/")
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(cache), cache)
			_, _ = io.WriteString(conn, late+answer)
			late = answer
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln.Addr().String()
}

// TestCacheOfAnotherRequest has an engine repeat the export of one request on the connection on
// which the export of another is due. Each import must be the cache of its own request.
func TestCacheOfAnotherRequest(t *testing.T) {
	b := newFixture(t, 0)
	var mu sync.Mutex
	imported := make(map[string]string)
	to := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cache, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		imported[strings.TrimPrefix(r.URL.Path, "/kv/")] = string(cache)
	}))
	defer to.Close()
	from := serveLateExports(t)
	for _, id := range []string{"first", "second"} {
		if err := b.relayer.transferCache(t.Context(), id, viewer.Endpoint{Address: from}, viewer.Endpoint{Address: to.Listener.Addr().String()}); err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		if got, want := imported[id], "cache of "+id; got != want {
			t.Errorf("got %q imported for request %q, want %q", got, id, want)
		}
		mu.Unlock()
	}
}
