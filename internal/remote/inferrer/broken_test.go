package inferrer

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pomelotiller/internal/standin/garbler"
)

// An engine answers with a broken head, and otherwise as it should. Each call must fail, and not with the status: the
// answer is none.
func TestBrokenHeadsOfAnEngine(t *testing.T) {
	const body = "[]"
	for _, h := range garbler.BrokenHeads() {
		l, err := garbler.Listen(func(*http.Request) string {
			return h.Format(fmt.Sprintf("%s: r\r\n%s: 1\r\nContent-Length: %d\r\n", HeaderRequest, HeaderAttempt, len(body))) + body
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		c := NewClient(ClientConfig{Address: l.Addr().String()})
		for name, call := range map[string]func() error{
			"start": func() error {
				_, err := c.Start(t.Context(), Attempt{Request: "r", Number: 1, Path: PathCompletion})
				return err
			},
			"cancel": func() error { return c.Cancel(t.Context(), "r") },
			"load": func() error {
				_, err := c.Load(t.Context())
				return err
			},
			"events": func() error {
				_, err := c.Events(t.Context(), 0)
				return err
			},
			"order": func() error { return c.Order(t.Context(), Order{}) },
			"export": func() error {
				_, err := c.Export(t.Context(), "r")
				return err
			},
			"import": func() error { return c.Import(t.Context(), "r", strings.NewReader("cache")) },
		} {
			var status *StatusError
			if err := call(); err == nil || errors.As(err, &status) {
				t.Errorf("%s, head %+q: got error %v, want one of no answer", name, h, err)
			}
		}
	}
}
