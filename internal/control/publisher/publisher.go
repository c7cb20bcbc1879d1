// Package publisher puts configurations into the platform's store and brings
// them into force at every daemon. A configuration has a generation number that
// only grows; no daemon ever adopts a lower one than it has.
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

// Key is the key of the configuration in the store.
const Key = "config/current"

// generationGap is left out after the store was set back to older data. What it
// lost is known only to daemons, some of which may be cut off: the gap keeps the
// next publish above every generation that they can hold.
const generationGap = 1000

// Release is one published configuration.
type Release struct {
	Generation uint64    `json:"generation" cbor:"1,keyasint"`
	Text       []byte    `json:"text" cbor:"2,keyasint"`
	Published  time.Time `json:"published" cbor:"3,keyasint"`
	// Repaired is set if a daemon wrote the release back into a store that had
	// lost it.
	Repaired bool `json:"repaired,omitempty" cbor:"4,keyasint,omitempty"`
}

// Newer reports whether r takes the place of old. Releases of the same
// generation, which can only come about if the store loses one of them, are
// ordered by time and text, so that all daemons settle on the same one.
func (r Release) Newer(old Release) bool {
	return cmp.Or(
		cmp.Compare(r.Generation, old.Generation),
		r.Published.Compare(old.Published),
		bytes.Compare(r.Text, old.Text),
	) > 0
}

// Digest tells releases of the same generation apart.
func (r Release) Digest() uint64 {
	d := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = d.WriteString(r.Published.UTC().Format(time.RFC3339Nano) + "\x00")
	_, _ = d.Write(r.Text)
	return d.Sum64()
}

// Set parses the release's text.
func (r Release) Set() (loader.Set, error) { return checker.Check(r.Text) }

// ConflictError says that another configuration was published meanwhile.
type ConflictError struct {
	// Want is the generation that the operator started from.
	Want uint64
	// Highest is the generation in force.
	Highest uint64
	// Current is the newest release that could be read, which is older if its
	// holders do not answer.
	Current Release
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d is in force, not %d; read it, merge and publish again", e.Highest, e.Want)
}

// Config configures a Publisher.
type Config struct {
	// Store holds the configuration.
	Store storer.Store
	// Known returns the newest release known to this daemon or to a peer that
	// answers, and the highest generation that any daemon announces.
	Known func(ctx context.Context) (Release, uint64)
	// Published is called with each release that was put into the store.
	Published func(Release)
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
	if cfg.Known == nil {
		cfg.Known = func(context.Context) (Release, uint64) { return Release{}, 0 }
	}
	if cfg.Published == nil {
		cfg.Published = func(Release) {}
	}
	return &Publisher{cfg: cfg}
}

// Publish checks a set and puts it in place of generation want; 0 expects none.
// floor is the generation in force at this daemon. The new generation is above
// every one known to be in force anywhere, even when the store was set back to
// older data.
func (p *Publisher) Publish(ctx context.Context, text []byte, want, floor uint64) (Release, error) {
	if _, err := checker.Check(text); err != nil {
		return Release{}, err
	}
	stored, revision, err := p.read(ctx)
	if err != nil {
		return Release{}, err
	}
	known, announced := p.cfg.Known(ctx)
	highest := max(stored.Generation, known.Generation, announced, floor)
	if highest != want {
		current := stored
		if known.Newer(stored) {
			current = known
		}
		return Release{}, &ConflictError{Want: want, Highest: highest, Current: current}
	}
	next := Release{Generation: want + 1, Text: text, Published: p.cfg.Now()}
	if stored.Generation < highest || stored.Repaired {
		next.Generation = want + generationGap
	}
	if err := p.write(ctx, next, revision); err != nil {
		return Release{}, err
	}
	p.cfg.Published(next)
	return next, nil
}

func (p *Publisher) write(ctx context.Context, next Release, revision uint64) error {
	b, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode release: %w", err)
	}
	_, err = p.cfg.Store.Swap(ctx, storer.Write{Key: Key, Value: b, Expect: revision})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && !errors.Is(err, storer.ErrUnsettled) {
		return p.conflict(next.Generation-1, conflict.Current)
	}
	if errors.Is(err, storer.ErrUnsettled) {
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
	return &ConflictError{Want: want, Highest: r.Generation, Current: r}
}

func (p *Publisher) read(ctx context.Context) (Release, uint64, error) {
	e, err := p.cfg.Store.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return Release{}, 0, nil
	}
	if err != nil {
		return Release{}, 0, fmt.Errorf("read configuration: %w", err)
	}
	r, err := Decode(e)
	return r, e.Revision, err
}

// Decode reads a release from its entry in the store.
func Decode(e storer.Entry) (Release, error) {
	var r Release
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return r, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	return r, nil
}
