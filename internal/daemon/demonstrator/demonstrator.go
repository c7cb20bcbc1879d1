// Package demonstrator runs the whole system in one process, with stand-ins of
// the outside systems, and shows a newcomer what it does.
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
	key          = "trial-key"
	stepTimeout  = 20 * time.Second
	pollPeriod   = 10 * time.Millisecond
	answerTokens = 12
)

var domains = []string{"portland", "worcester", "hartford"}

// Config configures a trial.
type Config struct {
	// Out receives what is shown; Log receives the daemons' logs.
	Out, Log io.Writer
}

// trial is one run.
type trial struct {
	cfg     Config
	ctx     context.Context
	keeper  *keeper.Keeper
	service *servicer.Servicer
	address string
	daemons []*assembler.Daemon
	group   errgroup.Group
}

// Run shows the trial, and returns an error if anything went otherwise than it
// should.
func Run(ctx context.Context, cfg Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "pomelotiller-trial")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(dir)
	t := &trial{cfg: cfg, ctx: ctx, keeper: keeper.New(), service: servicer.New(servicer.Config{Status: true})}
	started := time.Now()
	for _, step := range []func() error{
		t.startStandins,
		func() error { return t.startDaemons(dir) },
		t.publish,
		func() error { return t.reportStart(started) },
		t.chat,
		t.order,
		t.moves,
	} {
		if err := step(); err != nil {
			return fmt.Errorf("trial: %w", err)
		}
	}
	cancel()
	if err := t.group.Wait(); err != nil {
		return fmt.Errorf("trial: stop: %w", err)
	}
	t.say("all daemons stopped; the trial took %s", time.Since(started).Round(time.Millisecond))
	return nil
}

func (t *trial) say(format string, args ...any) { fmt.Fprintf(t.cfg.Out, format+"\n", args...) }

// serve serves a stand-in on a free port until the trial ends.
func (t *trial) serve(h http.Handler) (string, error) {
	ln, err := (&net.ListenConfig{}).Listen(t.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: stepTimeout}
	context.AfterFunc(t.ctx, func() { srv.Close() })
	// Serve ends with the trial.
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (t *trial) startStandins() error {
	var err error
	if t.address, err = t.serve(t.keeper.Handler()); err != nil {
		return err
	}
	for _, domain := range domains {
		g := generator.New(generator.Config{
			Versions: []string{"chat-v1", "notes-v1"}, TokenTime: time.Millisecond,
			Faulty: map[string]generator.Fault{"notes-v2": generator.FaultErrors},
		})
		addr, err := t.serve(g.Handler())
		if err != nil {
			return err
		}
		t.keeper.SetHost(lister.Host{
			Name: "engine-" + domain, Domain: domain, Pool: domain, Role: lister.RoleEngine, Address: addr, State: lister.StateLive,
		})
	}
	addr, err := t.serve(t.service.Handler())
	if err != nil {
		return err
	}
	t.keeper.SetHost(lister.Host{
		Name: "desk", Domain: domains[0], Pool: "desk", Role: lister.RoleService, Address: addr, State: lister.StateLive,
	})
	t.say("stand-ins: a platform, %d engines, 1 service", len(domains))
	return nil
}

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
			Name: "entry-" + domain, Domain: domain, Platform: t.address, Seeds: seeds,
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

func (t *trial) publish() error {
	if _, err := t.call(http.MethodPut, "http://"+t.daemons[0].Operators()+"/config", set(), http.Header{"If-Match": {"0"}}); err != nil {
		return err
	}
	for _, d := range t.daemons {
		if err := t.until("ready", func() bool { return t.ready(d) }); err != nil {
			return err
		}
	}
	return nil
}

// ready reports whether a daemon has the configuration and knows the engines.
func (t *trial) ready(d *assembler.Daemon) bool {
	if _, err := t.call(http.MethodGet, "http://"+d.Callers()+"/readyz", "", nil); err != nil {
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

// reportStart prints what starting cost.
func (t *trial) reportStart(started time.Time) error {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.say("%d daemons ready after %s; %.1f MB in use by all of them and the stand-ins",
		len(t.daemons), time.Since(started).Round(time.Millisecond), float64(m.Sys-m.HeapReleased)/(1<<20))
	return nil
}

func (t *trial) chat() error {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Where is the crew?"}]}`, answerTokens)
	b, err := t.call(http.MethodPost, "http://"+t.daemons[1].Callers()+inferrer.PathChat, body, nil)
	if err != nil {
		return err
	}
	n := strings.Count(string(b), "data: {")
	if n != answerTokens || !strings.Contains(string(b), "data: [DONE]") {
		return fmt.Errorf("got %d tokens, want %d and an end mark", n, answerTokens)
	}
	t.say("chat: %d tokens streamed through %s", n, domains[1])
	return nil
}

func (t *trial) order() error {
	var answers [][]byte
	for _, d := range t.daemons[:2] {
		b, err := t.call(http.MethodPost, "http://"+d.Callers()+"/services/desk/orders", "clean the lamps", http.Header{"Idempotency-Key": {"order-1"}})
		if err != nil {
			return err
		}
		answers = append(answers, b)
	}
	if runs := t.service.Runs()["order-1"]; runs != 1 || !bytes.Equal(answers[0], answers[1]) {
		return fmt.Errorf("order ran %d times and answered %s and %s, want 1 run and one answer", runs, answers[0], answers[1])
	}
	t.say("order: posted at 2 daemons, ran once, the same answer at both")
	return nil
}

// until waits until a condition holds.
func (t *trial) until(what string, holds func() bool) error {
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); time.Sleep(pollPeriod) {
		if holds() {
			return nil
		}
		if err := t.ctx.Err(); err != nil {
			return err
		}
	}
	return fmt.Errorf("not %s within %s", what, stepTimeout)
}

// call sends a request as the trial's organisation.
func (t *trial) call(method, url, body string, header http.Header) ([]byte, error) {
	ctx, cancel := context.WithTimeout(t.ctx, stepTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+key)
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

// set returns the trial's configuration.
func set() string {
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
`, admitter.HashKey(key))
}
