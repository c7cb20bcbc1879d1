// Package recorder keeps requests that must not be repeated, called orders, in
// the platform's store. Every step of an order is a compare-and-swap of its
// record, which alone decides who may send it, so that it runs at most once.
package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"pomelotiller/internal/remote/storer"
	"pomelotiller/internal/traffic/refuser"
)

// KeyPrefix starts the keys of all orders in the store.
const KeyPrefix = "orders/"

const (
	// MaxRecordBytes bounds the value of a record; the store holds values up to
	// a megabyte.
	MaxRecordBytes = 1_000_000
	// Retention is how long an ended order can be read at least.
	Retention = 48 * time.Hour
	// retentionBucket is how long ended orders share one lease, so that expiry
	// costs no write an order.
	retentionBucket = time.Hour
)

// Config configures a Recorder.
type Config struct {
	// Store holds the records.
	Store storer.Store
	// Owner names this run of this daemon, as OwnerName does.
	Owner string
	// Now returns the time.
	Now func() time.Time
	// Outage learns from each call whether the store answers.
	Outage *refuser.Outage
}

// Recorder keeps orders. All methods are safe for concurrent use.
type Recorder struct {
	cfg Config

	mu      sync.Mutex
	lease   string
	granted time.Time
}

// New returns a recorder.
func New(cfg Config) *Recorder {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Outage == nil {
		cfg.Outage = &refuser.Outage{}
	}
	return &Recorder{cfg: cfg}
}

// Step is one change of an order's record. It may be applied again until it is
// settled: its write id stays the same, so that it takes effect once.
type Step struct {
	Next   Order  `json:"next"`
	Expect uint64 `json:"expect"`
	Write  string `json:"write"`
	Name   string `json:"name"`
}

// StaleError says that an order's record is not what a step started from.
type StaleError struct {
	// Current is the record as it stands.
	Current Order
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order %s has changed: it is %s and owned by %s", e.Current.ID, e.Current.State, e.Current.Owner)
}

// newOrder returns an order that is not recorded yet.
func (r *Recorder) newOrder(s Submission, expires time.Duration) Order {
	now := r.cfg.Now()
	return Order{
		ID: OrderID(s.Organisation, s.Route, s.Key), Organisation: s.Organisation, Route: s.Route, Key: s.Key,
		Digest: digest(s.Request), Request: s.Request, State: StateAccepted, Owner: r.cfg.Owner,
		Accepted: now, Changed: now, Expires: now.Add(expires),
	}
}

// step prepares a change of an order; change may be nil.
func (r *Recorder) step(o Order, t trigger, change func(*Order)) (Step, error) {
	next, err := o.withState(t)
	if err != nil {
		return Step{}, err
	}
	next.Changed = r.cfg.Now()
	if change != nil {
		change(&next)
	}
	if next.Ended() {
		next.Request = Request{}
	}
	return Step{Next: next, Expect: o.revision, Write: uuid.NewString(), Name: string(t)}, nil
}

// dispatch prepares the record that the order is about to be sent to an
// endpoint by this daemon.
func (r *Recorder) dispatch(o Order, endpoint string) (Step, error) {
	return r.step(o, triggerDispatch, func(n *Order) {
		n.Endpoint, n.Owner = endpoint, r.cfg.Owner
		n.Attempt++
	})
}

// finish prepares the record of the answer.
func (r *Recorder) finish(o Order, a Answer) (Step, error) {
	return r.step(o, triggerFinish, func(n *Order) { n.Answer, n.Reason = &a, "" })
}

// Apply writes a step. It returns a *StaleError if the record has changed
// otherwise; after any other error the step may be applied again.
func (r *Recorder) Apply(ctx context.Context, s Step) (Order, error) {
	value, err := encodeRecord(s.Next)
	if err != nil {
		return s.Next, err
	}
	w := storer.Write{Key: KeyPrefix + s.Next.ID, Value: value, Expect: s.Expect, ID: s.Write}
	if s.Next.Ended() {
		if w.Lease, err = r.retain(ctx); err != nil {
			r.cfg.Outage.Fail(r.cfg.Now())
			return s.Next, fmt.Errorf("order %s: retention: %w", s.Next.ID, err)
		}
	}
	e, err := r.cfg.Store.Swap(ctx, w)
	var conflict *storer.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict) && conflict.Current.Write == s.Write:
		e = conflict.Current
	case errors.As(err, &conflict):
		r.cfg.Outage.End()
		return s.Next, staleError(conflict)
	case errors.Is(err, storer.ErrLeaseLapsed):
		r.dropLease(w.Lease)
		return s.Next, fmt.Errorf("order %s: %w", s.Next.ID, err)
	default:
		r.cfg.Outage.Fail(r.cfg.Now())
		return s.Next, fmt.Errorf("order %s: %w", s.Next.ID, err)
	}
	r.cfg.Outage.End()
	o := s.Next
	o.revision, o.write = e.Revision, s.Write
	return o, nil
}

// staleError returns the record that stands; one that has expired stands as a
// refused order without a revision.
func staleError(conflict *storer.ConflictError) error {
	if conflict.Current.Deleted || conflict.Current.Revision == 0 {
		return &StaleError{Current: Order{State: StateRefused, Reason: "the record has expired"}}
	}
	o, err := decode(conflict.Current)
	if err != nil {
		return err
	}
	return &StaleError{Current: o}
}

// encodeRecord encodes an order, without the answer's body if that does not fit.
func encodeRecord(o Order) ([]byte, error) {
	b, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode order %s: %w", o.ID, err)
	}
	if len(b) <= MaxRecordBytes {
		return b, nil
	}
	if o.Answer == nil {
		return nil, &refuser.Refusal{
			Status: http.StatusRequestEntityTooLarge, Title: "too-large", Run: refuser.NotRun,
			Detail: fmt.Sprintf("the order's record is %d bytes; want at most %d", len(b), MaxRecordBytes),
		}
	}
	a := Answer{Status: o.Answer.Status, Omitted: true}
	o.Answer, o.Reason = &a, fmt.Sprintf("the answer of %d bytes is too large to be recorded", len(b))
	return json.Marshal(o)
}

// retain returns the lease of the orders that end now.
func (r *Recorder) retain(ctx context.Context) (string, error) {
	r.mu.Lock()
	lease, granted := r.lease, r.granted
	r.mu.Unlock()
	now := r.cfg.Now()
	if lease != "" && now.Sub(granted) < retentionBucket {
		return lease, nil
	}
	l, err := r.cfg.Store.Grant(ctx, Retention+retentionBucket)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.granted = l.ID, now
	return l.ID, nil
}

func (r *Recorder) dropLease(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == id {
		r.lease = ""
	}
}

// Get returns an order by its id, or an error that wraps storer.ErrNotFound.
func (r *Recorder) Get(ctx context.Context, id string) (Order, error) {
	e, err := r.cfg.Store.Get(ctx, KeyPrefix+id)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		r.cfg.Outage.Fail(r.cfg.Now())
	} else {
		r.cfg.Outage.End()
	}
	if err != nil {
		return Order{}, fmt.Errorf("order %s: %w", id, err)
	}
	return decode(e)
}

// RetryAfter estimates when the store can be asked again.
func (r *Recorder) RetryAfter() time.Duration { return r.cfg.Outage.RetryAfter(r.cfg.Now()) }

func decode(e storer.Entry) (Order, error) {
	var o Order
	if err := json.Unmarshal(e.Value, &o); err != nil {
		return o, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	o.revision, o.write = e.Revision, e.Write
	return o, nil
}
