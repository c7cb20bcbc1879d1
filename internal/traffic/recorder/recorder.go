// Package recorder keeps requests that must not be repeated, called orders, in
// the platform's store. Every step of an order is a compare-and-swap of its
// record, which alone decides who may send it, so that it runs at most once.
package recorder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/qmuntal/stateless"

	"pomelotiller/internal/platform/storer"
	"pomelotiller/internal/traffic/refuser"
)

// KeyPrefix starts the keys of all orders in the store.
const KeyPrefix = "orders/"

const storeRetry = 5 * time.Second

// State is the state of an order.
type State string

// States of orders.
const (
	// StateAccepted is an order of which nothing was sent.
	StateAccepted State = "accepted"
	// StateDispatched is an order that may have been sent; it is never sent
	// again.
	StateDispatched State = "dispatched"
	// StateDone is an order whose answer is recorded.
	StateDone State = "done"
	// StateUnknown is an order that may have run and whose answer is lost.
	StateUnknown State = "unknown"
	// StateRefused is an order that did not run and will not.
	StateRefused State = "refused"
)

// trigger is an event in the life of an order.
type trigger string

const (
	triggerDispatch trigger = "dispatch"
	triggerFinish   trigger = "finish"
	triggerLose     trigger = "lose"
	triggerRefuse   trigger = "refuse"
	triggerTakeOver trigger = "take over"
)

// Request is what a caller sent.
type Request struct {
	Method      string `json:"method"`
	Path        string `json:"path"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Answer is what the service answered.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Order is the record of one order. It must not be changed; the With methods
// return changed copies.
type Order struct {
	ID           string    `json:"id"`
	Organisation string    `json:"organisation"`
	Route        string    `json:"route"`
	Key          string    `json:"key"`
	Digest       string    `json:"digest"`
	Request      Request   `json:"request"`
	State        State     `json:"state"`
	Owner        string    `json:"owner"`
	Endpoint     string    `json:"endpoint,omitempty"`
	Attempt      int       `json:"attempt,omitempty"`
	Answer       *Answer   `json:"answer,omitempty"`
	Reason       string    `json:"reason,omitempty"`
	Accepted     time.Time `json:"accepted"`
	Changed      time.Time `json:"changed"`

	revision uint64
}

// Ended reports whether the order has come to its end.
func (o Order) Ended() bool {
	return o.State == StateDone || o.State == StateUnknown || o.State == StateRefused
}

// Run says whether the order may have run.
func (o Order) Run() refuser.RunState {
	switch o.State {
	case StateAccepted, StateRefused:
		return refuser.NotRun
	case StateDone:
		return refuser.Ran
	default:
		return refuser.Unknown
	}
}

// withState moves the order by a trigger, or fails if its state forbids that.
func (o Order) withState(t trigger) (Order, error) {
	m := stateless.NewStateMachine(o.State)
	m.Configure(StateAccepted).
		Permit(triggerDispatch, StateDispatched).
		Permit(triggerRefuse, StateRefused).
		PermitReentry(triggerTakeOver)
	m.Configure(StateDispatched).
		Permit(triggerFinish, StateDone).
		Permit(triggerLose, StateUnknown).
		PermitReentry(triggerTakeOver)
	m.Configure(StateUnknown).
		Permit(triggerFinish, StateDone)
	if err := m.Fire(t); err != nil {
		return o, fmt.Errorf("order %s: %w", o.ID, err)
	}
	o.State = m.MustState().(State)
	return o, nil
}

// OrderID returns the id of an order: the same organisation, route and key
// always give the same id.
func OrderID(organisation, route, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + route + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// digest identifies the content of a request.
func digest(r Request) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00", r.Method, r.Path, r.ContentType)
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// Config configures a Recorder.
type Config struct {
	// Store holds the records.
	Store storer.Store
	// Owner names this run of this daemon.
	Owner string
	// Now returns the time.
	Now func() time.Time
}

// Recorder keeps orders.
type Recorder struct {
	cfg Config
}

// New returns a recorder.
func New(cfg Config) *Recorder {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Recorder{cfg: cfg}
}

// Accept records an order before any of it is sent. It reports false if the
// order was known already, and refuses one whose key was used for another
// request.
func (r *Recorder) Accept(ctx context.Context, organisation, route, key string, req Request) (Order, bool, error) {
	now := r.cfg.Now()
	o := Order{
		ID: OrderID(organisation, route, key), Organisation: organisation, Route: route, Key: key,
		Digest: digest(req), Request: req, State: StateAccepted, Owner: r.cfg.Owner, Accepted: now, Changed: now,
	}
	stored, err := r.swap(ctx, o, 0)
	var conflict *storer.ConflictError
	if err == nil {
		return stored, true, nil
	}
	if !errors.As(err, &conflict) || errors.Is(err, storer.ErrUnsettled) {
		return Order{}, false, storeRefusal(err)
	}
	known, err := decode(conflict.Current)
	if err != nil {
		return Order{}, false, err
	}
	if known.Digest != o.Digest {
		return Order{}, false, &refuser.Refusal{
			Status: http.StatusUnprocessableEntity, Title: "key-reused", Run: refuser.NotRun,
			Detail: fmt.Sprintf("Idempotency-Key %q was used for another request", key),
		}
	}
	return known, false, nil
}

// storeRefusal refuses an order that could not be recorded. Nothing of it was
// sent, whatever became of the write.
func storeRefusal(err error) error {
	return &refuser.Refusal{
		Status: http.StatusServiceUnavailable, Title: "store-unavailable", Run: refuser.NotRun,
		RetryAfter: storeRetry, Detail: "the order could not be recorded", Err: err,
	}
}

// Dispatch records that the order is about to be sent to an endpoint. Only the
// caller for whom it succeeds may send it.
func (r *Recorder) Dispatch(ctx context.Context, o Order, endpoint string) (Order, error) {
	n, err := o.withState(triggerDispatch)
	if err != nil {
		return o, err
	}
	n.Endpoint = endpoint
	n.Attempt++
	return r.step(ctx, o, n)
}

// Finish records the answer.
func (r *Recorder) Finish(ctx context.Context, o Order, a Answer) (Order, error) {
	n, err := o.withState(triggerFinish)
	if err != nil {
		return o, err
	}
	n.Answer = &a
	return r.step(ctx, o, n)
}

// Lose records that it is not known whether the order ran.
func (r *Recorder) Lose(ctx context.Context, o Order, reason string) (Order, error) {
	n, err := o.withState(triggerLose)
	if err != nil {
		return o, err
	}
	n.Reason = reason
	return r.step(ctx, o, n)
}

// Refuse records that the order did not run and will not.
func (r *Recorder) Refuse(ctx context.Context, o Order, reason string) (Order, error) {
	n, err := o.withState(triggerRefuse)
	if err != nil {
		return o, err
	}
	n.Reason = reason
	return r.step(ctx, o, n)
}

// Get returns an order by its id, or an error that wraps storer.ErrNotFound.
func (r *Recorder) Get(ctx context.Context, id string) (Order, error) {
	e, err := r.cfg.Store.Get(ctx, KeyPrefix+id)
	if err != nil {
		return Order{}, fmt.Errorf("order %s: %w", id, err)
	}
	return decode(e)
}

func (r *Recorder) step(ctx context.Context, old, next Order) (Order, error) {
	next.Changed = r.cfg.Now()
	return r.swap(ctx, next, old.revision)
}

func (r *Recorder) swap(ctx context.Context, o Order, expect uint64) (Order, error) {
	b, err := json.Marshal(o)
	if err != nil {
		return o, fmt.Errorf("encode order %s: %w", o.ID, err)
	}
	e, err := r.cfg.Store.Swap(ctx, storer.Write{Key: KeyPrefix + o.ID, Value: b, Expect: expect})
	if err != nil {
		return o, fmt.Errorf("order %s: %w", o.ID, err)
	}
	o.revision = e.Revision
	return o, nil
}

func decode(e storer.Entry) (Order, error) {
	var o Order
	if err := json.Unmarshal(e.Value, &o); err != nil {
		return o, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	o.revision = e.Revision
	return o, nil
}
