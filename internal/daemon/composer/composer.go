// Package composer puts together a daemon for a platform that keeps the
// configuration, the list of endpoints and all that must last in its store.
package composer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/config/switcher"
	"pomelotiller/internal/control/accounter"
	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/control/roller"
	"pomelotiller/internal/control/scaler"
	"pomelotiller/internal/fleet/issuer"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/syncer"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/carrier"
	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/dialer"
	"pomelotiller/internal/traffic/limiter"
)

const (
	// platformDuty is the duty of all calls to the platform.
	platformDuty = "platform"
	// dialTimeout bounds the making of a connection to an endpoint.
	dialTimeout = 300 * time.Millisecond
	// freshMargin is how much longer than a watch the latest answer of the store
	// to another daemon may be ago.
	freshMargin = 700 * time.Millisecond
	// copyPatience is how long a daemon waits for another that has a copy of the
	// store, before it lists it itself, where all start for the first time. Later
	// there are callers who would wait with it.
	copyPatience = time.Second
	// logLines is how many lines may wait to be written.
	logLines = 4096
)

// Adapter is what a platform must offer, in the product's words.
type Adapter struct {
	Store storer.Store
	Wire  carrier.Codec
	// Reporter and Orderer are nil where the platform does not ask for that
	// duty.
	Reporter accounter.Reporter
	Orderer  scaler.Orderer
	// OperatorPart and EndpointPart are the parts of the store that the
	// operator and the endpoints write.
	OperatorPart, EndpointPart string
	// ReadyPath is where the balancer asks whether a daemon takes callers.
	ReadyPath string
	IsCatalog func(key string) bool
	Catalog   func(e storer.Entry) (registrar.Catalog, error)
	Endpoint  func(e storer.Entry) tracker.Change
	Move      func(e storer.Entry) (roller.Order, bool, error)
	// Status encodes the state of a move for the operator, State decodes it.
	Status func(service, release string, s roller.State) (key string, value []byte, err error)
	State  func(value []byte) (release string, s roller.State, err error)
}

// Config configures a Daemon.
type Config struct {
	Settings loader.Settings
	Adapter  Adapter
	// Path is the settings file, which is read again when it changes; may be
	// empty.
	Path string
	// Hangups has a value for each signal to read the settings again; may be
	// nil.
	Hangups <-chan os.Signal
	// Out receives the log.
	Out io.Writer
}

// Daemon is one entry daemon.
type Daemon struct {
	cfg      Config
	current  atomic.Pointer[loader.Settings]
	logger   log.Logger
	lines    *logger.Queue
	registry metrics.Registry
	tracer   tracer.Tracer
	// policies are those by which the daemon decides.
	policies switcher.Policies
	// flush sends the last spans.
	flush func(context.Context) error
	boot  int64

	callers, ready, operators, metrics net.Listener

	reach      *storer.Reach
	catalog    atomic.Pointer[registrar.Catalog]
	tracker    *tracker.Tracker
	chooser    *chooser.Chooser
	pool       *dialer.Pool
	allowances *limiter.Allowances
	budget     *limiter.Budget
	counter    *accounter.Counter
	gauge      *scaler.Gauge
	sharer     *sharer.Sharer
	operator   *syncer.Syncer
	endpoints  *syncer.Syncer
	keeper     *dutykeeper.Keeper
	accounter  *accounter.Accounter
	scaler     *scaler.Scaler
	roller     *roller.Roller
	carrier    *carrier.Carrier
	server     *server
	stopping   atomic.Bool
	// parts is in how many parts the sums of others came last; sums guards it.
	sums  sync.Mutex
	parts int
	// authority is that of the daemons' certificates, once it is known.
	authority atomic.Pointer[issuer.Authority]
	// joined says that the addresses of other daemons were read.
	joined atomic.Bool
}

// New listens on the daemon's addresses and builds its parts.
func New(ctx context.Context, cfg Config) (*Daemon, error) {
	s := cfg.Settings
	lines := logger.NewQueue(cfg.Out, logLines)
	l, err := logger.New(logger.Config{Writer: lines, Format: s.Log.Format, Level: s.Log.Level}, "daemon", s.Name)
	if err != nil {
		return nil, err
	}
	policies, err := switcher.Parse(s.Edge.Off)
	if err != nil {
		return nil, err
	}
	reach := storer.NewReach(cfg.Adapter.Store)
	cfg.Adapter.Store = reach
	tr, flush, err := tracer.New(ctx, tracer.Config{Export: s.Trace.Export, Address: s.Trace.Address, Writer: cfg.Out, Process: s.Name})
	if err != nil {
		return nil, err
	}
	d := &Daemon{cfg: cfg, reach: reach, tracer: tr, flush: flush, logger: l, lines: lines, policies: policies, registry: metrics.NewRegistry(), boot: time.Now().UnixNano()}
	d.current.Store(&s)
	if err := d.listen(ctx); err != nil {
		return nil, err
	}
	d.buildKnowledge()
	d.buildTraffic()
	d.buildControl()
	return d, nil
}

func (d *Daemon) listen(ctx context.Context) error {
	var lc net.ListenConfig
	for _, l := range []struct {
		what, addr string
		to         *net.Listener
	}{
		{"callers", d.cfg.Settings.Callers, &d.callers},
		{"the balancer", d.cfg.Settings.Edge.Ready, &d.ready},
		{"operators", d.cfg.Settings.Operators, &d.operators},
		{"metrics", d.cfg.Settings.Edge.Metrics, &d.metrics},
	} {
		if l.addr == "" {
			continue
		}
		var err error
		if *l.to, err = lc.Listen(ctx, "tcp", l.addr); err != nil {
			return fmt.Errorf("listen for %s: %w", l.what, err)
		}
	}
	return nil
}

// buildKnowledge builds what the daemon knows of others and of the store.
func (d *Daemon) buildKnowledge() {
	s, a := d.cfg.Settings, d.cfg.Adapter
	d.tracker = tracker.New(tracker.Config{Changed: d.endpointsChanged, Logger: d.logger})
	d.sharer = sharer.New(sharer.Config{
		Name: s.Name, Domain: s.Domain, Address: s.PeersAddress(), Boot: d.boot, Size: s.Edge.Host.Size(),
		FillStatus: d.fill, StatusReceived: d.heard, PeerUnreachable: d.lost, TotalsReceived: d.summed, ReportReceived: d.reported, Duty: platformDuty, Logger: d.logger, Registry: d.registry,
	})
	base := syncer.Config{Store: a.Store, Peers: d.sharer, Fresh: s.Edge.Wait() + freshMargin, Logger: d.logger, Registry: d.registry}
	if s.Edge.First && len(s.Seeds) > 0 && !d.isSeed() {
		base.Patience = copyPatience
	}
	operator, endpoints := base, base
	operator.Prefix, operator.Apply = a.OperatorPart, d.applyOperator
	endpoints.Prefix, endpoints.Apply = a.EndpointPart, d.applyEndpoints
	d.operator, d.endpoints = syncer.New(operator), syncer.New(endpoints)
}

// buildTraffic builds what requests pass through.
func (d *Daemon) buildTraffic() {
	s := d.cfg.Settings
	d.chooser = chooser.New(chooser.Config{Domain: s.Domain, IsLargeFleet: d.sharer.IsLargeFleet, Policies: d.policies})
	d.pool = dialer.New(dialer.Config{Timeout: dialTimeout, Registry: d.registry})
	d.allowances = limiter.NewAllowances(limiter.Config{StartFull: s.Edge.First, Tolerance: toleranceOf(s), Policies: d.policies})
	d.budget = limiter.NewBudget(budgetOf(s))
	d.counter = accounter.NewCounter(s.Name, d.boot, s.Edge.Usage.Window.Std())
	d.gauge = scaler.NewGauge()
	d.roller = roller.New(roller.Config{
		Exposure: s.Edge.Exposure.Share, Endpoints: d.releases, Publisher: moveStore{d.cfg.Adapter},
		Held: d.holds, Logger: d.logger, Registry: d.registry,
	})
	d.carrier = carrier.New(carrier.Config{
		Codec: d.cfg.Adapter.Wire, Catalog: d.catalog.Load, Endpoints: d.tracker.Load, MarkLeaving: d.tracker.MarkLeaving,
		Chooser: d.chooser, Pool: d.pool, Allowances: d.allowances, Budget: d.budget, Usage: usage{d}, Demand: d.gauge, Trials: d.roller,
		Members: d.memberCount, Policies: d.policies, Tracer: d.tracer, Logger: d.logger, Registry: d.registry,
	})
	d.server = newServer(d.carrier, d.catalog.Load, d.logger)
}

func budgetOf(s loader.Settings) limiter.BudgetConfig {
	r := s.Edge.Retries
	return limiter.BudgetConfig{Ratio: r.Ratio, Window: r.Window.Std(), Extra: r.Extra}
}

func toleranceOf(s loader.Settings) limiter.Tolerance {
	q := s.Edge.Quota
	return limiter.Tolerance{Window: q.Window.Std(), OverrunFraction: q.Overrun, Extra: q.Extra}
}

// buildControl builds the duties.
func (d *Daemon) buildControl() {
	s, a := d.cfg.Settings, d.cfg.Adapter
	d.keeper = dutykeeper.New(dutykeeper.Config{
		Self: s.Name, Store: a.Store, Members: d.sharer.Members, Duties: func() []string { return []string{platformDuty} },
		TTL: s.Edge.Lease.Std() + leaseMargin, Logger: d.logger, Registry: d.registry,
	})
	d.accounter = accounter.New(accounter.Config{
		Duty: platformDuty, Late: s.Edge.Usage.Late.Std(), Keeper: d.keeper, Counter: d.counter, Store: a.Store, Reporter: a.Reporter, Others: d.othersCounts, Policies: d.policies,
		Now:    func() time.Time { return time.Now().Add(d.sharer.ClockOffset()) },
		Logger: d.logger, Registry: d.registry,
	})
	d.scaler = scaler.New(scaler.Config{
		Duty: platformDuty, Keeper: d.keeper, Orderer: a.Orderer, Domains: s.Edge.Domains, Catalog: d.catalog.Load,
		Endpoints: d.tracker.Load, Load: d.load, Policies: d.policies, Logger: d.logger, Registry: d.registry,
	})
}

// leaseMargin is by how much the lease of a duty outlasts the time after which
// its holder may be replaced.
const leaseMargin = time.Second

// Run serves until stop ends, then finishes the requests in flight.
func (d *Daemon) Run(stop context.Context) error {
	ctx, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	go d.lines.Run(ctx)
	d.log("msg", "started", "domain", d.cfg.Settings.Domain, "callers", d.cfg.Settings.Callers, "boot", d.boot, "off", strings.Join(d.cfg.Settings.Edge.Off, ","))
	var g errgroup.Group
	for _, f := range []func(context.Context) error{
		d.operator.Run, d.operator.RunPull, d.endpoints.Run, d.endpoints.RunPull, d.sharer.Run, d.runPeers, d.runKeeper,
		d.runSlow, d.runFast, d.runReach, d.runReload, d.runDuties, d.serveReady, d.serveOperators, d.serveMetrics, d.serveCallers,
	} {
		g.Go(func() error {
			err := f(ctx)
			if err != nil {
				end()
			}
			return err
		})
	}
	g.Go(func() error {
		defer end()
		select {
		case <-stop.Done():
			d.leave(ctx)
		case <-ctx.Done():
		}
		return nil
	})
	err := g.Wait()
	d.log("msg", "stopped", "error", err, "spans_error", d.flushSpans(ctx))
	d.lines.Flush(flushTime)
	return err
}

// flushSpans sends the last spans within flushTime.
func (d *Daemon) flushSpans(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTime)
	defer cancel()
	return d.flush(ctx)
}

// flushTime bounds how long the last lines, and the last spans, may take.
const flushTime = 200 * time.Millisecond

func (d *Daemon) holds() bool {
	_, ok := d.keeper.Fence(platformDuty)
	return ok
}

// isReady reports whether the daemon can serve callers. It stays so while the
// store is away.
func (d *Daemon) isReady() bool {
	return !d.stopping.Load() && d.catalog.Load() != nil && d.endpoints.Loaded()
}

func (d *Daemon) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(d.cfg.Adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return serveHTTP(ctx, d.ready, mux)
}

// serveHTTP serves until ctx ends.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		// The listener is closed either way.
		_ = srv.Close()
	})
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}

func (d *Daemon) log(fields ...any) { logger.Info(d.logger, fields...) }
