package requester

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"pomelotiller/internal/standin/garbler"
)

// A service of the platform answers a long call at once without a length, and resets the connection while the call is
// still being written. What arrived of the answer must not be taken for all of it.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	const plays = 50
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go garbler.ServeAndReset(l, func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n{}" })
	c := New(Config{Address: l.Addr().String()})
	in, short := strings.Repeat("x", 16<<20), 0
	for range plays {
		if a, err := c.Call(t.Context(), http.MethodPost, "/", in); err == nil {
			short++
			t.Logf("got status %d, %q", a.Status, a.Body)
		}
	}
	if short > 0 {
		t.Errorf("got a part of an answer as a whole one in %d of %d plays, want none", short, plays)
	}
}
