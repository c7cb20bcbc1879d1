// Package publisher puts configurations into the platform's store and brings
// them into force at every daemon. A configuration has a generation number that
// only grows; no daemon ever adopts a lower one than it has.
package publisher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"pomelotiller/internal/config/checker"
	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/platform/storer"
)

// Key is the key of the configuration in the store.
const Key = "config/current"

// Release is one published configuration.
type Release struct {
	Generation uint64    `json:"generation" cbor:"1,keyasint"`
	Text       []byte    `json:"text" cbor:"2,keyasint"`
	Published  time.Time `json:"published" cbor:"3,keyasint"`
}

// Set parses the release's text.
func (r Release) Set() (loader.Set, error) { return checker.Check(r.Text) }

// ConflictError says that another configuration was published meanwhile.
type ConflictError struct {
	// Want is the generation that the operator started from.
	Want    uint64
	Current Release
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d is in force, not %d; read it, merge and publish again", e.Current.Generation, e.Want)
}

// Config configures a Publisher.
type Config struct {
	// Store holds the configuration.
	Store storer.Store
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
	return &Publisher{cfg: cfg}
}

// Publish checks a set and puts it in place of generation want; 0 expects none.
// floor is the highest generation known to be in force anywhere: the new one is
// above it even when the store was set back to older data.
func (p *Publisher) Publish(ctx context.Context, text []byte, want, floor uint64) (Release, error) {
	if _, err := checker.Check(text); err != nil {
		return Release{}, err
	}
	current, revision, err := p.read(ctx)
	if err != nil {
		return Release{}, err
	}
	if max(current.Generation, floor) != want {
		return Release{}, &ConflictError{Want: want, Current: current}
	}
	next := Release{Generation: want + 1, Text: text, Published: p.cfg.Now()}
	b, err := json.Marshal(next)
	if err != nil {
		return Release{}, fmt.Errorf("encode release: %w", err)
	}
	_, err = p.cfg.Store.Swap(ctx, storer.Write{Key: Key, Value: b, Expect: revision})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && !errors.Is(err, storer.ErrUnsettled) {
		return Release{}, p.conflict(want, conflict.Current)
	}
	if err != nil {
		return Release{}, fmt.Errorf("publish: %w", err)
	}
	return next, nil
}

func (p *Publisher) conflict(want uint64, e storer.Entry) error {
	r, err := Decode(e)
	if err != nil {
		return err
	}
	return &ConflictError{Want: want, Current: r}
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
