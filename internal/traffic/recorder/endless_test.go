package recorder

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/traffic/refuser"
)

// A service answers an order, and there is no memory for the body. The order has run, so its answer must come
// without the body, as one that is too large does. A header without end is no answer.
func TestAnswerWithoutMemory(t *testing.T) {
	for _, tc := range []struct {
		name     string
		bytes    int
		isHeader bool
	}{
		{"more than the memory", 200 << 10, false},
		{"over the size limit", maxAnswerBytes + 1, false},
		{"header", 8 * rationer.MaxHeaderBytes, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := Order{ID: "o", Attempt: 1, Request: Request{Method: http.MethodPost, Path: "/"}}
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(inferrer.HeaderRequest, o.ID)
				w.Header().Set(inferrer.HeaderAttempt, strconv.Itoa(o.Attempt))
				filler := strings.Repeat("x", tc.bytes)
				if tc.isHeader {
					w.Header().Set("X-Filler", filler)
					return
				}
				w.WriteHeader(http.StatusCreated)
				_, _ = io.WriteString(w, filler)
			}))
			t.Cleanup(srv.Close)
			memory := rationer.New(64 << 10)
			s, err := HTTPServices{Memory: memory}.Connect(t.Context(), srv.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			a, err := s.Send(t.Context(), o, make(http.Header))
			var sendErr *SendError
			switch {
			case tc.isHeader && (!errors.As(err, &sendErr) || sendErr.RunState != refuser.Unknown):
				t.Errorf("got %+v and error %v, want an error of an order that may have run", a, err)
			case !tc.isHeader && (err != nil || !a.Omitted || a.Status != http.StatusCreated || len(a.Body) > 0):
				t.Errorf("got status %d, omitted %t, %d bytes (%v); want status 201 and the body left out", a.Status, a.Omitted, len(a.Body), err)
			}
			if got := memory.Peak(); got > 64<<10 {
				t.Errorf("got %d bytes held, want %d at most", got, 64<<10)
			}
		})
	}
}
