package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/refuser"
)

// deadlyPrompt is a prompt under which the engines of addCrashingEngines crash.
const deadlyPrompt = "say the deadly words"

// addCrashingEngines adds n engines that crash at a request with deadlyPrompt, after the given
// answer to it, and returns a counter of the crashes. A request whose body lacks deadlyPrompt gets the whole
// answer.
func (b *fixture) addCrashingEngines(t *testing.T, n int, answer http.HandlerFunc) *atomic.Int64 {
	t.Helper()
	var crashes atomic.Int64
	for range n {
		var srv *httptest.Server
		srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// A failed read means that the attempt was cancelled.
			if body, _ := io.ReadAll(r.Body); !strings.Contains(string(body), deadlyPrompt) {
				writeStatus(w, r, http.StatusOK, testEvent(r.Header.Get(inferrer.HeaderRequest), 0, "x", "stop")+testEnd)
				return
			}
			srv.Listener.Close()
			crashes.Add(1)
			answer(w, r)
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(srv.Close)
		b.addEngine(srv.Listener.Addr().String())
	}
	return &crashes
}

// answerUpTo returns an answer that ends after the first n tokens that are asked for.
func answerUpTo(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from := 0
		if f := r.URL.Query().Get("from"); f != "" {
			from = int(f[0] - '0')
		}
		events := ""
		for i := range n {
			events += testEvent(r.Header.Get(inferrer.HeaderRequest), from+i, "x", "")
		}
		writeStatus(w, r, http.StatusOK, events)
	}
}

func (b *fixture) runPrompt(t *testing.T, prompt string) error {
	t.Helper()
	j := b.job("r")
	j.Prompt.Prompt = prompt
	// Marshalling a string cannot fail.
	j.Fields["prompt"], _ = json.Marshal(prompt)
	return b.relayer.Run(t.Context(), j, &textSink{})
}

// TestPromptThatCrashesEngines sends a prompt under which engines crash before their answer,
// after its head or after its first token. One request may take down two of them.
func TestPromptThatCrashesEngines(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"before the answer": func(http.ResponseWriter, *http.Request) {},
		"after the head":    func(w http.ResponseWriter, r *http.Request) { writeStatus(w, r, http.StatusOK, "") },
		"after a token":     answerUpTo(1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newPatientFixture(t)
			b.relayer.cfg.ResumeTimeout = 500 * time.Millisecond
			crashes := b.addCrashingEngines(t, 8, answer)
			var r *refuser.Refusal
			if err := b.runPrompt(t, deadlyPrompt); !errors.As(err, &r) || r.Status != http.StatusServiceUnavailable || r.Run == refuser.NotRun {
				t.Errorf("got error %v, want a refusal with status 503 of a request that may have run", err)
			}
			if got := crashes.Load(); got != 2 {
				t.Errorf("got %d crashes, want 2", got)
			}
		})
	}
}

// TestPromptIsQuarantined repeats a prompt under which engines crash. After three crashes of begun
// answers, or six before answers, which may be due to other requests, it must be refused as not
// run. Other prompts must be served.
func TestPromptIsQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer http.HandlerFunc
		want   int64
	}{
		{"before the answer", func(http.ResponseWriter, *http.Request) {}, 6},
		{"after the head", func(w http.ResponseWriter, r *http.Request) { writeStatus(w, r, http.StatusOK, "") }, 3},
		{"after a token", answerUpTo(1), 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newPatientFixture(t)
			crashes := b.addCrashingEngines(t, 8, tc.answer)
			now := time.Now()
			q := quarantiner.New(quarantiner.Config{
				Announce: func() {}, Now: func() time.Time { return now }, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
			})
			b.relayer.cfg.Quarantine = q
			for i := range 8 {
				now = now.Add(time.Second)
				q.Tick()
				if err := b.runPrompt(t, "say something else"); err != nil {
					t.Errorf("request %d with another prompt: %v", i, err)
				}
				if err := b.runPrompt(t, deadlyPrompt); err == nil {
					t.Errorf("got an answer to request %d with the deadly prompt", i)
				}
			}
			var r *refuser.Refusal
			if err := b.runPrompt(t, deadlyPrompt); !errors.As(err, &r) || r.Title != "quarantined" || r.Run != refuser.NotRun || r.RetryAfter <= 0 {
				t.Errorf("got %v, want a refusal that says quarantined, not-run and when to retry", err)
			}
			if got := crashes.Load(); got != tc.want {
				t.Errorf("got %d crashes, want %d", got, tc.want)
			}
		})
	}
}

// TestCutIsNoCrash checks that an answer is resumed at engines that cut it and live on, also if
// none of them can be asked in time.
func TestCutIsNoCrash(t *testing.T) {
	unreachable := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}}}
	for name, fresh := range map[string]*http.Client{"asked": inferrer.NewUnpooledHTTP(), "unreachable": unreachable} {
		t.Run(name, func(t *testing.T) {
			b := newPatientFixture(t)
			b.relayer.cfg.FreshHTTP = fresh
			cut := func(w http.ResponseWriter, r *http.Request) {
				answerUpTo(1)(w, r)
				panic(http.ErrAbortHandler)
			}
			last := func(w http.ResponseWriter, r *http.Request) {
				writeStatus(w, r, http.StatusOK, testEvent("r", 4, "x", "stop")+testEnd)
			}
			b.addScriptedEngine(t, cut, cut, cut, cut, last)
			if err := b.runPrompt(t, testPrompt); err != nil {
				t.Error(err)
			}
		})
	}
}
