package inferrer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"pomelotiller/internal/remote/rationer"
)

// An engine sends a line or a header without end to many attempts at once. Each attempt must fail, and all
// together must not hold more than the memory for answers.
func TestEndlessAnswersOfAnEngine(t *testing.T) {
	const attempts, most = 64, 8 << 20
	block := strings.Repeat("x", 16<<10)
	for _, isHeader := range []bool{false, true} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequest, "r")
			w.Header().Set(HeaderAttempt, "1")
			if isHeader {
				w.Header().Set("X-Filler", strings.Repeat(block, 64))
				return
			}
			for {
				if _, err := io.WriteString(w, block); err != nil {
					return
				}
			}
		}))
		t.Cleanup(srv.Close)
		memory := rationer.New(most)
		var wg sync.WaitGroup
		for range attempts {
			wg.Go(func() {
				s, err := NewClient(ClientConfig{Address: addressOf(srv), Memory: memory}).Start(t.Context(), Attempt{Request: "r", Number: 1, Path: PathCompletion})
				if isHeader {
					if err == nil {
						s.Close()
						t.Error("got an answer with a header of 1 MB, want an error")
					}
					return
				}
				if err != nil {
					t.Error(err)
					return
				}
				defer s.Close()
				if p, err := s.Next(); err == nil {
					t.Errorf("got a piece of %d bytes, want an error", len(p.Raw))
				}
			})
		}
		wg.Wait()
		if got := memory.Peak(); got > most || !isHeader && got == 0 {
			t.Errorf("got a peak of %d bytes, want up to %d", got, most)
		}
	}
}
