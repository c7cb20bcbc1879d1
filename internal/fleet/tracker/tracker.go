// Package tracker keeps the registry of the endpoints that announce themselves
// in the platform's store. An endpoint that is marked as leaving stays so until
// its next incarnation.
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

// reannounceTimeout is how long after the end of a store outage an endpoint whose entry expired
// may take to write it again, before the tracker removes the endpoint.
const reannounceTimeout = 2 * time.Second

// Endpoint is the announcement of one endpoint in the store, and when it was first seen.
type Endpoint struct {
	// ID names the endpoint. Born is when its incarnation started, in
	// milliseconds since 1970; it tells incarnations with the same ID apart.
	ID   string
	Born int64

	Service string
	Address string
	Domain  string
	// Version is the release of the service that the endpoint runs.
	Version string
	Slots   int
	// Leaving endpoints complete their requests and accept no new ones.
	Leaving bool
	// Spot endpoints may be reclaimed on short notice.
	Spot bool
	// Warming is how much longer the endpoint stays cold, as of when the announcement was written.
	Warming time.Duration
	// Seen is when this daemon first read an announcement of this incarnation.
	Seen time.Time

	warmup warmup
}

// incarnation identifies one run of an endpoint between two restarts.
type incarnation struct {
	id   string
	born int64
}

func (e Endpoint) incarnation() incarnation { return incarnation{e.ID, e.Born} }

// Snapshot is the endpoints known at one moment. It must not be changed.
type Snapshot struct {
	// Services holds, by service, the endpoints that accept new requests, sorted by ID. It has none
	// of evacuated failure domains.
	Services map[string][]Endpoint
	// All holds every known endpoint by ID, including leaving ones and those of evacuated domains.
	All map[string]Endpoint
	// Evacuated holds the failure domains to which nothing may be sent.
	Evacuated map[string]Evacuation `json:",omitempty"`
	// Version is the store's revision of the latest change.
	Version uint64
}

// Change is one new, changed or deleted announcement.
type Change struct {
	ID       string
	Revision uint64
	// Gone reports that the entry was deleted or expired.
	Gone bool
	// Valid reports whether Endpoint could be decoded; otherwise the tracker
	// removes the endpoint.
	Valid    bool
	Endpoint Endpoint
	// IsListedAtFirstStart says that the entry was in the first complete list that this daemon read while the
	// whole fleet started for the first time.
	IsListedAtFirstStart bool
}

// Config configures a Tracker.
type Config struct {
	// OnChange is called after each Apply; may be nil.
	OnChange func()
	Logger   log.Logger
	Now      func() time.Time
}

// Tracker is the registry of announced endpoints. Its methods are safe for concurrent use.
type Tracker struct {
	cfg      Config
	snapshot atomic.Pointer[Snapshot]

	mu                  sync.Mutex
	endpoints           map[string]Endpoint
	leavingIncarnations map[incarnation]bool
	// lapseDeadlines holds, for endpoints whose entries expired, when RemoveLapsed removes them.
	lapseDeadlines map[string]time.Time
	// warmupsBegun holds when BeginWarmup was last called for each failure domain.
	warmupsBegun map[string]time.Time
	evacuated    map[string]Evacuation
	revision     uint64
}

// New returns a tracker that knows no endpoint.
func New(cfg Config) *Tracker {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	t := &Tracker{
		cfg: cfg, endpoints: make(map[string]Endpoint), leavingIncarnations: make(map[incarnation]bool), lapseDeadlines: make(map[string]time.Time),
		warmupsBegun: make(map[string]time.Time), evacuated: make(map[string]Evacuation),
	}
	t.publish()
	return t
}

// Load returns the endpoints known at this moment.
func (t *Tracker) Load() *Snapshot { return t.snapshot.Load() }

// Apply applies changes of announcements. lost is when the store was last unreachable. If an
// entry expires within reannounceTimeout of it, its endpoint stays until the end of that time,
// since it could not renew the entry.
func (t *Tracker) Apply(changes []Change, lost time.Time) {
	t.mu.Lock()
	now := t.cfg.Now()
	reannounceBy := lost.Add(reannounceTimeout)
	for _, c := range changes {
		t.applyChange(c, now, reannounceBy)
		t.revision = max(t.revision, c.Revision)
	}
	t.publish()
	t.mu.Unlock()
	if t.cfg.OnChange != nil {
		t.cfg.OnChange()
	}
}

func (t *Tracker) applyChange(c Change, now, reannounceBy time.Time) {
	old, known := t.endpoints[c.ID]
	switch {
	case c.Gone && now.Before(reannounceBy) && known && !old.Leaving:
		t.lapseDeadlines[c.ID] = reannounceBy
		t.log("msg", "endpoint entry lapsed", "endpoint", c.ID, "revision", c.Revision, "outcome", "wait for a new announcement")
	case c.Gone || !c.Valid:
		if known {
			t.log("msg", "endpoint gone", "endpoint", c.ID, "revision", c.Revision, "readable", c.Valid || c.Gone)
		}
		delete(t.endpoints, c.ID)
		delete(t.lapseDeadlines, c.ID)
	default:
		t.applyAnnouncement(c, old, known, now)
	}
}

func (t *Tracker) applyAnnouncement(c Change, old Endpoint, known bool, now time.Time) {
	e := c.Endpoint
	e.Seen, e.warmup = now, newWarmup(c, now, t.warmupsBegun[e.Domain])
	if known && old.incarnation() == e.incarnation() {
		e.Seen, e.warmup = old.Seen, old.warmup.withEntry(c, now)
	}
	if e.Leaving {
		t.leavingIncarnations[e.incarnation()] = true
	}
	e.Leaving = t.leavingIncarnations[e.incarnation()]
	if !known || old.Leaving != e.Leaving || old.incarnation() != e.incarnation() {
		t.log("msg", "endpoint announced", "endpoint", e.ID, "born", e.Born, "address", e.Address, "service", e.Service,
			"domain", e.Domain, "release", e.Version, "leaving", e.Leaving, "spot", e.Spot, "revision", c.Revision)
	}
	delete(t.lapseDeadlines, c.ID)
	t.endpoints[c.ID] = e
}

// MarkLeaving marks an incarnation of an endpoint as leaving, for good, since its answers say so.
func (t *Tracker) MarkLeaving(id string, born int64, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[id]
	if !ok || e.Born != born || e.Leaving {
		return
	}
	e.Leaving = true
	t.leavingIncarnations[e.incarnation()] = true
	t.endpoints[id] = e
	t.log("msg", "endpoint leaving", "endpoint", id, "why", why)
	t.publish()
}

// RemoveLapsed removes the endpoints whose entries expired and were not written again in time.
func (t *Tracker) RemoveLapsed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	changed := false
	for id, end := range t.lapseDeadlines {
		if now.Before(end) {
			continue
		}
		delete(t.lapseDeadlines, id)
		delete(t.endpoints, id)
		changed = true
		t.log("msg", "endpoint gone", "endpoint", id, "why", "its entry was not written again")
	}
	if changed {
		t.publish()
	}
}

// publish builds and stores a new snapshot. The caller holds t.mu, or t is not shared yet.
func (t *Tracker) publish() {
	s := &Snapshot{Services: make(map[string][]Endpoint), All: maps.Clone(t.endpoints), Evacuated: t.cloneEvacuated(), Version: t.revision}
	for _, e := range t.endpoints {
		if !e.Leaving && !s.IsEvacuated(e.Domain) {
			s.Services[e.Service] = append(s.Services[e.Service], e)
		}
	}
	for _, list := range s.Services {
		slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	t.snapshot.Store(s)
}

func (t *Tracker) log(fields ...any) { logger.Info(t.cfg.Logger, fields...) }
