package requester

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pomelotiller/internal/remote/rationer"
)

// A service of the platform sends a header or a body that has no end. The call must fail once the limit is
// reached, in place of keeping what comes.
func TestAnswersWithoutEnd(t *testing.T) {
	const most = 100 << 10
	for _, tc := range []struct {
		name    string
		answer  func(w http.ResponseWriter)
		wantErr error
	}{
		{"body", func(w http.ResponseWriter) {
			for block := strings.Repeat("x", 16<<10); ; {
				if _, err := io.WriteString(w, block); err != nil {
					return
				}
			}
		}, rationer.ErrTooLarge},
		{"header", func(w http.ResponseWriter) {
			w.Header().Set("X-Filler", strings.Repeat("x", 8*rationer.MaxHeaderBytes))
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tc.answer(w) }))
			t.Cleanup(srv.Close)
			c := New(Config{Address: srv.Listener.Addr().String(), MaxAnswerBytes: most})
			a, err := c.Call(t.Context(), http.MethodGet, "/", nil)
			if err == nil || tc.wantErr != nil && !errors.Is(err, tc.wantErr) {
				t.Errorf("got %d bytes and error %v, want error %v", len(a.Body), err, tc.wantErr)
			}
		})
	}
}
