// Package assembler builds a daemon from its components and runs them until its context ends or an
// operator drains it. Package composer does so for daemons whose settings have an edge section.
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
	"pomelotiller/internal/control/evacuator"
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
	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/admitter"
	"pomelotiller/internal/traffic/listener"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/recorder"
	"pomelotiller/internal/traffic/relayer"
	"pomelotiller/internal/traffic/router"
	"pomelotiller/internal/traffic/throttler"
)

const (
	// operatorHeaderTimeout bounds the time to read the header of an operator's request.
	operatorHeaderTimeout = 10 * time.Second
	// flushTimeout bounds the time to send the queued spans at the end.
	flushTimeout = 2 * time.Second
	// goneGossipTime is how long a stopped daemon goes on gossiping that it is gone.
	goneGossipTime = 500 * time.Millisecond
)

// Config configures a Daemon.
type Config struct {
	Settings loader.Settings
	// Out receives the log, and the spans if they go to stdout.
	Out io.Writer
}

// Daemon is one entry daemon: it relays callers' requests to engines and services.
type Daemon struct {
	settings loader.Settings
	logger   log.Logger
	registry metrics.Registry
	tracer   tracer.Tracer
	// answerMemory is the memory for the answers of engines and services.
	answerMemory *rationer.Ration
	// flushSpans sends the spans that are still queued.
	flushSpans func(context.Context) error
	// viewHolder holds the current view of the fleet and the configuration.
	viewHolder viewer.CurrentView
	// currentRelease is the release of the configuration that is in force.
	currentRelease atomic.Pointer[publisher.Release]
	// currentEvacuations is the set of evacuations that is in force.
	currentEvacuations atomic.Pointer[evacuator.Set]
	callerListener     net.Listener
	operatorListener   net.Listener
	messenger          *messenger.Messenger
	gossiper           *gossiper.Gossiper
	control            *controller.Controller
	releaseWatcher     *publisher.Watcher
	prober             *prober.Prober
	routingPolicy      router.Policy[router.Query, router.Candidate]
	router             *router.Router
	// cacheEventClient reads the cache events of engines.
	cacheEventClient *http.Client
	admitter         *admitter.Admitter
	quarantiner      *quarantiner.Quarantiner
	throttler        *throttler.Throttler
	relayer          *relayer.Relayer
	listener         *listener.Listener
	orderRunner      *recorder.Runner
	informer         *informer.Informer
	moveComponents   moveComponents
	// drainRequests receives the request of an operator to stop.
	drainRequests chan struct{}
	// stopTasks are run by a planned stop before the control components end.
	stopTasks []func(ctx context.Context)
	// leavingEndpoints is the set of the keys (leavingKey) of endpoints known to be leaving.
	leavingEndpoints sync.Map
	// ctx bounds the life of the control components; endControl cancels it.
	ctx        context.Context
	endControl context.CancelFunc
}

// New opens the daemon's listeners and builds its components. They inherit the values of ctx; if
// ctx ends, they end without a planned stop.
func New(ctx context.Context, cfg Config) (*Daemon, error) {
	s := cfg.Settings
	routingPolicy, err := router.NewPolicy(s.Policy)
	if err != nil {
		return nil, err
	}
	l, err := logger.New(logger.Config{Writer: cfg.Out, Format: s.Log.Format, Level: s.Log.Level}, "daemon", s.Name)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, routingPolicy: routingPolicy, cacheEventClient: inferrer.NewHTTP(), logger: l, registry: metrics.NewRegistry(), drainRequests: make(chan struct{}, 1)}
	d.ctx, d.endControl = context.WithCancel(ctx)
	if d.tracer, d.flushSpans, err = tracer.New(ctx, tracer.Config{
		Export: s.Trace.Export, Address: s.Trace.Address, Writer: cfg.Out, Process: s.Name,
	}); err != nil {
		return nil, err
	}
	if err := d.listen(ctx); err != nil {
		return nil, err
	}
	d.buildComponents()
	return d, nil
}

// listen opens the listeners for callers, operators and other daemons.
func (d *Daemon) listen(ctx context.Context) error {
	var err error
	var lc net.ListenConfig
	s := d.settings
	if d.callerListener, err = lc.Listen(ctx, "tcp", s.Callers); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if d.operatorListener, err = lc.Listen(ctx, "tcp", s.Operators); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	d.messenger, err = messenger.New(messenger.Config{Listen: s.Peers, Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA, OnReloadError: d.countKeyMaterialFailure, Registry: d.registry})
	return err
}

// buildComponents builds all components.
func (d *Daemon) buildComponents() {
	s := d.settings
	store := storer.NewClient(storer.ClientConfig{Address: s.Platform})
	incarnation := uint64(time.Now().UnixNano())
	self := viewer.Member{
		Name: s.Name, Domain: s.Domain, Peers: d.advertisedAddress(), Operators: d.operatorListener.Addr().String(), Incarnation: incarnation,
	}
	d.currentRelease.Store(&publisher.Release{})
	d.currentEvacuations.Store(&evacuator.Set{})
	d.gossiper = gossiper.New(gossiper.Config{
		Self: self, Sender: d.messenger, Caller: d.messenger, Seeds: d.seedAddresses, OnRestart: d.messenger.CloseConn,
		OnChange: d.updateMembers, Logger: d.logger, Registry: d.registry,
	})
	d.buildMoveComponents(store)
	d.control = controller.New(controller.Config{
		MoveShares:  d.moveComponents.follower.MoveShares,
		CurrentView: &d.viewHolder, Lister: leavingLister{lister.NewClient(lister.ClientConfig{Address: s.Platform}), d},
		OnAdopted: d.recordAdoptedRelease, OnEvacuations: d.recordEvacuations, Logger: d.logger, Registry: d.registry,
	})
	d.releaseWatcher = d.newWatcher()
	d.prober = d.newProber()
	d.gossiper.Subscribe(leavingTopic, d.applyLeavingNotice)
	d.gossiper.Subscribe(evacuationTopic, d.receiveEvacuations)
	d.gossiper.Subscribe(usageTopic, d.applyPeerUsages)
	d.buildTraffic(store, recorder.OwnerName(s.Name, incarnation))
}

// answerMemoryBytes bounds what the answers of all engines and services together hold.
const answerMemoryBytes = 16 << 20

// buildTraffic builds the components that process requests and the handler of operators' requests.
func (d *Daemon) buildTraffic(store storer.Store, owner string) {
	s := d.settings
	d.throttler = d.newThrottler()
	rt := d.newRouter()
	d.admitter = admitter.New()
	d.quarantiner = d.newQuarantiner()
	d.answerMemory = rationer.New(answerMemoryBytes)
	rec := d.buildOrders(store, owner, rt)
	d.relayer = relayer.New(relayer.Config{
		View: d.viewHolder.Load, Router: rt, Domain: s.Domain, HTTP: inferrer.NewHTTP(), Tracer: d.tracer, Registry: d.registry,
		OnLeaving: d.handleLeavingRefusal, AllowRetry: d.admitter.RetryBudget.TryWithdraw, Outcomes: d.moveComponents.follower,
		Quarantine: d.quarantiner, Limits: d.throttler, Memory: d.answerMemory,
	})
	d.listener = listener.New(listener.Config{
		View: d.viewHolder.Load, Admitter: d.admitter, Recorder: rec, Tracer: d.tracer, Registry: d.registry,
		Relayer: d.relayer, OnNoNewRequests: d.runStopTasks, Runner: d.orderRunner, Bounder: d.newCallerBounder(),
	})
	d.informer = informer.New(informer.Config{
		View: d.viewHolder.Load, Current: d.loadRelease, Publisher: d.newPublisher(store),
		Recorder: rec, Drain: d.Drain, Registry: d.registry, MoveLister: d.moveComponents.follower,
		Evacuator: d.newEvacuator(store),
	})
}

// advertisedAddress returns the address at which other daemons reach this one.
func (d *Daemon) advertisedAddress() string {
	if d.settings.Advertise != "" {
		return d.settings.Advertise
	}
	return d.messenger.Address()
}

// Callers returns the address on which callers are served.
func (d *Daemon) Callers() string { return d.callerListener.Addr().String() }

// Operators returns the address on which operators are served.
func (d *Daemon) Operators() string { return d.operatorListener.Addr().String() }

// View returns the daemon's current view of the fleet and the configuration.
func (d *Daemon) View() viewer.View { return d.viewHolder.Load() }

// Peers returns the address on which other daemons are served.
func (d *Daemon) Peers() string { return d.messenger.Address() }

// Drain starts a planned stop; it does not wait for the end of it.
func (d *Daemon) Drain() {
	select {
	case d.drainRequests <- struct{}{}:
	default:
	}
}

// loadRelease returns the release in force.
func (d *Daemon) loadRelease() publisher.Release { return *d.currentRelease.Load() }

// recordAdoptedRelease records a release that came into force, and announces it by gossip.
func (d *Daemon) recordAdoptedRelease(r publisher.Release) {
	d.currentRelease.Store(&r)
	d.gossiper.SetRelease(r.Generation, r.Digest())
}

// Run serves until stop is done or Drain is called, then stops in order: the components that
// process requests first, those of the control plane last. It returns once all components have
// ended.
func (d *Daemon) Run(stop context.Context) error {
	serving, endServing := context.WithCancel(context.WithoutCancel(d.ctx))
	defer endServing()
	defer d.endControl()
	var g errgroup.Group
	for _, f := range append([]func(context.Context) error{
		d.messenger.Run, d.gossiper.Run, d.control.Run, d.control.RunHosts,
		d.releaseWatcher.WatchStore, d.releaseWatcher.PullFromPeers, d.prober.Run, d.serveOperators, d.orderRunner.Run, d.publishUsages,
		d.publishLoadReports, d.readCacheEvents, d.runQuarantine, d.publishRequestLimits, d.spreadEvacuations,
	}, d.moveComponents.runFuncs()...) {
		g.Go(func() error {
			defer endServing()
			return f(d.ctx)
		})
	}
	g.Go(func() error {
		defer endServing()
		d.awaitStopRequest(stop, serving)
		return nil
	})
	g.Go(func() error {
		defer d.endControl()
		err := d.listener.Serve(serving, d.callerListener, d.settings.Drain.Std())
		d.drainOrders()
		d.gossiper.SetState(viewer.StateGone)
		time.Sleep(goneGossipTime)
		return err
	})
	d.updateMembers()
	d.log("msg", "serving", "callers", d.Callers(), "operators", d.Operators(), "peers", d.Peers())
	err := g.Wait()
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), flushTimeout)
	defer cancel()
	d.log("msg", "stopped")
	return errors.Join(err, d.flushSpans(flushCtx))
}

func (d *Daemon) log(fields ...any) {
	// An error of the logger cannot be logged.
	_ = level.Info(d.logger).Log(fields...)
}
