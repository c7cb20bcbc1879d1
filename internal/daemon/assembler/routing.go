package assembler

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/fleet/gossiper"
	"pomelotiller/internal/fleet/prober"
	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/inferrer"
	"pomelotiller/internal/remote/lister"
	"pomelotiller/internal/traffic/router"
)

const (
	// engineStatusTopic is the gossip topic of engine statuses. The key of an item names the engine
	// and the daemon that probed it.
	engineStatusTopic = "load"
	// loadReportTopic is the gossip topic of the requests that daemons have in flight at each
	// endpoint. The key of an item is the daemon's name.
	loadReportTopic = "work"
	// loadReportPeriod is the time between two checks whether this daemon's load report changed.
	loadReportPeriod = 500 * time.Millisecond
	// loadRefreshPeriod is the time after which an unchanged load report is published again, since
	// peers discard the report of a daemon that sends none.
	loadRefreshPeriod = 2 * time.Second
	// cacheEventPeriod is the time between two reads of the cache events of an engine.
	cacheEventPeriod = 250 * time.Millisecond
	// maxEventEngines is the maximum number of engines whose cache events a daemon reads, and
	// maxConcurrentEventCalls the maximum number of concurrent reads.
	maxEventEngines         = 24
	maxConcurrentEventCalls = 8
)

// newProber returns the component that probes engines and exchanges their statuses with other
// daemons.
func (d *Daemon) newProber() *prober.Prober {
	p := prober.New(prober.Config{
		Self: d.settings.Name, Members: d.listMembers,
		Endpoints: func() []viewer.Endpoint { return d.viewHolder.Load().Endpoints },
		OnReports: d.handleProbeReports,
		PublishStatus: func(key string, value []byte) {
			d.gossiper.Publish(gossiper.Item{Topic: engineStatusTopic, Key: key, Version: uint64(time.Now().UnixNano()), Value: value})
		},
	})
	d.gossiper.Subscribe(engineStatusTopic, func(i gossiper.Item) {
		if err := p.ReceiveStatus(i.Key, i.Value); err != nil {
			meter.AddToCounter(d.registry, 1, "gossip_malformed_total")
		}
	})
	return p
}

// newRouter returns the router and subscribes it to the load reports of other daemons.
func (d *Daemon) newRouter() *router.Router {
	d.router = router.New(router.Config{Policy: d.routingPolicy, Limits: d.throttler})
	d.gossiper.Subscribe(loadReportTopic, func(i gossiper.Item) {
		if i.Key == d.settings.Name {
			return
		}
		if err := d.router.SetPeerLoad(i.Key, i.Value); err != nil {
			meter.AddToCounter(d.registry, 1, "gossip_malformed_total")
		}
	})
	return d.router
}

// publishLoadReports gossips the requests that this daemon has in flight at each endpoint whenever
// they change, until ctx ends. It publishes a report that is not empty again after
// loadRefreshPeriod.
func (d *Daemon) publishLoadReports(ctx context.Context) error {
	tick := time.NewTicker(loadReportPeriod)
	defer tick.Stop()
	var published []byte
	var publishedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			b, err := d.router.EncodeOwnLoad()
			if err != nil {
				return err
			}
			skipRefresh := len(b) == 1 || now.Sub(publishedAt) < loadRefreshPeriod
			if bytes.Equal(b, published) && skipRefresh || len(b) > gossiper.MaxItemBytes {
				continue
			}
			published, publishedAt = b, now
			d.gossiper.Publish(gossiper.Item{Topic: loadReportTopic, Key: d.settings.Name, Version: uint64(now.UnixNano()), Value: b})
		}
	}
}

// readCacheEvents periodically reads the cache events of at most maxEventEngines engines until ctx
// ends.
func (d *Daemon) readCacheEvents(ctx context.Context) error {
	tick := time.NewTicker(cacheEventPeriod)
	defer tick.Stop()
	f := &cacheEventReader{daemon: d, lastEvent: make(map[string]uint64)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f.readAll(ctx)
		}
	}
}

// cacheEventReader reads the cache events of engines for the router's prefix index.
type cacheEventReader struct {
	daemon *Daemon
	mu     sync.Mutex
	// lastEvent is the number of the last event read from each engine, by name.
	lastEvent map[string]uint64
}

// readAll reads the new events of all engines once.
func (f *cacheEventReader) readAll(ctx context.Context) {
	engines := enginesToRead(f.daemon.viewHolder.Load().Endpoints, f.daemon.settings)
	f.dropEngines(engines)
	var g errgroup.Group
	g.SetLimit(maxConcurrentEventCalls)
	for _, e := range engines {
		g.Go(func() error {
			f.readEngine(ctx, e)
			return nil
		})
	}
	// readEngine returns no error; the prober detects engines that do not answer.
	_ = g.Wait()
}

// enginesToRead returns the engines whose events this daemon reads: those of its own failure domain
// first, and within a domain in an order that a hash makes different for each daemon.
func enginesToRead(endpoints []viewer.Endpoint, s loader.Settings) []viewer.Endpoint {
	var out []viewer.Endpoint
	for _, e := range endpoints {
		if e.Role == lister.RoleEngine && e.State == viewer.StateAlive {
			out = append(out, e)
		}
	}
	weight := func(e viewer.Endpoint) uint64 {
		w := xxhash.Sum64String(s.Name+"\x00"+e.Name) >> 1
		if e.Domain != s.Domain {
			w |= 1 << 63
		}
		return w
	}
	slices.SortFunc(out, func(a, b viewer.Endpoint) int { return cmp.Compare(weight(a), weight(b)) })
	return out[:min(len(out), maxEventEngines)]
}

// dropEngines forgets the engines that are not in the list, also in the router.
func (f *cacheEventReader) dropEngines(engines []viewer.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.lastEvent {
		if !slices.ContainsFunc(engines, func(e viewer.Endpoint) bool { return e.Name == name }) {
			delete(f.lastEvent, name)
			f.daemon.router.ForgetEndpoint(name)
		}
	}
}

// readEngine applies the new events of one engine. An engine that does not know the last event read
// was restarted, so the state of its cache is forgotten.
func (f *cacheEventReader) readEngine(ctx context.Context, e viewer.Endpoint) {
	f.mu.Lock()
	lastEvent := f.lastEvent[e.Name]
	f.mu.Unlock()
	c := inferrer.NewClient(inferrer.ClientConfig{Address: e.Address, HTTP: f.daemon.cacheEventClient})
	events, err := c.Events(ctx, lastEvent)
	if err != nil {
		return
	}
	if len(events) == 0 {
		if lastEvent > 0 {
			f.daemon.router.ForgetEndpoint(e.Name)
		}
	} else {
		f.daemon.router.ApplyCacheEvents(e.Name, events)
		lastEvent = events[len(events)-1].Number
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastEvent[e.Name] = lastEvent
	if len(events) == 0 {
		f.lastEvent[e.Name] = 0
	}
}
