package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/traffic/router"
)

// pipeListener accepts connections within the process, so that a test can run in virtual time.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipeClient returns a client of the servers behind listeners, which are named by host.
func pipeClient(t *testing.T, listeners map[string]pipeListener, isFresh bool) *http.Client {
	tr := &http.Transport{
		DisableKeepAlives: isFresh,
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			host, _, err := net.SplitHostPort(address)
			if err != nil {
				return nil, err
			}
			near, far := net.Pipe()
			listeners[host] <- far
			return near, nil
		},
	}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// newPipeFixture returns a relayer in front of n engines that take tokenTime for each token and
// transferTime for each import of a cache, and the view that it routes by.
func newPipeFixture(t *testing.T, n int, tokenTime, transferTime time.Duration) (*fixture, *viewer.CurrentView) {
	t.Helper()
	b := &fixture{route: newTestRoute()}
	listeners := make(map[string]pipeListener)
	for i := range n {
		g := generator.New(generator.Config{Versions: []string{testVersion}, TokenTime: tokenTime})
		h := g.Handler()
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, "/kv/") {
				time.Sleep(transferTime)
			}
			h.ServeHTTP(w, r)
		})}
		l, host := make(pipeListener), fmt.Sprint("host-", i)
		listeners[host] = l
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() {
			close(l)
			srv.Close()
		})
		b.engines = append(b.engines, g)
		b.addEngine(host + ":80")
	}
	var current viewer.CurrentView
	current.Store(b.view)
	b.relayer = New(Config{
		View: current.Load, Router: router.New(router.Config{}),
		HTTP: pipeClient(t, listeners, false), FreshHTTP: pipeClient(t, listeners, true),
		Tracer: tracer.NewNoop(), Registry: metrics.NewRegistry(),
	})
	return b, &current
}

// TestMigrationRecomputesOnlyTokensOfTheTransfer guards against caches that are imported late, in an
// older state or not at all, and against streams that go on at the old engine after the import. It
// runs in virtual time, so that what the machine does besides has no part in the figures.
func TestMigrationRecomputesOnlyTokensOfTheTransfer(t *testing.T) {
	const (
		streams   = 24
		tokens    = 100
		tokenTime = 10 * time.Millisecond
	)
	for _, transferTime := range []time.Duration{0, 35 * time.Millisecond} {
		t.Run(transferTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, current := newPipeFixture(t, 3, tokenTime, transferTime)
				var begun, all sync.WaitGroup
				for i := range streams {
					begun.Add(1)
					all.Go(func() {
						job := b.job(fmt.Sprint("r", i))
						job.Prompt.MaxTokens = tokens
						job.Fields["max_tokens"] = json.RawMessage(fmt.Sprint(tokens))
						sink := textSink{onToken: func(n int) {
							if n == 1 {
								begun.Done()
							}
						}}
						if err := b.relayer.Run(t.Context(), job, &sink); err != nil {
							t.Error(err)
						}
						if got, want := sink.text.String(), generator.Text(testVersion, testPrompt, tokens); got != want {
							t.Errorf("got text %q, want %q", got, want)
						}
					})
				}
				begun.Wait()
				leaving := b.engines[0]
				moved := leaving.Load().Running
				leaving.SetLeaving(true)
				endpoints := slices.Clone(b.view.Endpoints)
				endpoints[0].State = viewer.StateLeaving
				current.Store(b.view.WithEndpoints(endpoints))
				b.relayer.MigrateRequests(endpoints[0].Name)
				all.Wait()
				var got generator.TransferCounts
				for _, g := range b.engines[1:] {
					c := g.TransferCounts()
					got.Imports += c.Imports
					got.Resumes += c.Resumes
					got.Recomputed += c.Recomputed
				}
				t.Logf("%d streams at the leaving engine, transfers: %+v", moved, got)
				perStream := 1 + int(transferTime/tokenTime)
				if moved == 0 || got.Imports != moved || got.Resumes != moved || got.Recomputed > moved*perStream {
					t.Errorf("got transfers %+v of %d streams, want each imported and resumed, with at most %d tokens recomputed",
						got, moved, perStream)
				}
			})
		})
	}
}
