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
	// loadTopic is the topic of load reports; a key is an engine and the
	// daemon that probed it.
	loadTopic = "load"
	// workTopic is the topic of what daemons have in flight on each endpoint;
	// a key is a daemon's name.
	workTopic  = "work"
	workPeriod = 500 * time.Millisecond
	// workRefresh is the time after which unchanged work is told again, for a
	// peer forgets a silent one.
	workRefresh = 2 * time.Second
	eventPeriod = 250 * time.Millisecond
	// maxFollowed bounds the engines whose cache events a daemon reads.
	maxFollowed   = 24
	maxEventCalls = 8
)

func (d *Daemon) newProber() *prober.Prober {
	p := prober.New(prober.Config{
		Self: d.settings.Name, Members: d.members,
		Endpoints: func() []viewer.Endpoint { return d.holder.Load().Endpoints },
		Report:    d.reported,
		Publish: func(key string, value []byte) {
			d.gossiper.Publish(gossiper.Item{Topic: loadTopic, Key: key, Version: uint64(time.Now().UnixNano()), Value: value})
		},
	})
	d.gossiper.Subscribe(loadTopic, func(i gossiper.Item) {
		if err := p.Hear(i.Key, i.Value); err != nil {
			meter.Count(d.registry, 1, "gossip_malformed_total")
		}
	})
	return p
}

func (d *Daemon) newRouter() *router.Router {
	d.router = router.New(router.Config{Policy: d.policy})
	d.gossiper.Subscribe(workTopic, func(i gossiper.Item) {
		if i.Key == d.settings.Name {
			return
		}
		if err := d.router.SetPeerLoad(i.Key, i.Value); err != nil {
			meter.Count(d.registry, 1, "gossip_malformed_total")
		}
	})
	return d.router
}

// tellWork tells the other daemons what this one has in flight on each
// endpoint, whenever that has changed, until ctx ends.
func (d *Daemon) tellWork(ctx context.Context) error {
	tick := time.NewTicker(workPeriod)
	defer tick.Stop()
	var told []byte
	var at time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			b, err := d.router.EncodeOwnLoad()
			if err != nil {
				return err
			}
			idle := len(b) == 1 || now.Sub(at) < workRefresh
			if bytes.Equal(b, told) && idle || len(b) > gossiper.MaxItemBytes {
				continue
			}
			told, at = b, now
			d.gossiper.Publish(gossiper.Item{Topic: workTopic, Key: d.settings.Name, Version: uint64(now.UnixNano()), Value: b})
		}
	}
}

// readEvents reads the cache events of a bounded number of engines until ctx
// ends.
func (d *Daemon) readEvents(ctx context.Context) error {
	tick := time.NewTicker(eventPeriod)
	defer tick.Stop()
	f := &follower{daemon: d, last: make(map[string]uint64)}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f.round(ctx)
		}
	}
}

// follower follows the cache events of engines.
type follower struct {
	daemon *Daemon
	mu     sync.Mutex
	// last is the number of the last event seen of each engine.
	last map[string]uint64
}

func (f *follower) round(ctx context.Context) {
	engines := followed(f.daemon.holder.Load().Endpoints, f.daemon.settings)
	f.drop(engines)
	var g errgroup.Group
	g.SetLimit(maxEventCalls)
	for _, e := range engines {
		g.Go(func() error {
			f.read(ctx, e)
			return nil
		})
	}
	// Engines that do not answer are the prober's business.
	_ = g.Wait()
}

// followed returns the engines whose events this daemon reads, those of its own
// failure domain first.
func followed(endpoints []viewer.Endpoint, s loader.Settings) []viewer.Endpoint {
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
	return out[:min(len(out), maxFollowed)]
}

// drop forgets engines that are not followed any more.
func (f *follower) drop(engines []viewer.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.last {
		if !slices.ContainsFunc(engines, func(e viewer.Endpoint) bool { return e.Name == name }) {
			delete(f.last, name)
			f.daemon.router.ForgetEndpoint(name)
		}
	}
}

// read takes in the events of one engine. An engine that no longer knows the
// last event seen has started anew.
func (f *follower) read(ctx context.Context, e viewer.Endpoint) {
	f.mu.Lock()
	last := f.last[e.Name]
	f.mu.Unlock()
	c := inferrer.NewClient(inferrer.ClientConfig{Address: e.Address, HTTP: f.daemon.probes})
	events, err := c.Events(ctx, last)
	if err != nil {
		return
	}
	if len(events) == 0 {
		if last > 0 {
			f.daemon.router.ForgetEndpoint(e.Name)
		}
	} else {
		f.daemon.router.ApplyCacheEvents(e.Name, events)
		last = events[len(events)-1].Number
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last[e.Name] = last
	if len(events) == 0 {
		f.last[e.Name] = 0
	}
}
