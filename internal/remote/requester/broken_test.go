package requester

import (
	"net/http"
	"testing"

	"pomelotiller/internal/standin/garbler"
)

// A service of the platform answers with a broken head. The call must fail in place of returning the answer, whose
// status and fields its callers would believe.
func TestBrokenHeads(t *testing.T) {
	for _, h := range garbler.BrokenHeads() {
		l, err := garbler.Listen(func(*http.Request) string { return h.Format("Content-Length: 2\r\n") + "{}" })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		c := New(Config{Address: l.Addr().String()})
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			if a, err := c.Call(t.Context(), method, "/", struct{}{}); err == nil {
				t.Errorf("%s, head %+q: got status %d, %q (%v), want an error", method, h, a.Status, a.Body, err)
			}
		}
	}
}
