// Package syncer keeps a replica of the entries below one prefix of the
// platform's store in each daemon. It lists and watches the store, or pulls the
// changes from a daemon with a newer replica, for example when the store does
// not answer this daemon.
package syncer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/storer"
)

const (
	// pullPeriod is the time between checks whether another daemon has a newer replica.
	pullPeriod = 100 * time.Millisecond
	// pullDelay is how long a daemon that watches the store itself waits for
	// the changes from its watch before it pulls them from another daemon.
	pullDelay = 150 * time.Millisecond
	// followCheckPeriod is the time between checks whether this daemon must watch the store.
	followCheckPeriod = 100 * time.Millisecond
	pullTimeout       = 800 * time.Millisecond
	// watchPause is the pause after a watch that returned changes, so that one
	// answer batches changes in quick succession.
	watchPause = 100 * time.Millisecond
	// peerWaitFactor is the factor by which Config.PeerWait grows if the store
	// answers another daemon.
	peerWaitFactor = 3
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed
	// calls to the store.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Peers is the view of the other daemons that a Syncer needs. A part is a prefix of the store.
type Peers interface {
	// PeerAhead returns the address of a daemon whose replica of a part has a later
	// revision, or "" if there is none.
	PeerAhead(part string, revision uint64) string
	// Call sends a message to the daemon at addr and returns its answer.
	Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error)
	// RecordRevision records the new revision of this daemon's replica of a part.
	RecordRevision(part string, revision uint64)
	// RecordStoreAnswer records that the store answered this daemon about a part.
	RecordStoreAnswer(part string)
	// IsStoreFollower reports whether this daemon must watch a part itself, since it is
	// selected to or the store answered no other daemon within that time.
	IsStoreFollower(part string, within time.Duration) bool
	// HasStoreAnswer reports whether the store answered another daemon about a part
	// within that time.
	HasStoreAnswer(part string, within time.Duration) bool
}

// Config configures a Syncer.
type Config struct {
	Store  storer.Store
	Prefix string
	Peers  Peers
	// MaxAnswerAge is the maximum age of the store's last answer to another daemon for
	// which this daemon need not watch the store itself.
	MaxAnswerAge time.Duration
	// PeerWait is how long a starting daemon waits to pull a replica from another
	// one before it lists the store itself; zero for the first daemon to start.
	PeerWait time.Duration
	// Apply is called with changed and deleted entries, never concurrently.
	// lastUnreachable is when the store was last unreachable for this daemon and, as
	// far as known, for all others; zero if never.
	Apply    func(changed []storer.Entry, lastUnreachable time.Time)
	Logger   log.Logger
	Registry metrics.Registry
}

// Syncer is the replica of the entries below one prefix of the store.
type Syncer struct {
	cfg Config

	mu       sync.Mutex
	entries  map[string]storer.Entry
	revision uint64
	// loaded reports that the replica has been complete, at firstRevision for the
	// first time. It has no record of entries deleted before that revision.
	loaded        bool
	firstRevision uint64
	// applied reports that Config.Apply has returned for the first complete content.
	applied bool
	// failingSince is when the store stopped answering this daemon; zero while it answers.
	failingSince time.Time
	// lastUnreachable is when a call of this daemon to the store last failed while,
	// as far as known, the store answered no other daemon either.
	lastUnreachable time.Time
	// behindSince is when another daemon was first seen with a later revision; zero if none is.
	behindSince time.Time
	// repullAt is when to pull all entries again, after a restore that this daemon learned of
	// from another one, whose unconfirmed entries are resolved by then; zero if not needed.
	repullAt time.Time
	// unconfirmedEntries holds, by key, entries whose state is uncertain since the store was restored.
	unconfirmedEntries map[string]unconfirmedEntry
	wakeup             chan struct{}

	// applyMu serialises the calls of Config.Apply.
	applyMu sync.Mutex
}

// New returns a Syncer with an empty replica.
func New(cfg Config) *Syncer {
	return &Syncer{cfg: cfg, entries: make(map[string]storer.Entry), unconfirmedEntries: make(map[string]unconfirmedEntry), wakeup: make(chan struct{}, 1)}
}

// PullKind returns the kind of the messages by which other daemons call ServePull.
func (s *Syncer) PullKind() string { return "sync/" + s.cfg.Prefix }

// IsLoaded reports whether the replica has ever been complete and Config.Apply has applied its content.
func (s *Syncer) IsLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied
}

// Run lists and watches the store until ctx ends. It makes no calls while shouldWait is true.
func (s *Syncer) Run(ctx context.Context) error {
	delay := minRetryDelay
	relist := true
	start := time.Now()
	for ctx.Err() == nil {
		if s.shouldWait(start) {
			turn := ticker.NewTimer(followCheckPeriod)
			select {
			case <-ctx.Done():
			case <-turn.C:
			}
			turn.Stop()
			continue
		}
		err := s.watchOrList(ctx, relist)
		switch {
		case err == nil:
			relist, delay = false, minRetryDelay
		case errors.Is(err, storer.ErrCompacted):
			relist = true
			s.log("msg", "store history compacted", "part", s.cfg.Prefix, "outcome", "list again")
		default:
			s.recordFailure(err)
			ticker.Sleep(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return nil
}

// shouldWait reports whether this daemon should not call the store now, since it can pull from
// others. A starting daemon waits longer if the store answers another daemon.
func (s *Syncer) shouldWait(start time.Time) bool {
	age := time.Since(start)
	if s.IsLoaded() {
		return !s.cfg.Peers.IsStoreFollower(s.cfg.Prefix, s.cfg.MaxAnswerAge)
	}
	return age < s.cfg.PeerWait || age < peerWaitFactor*s.cfg.PeerWait && s.cfg.Peers.HasStoreAnswer(s.cfg.Prefix, s.cfg.MaxAnswerAge)
}

// watchOrList makes one call to the store and merges its answer.
func (s *Syncer) watchOrList(ctx context.Context, relist bool) error {
	if relist {
		return s.listAll(ctx)
	}
	p, err := s.cfg.Store.Watch(ctx, s.cfg.Prefix, s.knownRevision())
	if err != nil {
		return err
	}
	s.recordAnswer()
	s.merge(p, false)
	if len(p.Entries) > 0 {
		ticker.Sleep(ctx, watchPause)
	}
	return nil
}

func (s *Syncer) listAll(ctx context.Context) error {
	p, err := s.cfg.Store.List(ctx, s.cfg.Prefix)
	if err != nil {
		return err
	}
	s.recordAnswer()
	s.merge(storer.Page{Entries: append(p.Entries, s.missingEntries(p)...), Revision: p.Revision}, true)
	return nil
}

// missingEntries returns the entries of the replica that p no longer lists, marked as deleted.
func (s *Syncer) missingEntries(p storer.Page) []storer.Entry {
	listed := make(map[string]bool, len(p.Entries))
	for _, e := range p.Entries {
		listed[e.Key] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if storer.EraOf(p.Revision) != storer.EraOf(s.revision) {
		// Writers may write again what a restored store lacks: see reconcileRestore.
		return nil
	}
	var gone []storer.Entry
	for key, e := range s.entries {
		if !listed[key] && !e.Deleted && e.Revision <= p.Revision {
			gone = append(gone, storer.Entry{Key: key, Revision: p.Revision, Deleted: true})
		}
	}
	return gone
}

func (s *Syncer) knownRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// merge applies the entries that are newer than those in the replica. The replica's revision
// becomes at least that of the page, since a page holds all changes up to its revision.
func (s *Syncer) merge(p storer.Page, relisted bool) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	if s.loaded && storer.EraOf(p.Revision) > storer.EraOf(s.revision) {
		p = s.reconcileRestore(p)
	}
	var changed []storer.Entry
	for _, e := range p.Entries {
		if old, ok := s.entries[e.Key]; ok && old.Revision >= e.Revision {
			continue
		}
		s.entries[e.Key] = e
		changed = append(changed, e)
	}
	advanced := p.Revision > s.revision || !s.loaded
	s.revision = max(s.revision, p.Revision)
	if !s.loaded {
		s.loaded, s.firstRevision = true, p.Revision
	}
	lastUnreachable := s.lastUnreachable
	s.mu.Unlock()
	if advanced {
		s.cfg.Peers.RecordRevision(s.cfg.Prefix, p.Revision)
	}
	if len(changed) > 0 || relisted {
		s.cfg.Apply(changed, lastUnreachable)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = true
}

// recordAnswer records that the store answered this daemon.
func (s *Syncer) recordAnswer() {
	s.cfg.Peers.RecordStoreAnswer(s.cfg.Prefix)
	s.mu.Lock()
	since := s.failingSince
	s.failingSince = time.Time{}
	s.mu.Unlock()
	if !since.IsZero() {
		s.log("msg", "store regained", "part", s.cfg.Prefix, "away", time.Since(since))
	}
}

// recordFailure records that a call of this daemon to the store failed.
func (s *Syncer) recordFailure(err error) {
	answers := s.cfg.Peers.HasStoreAnswer(s.cfg.Prefix, s.cfg.MaxAnswerAge)
	s.mu.Lock()
	first := s.failingSince.IsZero()
	if first {
		s.failingSince = time.Now()
	}
	if !answers {
		s.lastUnreachable = time.Now()
	}
	revision := s.revision
	s.mu.Unlock()
	meter.AddToCounter(s.cfg.Registry, 1, "store_watch_failures_total", "part", s.cfg.Prefix)
	if first {
		s.log("msg", "store lost", "part", s.cfg.Prefix, "revision", revision, "answers_others", answers, "error", err)
	}
}

func (s *Syncer) log(fields ...any) { logger.Info(s.cfg.Logger, fields...) }
