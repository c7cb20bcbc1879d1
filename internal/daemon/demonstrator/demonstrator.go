// Package demonstrator runs a trial: a small fleet in one process, with stand-ins for the platform,
// the engines and a service. It prints what happens at each step, to show the system to a newcomer.
package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/daemon/assembler"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/standin/certifier"
	"pomelotiller/internal/standin/generator"
	"pomelotiller/internal/standin/keeper"
	"pomelotiller/internal/standin/servicer"
	"pomelotiller/internal/traffic/admitter"
)

const (
	// trialKey is the key of the trial's organisation.
	trialKey = "trial-key"
	// stepTimeout bounds each request, and each wait for a condition.
	stepTimeout = 20 * time.Second
	// pollPeriod is the time between two checks of a condition.
	pollPeriod = 10 * time.Millisecond
	// answerTokens is the number of tokens that the chat step asks for.
	answerTokens = 12
)

// domains are the failure domains of the trial; each has one daemon and one engine.
var domains = []string{"portland", "worcester", "hartford"}

// Config configures a trial.
type Config struct {
	// Out receives the printed lines; Log receives the daemons' logs.
	Out, Log io.Writer
}

// trial is one run of the demonstration.
type trial struct {
	cfg             Config
	ctx             context.Context
	keeper          *keeper.Keeper
	orderService    *servicer.Servicer
	platformAddress string
	daemons         []*assembler.Daemon
	group           errgroup.Group
}

// Run runs the trial, and returns an error if a step does not have the expected result.
func Run(ctx context.Context, cfg Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "pomelotiller-trial")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(dir)
	t := &trial{cfg: cfg, ctx: ctx, keeper: keeper.New(), orderService: servicer.New(servicer.Config{Status: true})}
	started := time.Now()
	for _, step := range []func() error{
		t.startStandins,
		func() error { return t.startDaemons(dir) },
		t.publishConfig,
		func() error { return t.showStart(started) },
		t.showChat,
		t.showOrder,
		t.showMoves,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("trial: %w", err)
		}
	}
	cancel()
	if err := t.group.Wait(); err != nil {
		return fmt.Errorf("trial: stop: %w", err)
	}
	t.printLine("all daemons stopped; the trial took %s", time.Since(started).Round(time.Millisecond))
	return nil
}

// printLine prints one line of the trial.
func (t *trial) printLine(format string, args ...any) { fmt.Fprintf(t.cfg.Out, format+"\n", args...) }

// serveStandin serves a stand-in at a free port until the trial ends, and returns its address.
func (t *trial) serveStandin(h http.Handler) (string, error) {
	ln, err := (&net.ListenConfig{}).Listen(t.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: stepTimeout}
	context.AfterFunc(t.ctx, func() { srv.Close() })
	// Serve always returns an error once the server is closed.
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// startStandins starts the stand-ins and registers the engines and the service as hosts. The
// engines fail each request to notes-v2.
func (t *trial) startStandins() error {
	var err error
	if t.platformAddress, err = t.serveStandin(t.keeper.Handler()); err != nil {
		return err
	}
	for _, domain := range domains {
		g := generator.New(generator.Config{
			Versions: []string{"chat-v1", "notes-v1"}, TokenTime: time.Millisecond,
			Faulty: map[string]generator.Fault{"notes-v2": generator.FaultErrors},
		})
		addr, err := t.serveStandin(g.Handler())
		if err != nil {
			return err
		}
		t.keeper.SetHost(lister.Host{
			Name: "engine-" + domain, Domain: domain, Pool: domain, Role: lister.RoleEngine, Address: addr, State: lister.StateLive,
		})
	}
	addr, err := t.serveStandin(t.orderService.Handler())
	if err != nil {
		return err
	}
	t.keeper.SetHost(lister.Host{
		Name: "desk", Domain: domains[0], Pool: "desk", Role: lister.RoleService, Address: addr, State: lister.StateLive,
	})
	t.printLine("stand-ins: a platform, %d engines, 1 service", len(domains))
	return nil
}

// startDaemons starts one daemon in each failure domain, with certificates in dir.
func (t *trial) startDaemons(dir string) error {
	authority, err := certifier.New(dir)
	if err != nil {
		return err
	}
	var seeds []string
	for _, domain := range domains {
		f, err := authority.Issue("entry-" + domain)
		if err != nil {
			return err
		}
		d, err := assembler.New(context.WithoutCancel(t.ctx), assembler.Config{Out: t.cfg.Log, Settings: loader.Settings{
			Name: "entry-" + domain, Domain: domain, Platform: t.platformAddress, Seeds: seeds,
			Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0",
			TLS: loader.TLS{Cert: f.Cert, Key: f.Key, CA: f.CA}, Log: loader.Log{Level: "error"},
		}})
		if err != nil {
			return err
		}
		t.group.Go(func() error { return d.Run(t.ctx) })
		seeds = append(seeds, d.Peers())
		t.daemons = append(t.daemons, d)
	}
	return nil
}

// publishConfig publishes the configuration and waits until all daemons are ready.
func (t *trial) publishConfig() error {
	if _, err := t.doRequest(http.MethodPut, "http://"+t.daemons[0].Operators()+"/config", configText(), http.Header{"If-Match": {"0"}}); err != nil {
		return err
	}
	for _, d := range t.daemons {
		if err := t.waitUntil("ready", func() bool { return t.isReady(d) }); err != nil {
			return err
		}
	}
	return nil
}

// isReady reports whether a daemon has the configuration and knows the versions at each engine and
// at the service.
func (t *trial) isReady(d *assembler.Daemon) bool {
	if _, err := t.doRequest(http.MethodGet, "http://"+d.Callers()+"/readyz", "", nil); err != nil {
		return false
	}
	n := 0
	for _, e := range d.View().Endpoints {
		if len(e.Versions) > 0 {
			n++
		}
	}
	return n == len(domains)+1
}

// showStart prints how long the start took and how much memory the process uses.
func (t *trial) showStart(started time.Time) error {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.printLine("%d daemons ready after %s; %.1f MB in use by all of them and the stand-ins",
		len(t.daemons), time.Since(started).Round(time.Millisecond), float64(m.Sys-m.HeapReleased)/(1<<20))
	return nil
}

// showChat streams a completion and checks the number of its tokens.
func (t *trial) showChat() error {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Where is the crew?"}]}`, answerTokens)
	b, err := t.doRequest(http.MethodPost, "http://"+t.daemons[1].Callers()+inferrer.PathChat, body, nil)
	if err != nil {
		return err
	}
	n := strings.Count(string(b), "data: {")
	if n != answerTokens || !strings.Contains(string(b), "data: [DONE]") {
		return fmt.Errorf("got %d tokens, want %d and an end mark", n, answerTokens)
	}
	t.printLine("chat: %d tokens streamed through %s", n, domains[1])
	return nil
}

// showOrder posts the same order at two daemons and checks that it ran once and had one answer.
func (t *trial) showOrder() error {
	var answers [][]byte
	for _, d := range t.daemons[:2] {
		b, err := t.doRequest(http.MethodPost, "http://"+d.Callers()+"/services/desk/orders", "clean the lamps", http.Header{"Idempotency-Key": {"order-1"}})
		if err != nil {
			return err
		}
		answers = append(answers, b)
	}
	if runs := t.orderService.Runs()["order-1"]; runs != 1 || !bytes.Equal(answers[0], answers[1]) {
		return fmt.Errorf("order ran %d times and answered %s and %s, want 1 run and one answer", runs, answers[0], answers[1])
	}
	t.printLine("order: posted at 2 daemons, ran once, the same answer at both")
	return nil
}

// waitUntil waits until a condition is met, for at most stepTimeout.
func (t *trial) waitUntil(what string, isMet func() bool) error {
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); time.Sleep(pollPeriod) {
		if isMet() {
			return nil
		}
		if err := t.ctx.Err(); err != nil {
			return err
		}
	}
	return fmt.Errorf("not %s within %s", what, stepTimeout)
}

// doRequest sends a request with the key of the trial's organisation and returns the body of the
// answer. A status from 300 on is an error.
func (t *trial) doRequest(method, url, body string, header http.Header) ([]byte, error) {
	ctx, cancel := context.WithTimeout(t.ctx, stepTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+trialKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%s %s: status %d: %s", method, url, res.StatusCode, b)
	}
	return b, nil
}

// configText returns the trial's configuration, without moves.
func configText() string {
	return fmt.Sprintf(`organisations:
  - {name: trial, key: %q, weight: 1}
pools:
  - {name: portland, domain: portland, class: l4, price: 1}
  - {name: worcester, domain: worcester, class: l4, price: 1}
  - {name: hartford, domain: hartford, class: l4, price: 1}
  - {name: desk, domain: portland, class: small, price: 0.1}
versions:
  - {name: chat-v1, model: chat, weights: chat/v1, pools: [portland, worcester, hartford]}
  - {name: chat-v2, model: chat, weights: chat/v2, pools: [portland, worcester, hartford]}
  - {name: notes-v1, model: notes, weights: notes/v1, pools: [portland, worcester, hartford]}
  - {name: notes-v2, model: notes, weights: notes/v2, pools: [portland, worcester, hartford]}
  - {name: desk-v1, pools: [desk]}
routes:
  - name: chat
    kind: model
    versions: [{version: chat-v1, share: 100}]
    target: {first: 1s, token: 27ms}
    idempotent: true
  - name: notes
    kind: model
    versions: [{version: notes-v1, share: 100}]
    target: {first: 1s, token: 27ms}
    idempotent: true
  - name: desk
    kind: service
    versions: [{version: desk-v1, share: 100}]
    status: /status/{key}
`, admitter.HashKey(trialKey))
}
