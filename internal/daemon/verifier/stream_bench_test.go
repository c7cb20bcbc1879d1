package verifier

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
)

const (
	benchTokens    = 40
	benchTokenTime = 27 * time.Millisecond
	// benchRounds bounds the rounds in which a daemon comes to know how much
	// its engine carries.
	benchRounds = 10
)

// stampingEngine is an engine whose tokens tell when they were sent, and whose
// first tells when the request came.
func stampingEngine(b *testing.B) string {
	b.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(inferrer.Load{Versions: []string{"chat-v1"}})
	})
	mux.HandleFunc("POST "+inferrer.PathChat, func(w http.ResponseWriter, r *http.Request) {
		came := time.Now()
		var p inferrer.Prompt
		_ = json.NewDecoder(r.Body).Decode(&p)
		id := r.Header.Get(inferrer.HeaderRequest)
		w.Header().Set(inferrer.HeaderRequest, id)
		w.Header().Set(inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt))
		out := http.NewResponseController(w)
		stop := "stop"
		for i := range p.MaxTokens {
			if p.MaxTokens > 1 {
				time.Sleep(benchTokenTime)
			}
			choice := inferrer.Choice{Delta: &inferrer.Message{Role: "assistant", Content: fmt.Sprint(came.UnixNano(), " ", time.Now().UnixNano())}}
			if i == p.MaxTokens-1 {
				choice.FinishReason = &stop
			}
			c, _ := json.Marshal(inferrer.Chunk{ID: id, Object: "chat.completion.chunk", Model: p.Model, Token: i, Choices: []inferrer.Choice{choice}})
			fmt.Fprintf(w, "data: %s\n\n", c)
			if out.Flush() != nil {
				return
			}
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	srv := httptest.NewServer(mux)
	b.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// benchDaemon starts a daemon before a stamping engine.
func benchDaemon(b *testing.B) (d *daemon, engine string) {
	b.Helper()
	c := newCluster(b)
	engine = stampingEngine(b)
	c.host(lister.Host{Name: "engine-0", Domain: "portland", Pool: "portland", Role: lister.RoleEngine, Address: engine, State: lister.StateLive})
	d = c.daemon("entry-0", "portland", daemonOptions{})
	c.daemon("entry-1", "worcester", daemonOptions{})
	// The target lies well above the engine's token time, so that the daemon's
	// gate opens as far as the engine carries.
	c.publish(d, strings.Replace(testSet(), "token: 27ms", "token: 100ms", 1))
	c.awaitGeneration(1)
	c.awaitEndpoints(1)
	return d, engine
}

// delays are the times that requests and tokens took from end to end.
type delays struct {
	mu       sync.Mutex
	requests []time.Duration
	tokens   []time.Duration
}

func (d *delays) report(b *testing.B) {
	for _, m := range []struct {
		name string
		all  []time.Duration
	}{{"request", d.requests}, {"token", d.tokens}} {
		slices.Sort(m.all)
		for _, p := range []int{50, 99} {
			b.ReportMetric(float64(m.all[len(m.all)*p/100].Microseconds()), fmt.Sprintf("%s-p%d-µs", m.name, p))
		}
	}
}

// round runs n streams at once, which start evenly over one token's time.
func (d *delays) round(client *http.Client, address string, n int) error {
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			time.Sleep(benchTokenTime * time.Duration(i) / time.Duration(n))
			return d.stream(client, address)
		})
	}
	return g.Wait()
}

// stream runs one stamped stream and notes its delays.
func (d *delays) stream(client *http.Client, address string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+inferrer.PathChat,
		strings.NewReader(fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"bench"}]}`, benchTokens)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set(inferrer.HeaderRequest, "direct")
	start := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	s := &stream{res: res, lines: bufio.NewScanner(res.Body)}
	for n := 0; s.next(); n++ {
		now := time.Now()
		var came, sent int64
		if _, err := fmt.Sscan(s.text.String(), &came, &sent); err != nil {
			return err
		}
		s.text.Reset()
		d.mu.Lock()
		if n == 0 {
			d.requests = append(d.requests, time.Unix(0, came).Sub(start))
		}
		d.tokens = append(d.tokens, now.Sub(time.Unix(0, sent)))
		d.mu.Unlock()
	}
	if !s.ended {
		return fmt.Errorf("stream broke off: %s", s.fault)
	}
	return nil
}

// BenchmarkAddedLatency compares streams through a daemon with streams straight
// from the engine: the time from a request's start to its arrival, and of each
// token from the engine to the caller.
func BenchmarkAddedLatency(b *testing.B) {
	d, engine := benchDaemon(b)
	for _, n := range []int{1, 100, 500} {
		for _, path := range []struct{ name, address string }{{"direct", engine}, {"daemon", d.callers}} {
			b.Run(fmt.Sprintf("%s/streams=%d", path.name, n), func(b *testing.B) {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
				defer client.CloseIdleConnections()
				for range benchRounds {
					var warm delays
					if warm.round(client, path.address, n) == nil {
						break
					}
				}
				var all delays
				before := processorTime(b, d.cmd.Process.Pid)
				for b.Loop() {
					if err := all.round(client, path.address, n); err != nil {
						b.Error(err)
					}
				}
				all.report(b)
				if path.name == "daemon" {
					used := processorTime(b, d.cmd.Process.Pid) - before
					b.ReportMetric(float64(len(all.tokens))/used.Seconds(), "tokens/core-s")
				}
			})
		}
	}
}

// BenchmarkRequests measures the processor time that a daemon spends on whole
// answers of one token.
func BenchmarkRequests(b *testing.B) {
	const workers = 16
	d, _ := benchDaemon(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	before := processorTime(b, d.cmd.Process.Pid)
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := chatOnce(client, d.callers, 1); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/(processorTime(b, d.cmd.Process.Pid)-before).Seconds(), "requests/core-s")
}
