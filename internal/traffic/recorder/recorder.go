// Package recorder runs requests that must not be repeated, called orders, at most once. It keeps
// one record of each order in the platform's store and changes it only by compare-and-swap. The
// daemon whose swap marks the order as dispatched is the only one that may send it.
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
	// MaxRecordBytes is the maximum size of an encoded record. The store accepts values of up to
	// one megabyte.
	MaxRecordBytes = 1_000_000
	// Retention is the minimum time for which an ended order can be read.
	Retention = 48 * time.Hour
	// retentionBucket is the period whose ended orders share one lease, so that their expiry needs
	// no store write for each order.
	retentionBucket = time.Hour
)

// Config configures a Recorder.
type Config struct {
	// Store holds the records of the orders.
	Store storer.Store
	// Owner identifies this process of the daemon, in the format of OwnerName.
	Owner string
	// Now returns the current time. It defaults to time.Now.
	Now func() time.Time
	// Outage records, after each call to the store, whether the store is available.
	Outage *refuser.Outage
}

// Recorder reads and writes the records of orders. All methods are safe for concurrent use.
type Recorder struct {
	cfg Config

	mu           sync.Mutex
	leaseID      string
	leaseGranted time.Time
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

// Step is one state transition of an order's record. Its WriteID identifies the write in the store,
// so that a step that is applied again after an uncertain result takes effect at most once.
type Step struct {
	NextOrder        Order  `json:"next"`
	ExpectedRevision uint64 `json:"expect"`
	WriteID          string `json:"write"`
	Name             string `json:"name"`
}

// StaleError is returned when the order's record has changed since the step was prepared.
type StaleError struct {
	// Current is the record that the store holds now.
	Current Order
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order %s has changed: it is %s and owned by %s", e.Current.ID, e.Current.State, e.Current.Owner)
}

// newOrder returns a new order in state accepted, which is not in the store yet.
func (r *Recorder) newOrder(s Submission, expires time.Duration) Order {
	now := r.cfg.Now()
	return Order{
		ID: OrderID(s.Organisation, s.Route, s.Key), Organisation: s.Organisation, Route: s.Route, Key: s.Key,
		Digest: requestDigest(s.Request), Request: s.Request, State: StateAccepted, Owner: r.cfg.Owner,
		Accepted: now, Changed: now, Expires: now.Add(expires),
	}
}

// newStep prepares the transition of an order by trigger t. change, if it is not nil, sets further
// fields of the new record.
func (r *Recorder) newStep(o Order, t trigger, change func(*Order)) (Step, error) {
	next, err := o.transition(t)
	if err != nil {
		return Step{}, err
	}
	next.Changed = r.cfg.Now()
	if change != nil {
		change(&next)
	}
	if next.HasEnded() {
		next.Request = Request{}
	}
	return Step{NextOrder: next, ExpectedRevision: o.revision, WriteID: uuid.NewString(), Name: string(t)}, nil
}

// dispatchStep prepares the step that allows this daemon to send the order to an endpoint.
func (r *Recorder) dispatchStep(o Order, endpoint string) (Step, error) {
	return r.newStep(o, triggerDispatch, func(n *Order) {
		n.Endpoint, n.Owner = endpoint, r.cfg.Owner
		n.Attempt++
	})
}

// finishStep prepares the step that records the answer.
func (r *Recorder) finishStep(o Order, a Answer) (Step, error) {
	return r.newStep(o, triggerFinish, func(n *Order) { n.Answer, n.Reason = &a, "" })
}

// ApplyStep writes a step to the store. It returns a *StaleError if another write has changed the
// record; after any other error the step may be applied again.
func (r *Recorder) ApplyStep(ctx context.Context, s Step) (Order, error) {
	value, err := encodeRecord(s.NextOrder)
	if err != nil {
		return s.NextOrder, err
	}
	w := storer.Write{Key: KeyPrefix + s.NextOrder.ID, Value: value, Expect: s.ExpectedRevision, ID: s.WriteID}
	if s.NextOrder.HasEnded() {
		if w.Lease, err = r.retentionLease(ctx); err != nil {
			r.cfg.Outage.RecordFailure(r.cfg.Now())
			return s.NextOrder, fmt.Errorf("order %s: obtain retention lease: %w", s.NextOrder.ID, err)
		}
	}
	e, err := r.cfg.Store.Swap(ctx, w)
	var conflict *storer.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict) && conflict.Current.Write == s.WriteID:
		e = conflict.Current
	case errors.As(err, &conflict):
		r.cfg.Outage.RecordSuccess()
		return s.NextOrder, newStaleError(conflict)
	case errors.Is(err, storer.ErrLeaseLapsed):
		r.dropLease(w.Lease)
		return s.NextOrder, fmt.Errorf("order %s: %w", s.NextOrder.ID, err)
	default:
		r.cfg.Outage.RecordFailure(r.cfg.Now())
		return s.NextOrder, fmt.Errorf("order %s: %w", s.NextOrder.ID, err)
	}
	r.cfg.Outage.RecordSuccess()
	o := s.NextOrder
	o.revision, o.writeID = e.Revision, s.WriteID
	return o, nil
}

// newStaleError returns a *StaleError with the record that the store holds. An expired record is
// returned as a refused order without a revision.
func newStaleError(conflict *storer.ConflictError) error {
	if conflict.Current.Deleted || conflict.Current.Revision == 0 {
		return &StaleError{Current: Order{State: StateRefused, Reason: "the record has expired"}}
	}
	o, err := decodeRecord(conflict.Current)
	if err != nil {
		return err
	}
	return &StaleError{Current: o}
}

// encodeRecord encodes an order. It omits the body of the answer if the record would exceed
// MaxRecordBytes.
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

// retentionLease returns the id of the lease that is attached to orders that end now. It requests a
// new lease once every retentionBucket.
func (r *Recorder) retentionLease(ctx context.Context) (string, error) {
	r.mu.Lock()
	leaseID, leaseGranted := r.leaseID, r.leaseGranted
	r.mu.Unlock()
	now := r.cfg.Now()
	if leaseID != "" && now.Sub(leaseGranted) < retentionBucket {
		return leaseID, nil
	}
	l, err := r.cfg.Store.Grant(ctx, Retention+retentionBucket)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaseID, r.leaseGranted = l.ID, now
	return l.ID, nil
}

func (r *Recorder) dropLease(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaseID == id {
		r.leaseID = ""
	}
}

// Get returns an order by its id, or an error that wraps storer.ErrNotFound.
func (r *Recorder) Get(ctx context.Context, id string) (Order, error) {
	e, err := r.cfg.Store.Get(ctx, KeyPrefix+id)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		r.cfg.Outage.RecordFailure(r.cfg.Now())
	} else {
		r.cfg.Outage.RecordSuccess()
	}
	if err != nil {
		return Order{}, fmt.Errorf("order %s: %w", id, err)
	}
	return decodeRecord(e)
}

// RetryAfter estimates how long a caller should wait before it retries while the store is
// unavailable.
func (r *Recorder) RetryAfter() time.Duration { return r.cfg.Outage.RetryAfter(r.cfg.Now()) }

func decodeRecord(e storer.Entry) (Order, error) {
	var o Order
	if err := json.Unmarshal(e.Value, &o); err != nil {
		return o, fmt.Errorf("decode order record %s: %w", e.Key, err)
	}
	o.revision, o.writeID = e.Revision, e.Write
	return o, nil
}
