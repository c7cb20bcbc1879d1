package evacuator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"pomelotiller/internal/remote/storer"
)

// maxWrites is the number of writes of one change. Further writes are needed if other operators
// change the evacuations at the same time, or if answers of the store are lost.
const maxWrites = 8

// UnknownDomainError means that an operator named a failure domain that no pool and no host has.
type UnknownDomainError struct {
	Domain string
	// Known are the failure domains that could be meant.
	Known []string
}

// Error implements error.
func (e *UnknownDomainError) Error() string {
	if len(e.Known) == 0 {
		return fmt.Sprintf("no pool or host is in failure domain %q; this daemon knows none yet", e.Domain)
	}
	return fmt.Sprintf("no pool or host is in failure domain %q; want one of %s", e.Domain, strings.Join(e.Known, ", "))
}

// Config configures an Evacuator.
type Config struct {
	Store storer.Store
	// Current returns the set in force at this daemon.
	Current func() Set
	// Domains returns the failure domains of pools and hosts.
	Domains func() []string
	// OnChanged is called with each set that the store holds after a change.
	OnChanged func(Set)
	// Now returns the time; nil is time.Now.
	Now func() time.Time
}

// Evacuator writes the evacuations that operators request and withdraw to the store. It is safe for
// concurrent use.
type Evacuator struct {
	cfg Config
}

// New returns an evacuator.
func New(cfg Config) *Evacuator {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnChanged == nil {
		cfg.OnChanged = func(Set) {}
	}
	return &Evacuator{cfg: cfg}
}

// Current returns the set in force at this daemon.
func (v *Evacuator) Current() Set { return v.cfg.Current() }

// Request requests the evacuation of a failure domain and returns the set that the store then holds.
// It changes nothing if the evacuation is requested already. It returns an UnknownDomainError if no
// pool or host has the domain.
func (v *Evacuator) Request(ctx context.Context, domain string) (Set, error) {
	return v.change(ctx, domain, true)
}

// Withdraw withdraws the request to evacuate a failure domain and returns the set that the store then
// holds. It changes nothing if there is no request.
func (v *Evacuator) Withdraw(ctx context.Context, domain string) (Set, error) {
	return v.change(ctx, domain, false)
}

// change brings the request for a domain into the wanted state. It reads the store again after a
// conflict or a lost answer: what it then holds shows whether the change has been made.
func (v *Evacuator) change(ctx context.Context, domain string, isWanted bool) (Set, error) {
	var unresolved error
	for range maxWrites {
		stored, revision, err := v.read(ctx)
		if err != nil {
			return Set{}, errors.Join(unresolved, err)
		}
		current := v.cfg.Current()
		isLost := current.IsNewer(stored)
		if !isLost && stored.Has(domain) == isWanted && (isWanted || v.isKnown(domain) || unresolved != nil) {
			v.cfg.OnChanged(stored)
			return stored, nil
		}
		base := stored
		if isLost {
			base = current
		}
		if !base.Has(domain) && !v.isKnown(domain) {
			return Set{}, &UnknownDomainError{Domain: domain, Known: v.cfg.Domains()}
		}
		next := v.nextSet(base, domain, isWanted, isLost || stored.Repaired)
		err = v.write(ctx, next, revision)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			v.cfg.OnChanged(next)
			return next, nil
		case errors.Is(err, storer.ErrUnknownResult):
			unresolved = fmt.Errorf("change evacuations: %w; read GET /evacuations, and ask again if needed", err)
		case !errors.As(err, &conflict):
			return Set{}, fmt.Errorf("change evacuations: %w", err)
		}
	}
	return Set{}, errors.Join(unresolved, fmt.Errorf("evacuations changed %d times during the request; ask again", maxWrites))
}

func (v *Evacuator) isKnown(domain string) bool { return slices.Contains(v.cfg.Domains(), domain) }

// nextSet returns the successor of a set. After a loss of the store its generation is above every one
// that daemons can hold.
func (v *Evacuator) nextSet(base Set, domain string, isWanted, afterLoss bool) Set {
	now := v.cfg.Now().UTC()
	next := base
	switch {
	case isWanted && !base.Has(domain):
		next = base.WithDomain(domain, now)
	case !isWanted:
		next = base.WithoutDomain(domain)
	}
	next.Generation, next.Changed, next.Repaired = base.Generation+1, now, false
	if afterLoss {
		next.Generation = base.Generation + generationGap
	}
	return next
}

// read returns the set in the store and its revision.
func (v *Evacuator) read(ctx context.Context) (Set, uint64, error) {
	e, err := v.cfg.Store.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return Set{}, 0, nil
	}
	if err != nil {
		return Set{}, 0, fmt.Errorf("read evacuations: %w", err)
	}
	s, err := decodeEntry(e)
	return s, e.Revision, err
}

func (v *Evacuator) write(ctx context.Context, s Set, revision uint64) error {
	b, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode evacuations: %w", err)
	}
	_, err = v.cfg.Store.Swap(ctx, storer.Write{Key: Key, Value: b, Expect: revision})
	return err
}
