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
	benchTokens        = 40
	benchTokenInterval = 27 * time.Millisecond
	// maxWarmupRounds bounds the unmeasured rounds in which the daemon's concurrency limit adapts to
	// the engine's capacity.
	maxWarmupRounds = 10
)

// startTimestampEngine starts an engine whose tokens contain the time when the request arrived and
// the time when the token was sent.
func startTimestampEngine(b *testing.B) string {
	b.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(inferrer.Load{Versions: []string{"chat-v1"}})
	})
	mux.HandleFunc("POST "+inferrer.PathChat, func(w http.ResponseWriter, r *http.Request) {
		received := time.Now()
		var p inferrer.Prompt
		_ = json.NewDecoder(r.Body).Decode(&p)
		id := r.Header.Get(inferrer.HeaderRequest)
		w.Header().Set(inferrer.HeaderRequest, id)
		w.Header().Set(inferrer.HeaderAttempt, r.Header.Get(inferrer.HeaderAttempt))
		out := http.NewResponseController(w)
		stop := "stop"
		for i := range p.MaxTokens {
			if p.MaxTokens > 1 {
				time.Sleep(benchTokenInterval)
			}
			choice := inferrer.Choice{Delta: &inferrer.Message{Role: "assistant", Content: fmt.Sprint(received.UnixNano(), " ", time.Now().UnixNano())}}
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

// startBenchDaemon starts two daemons in front of one timestamp engine and returns the first.
func startBenchDaemon(b *testing.B) (d *daemon, engine string) {
	b.Helper()
	c := newCluster(b)
	engine = startTimestampEngine(b)
	c.putHost(lister.Host{Name: "engine-0", Domain: "portland", Pool: "portland", Role: lister.RoleEngine, Address: engine, State: lister.StateLive})
	d = c.startDaemon("entry-0", "portland", settingsOverrides{})
	c.startDaemon("entry-1", "worcester", settingsOverrides{})
	// The target is well above the engine's time per token, so the daemon's concurrency limit grows up
	// to the engine's capacity.
	c.publishConfig(d, strings.Replace(testConfig(), "token: 27ms", "token: 100ms", 1))
	c.awaitGeneration(1)
	c.awaitEndpoints(1)
	return d, engine
}

// latencies collects the times that requests took to the engine and tokens took back to the caller.
type latencies struct {
	mu       sync.Mutex
	requests []time.Duration
	tokens   []time.Duration
}

func (d *latencies) reportPercentiles(b *testing.B) {
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

// runRound runs n concurrent streams whose starts are spread evenly over one token interval.
func (d *latencies) runRound(client *http.Client, address string, n int) error {
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			time.Sleep(benchTokenInterval * time.Duration(i) / time.Duration(n))
			return d.runStream(client, address)
		})
	}
	return g.Wait()
}

// runStream runs one stream of timestamped tokens and records its latencies.
func (d *latencies) runStream(client *http.Client, address string) error {
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
	s := &chatStream{res: res, lines: bufio.NewScanner(res.Body)}
	for n := 0; s.readToken(); n++ {
		now := time.Now()
		var received, sent int64
		if _, err := fmt.Sscan(s.text.String(), &received, &sent); err != nil {
			return err
		}
		s.text.Reset()
		d.mu.Lock()
		if n == 0 {
			d.requests = append(d.requests, time.Unix(0, received).Sub(start))
		}
		d.tokens = append(d.tokens, now.Sub(time.Unix(0, sent)))
		d.mu.Unlock()
	}
	if !s.isComplete {
		return fmt.Errorf("stream broke off: %s", s.badEvent)
	}
	return nil
}

// BenchmarkAddedLatency compares streams through a daemon with streams directly from the engine. It
// measures the time from the start of a request to its arrival at the engine, and the time of each
// token from the engine to the caller.
func BenchmarkAddedLatency(b *testing.B) {
	d, engine := startBenchDaemon(b)
	for _, n := range []int{1, 100, 500} {
		for _, path := range []struct{ name, address string }{{"direct", engine}, {"daemon", d.callerAddress}} {
			b.Run(fmt.Sprintf("%s/streams=%d", path.name, n), func(b *testing.B) {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
				defer client.CloseIdleConnections()
				for range maxWarmupRounds {
					var warm latencies
					if warm.runRound(client, path.address, n) == nil {
						break
					}
				}
				var all latencies
				before := processorTime(b, d.cmd.Process.Pid)
				for b.Loop() {
					if err := all.runRound(client, path.address, n); err != nil {
						b.Error(err)
					}
				}
				all.reportPercentiles(b)
				if path.name == "daemon" {
					used := processorTime(b, d.cmd.Process.Pid) - before
					b.ReportMetric(float64(len(all.tokens))/used.Seconds(), "tokens/core-s")
				}
			})
		}
	}
}

// BenchmarkRequests measures the processor time that a daemon spends on unstreamed completions of
// one token.
func BenchmarkRequests(b *testing.B) {
	const workers = 16
	d, _ := startBenchDaemon(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	before := processorTime(b, d.cmd.Process.Pid)
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := sendChat(client, d.callerAddress, 1); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/(processorTime(b, d.cmd.Process.Pid)-before).Seconds(), "requests/core-s")
}
