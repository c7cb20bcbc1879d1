// Package assembler puts a daemon together from its parts and runs them until
// its context ends.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/control/controller"
	"pomelotiller/internal/control/publisher"
	"pomelotiller/internal/daemon/informer"
	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/prober"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/admitter"
	"pomelotiller/internal/traffic/listener"
	"pomelotiller/internal/traffic/recorder"
	"pomelotiller/internal/traffic/relayer"
	"pomelotiller/internal/traffic/router"
)

const (
	operatorHeaderTimeout = 10 * time.Second
	flushTimeout          = 2 * time.Second
	// leaveTime is how long a stopped daemon goes on gossiping that it is gone.
	leaveTime = 500 * time.Millisecond
)

// Config configures a Daemon.
type Config struct {
	Settings loader.Settings
	// Out receives the log, and the spans if they go to stdout.
	Out io.Writer
}

// Daemon is one entry daemon.
type Daemon struct {
	settings  loader.Settings
	logger    log.Logger
	registry  metrics.Registry
	tracer    tracer.Tracer
	flush     func(context.Context) error
	holder    viewer.Holder
	release   atomic.Pointer[publisher.Release]
	callers   net.Listener
	operators net.Listener
	messenger *messenger.Messenger
	gossiper  *gossiper.Gossiper
	control   *controller.Controller
	watcher   *publisher.Watcher
	prober    *prober.Prober
	policy    router.Policy[router.Query, router.Candidate]
	router    *router.Router
	probes    *http.Client
	admitter  *admitter.Admitter
	relayer   *relayer.Relayer
	listener  *listener.Listener
	orders    *recorder.Runner
	informer  *informer.Informer
	moves     moves
	drain     chan struct{}
	// stopWork is done by a planned stop, before the control parts end.
	stopWork []func(ctx context.Context)
	// leavings holds the keys of the endpoints known to be leaving.
	leavings sync.Map
	// ctx bounds the life of the control parts; end ends it.
	ctx context.Context
	end context.CancelFunc
}

// New listens on the daemon's addresses and builds its parts. The values of ctx
// reach all of them; its end ends them without a planned stop.
func New(ctx context.Context, cfg Config) (*Daemon, error) {
	s := cfg.Settings
	policy, err := router.NewPolicy(s.Policy)
	if err != nil {
		return nil, err
	}
	l, err := logger.New(logger.Config{Writer: cfg.Out, Format: s.Log.Format, Level: s.Log.Level}, "daemon", s.Name)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, policy: policy, probes: inferrer.NewHTTP(), logger: l, registry: metrics.NewRegistry(), drain: make(chan struct{}, 1)}
	d.ctx, d.end = context.WithCancel(ctx)
	if d.tracer, d.flush, err = tracer.New(ctx, tracer.Config{
		Export: s.Trace.Export, Address: s.Trace.Address, Writer: cfg.Out, Process: s.Name,
	}); err != nil {
		return nil, err
	}
	if err := d.listen(ctx); err != nil {
		return nil, err
	}
	d.build()
	return d, nil
}

func (d *Daemon) listen(ctx context.Context) error {
	var err error
	var lc net.ListenConfig
	s := d.settings
	if d.callers, err = lc.Listen(ctx, "tcp", s.Callers); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if d.operators, err = lc.Listen(ctx, "tcp", s.Operators); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	d.messenger, err = messenger.New(messenger.Config{Listen: s.Peers, Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA, Failed: d.materialFailed, Registry: d.registry})
	return err
}

func (d *Daemon) build() {
	s := d.settings
	store := storer.NewClient(storer.ClientConfig{Address: s.Platform})
	incarnation := uint64(time.Now().UnixNano())
	self := viewer.Member{
		Name: s.Name, Domain: s.Domain, Peers: d.advertise(), Operators: d.operators.Addr().String(), Incarnation: incarnation,
	}
	d.release.Store(&publisher.Release{})
	d.gossiper = gossiper.New(gossiper.Config{
		Self: self, Sender: d.messenger, Caller: d.messenger, Seeds: d.seeds, Restarted: d.messenger.Forget,
		Changed: d.membersChanged, Logger: d.logger, Registry: d.registry,
	})
	d.buildMoves(store)
	d.control = controller.New(controller.Config{
		Splits: d.moves.follower.Splits,
		Holder: &d.holder, Lister: leavingLister{lister.NewClient(lister.ClientConfig{Address: s.Platform}), d},
		Adopted: d.adopted, Logger: d.logger, Registry: d.registry,
	})
	d.watcher = d.newWatcher()
	d.prober = d.newProber()
	d.gossiper.Subscribe(leavingTopic, d.learnLeaving)
	d.gossiper.Subscribe(usageTopic, d.learnUsage)
	d.buildTraffic(store, recorder.OwnerName(s.Name, incarnation))
}

func (d *Daemon) buildTraffic(store storer.Store, owner string) {
	s := d.settings
	rt := d.newRouter()
	d.admitter = admitter.New()
	rec := d.buildOrders(store, owner, rt)
	d.relayer = relayer.New(relayer.Config{
		View: d.holder.Load, Router: rt, Domain: s.Domain, HTTP: inferrer.NewHTTP(), Tracer: d.tracer, Registry: d.registry,
		OnLeaving: d.refusedByLeaving, AllowRetry: d.admitter.RetryBudget.TryWithdraw, Outcomes: d.moves.follower,
	})
	d.listener = listener.New(listener.Config{
		View: d.holder.Load, Admitter: d.admitter, Recorder: rec, Tracer: d.tracer, Registry: d.registry,
		Relayer: d.relayer, OnNoNewRequests: d.stopping, Runner: d.orders,
	})
	d.informer = informer.New(informer.Config{
		View: d.holder.Load, Current: d.current, Publisher: d.newPublisher(store),
		Recorder: rec, Drain: d.Drain, Registry: d.registry, Moves: d.moves.follower,
	})
}

// advertise returns the address at which other daemons reach this one.
func (d *Daemon) advertise() string {
	if d.settings.Advertise != "" {
		return d.settings.Advertise
	}
	return d.messenger.Address()
}

// Callers returns the address on which callers are served.
func (d *Daemon) Callers() string { return d.callers.Addr().String() }

// Operators returns the address on which operators are served.
func (d *Daemon) Operators() string { return d.operators.Addr().String() }

// View returns what the daemon knows at present.
func (d *Daemon) View() viewer.View { return d.holder.Load() }

// Peers returns the address on which other daemons are served.
func (d *Daemon) Peers() string { return d.messenger.Address() }

// Drain starts a planned stop.
func (d *Daemon) Drain() {
	select {
	case d.drain <- struct{}{}:
	default:
	}
}

func (d *Daemon) current() publisher.Release { return *d.release.Load() }

func (d *Daemon) adopted(r publisher.Release) {
	d.release.Store(&r)
	d.gossiper.SetRelease(r.Generation, r.Digest())
}

// Run serves until stop ends or Drain is called, then stops in order: traffic
// first, control last. It returns once all parts have ended.
func (d *Daemon) Run(stop context.Context) error {
	serving, endServing := context.WithCancel(context.WithoutCancel(d.ctx))
	defer endServing()
	defer d.end()
	var g errgroup.Group
	for _, f := range append([]func(context.Context) error{
		d.messenger.Run, d.gossiper.Run, d.control.Run, d.control.RunHosts,
		d.watcher.RunStore, d.watcher.RunPeers, d.prober.Run, d.serveOperators, d.orders.Run, d.runLimits,
		d.tellWork, d.readEvents,
	}, d.moves.runs()...) {
		g.Go(func() error {
			defer endServing()
			return f(d.ctx)
		})
	}
	g.Go(func() error {
		defer endServing()
		d.awaitStop(stop, serving)
		return nil
	})
	g.Go(func() error {
		defer d.end()
		err := d.listener.Serve(serving, d.callers, d.settings.Drain.Std())
		d.drainOrders()
		d.gossiper.SetState(viewer.StateGone)
		time.Sleep(leaveTime)
		return err
	})
	d.membersChanged()
	d.log("msg", "serving", "callers", d.Callers(), "operators", d.Operators(), "peers", d.Peers())
	err := g.Wait()
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), flushTimeout)
	defer cancel()
	d.log("msg", "stopped")
	return errors.Join(err, d.flush(flushCtx))
}

func (d *Daemon) log(fields ...any) {
	// A logger that fails has nowhere to say so.
	_ = level.Info(d.logger).Log(fields...)
}
