// Package driver sends an open-loop load to daemons: each request starts at its planned time, whether or
// not earlier requests were answered.
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
	maxIdleConnsPerDaemon = 1024
	countersTimeout       = 5 * time.Second
)

// Config configures a Driver.
type Config struct {
	Scenario planner.Scenario
	// Progress, if set, is called whenever a request ends.
	Progress func(done, all int)
}

// Driver sends the requests of a scenario and records their outcomes.
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
		MaxIdleConnsPerHost: maxIdleConnsPerDaemon, DisableCompression: true,
	}}}
}

// Run sends the requests of the scenario and returns the report on them. If ctx ends first, it returns
// an error and no report.
func (d *Driver) Run(ctx context.Context) (reporter.Report, error) {
	defer d.http.CloseIdleConnections()
	s := d.cfg.Scenario
	before, err := d.sumEngineTotals(ctx)
	if err != nil {
		return reporter.Report{}, err
	}
	started := time.Now()
	outcomes, err := d.sendAll(ctx, planner.Plan(s))
	if err != nil {
		return reporter.Report{}, err
	}
	after, err := d.sumEngineTotals(ctx)
	if err != nil {
		return reporter.Report{}, err
	}
	doubledOrders, err := d.doubledOrders(ctx, outcomes)
	if err != nil {
		return reporter.Report{}, err
	}
	return reporter.New(reporter.Config{
		Scenario: s, Elapsed: time.Since(started), DoubledOrders: doubledOrders,
		ComputedTokens: after.ComputedTokens - before.ComputedTokens, CachedTokens: after.CachedTokens - before.CachedTokens,
	}, outcomes), nil
}

// sendAll sends each request at its planned start and waits until all have ended.
func (d *Driver) sendAll(ctx context.Context, plan []planner.Request) ([]reporter.Outcome, error) {
	outcomes := make([]reporter.Outcome, len(plan))
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	start := time.Now()
	for i, r := range plan {
		body, err := encodeBody(r)
		if err != nil {
			return nil, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(r.Start))):
		}
		wg.Go(func() {
			outcomes[i] = d.sendRequest(ctx, r, body, start.Add(r.Start))
			mu.Lock()
			defer mu.Unlock()
			done++
			d.cfg.Progress(done, len(plan))
		})
	}
	wg.Wait()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("load cancelled before all requests ended: %w", ctx.Err())
	}
	return outcomes, nil
}

// completionRequest is the body of a request for a completion.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// encodeBody returns the body of a request: a completion request, or the key of an order.
func encodeBody(r planner.Request) ([]byte, error) {
	if r.Kind.Path != "" {
		return []byte(r.Key()), nil
	}
	return json.Marshal(completionRequest{Model: r.Kind.Route, Prompt: r.Prompt(), MaxTokens: r.Kind.AnswerTokens, Stream: true})
}

// sendRequest sends one request and reads its answer. Times count from start.
func (d *Driver) sendRequest(ctx context.Context, r planner.Request, body []byte, start time.Time) reporter.Outcome {
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
	// The transport must not resend an order on its own; without GetBody it cannot.
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
		out.Refusal = refusalKind(res)
		return out
	}
	read := readStream
	if r.Kind.Path != "" {
		read = readOrderAnswer
	}
	read(&out, res.Body, start)
	return out
}

// sumEngineTotals returns the sum of the token counters of all engines.
func (d *Driver) sumEngineTotals(ctx context.Context) (generator.Totals, error) {
	var sum generator.Totals
	for _, addr := range d.cfg.Scenario.Engines {
		t, err := getJSON[generator.Totals](ctx, d.http, "http://"+addr+"/totals")
		if err != nil {
			return sum, fmt.Errorf("read totals of engine %s: %w", addr, err)
		}
		sum.ComputedTokens += t.ComputedTokens
		sum.CachedTokens += t.CachedTokens
		sum.Generated += t.Generated
	}
	return sum, nil
}

// doubledOrders returns the number of orders of this load that ran more than once.
func (d *Driver) doubledOrders(ctx context.Context, outcomes []reporter.Outcome) (int, error) {
	runs := make(map[string]int)
	for _, addr := range d.cfg.Scenario.Services {
		one, err := getJSON[map[string]int](ctx, d.http, "http://"+addr+"/runs")
		if err != nil {
			return 0, fmt.Errorf("read runs of service %s: %w", addr, err)
		}
		for key, n := range one {
			runs[key] += n
		}
	}
	doubledOrders := 0
	for _, o := range outcomes {
		if o.Request.Kind.Path != "" && runs[o.Request.Key()] > 1 {
			doubledOrders++
		}
	}
	return doubledOrders, nil
}

func getJSON[T any](ctx context.Context, c *http.Client, url string) (T, error) {
	var v T
	ctx, cancel := context.WithTimeout(ctx, countersTimeout)
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
