// Package tracker holds what a daemon believes of the endpoints that announce
// themselves in the platform's store. That an endpoint leaves is never taken
// back within one start of it.
package tracker

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"pomelotiller/internal/observe/logger"
)

// returnTime is how long after the store's return an entry that lapsed meanwhile
// may take to come back before its endpoint counts as gone.
const returnTime = 2 * time.Second

// Endpoint is what one endpoint announced of itself.
type Endpoint struct {
	// ID names the endpoint; Born tells the starts under one id apart, in
	// milliseconds since 1970.
	ID   string
	Born int64

	Service string
	Address string
	Domain  string
	// Version is the release that the endpoint runs.
	Version string
	Slots   int
	// Leaving endpoints finish what they have and take nothing new.
	Leaving bool
	// Spot endpoints may be reclaimed on short notice.
	Spot bool
	// Warming is how long the endpoint stays slow after its start.
	Warming time.Duration
	// Seen is when this daemon first heard of the endpoint.
	Seen time.Time
}

// instance is one start of an endpoint.
type instance struct {
	id   string
	born int64
}

func (e Endpoint) instance() instance { return instance{e.ID, e.Born} }

// Snapshot is the endpoints known at one moment. It must not be changed.
type Snapshot struct {
	// Services holds the endpoints that take new work, sorted by id.
	Services map[string][]Endpoint
	// All holds every endpoint that is announced, leaving ones too.
	All map[string]Endpoint
	// Version is the store's revision of the latest change.
	Version uint64
}

// Change is one announcement, or the end of one.
type Change struct {
	ID       string
	Revision uint64
	Gone     bool
	// Valid says whether Endpoint could be read; an entry that could not names
	// nothing to use.
	Valid    bool
	Endpoint Endpoint
}

// Config configures a Tracker.
type Config struct {
	// Changed is called after each change of the snapshot; may be nil.
	Changed func()
	Logger  log.Logger
	Now     func() time.Time
}

// Tracker holds the endpoints.
type Tracker struct {
	cfg      Config
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	all     map[string]Endpoint
	leaving map[instance]bool
	// lapsed holds when endpoints whose entries lapsed count as gone.
	lapsed  map[string]time.Time
	version uint64
}

// New returns a tracker that knows no endpoint.
func New(cfg Config) *Tracker {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	t := &Tracker{
		cfg: cfg, all: make(map[string]Endpoint), leaving: make(map[instance]bool), lapsed: make(map[string]time.Time),
	}
	t.publish()
	return t
}

// Load returns the endpoints known at this moment.
func (t *Tracker) Load() *Snapshot { return t.snapshot.Load() }

// Apply takes in changes. Entries that vanish soon after the store was lost are
// kept until they had the time to come back.
func (t *Tracker) Apply(changes []Change, lost time.Time) {
	t.mu.Lock()
	now := t.cfg.Now()
	back := lost.Add(returnTime)
	for _, c := range changes {
		t.applyOne(c, now, back)
		t.version = max(t.version, c.Revision)
	}
	t.publish()
	t.mu.Unlock()
	if t.cfg.Changed != nil {
		t.cfg.Changed()
	}
}

func (t *Tracker) applyOne(c Change, now, back time.Time) {
	old, known := t.all[c.ID]
	switch {
	case c.Gone && now.Before(back) && known && !old.Leaving:
		t.lapsed[c.ID] = back
		t.log("msg", "endpoint entry lapsed", "endpoint", c.ID, "revision", c.Revision, "outcome", "wait for its return")
	case c.Gone || !c.Valid:
		if known {
			t.log("msg", "endpoint gone", "endpoint", c.ID, "revision", c.Revision, "readable", c.Valid || c.Gone)
		}
		delete(t.all, c.ID)
		delete(t.lapsed, c.ID)
	default:
		t.announce(c, old, known, now)
	}
}

func (t *Tracker) announce(c Change, old Endpoint, known bool, now time.Time) {
	e := c.Endpoint
	e.Seen = now
	if known && old.instance() == e.instance() {
		e.Seen = old.Seen
	}
	if e.Leaving {
		t.leaving[e.instance()] = true
	}
	e.Leaving = t.leaving[e.instance()]
	if !known || old.Leaving != e.Leaving || old.instance() != e.instance() {
		t.log("msg", "endpoint announced", "endpoint", e.ID, "born", e.Born, "address", e.Address, "service", e.Service,
			"domain", e.Domain, "release", e.Version, "leaving", e.Leaving, "spot", e.Spot, "revision", c.Revision)
	}
	delete(t.lapsed, c.ID)
	t.all[c.ID] = e
}

// MarkLeaving latches an endpoint as leaving, as its own answers say.
func (t *Tracker) MarkLeaving(id string, born int64, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.all[id]
	if !ok || e.Born != born || e.Leaving {
		return
	}
	e.Leaving = true
	t.leaving[e.instance()] = true
	t.all[id] = e
	t.log("msg", "endpoint leaving", "endpoint", id, "why", why)
	t.publish()
}

// Tick ends the endpoints whose entries did not come back.
func (t *Tracker) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	changed := false
	for id, end := range t.lapsed {
		if now.Before(end) {
			continue
		}
		delete(t.lapsed, id)
		delete(t.all, id)
		changed = true
		t.log("msg", "endpoint gone", "endpoint", id, "why", "its entry did not come back")
	}
	if changed {
		t.publish()
	}
}

// publish builds the snapshot; t.mu is held, or t is not shared yet.
func (t *Tracker) publish() {
	s := &Snapshot{Services: make(map[string][]Endpoint), All: maps.Clone(t.all), Version: t.version}
	for _, e := range t.all {
		if !e.Leaving {
			s.Services[e.Service] = append(s.Services[e.Service], e)
		}
	}
	for _, list := range s.Services {
		slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	t.snapshot.Store(s)
}

func (t *Tracker) log(fields ...any) { logger.Info(t.cfg.Logger, fields...) }
