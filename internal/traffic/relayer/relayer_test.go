package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/standin/faulter"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/standin/reserver"
	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/router"
)

const (
	testVersion = "chat-v1"
	testPrompt  = "tell me of the lamps"
	testTokens  = 12
	// paddingBytes exceeds the size of a request's header.
	paddingBytes = 1000
)

// fixture is a relayer with stand-in engines.
type fixture struct {
	relayer *Relayer
	engines []*generator.Generator
	view    viewer.View
	route   loader.Route
}

func newTestRoute() loader.Route {
	return loader.Route{
		Name: "chat", Kind: loader.KindModel, Idempotent: true,
		Versions: []loader.Share{{Version: testVersion, Share: 100}},
		Target:   loader.Target{First: loader.Duration(100 * time.Millisecond), Token: loader.Duration(5 * time.Millisecond)},
	}
}

// newFixture starts n engines that take 1 ms per token, and a relayer for them.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	b := &fixture{route: newTestRoute()}
	for range n {
		g := generator.New(generator.Config{Versions: []string{testVersion}, TokenTime: time.Millisecond})
		srv := httptest.NewServer(g.Handler())
		t.Cleanup(srv.Close)
		t.Cleanup(srv.CloseClientConnections)
		b.engines = append(b.engines, g)
		b.addEngine(srv.Listener.Addr().String())
	}
	b.relayer = New(Config{
		View: func() viewer.View { return b.view }, Router: router.New(router.Config{}),
		HTTP: inferrer.NewHTTP(), Tracer: tracer.NewNoop(), Registry: metrics.NewRegistry(),
	})
	return b
}

func (b *fixture) addEngine(address string) {
	b.view = b.view.WithEndpoints(append(b.view.Endpoints, viewer.Endpoint{
		Name: fmt.Sprintf("engine-%d", len(b.view.Endpoints)), Address: address,
		State: viewer.StateAlive, Versions: []string{testVersion},
	}))
}

func (b *fixture) job(request string) Job {
	return Job{
		Request: request, Route: b.route, Path: inferrer.PathCompletion,
		Prompt: inferrer.Prompt{Model: "chat", Prompt: testPrompt, MaxTokens: testTokens},
		Fields: map[string]json.RawMessage{
			"prompt": json.RawMessage(`"` + testPrompt + `"`), "max_tokens": json.RawMessage(fmt.Sprint(testTokens)),
			"user": json.RawMessage(`"` + strings.Repeat("x", paddingBytes) + `"`),
		},
	}
}

// textSink collects the text of an answer.
type textSink struct {
	text  strings.Builder
	usage *inferrer.Usage
	// onToken, if set, is called after each token with the number of tokens so far.
	onToken func(tokens int)
	tokens  int
}

func (s *textSink) Piece(e inferrer.Piece) error {
	c, err := e.Chunk()
	if err != nil {
		return err
	}
	if c.Usage != nil {
		s.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return nil
	}
	s.text.WriteString(c.Choices[0].Text)
	s.tokens++
	if s.onToken != nil {
		s.onToken(s.tokens)
	}
	return nil
}

func (s *textSink) Flush() error { return nil }

// runRefusedJob runs a job that must be refused, and returns the refusal.
func (b *fixture) runRefusedJob(ctx context.Context, t *testing.T, sink Sink) *refuser.Refusal {
	t.Helper()
	err := b.relayer.Run(ctx, b.job("r"), sink)
	var r *refuser.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("got error %v, want a refusal", err)
	}
	return r
}

func TestFaultyAnswers(t *testing.T) {
	for _, tc := range []struct {
		fault  generator.AnswerFault
		after  int
		status int
	}{
		{fault: generator.AnswerCrossed},
		{fault: generator.AnswerLate},
		{fault: generator.AnswerForeign},
		{fault: generator.AnswerForeign, after: 4},
		{fault: generator.AnswerDoubled},
		{fault: generator.AnswerGap, after: 3},
		{fault: generator.AnswerGarbled, after: 3},
		{fault: generator.AnswerCut},
		{fault: generator.AnswerCut, after: 5},
		{fault: generator.AnswerShort, after: 5},
		{fault: generator.AnswerNoMark},
		{fault: generator.AnswerStalled},
		{fault: generator.AnswerStalled, after: 5},
		{fault: generator.AnswerStalled, after: testTokens},
		{fault: generator.AnswerRefused, status: http.StatusInternalServerError},
		{fault: generator.AnswerRefused, status: http.StatusTooManyRequests},
		{fault: generator.AnswerRefused, status: http.StatusServiceUnavailable},
		{fault: generator.AnswerRefused, status: http.StatusNotFound},
	} {
		t.Run(fmt.Sprintf("%s after %d %d", tc.fault, tc.after, tc.status), func(t *testing.T) {
			t.Parallel()
			b := newFixture(t, 2)
			for _, g := range b.engines[:1] {
				g.SetAnswerFaults(generator.AnswerFaults{Fault: tc.fault, After: tc.after, Status: tc.status})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var sink textSink
			if err := b.relayer.Run(ctx, b.job("r"), &sink); err != nil {
				t.Fatal(err)
			}
			if got, want := sink.text.String(), generator.Text(testVersion, testPrompt, testTokens); got != want {
				t.Errorf("got text %q, want %q", got, want)
			}
		})
	}
}

func TestRejectedRequest(t *testing.T) {
	b := newFixture(t, 2)
	for _, g := range b.engines {
		g.SetAnswerFaults(generator.AnswerFaults{Fault: generator.AnswerRefused, Status: http.StatusUnprocessableEntity, Count: 1})
	}
	r := b.runRefusedJob(t.Context(), t, &textSink{})
	if r.Status != http.StatusUnprocessableEntity || r.Run != refuser.Unknown {
		t.Errorf("got status %d, run %s; want 422, unknown", r.Status, r.Run)
	}
}

func TestUsageOfEngine(t *testing.T) {
	b := newFixture(t, 1)
	var sink textSink
	if err := b.relayer.Run(t.Context(), b.job("r"), &sink); err != nil {
		t.Fatal(err)
	}
	prompt := inferrer.Tokens(testPrompt)
	want := inferrer.Usage{PromptTokens: prompt, CompletionTokens: testTokens, TotalTokens: prompt + testTokens}
	if sink.usage == nil || *sink.usage != want {
		t.Errorf("got usage %+v, want %+v", sink.usage, want)
	}
}

// TestRunState checks the run state of refusals when the only endpoint fails a request
// at different points before the first token.
func TestRunState(t *testing.T) {
	redirect := func(t *testing.T) string {
		to := reserver.MustAddress(t)
		srv := httptest.NewServer(http.RedirectHandler("http://"+to+"/x", http.StatusTemporaryRedirect))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	closeAfterBody := func(t *testing.T) string {
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	answering := func(status int) func(t *testing.T) string {
		return func(t *testing.T) string {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			t.Cleanup(srv.Close)
			return srv.Listener.Addr().String()
		}
	}
	behindFault := func(mode faulter.Mode, bytes int64) func(t *testing.T) string {
		return func(t *testing.T) string {
			g := generator.New(generator.Config{Versions: []string{testVersion}})
			srv := httptest.NewServer(g.Handler())
			t.Cleanup(srv.Close)
			l, err := faulter.Open(t.Context(), faulter.Config{Network: "tcp", Listen: "127.0.0.1:0", Target: srv.Listener.Addr().String()})
			if err != nil {
				t.Fatal(err)
			}
			l.Set(faulter.Behaviour{Mode: mode, Bytes: bytes})
			return l.Address()
		}
	}
	for _, tc := range []struct {
		name    string
		address func(t *testing.T) string
		want    refuser.RunState
	}{
		{"dial refused", func(t *testing.T) string { return reserver.MustAddress(t) }, refuser.NotRun},
		{"cut after the first byte", behindFault(faulter.ModeReset, 1), refuser.Unknown},
		{"reset in header", behindFault(faulter.ModeReset, 10), refuser.Unknown},
		{"reset in body", behindFault(faulter.ModeReset, paddingBytes), refuser.Unknown},
		{"closed after body", closeAfterBody, refuser.Unknown},
		{"cut in answer header", behindFault(faulter.ModeTruncate, 10), refuser.Unknown},
		{"nothing answered", behindFault(faulter.ModeBlackhole, 0), refuser.Unknown},
		{"redirected to a closed port", redirect, refuser.Unknown},
		{"answered 408", answering(http.StatusRequestTimeout), refuser.Unknown},
		{"answered 421", answering(http.StatusMisdirectedRequest), refuser.Unknown},
		{"answered 429", answering(http.StatusTooManyRequests), refuser.Unknown},
		{"answered 500", answering(http.StatusInternalServerError), refuser.Unknown},
		{"answered 503", answering(http.StatusServiceUnavailable), refuser.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t, 0)
			b.addEngine(tc.address(t))
			r := b.runRefusedJob(t.Context(), t, &textSink{})
			if r.Run != tc.want || r.RetryAfter <= 0 {
				t.Errorf("got run %s, retry after %s; want %s and a retry", r.Run, r.RetryAfter, tc.want)
			}
		})
	}
	t.Run("no endpoint", func(t *testing.T) {
		if r := newFixture(t, 0).runRefusedJob(t.Context(), t, &textSink{}); r.Run != refuser.NotRun {
			t.Errorf("got run %s, want not-run", r.Run)
		}
	})
}

// TestDeadlineWhileDialling checks that a request whose deadline passes before a
// connection exists is reported as not run.
func TestDeadlineWhileDialling(t *testing.T) {
	b := newFixture(t, 0)
	b.addEngine("127.0.0.1:1")
	b.relayer.cfg.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r := b.runRefusedJob(ctx, t, &textSink{})
	if r.Run != refuser.NotRun || r.Status != http.StatusGatewayTimeout {
		t.Errorf("got status %d, run %s; want 504, not-run", r.Status, r.Run)
	}
}

// TestRepeatedlyTruncatedAnswer has the engines cut each answer after one token. The
// answer must complete although it breaks off more often than MaxAttempts.
func TestRepeatedlyTruncatedAnswer(t *testing.T) {
	b := newFixture(t, 2)
	for _, g := range b.engines {
		g.SetAnswerFaults(generator.AnswerFaults{Fault: generator.AnswerCut, After: 1})
	}
	var sink textSink
	if err := b.relayer.Run(t.Context(), b.job("r"), &sink); err != nil {
		t.Fatal(err)
	}
	if got, want := sink.text.String(), generator.Text(testVersion, testPrompt, testTokens); got != want {
		t.Errorf("got text %q, want %q", got, want)
	}
}

// TestNoEndpointForASecond checks that an answer is resumed after the only endpoint
// was unavailable for a second in the middle of it.
func TestNoEndpointForASecond(t *testing.T) {
	b := newFixture(t, 1)
	b.engines[0].SetAnswerFaults(generator.AnswerFaults{Fault: generator.AnswerCut, After: 4, Count: 1})
	sink := textSink{onToken: func(n int) {
		if n == 2 {
			b.engines[0].SetLeaving(true)
			time.AfterFunc(time.Second, func() { b.engines[0].SetLeaving(false) })
		}
	}}
	if err := b.relayer.Run(t.Context(), b.job("r"), &sink); err != nil {
		t.Fatal(err)
	}
	if got, want := sink.text.String(), generator.Text(testVersion, testPrompt, testTokens); got != want {
		t.Errorf("got text %q, want %q", got, want)
	}
}

// TestCallerGone checks that the engine ends a stream when its caller has left.
func TestCallerGone(t *testing.T) {
	b := newFixture(t, 1)
	job := b.job("r")
	job.Fields["max_tokens"] = json.RawMessage("100000")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sink := textSink{onToken: func(n int) {
		if n == 3 {
			cancel()
		}
	}}
	if err := b.relayer.Run(ctx, job, &sink); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
	for end := time.Now().Add(2 * time.Second); b.engines[0].Load().Running > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the engine still runs the request")
		}
	}
}

// TestSilentPooledConnections checks that the answer arrives over a new connection if
// all pooled connections of the only endpoint have stopped transferring data.
func TestSilentPooledConnections(t *testing.T) {
	b := newFixture(t, 1)
	l, err := faulter.Open(t.Context(), faulter.Config{Network: "tcp", Listen: "127.0.0.1:0", Target: b.view.Endpoints[0].Address})
	if err != nil {
		t.Fatal(err)
	}
	b.view.Endpoints[0].Address = l.Address()
	for i := range 4 {
		b.runJobs(t, 8)
		l.Set(faulter.Behaviour{Mode: faulter.ModeStalled})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		var sink textSink
		if err := b.relayer.Run(ctx, b.job(fmt.Sprint("r", i)), &sink); err != nil {
			t.Fatal(err)
		}
		cancel()
		if got, want := sink.text.String(), generator.Text(testVersion, testPrompt, testTokens); got != want {
			t.Errorf("got text %q, want %q", got, want)
		}
		l.Set(faulter.Behaviour{Mode: faulter.ModePass})
	}
}

// runJobs runs n requests concurrently, which leaves as many connections in the pool.
func (b *fixture) runJobs(t *testing.T, n int) {
	t.Helper()
	done := make(chan error, n)
	for i := range n {
		go func() { done <- b.relayer.Run(t.Context(), b.job(fmt.Sprint("warm", i)), &textSink{}) }()
	}
	for range n {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}
