// Package driver puts an open-loop load on daemons: each request starts at its
// planned time, however many are still waiting for their answers.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pomelotiller/internal/measure/planner"
	"pomelotiller/internal/measure/reporter"
	"pomelotiller/internal/standin/generator"
)

const (
	connectionsPerDaemon = 1024
	statTimeout          = 5 * time.Second
)

// Config configures a Driver.
type Config struct {
	Scenario planner.Scenario
	// Progress, if set, is called as requests end.
	Progress func(done, all int)
}

// Driver runs a scenario.
type Driver struct {
	cfg  Config
	http *http.Client
}

// New returns a driver.
func New(cfg Config) *Driver {
	if cfg.Progress == nil {
		cfg.Progress = func(int, int) {}
	}
	return &Driver{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connectionsPerDaemon, DisableCompression: true,
	}}}
}

// Run sends the requests of the scenario and reports on them. A load that ctx
// ends early has no report.
func (d *Driver) Run(ctx context.Context) (reporter.Report, error) {
	defer d.http.CloseIdleConnections()
	s := d.cfg.Scenario
	before, err := d.totals(ctx)
	if err != nil {
		return reporter.Report{}, err
	}
	started := time.Now()
	outcomes, err := d.send(ctx, planner.Plan(s))
	if err != nil {
		return reporter.Report{}, err
	}
	after, err := d.totals(ctx)
	if err != nil {
		return reporter.Report{}, err
	}
	doubled, err := d.doubled(ctx, outcomes)
	if err != nil {
		return reporter.Report{}, err
	}
	return reporter.New(reporter.Config{
		Scenario: s, Elapsed: time.Since(started), Doubled: doubled,
		Computed: after.Computed - before.Computed, Cached: after.Cached - before.Cached,
	}, outcomes), nil
}

func (d *Driver) send(ctx context.Context, plan []planner.Request) ([]reporter.Outcome, error) {
	outcomes := make([]reporter.Outcome, len(plan))
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	start := time.Now()
	for i, r := range plan {
		body, err := encode(r)
		if err != nil {
			return nil, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(r.At))):
		}
		wg.Go(func() {
			outcomes[i] = d.ask(ctx, r, body, start.Add(r.At))
			mu.Lock()
			defer mu.Unlock()
			done++
			d.cfg.Progress(done, len(plan))
		})
	}
	wg.Wait()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("load ended early: %w", ctx.Err())
	}
	return outcomes, nil
}

// completion is the body of a request for a completion.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func encode(r planner.Request) ([]byte, error) {
	if r.Kind.Path != "" {
		return []byte(r.Key()), nil
	}
	return json.Marshal(completion{Model: r.Kind.Route, Prompt: r.Prompt(), MaxTokens: r.Kind.Answer, Stream: true})
}

// ask sends one request and follows its answer to the end.
func (d *Driver) ask(ctx context.Context, r planner.Request, body []byte, start time.Time) reporter.Outcome {
	ctx, cancel := context.WithDeadline(ctx, start.Add(d.cfg.Scenario.Timeout.Std()))
	defer cancel()
	out := reporter.Outcome{Request: r}
	path := "/v1/completions"
	if r.Kind.Path != "" {
		path = "/services/" + r.Kind.Route + "/" + r.Kind.Path
	}
	daemons := d.cfg.Scenario.Daemons
	url := "http://" + daemons[r.Number%len(daemons)] + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return out
	}
	// The transport must not send an order again by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+r.Organisation.Key)
	if r.Kind.Path != "" {
		req.Header.Set("Idempotency-Key", r.Key())
	}
	res, err := d.http.Do(req)
	if err != nil {
		return out
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		out.Refusal = refusal(res)
		return out
	}
	read := readStream
	if r.Kind.Path != "" {
		read = readOrder
	}
	read(&out, res.Body, start)
	return out
}

// totals sums the counters of the engines.
func (d *Driver) totals(ctx context.Context) (generator.Totals, error) {
	var sum generator.Totals
	for _, addr := range d.cfg.Scenario.Engines {
		t, err := get[generator.Totals](ctx, d.http, "http://"+addr+"/totals")
		if err != nil {
			return sum, fmt.Errorf("engine %s: %w", addr, err)
		}
		sum.Computed += t.Computed
		sum.Cached += t.Cached
		sum.Generated += t.Generated
	}
	return sum, nil
}

// doubled returns the number of orders of this load that ran more than once.
func (d *Driver) doubled(ctx context.Context, outcomes []reporter.Outcome) (int, error) {
	runs := make(map[string]int)
	for _, addr := range d.cfg.Scenario.Services {
		one, err := get[map[string]int](ctx, d.http, "http://"+addr+"/runs")
		if err != nil {
			return 0, fmt.Errorf("service %s: %w", addr, err)
		}
		for key, n := range one {
			runs[key] += n
		}
	}
	doubled := 0
	for _, o := range outcomes {
		if o.Request.Kind.Path != "" && runs[o.Request.Key()] > 1 {
			doubled++
		}
	}
	return doubled, nil
}

func get[T any](ctx context.Context, c *http.Client, url string) (T, error) {
	var v T
	ctx, cancel := context.WithTimeout(ctx, statTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return v, err
	}
	res, err := c.Do(req)
	if err != nil {
		return v, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return v, fmt.Errorf("GET %s: status %d", url, res.StatusCode)
	}
	return v, json.NewDecoder(res.Body).Decode(&v)
}
