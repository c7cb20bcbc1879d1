// Package publisher writes configurations to the platform's store and distributes them to all
// daemons: some daemons watch the store, and the others pull new releases from peers. A
// configuration has a generation number that only grows. No daemon ever adopts a generation lower
// than its own.
package publisher

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelotiller/internal/config/checker"
	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/remote/storer"
)

// ConfigKey is the key of the configuration in the store.
const ConfigKey = "config/current"

// generationGap is added to the generation by the next publish after the store was
// restored from older data. Only daemons know the releases that the store lost, and some of them
// may be unreachable. The gap keeps the new generation above every one that they can hold.
const generationGap = 1000

// Release is one published configuration.
type Release struct {
	Generation uint64    `json:"generation" cbor:"1,keyasint"`
	Text       []byte    `json:"text" cbor:"2,keyasint"`
	Published  time.Time `json:"published" cbor:"3,keyasint"`
	// Repaired is set if a daemon wrote the release back to a store that had lost it.
	Repaired bool `json:"repaired,omitempty" cbor:"4,keyasint,omitempty"`
}

// IsNewer reports whether r replaces old. Two releases can have the same generation only if the
// store lost one of them. They are ordered by time and text, so that all daemons choose the same
// one.
func (r Release) IsNewer(old Release) bool {
	return cmp.Or(
		cmp.Compare(r.Generation, old.Generation),
		r.Published.Compare(old.Published),
		bytes.Compare(r.Text, old.Text),
	) > 0
}

// Digest returns a hash that distinguishes releases of the same generation.
func (r Release) Digest() uint64 {
	d := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = d.WriteString(r.Published.UTC().Format(time.RFC3339Nano) + "\x00")
	_, _ = d.Write(r.Text)
	return d.Sum64()
}

// ParseConfig parses and checks the text of the release.
func (r Release) ParseConfig() (loader.Set, error) { return checker.Check(r.Text) }

// ConflictError means that another configuration was published since the operator read the
// current one.
type ConflictError struct {
	// WantGeneration is the generation that the operator started from.
	WantGeneration uint64
	// HighestGeneration is the generation in force.
	HighestGeneration uint64
	// Current is the newest release that could be read. It is older than HighestGeneration if the
	// daemons that hold that one do not answer.
	Current Release
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d is in force, not %d; read it, merge and publish again", e.HighestGeneration, e.WantGeneration)
}

// Config configures a Publisher.
type Config struct {
	// Store holds the configuration.
	Store storer.Store
	// NewestKnown returns the newest release known to this daemon or to a peer that
	// answers, and the highest generation that any daemon announces.
	NewestKnown func(ctx context.Context) (Release, uint64)
	// OnPublished is called with each release that was written to the store.
	OnPublished func(Release)
	// Now returns the time.
	Now func() time.Time
}

// Publisher publishes configurations.
type Publisher struct {
	cfg Config
}

// New returns a publisher.
func New(cfg Config) *Publisher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.NewestKnown == nil {
		cfg.NewestKnown = func(context.Context) (Release, uint64) { return Release{}, 0 }
	}
	if cfg.OnPublished == nil {
		cfg.OnPublished = func(Release) {}
	}
	return &Publisher{cfg: cfg}
}

// Publish checks a configuration and publishes it as the successor of generation want, or as the
// first one if want is 0. It returns a ConflictError if want is not the highest known generation.
// floor is the generation in force at this daemon. The new generation is above every one known to
// be in force at any daemon, even if the store was restored from older data.
func (p *Publisher) Publish(ctx context.Context, text []byte, want, floor uint64) (Release, error) {
	if _, err := checker.Check(text); err != nil {
		return Release{}, err
	}
	stored, revision, err := p.readStored(ctx)
	if err != nil {
		return Release{}, err
	}
	known, announced := p.cfg.NewestKnown(ctx)
	highest := max(stored.Generation, known.Generation, announced, floor)
	if highest != want {
		current := stored
		if known.IsNewer(stored) {
			current = known
		}
		return Release{}, &ConflictError{WantGeneration: want, HighestGeneration: highest, Current: current}
	}
	next := Release{Generation: want + 1, Text: text, Published: p.cfg.Now()}
	if stored.Generation < highest || stored.Repaired {
		next.Generation = want + generationGap
	}
	if err := p.writeRelease(ctx, next, revision); err != nil {
		return Release{}, err
	}
	p.cfg.OnPublished(next)
	return next, nil
}

func (p *Publisher) writeRelease(ctx context.Context, next Release, revision uint64) error {
	b, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode release: %w", err)
	}
	_, err = p.cfg.Store.Swap(ctx, storer.Write{Key: ConfigKey, Value: b, Expect: revision})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && !errors.Is(err, storer.ErrUnknownResult) {
		return p.conflict(next.Generation-1, conflict.Current)
	}
	if errors.Is(err, storer.ErrUnknownResult) {
		return fmt.Errorf("publish generation %d: %w; read the configuration back before publishing again", next.Generation, err)
	}
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	return nil
}

func (p *Publisher) conflict(want uint64, e storer.Entry) error {
	r, err := Decode(e)
	if err != nil {
		return err
	}
	return &ConflictError{WantGeneration: want, HighestGeneration: r.Generation, Current: r}
}

func (p *Publisher) readStored(ctx context.Context) (Release, uint64, error) {
	e, err := p.cfg.Store.Get(ctx, ConfigKey)
	if errors.Is(err, storer.ErrNotFound) {
		return Release{}, 0, nil
	}
	if err != nil {
		return Release{}, 0, fmt.Errorf("read configuration: %w", err)
	}
	r, err := Decode(e)
	return r, e.Revision, err
}

// Decode decodes a release from its entry in the store.
func Decode(e storer.Entry) (Release, error) {
	var r Release
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return r, nil
}
