// Package composer builds and runs an entry daemon for a platform whose store holds the
// configuration, the list of endpoints and all persistent state.
package composer

import (
	"context"
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
	"pomelotiller/internal/fleet/enroller"
	"pomelotiller/internal/fleet/issuer"
	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/fleet/sharer"
	"pomelotiller/internal/fleet/syncer"
	"pomelotiller/internal/fleet/tracker"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/observe/tracer"
	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/carrier"
	"pomelotiller/internal/traffic/chooser"
	"pomelotiller/internal/traffic/dialer"
	"pomelotiller/internal/traffic/estimator"
	"pomelotiller/internal/traffic/limiter"
	"pomelotiller/internal/traffic/localizer"
	"pomelotiller/internal/traffic/prioritizer"
	"pomelotiller/internal/traffic/quarantiner"
	"pomelotiller/internal/traffic/throttler"
)

const (
	// platformDuty is the name of the one duty, whose holder makes all calls to the platform.
	platformDuty = "platform"
	// dialTimeout bounds the time to connect to an endpoint.
	dialTimeout = 300 * time.Millisecond
	// freshnessMargin is added to the duration of a watch to give the maximum age of the store's
	// last answer to another daemon for which this daemon need not watch the store itself.
	freshnessMargin = 700 * time.Millisecond
	// replicaTimeout is how long a daemon waits, at the first start of the fleet, to pull a
	// replica of the store from another daemon before it lists the store itself. At later starts
	// it does not wait, since callers would wait with it.
	replicaTimeout = time.Second
	// logQueueLines is the maximum number of log lines that wait to be written.
	logQueueLines = 4096
)

// Adapter connects a daemon to one platform: it gives access to the platform's services and
// converts between the platform's formats and those of this module.
type Adapter struct {
	Store storer.Store
	// HeaderCodec decodes callers' requests and encodes requests to endpoints.
	HeaderCodec carrier.Codec
	// Reporter receives usage reports and Orderer receives orders to scale services. Each is nil
	// if daemons do not have that task on this platform.
	Reporter accounter.Reporter
	Orderer  scaler.Orderer
	// OperatorKeyPrefix and EndpointKeyPrefix are the key prefixes below which the operator and
	// the endpoints write to the store.
	OperatorKeyPrefix, EndpointKeyPrefix string
	// ReadyPath is the path at which the load balancer asks whether a daemon accepts callers.
	ReadyPath string
	// IsCatalogKey reports whether a key holds the operator's configuration.
	IsCatalogKey func(key string) bool
	// DecodeCatalog, DecodeEndpoint and DecodeMove decode an entry that holds the configuration,
	// an endpoint or an order to move traffic to another release. DecodeMove returns false for any
	// other entry.
	DecodeCatalog  func(e storer.Entry) (registrar.Catalog, error)
	DecodeEndpoint func(e storer.Entry) tracker.Change
	DecodeMove     func(e storer.Entry) (roller.Order, bool, error)
	// DecodeEvacuation decodes an entry that asks for the evacuation of a failure domain or, once it is
	// deleted, withdraws that. It returns false for any other entry.
	DecodeEvacuation func(e storer.Entry) (tracker.EvacuationChange, bool, error)
	// EncodeMoveStatus encodes the state of a move for the operator; DecodeMoveStatus decodes it.
	EncodeMoveStatus func(service, release string, s roller.State) (key string, value []byte, err error)
	DecodeMoveStatus func(value []byte) (release string, s roller.State, err error)
}

// Config configures a Daemon.
type Config struct {
	Settings loader.Settings
	Adapter  Adapter
	// SettingsPath is the settings file, which the daemon reloads when it changes; may be empty.
	SettingsPath string
	// ReloadSignals receives each signal (SIGHUP) that asks for a reload of the settings; may be nil.
	ReloadSignals <-chan os.Signal
	// Out receives the log.
	Out io.Writer
}

// Daemon is one entry daemon: it relays callers' requests to endpoints.
type Daemon struct {
	cfg Config
	// activeSettings are the settings in force, after reloads.
	activeSettings atomic.Pointer[loader.Settings]
	logger         log.Logger
	logQueue       *logger.AsyncWriter
	registry       metrics.Registry
	tracer         tracer.Tracer
	// policies tells which optional policies are switched on.
	policies switcher.Policies
	// flushTracer sends the spans that are still queued.
	flushTracer func(context.Context) error
	// incarnation identifies this start of the daemon; a later start has a higher number.
	incarnation int64

	callerListener, readyListener, operatorListener, metricsListener net.Listener

	// store wraps the platform's store and records whether it is reachable.
	store           *storer.ReachabilityStore
	catalog         atomic.Pointer[registrar.Catalog]
	tracker         *tracker.Tracker
	throttler       *throttler.Throttler
	localizer       *localizer.Localizer
	chooser         *chooser.Chooser
	estimator       *estimator.Estimator
	connPool        *dialer.Pool
	allowances      *limiter.Allowances
	retryBudget     *limiter.Budget
	usageCounter    *accounter.Counter
	demandMeter     *scaler.DemandMeter
	sharer          *sharer.Sharer
	enroller        *enroller.Enroller
	operatorReplica *syncer.Syncer
	endpointReplica *syncer.Syncer
	dutyKeeper      *dutykeeper.Keeper
	accounter       *accounter.Accounter
	scaler          *scaler.Scaler
	roller          *roller.Roller
	quarantiner     *quarantiner.Quarantiner
	prioritizer     *prioritizer.Prioritizer
	carrier         *carrier.Carrier
	callerServer    *callerServer
	isStopping      atomic.Bool
	// fragmentCount is the number of fragments of the latest totals of the other daemons;
	// totalsMu guards it.
	totalsMu      sync.Mutex
	fragmentCount int
	// certAuthority is the certificate authority of the fleet; nil until it is known.
	certAuthority atomic.Pointer[issuer.Authority]
	// hasJoined is set once this daemon read the addresses of the other daemons from the store or,
	// at the first start of a large fleet, is connected to it.
	hasJoined atomic.Bool
}

// New opens the daemon's listeners and builds its components.
func New(ctx context.Context, cfg Config) (*Daemon, error) {
	s := cfg.Settings
	logQueue := logger.NewAsyncWriter(cfg.Out, logQueueLines)
	l, err := logger.New(logger.Config{Writer: logQueue, Format: s.Log.Format, Level: s.Log.Level}, "daemon", s.Name)
	if err != nil {
		return nil, err
	}
	policies, err := switcher.Parse(s.Edge.Off)
	if err != nil {
		return nil, err
	}
	store := storer.NewReachabilityStore(cfg.Adapter.Store)
	cfg.Adapter.Store = store
	tr, flushTracer, err := tracer.New(ctx, tracer.Config{Export: s.Trace.Export, Address: s.Trace.Address, Writer: cfg.Out, Process: s.Name})
	if err != nil {
		return nil, err
	}
	d := &Daemon{cfg: cfg, store: store, tracer: tr, flushTracer: flushTracer, logger: l, logQueue: logQueue, policies: policies, registry: metrics.NewRegistry(), incarnation: time.Now().UnixNano()}
	d.activeSettings.Store(&s)
	if err := meter.RegisterHeap(d.registry); err != nil {
		return nil, err
	}
	if err := d.listen(ctx); err != nil {
		return nil, err
	}
	d.buildFleetState()
	d.buildTraffic()
	d.buildDuties()
	return d, nil
}

// listen opens the listeners for which the settings have an address.
func (d *Daemon) listen(ctx context.Context) error {
	var lc net.ListenConfig
	for _, l := range []struct {
		what, addr string
		to         *net.Listener
	}{
		{"callers", d.cfg.Settings.Callers, &d.callerListener},
		{"the balancer", d.cfg.Settings.Edge.Ready, &d.readyListener},
		{"operators", d.cfg.Settings.Operators, &d.operatorListener},
		{"metrics", d.cfg.Settings.Edge.Metrics, &d.metricsListener},
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

// buildFleetState builds the components that replicate the store and exchange statuses with the
// other daemons.
func (d *Daemon) buildFleetState() {
	s, a := d.cfg.Settings, d.cfg.Adapter
	d.tracker = tracker.New(tracker.Config{OnChange: d.dropRemovedEndpoints, Logger: d.logger})
	d.enroller = enroller.New(enroller.Config{
		Store: a.Store, Name: s.Name, Address: s.PeersAddress(), ListRead: func(addresses []string) { d.sharer.AddListedContacts(addresses...) },
		NeedsList: func() bool { return d.sharer.HasSilentMembers() }, MayRemove: d.holdsPlatformDuty, IsReachable: func(address string) bool { return d.sharer.IsReachable(address) },
		Logger: d.logger, Registry: d.registry,
	})
	d.sharer = sharer.New(sharer.Config{
		Name: s.Name, Domain: s.Domain, Address: s.PeersAddress(), Boot: d.incarnation, Size: s.Edge.Host.Capacity(),
		FillStatus: d.fillStatus, StatusReceived: d.receiveStatus, PeerUnreachable: d.dropPeerLoads, TotalsReceived: d.receiveTotals, ReportReceived: d.receiveReport, ObservationsReceived: func(o []sharer.Observation) { d.estimator.Add(o) }, Duty: platformDuty,
		Presence: d.enroller.Presence, IsClosed: messenger.IsClosed, Logger: d.logger, Registry: d.registry,
	})
	base := syncer.Config{Store: a.Store, Peers: d.sharer, MaxAnswerAge: s.Edge.WatchWait() + freshnessMargin, Logger: d.logger, Registry: d.registry}
	if s.Edge.First && len(s.Seeds) > 0 && !d.isSeed() {
		base.PeerWait = replicaTimeout
	}
	operatorReplica, endpointReplica := base, base
	operatorReplica.Prefix, operatorReplica.Apply = a.OperatorKeyPrefix, d.applyOperator
	endpointReplica.Prefix, endpointReplica.Apply = a.EndpointKeyPrefix, d.applyEndpoints
	d.operatorReplica, d.endpointReplica = syncer.New(operatorReplica), syncer.New(endpointReplica)
}

// buildTraffic builds the components that process requests.
func (d *Daemon) buildTraffic() {
	s := d.cfg.Settings
	d.throttler = throttler.New(throttler.Config{Self: s.PeersAddress(), Members: d.memberAddresses, Announce: d.sharer.SendNow, Cold: d.coldLimit, Logger: d.logger, Registry: d.registry})
	d.estimator = estimator.New(estimator.Config{Logger: d.logger, Registry: d.registry})
	if s.Edge.Leave {
		d.localizer = localizer.New(localizer.Config{Domain: s.Domain, Logger: d.logger, Registry: d.registry})
	}
	d.chooser = chooser.New(chooser.Config{Domain: s.Domain, IsLargeFleet: d.sharer.IsLargeFleet, Policies: d.policies, Limits: d.throttler, Speeds: d.estimator, UsesSpeeds: d.sharer.IsLargeFleet, Localizer: d.localizer})
	d.connPool = dialer.New(dialer.Config{Timeout: dialTimeout, Registry: d.registry})
	d.allowances = limiter.NewAllowances(limiter.Config{StartFull: s.Edge.First, Tolerance: allowanceTolerance(s), Policies: d.policies})
	d.retryBudget = limiter.NewBudget(retryBudgetConfig(s))
	d.usageCounter = accounter.NewCounter(s.Name, d.incarnation, s.Edge.Usage.Window.Std())
	d.demandMeter = scaler.NewDemandMeter()
	d.roller = roller.New(roller.Config{
		Exposure: roller.Exposure(s.Edge.Exposure), Members: d.memberCount, Announce: d.sharer.SendNow, AvailableReleases: d.availableReleases, OldestStarts: d.oldestStarts, Publisher: moveStateStore{d.cfg.Adapter},
		HoldsPublishDuty: d.holdsPlatformDuty, Logger: d.logger, Registry: d.registry,
	})
	d.quarantiner = quarantiner.New(quarantiner.Config{Announce: d.sharer.SendNow, Logger: d.logger, Registry: d.registry})
	if s.Edge.Order {
		d.prioritizer = prioritizer.New(prioritizer.Config{Capacity: d.prefillShare})
	}
	d.carrier = carrier.New(carrier.Config{
		Codec: d.cfg.Adapter.HeaderCodec, Catalog: d.catalog.Load, Endpoints: d.tracker.Load, MarkLeaving: d.tracker.MarkLeaving,
		Chooser: d.chooser, Pool: d.connPool, Allowances: d.allowances, Budget: d.retryBudget, Usage: usageRecorder{d}, Demand: d.demandMeter, Trials: d.roller, Prioritizer: d.prioritizer, Quarantine: d.quarantiner, Limits: d.throttler,
		Members: d.memberCount, Policies: d.policies, Tracer: d.tracer, Logger: d.logger, Registry: d.registry,
	})
	d.callerServer = newCallerServer(d)
}

func retryBudgetConfig(s loader.Settings) limiter.BudgetConfig {
	r := s.Edge.Retries
	return limiter.BudgetConfig{Ratio: r.Ratio, Window: r.Window.Std(), Extra: r.Extra, AssumedMembers: assumedMembers}
}

func allowanceTolerance(s loader.Settings) limiter.Tolerance {
	q := s.Edge.Quota
	return limiter.Tolerance{Window: q.Window.Std(), OverrunFraction: q.Overrun, Extra: q.Extra}
}

// buildDuties builds the keeper of the duty and the components whose work needs it.
func (d *Daemon) buildDuties() {
	s, a := d.cfg.Settings, d.cfg.Adapter
	d.dutyKeeper = dutykeeper.New(dutykeeper.Config{
		Self: s.Name, Store: a.Store, Members: d.sharer.Members, Duties: func() []string { return []string{platformDuty} },
		TTL: s.Edge.Lease.Std() + leaseMargin, Logger: d.logger, Registry: d.registry,
	})
	d.accounter = accounter.New(accounter.Config{
		DutyName: platformDuty, ReportDeadline: s.Edge.Usage.ReportDeadline.Std(), Keeper: d.dutyKeeper, Counter: d.usageCounter, Store: a.Store, Reporter: a.Reporter, PeerCounts: d.fetchUsageCounts, Policies: d.policies,
		Now:    func() time.Time { return time.Now().Add(d.sharer.ClockOffset()) },
		Logger: d.logger, Registry: d.registry,
	})
	d.scaler = scaler.New(scaler.Config{
		DutyName: platformDuty, Keeper: d.dutyKeeper, Orderer: a.Orderer, Domains: s.Edge.Domains, Catalog: d.catalog.Load,
		Endpoints: d.tracker.Load, Load: d.serviceLoad, IdleRelease: d.roller.IdleRelease, Policies: d.policies, Logger: d.logger, Registry: d.registry,
	})
}

// leaseMargin is how much longer the lease of a duty lasts than the time after which its holder
// may be replaced.
const leaseMargin = time.Second

// Run serves until stop is done, then drains the requests in flight.
func (d *Daemon) Run(stop context.Context) error {
	ctx, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	go d.logQueue.Run(ctx)
	d.log("msg", "started", "domain", d.cfg.Settings.Domain, "callers", d.cfg.Settings.Callers, "boot", d.incarnation, "off", strings.Join(d.cfg.Settings.Edge.Off, ","))
	var g errgroup.Group
	for _, f := range []func(context.Context) error{
		d.operatorReplica.Run, d.operatorReplica.RunPull, d.endpointReplica.Run, d.endpointReplica.RunPull, d.sharer.Run, d.runPeerServer, d.enroller.Run, d.runDutyKeeper,
		d.runCleanup, d.runMemberCounts, d.runStoreCheck, d.runSettingsReload, d.runDuties, d.runQuarantine, d.serveReadiness, d.serveOperators, d.serveMetrics, d.serveCallers,
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
			d.stopGracefully(ctx)
		case <-ctx.Done():
		}
		return nil
	})
	err := g.Wait()
	d.log("msg", "stopped", "error", err, "spans_error", d.flushSpans(ctx))
	d.logQueue.Flush(flushTimeout)
	return err
}

// flushSpans sends the queued spans, for at most flushTimeout.
func (d *Daemon) flushSpans(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	return d.flushTracer(ctx)
}

// flushTimeout bounds the flush of the log queue, and that of the queued spans, at the end.
const flushTimeout = 200 * time.Millisecond

// holdsPlatformDuty reports whether this daemon holds the platform duty.
func (d *Daemon) holdsPlatformDuty() bool {
	_, ok := d.dutyKeeper.Fence(platformDuty)
	return ok
}

// isReady reports whether the daemon can serve callers. A store that becomes unreachable later
// does not make the daemon unready.
func (d *Daemon) isReady() bool {
	return !d.isStopping.Load() && d.catalog.Load() != nil && d.endpointReplica.IsLoaded()
}

// serveReadiness answers the load balancer's readiness checks.
func (d *Daemon) serveReadiness(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(d.cfg.Adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return d.serveOthers(ctx, "readiness", d.readyListener, mux)
}

func (d *Daemon) log(fields ...any) { logger.Info(d.logger, fields...) }
