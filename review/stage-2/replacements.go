package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"pomelotiller/internal/standin/responder"
)

const (
	recoveryTime = 12 * time.Second
	// observedTime is how long requests are counted before the final fault, and from recoveryTime after it on.
	observedTime = 12 * time.Second
	// settleTime is the time from the last replacement of a machine to the requests before the final fault.
	settleTime = 32 * time.Second
	// requestTokens is what each request costs, and requestsPerDaemon how many each daemon gets a second. The
	// tenant's limit is 1.8 times what it sends.
	requestTokens     = 1_000
	requestsPerDaemon = 7
	tenantRate        = 1.8 * 3 * requestsPerDaemon * requestTokens
)

// replacements is the number of machines that were replaced, one after the other.
var replacements = flag.Int("replacements", 40, "machines that were replaced")

func init() { cases["8"] = playReplacements }

// catalogDoc is a configuration whose allowances count tokens, as those of the deployments do.
func catalogDoc(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "base", "host": "ficu95.example", "prefix": "/base/", "route_kind": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 600, "gap_target_ms": 300, "max_attempts": 1, "service": "pool",
		}},
		"services": []any{map[string]any{"name": "pool", "max_connections": 630, "engine": map[string]any{"slots": 128, "kv_capacity": 575311}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "api_keys": []any{"kept"}, "unit": "tokens", "uncached_tokens": 200, "rate_per_s": tenantRate, "burst": tenantRate,
		}},
	}
}

// playReplacements replaces machines, one after the other, by others with another name at another address, and
// kills all processes at the end.
func playReplacements(s *stage, trouble bool) (bool, error) {
	for i := range 3 {
		if _, err := s.addEndpoint(fmt.Sprint("i-", i), "pool", fmt.Sprint("z", i), "v1", responder.Config{Pause: 15 * time.Millisecond, Events: 3}); err != nil {
			return false, err
		}
	}
	b, err := json.Marshal(catalogDoc(10))
	if err != nil {
		return false, err
	}
	s.log("configuration 10 acknowledged at revision %d", s.platform.Put("op/config", b))
	if err := s.addDaemons(3); err != nil {
		return false, err
	}
	if trouble {
		for i := range *replacements {
			if err := s.replace(3 + i); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(settleTime)
	before := s.countServed("before", observedTime, requestsPerDaemon)
	for _, d := range s.daemons {
		if err := s.kill(d); err != nil {
			return false, err
		}
	}
	for _, d := range s.daemons {
		if err := s.startDaemon(d, false); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	s.log("the machines are back")
	time.Sleep(recoveryTime)
	after := s.countServed("after", observedTime, requestsPerDaemon)
	s.log("served before the final fault: %.3f, later than %s after the machines were back: %.3f", before, recoveryTime, after)
	return before >= 0.25 && after < 0.25, nil
}

// replace starts a daemon with number i on a machine of its own and removes the oldest one for good.
func (s *stage) replace(i int) error {
	d, err := s.newDaemon(i)
	if err != nil {
		return err
	}
	old := s.daemons[0]
	d.fields["zone"] = old.fields["zone"]
	var seeds []any
	for _, other := range s.daemons[1:] {
		seeds = append(seeds, other.fields["listen"].(map[string]any)["control_plane"])
	}
	d.fields["seeds"] = seeds
	s.daemons = append(s.daemons[1:], d)
	if err := s.startDaemon(d, false); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	// Each machine lives until it has joined the others.
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, ok := s.platform.Get("fleet/members/" + d.name); ok {
			break
		}
	}
	if err := s.signal(old, syscall.SIGKILL); err != nil {
		return err
	}
	<-old.done
	return nil
}

// countServed sends a number of requests a second to each daemon for a time, and returns the share that is served.
func (s *stage) countServed(name string, d time.Duration, perDaemon int) float64 {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served := 0, 0
	tick := time.NewTicker(time.Second / time.Duration(perDaemon))
	defer tick.Stop()
	for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
		for _, to := range s.daemons {
			sent++
			wg.Go(func() {
				if s.sendSized(to, fmt.Sprintf("%s%d-%s", name, i, to.name)) == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
		<-tick.C
	}
	wg.Wait()
	s.log("%s: %d of %d requests were served", name, served, sent)
	return float64(served) / float64(sent)
}

// sendSized sends a request that states its tokens, and returns the status of the answer; 0 if there is none.
func (s *stage) sendSized(d *daemon, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+"/base/1", nil)
	if err != nil {
		return 0
	}
	req.Host = "ficu95.example"
	req.Header.Set("Pomelotiller-Attempt-Id", id)
	req.Header.Set("Pomelotiller-Token-Usage", fmt.Sprintf("%d,%d", requestTokens-100, 100))
	req.Header.Set("Pomelotiller-Deadline-Ms", "6000")
	req.Header.Set("Authorization", "Bearer kept")
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.log("%s at %s: %v", id, d.name, err)
		return 0
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	s.log("%s at %s: status %d, Retry-After %q, error %v", id, d.name, res.StatusCode, res.Header.Get("Retry-After"), err)
	return res.StatusCode
}
