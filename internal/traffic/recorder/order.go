package recorder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/qmuntal/stateless"

	"pomelotiller/internal/traffic/refuser"
	"pomelotiller/internal/traffic/throttler"
)

// State is the state of an order.
type State string

// States of orders.
const (
	// StateAccepted is the state of an order that has not been sent.
	StateAccepted State = "accepted"
	// StateDispatched is the state of an order that may have been sent. Only the daemon that
	// dispatched it may send it.
	StateDispatched State = "dispatched"
	// StateDone is the state of an order whose answer is recorded.
	StateDone State = "done"
	// StateUnknown is the state of an order that may have run and whose answer was not received. It
	// becomes done if the answer is found later.
	StateUnknown State = "unknown"
	// StateRefused is the state of an order that did not run. The same request with the same key
	// may be accepted again.
	StateRefused State = "refused"
)

// trigger is an event that causes a state transition of an order.
type trigger string

const (
	triggerAccept     trigger = "accept"
	triggerDispatch   trigger = "dispatch"
	triggerFinish     trigger = "finish"
	triggerLoseAnswer trigger = "lose"
	triggerRefuse     trigger = "refuse"
	// triggerRequeue and triggerWithdraw are used only by the daemon that dispatched the order, and
	// only if it has not sent a single byte of it.
	triggerRequeue  trigger = "requeue"
	triggerWithdraw trigger = "withdraw"
)

// Request is the HTTP request that a caller submitted.
type Request struct {
	Method      string `json:"method"`
	Path        string `json:"path"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Answer is the HTTP response of the endpoint.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Omitted reports that the body was too large to be recorded.
	Omitted bool `json:"omitted,omitempty"`
	// Limit is what the answer says of the endpoint's request limit.
	Limit throttler.Limit `json:"-"`
}

// Order is the record of one order. It is immutable: transition and withRequest return changed
// copies.
type Order struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Key          string `json:"key"`
	Digest       string `json:"digest"`
	// Request is cleared once the order has ended.
	Request  Request   `json:"request,omitzero"`
	State    State     `json:"state"`
	Owner    string    `json:"owner"`
	Endpoint string    `json:"endpoint,omitempty"`
	Attempt  int       `json:"attempt,omitempty"`
	Answer   *Answer   `json:"answer,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Accepted time.Time `json:"accepted"`
	Changed  time.Time `json:"changed"`
	// Expires is the time at which an order that has not been sent is refused.
	Expires time.Time `json:"expires"`

	revision uint64
	writeID  string
}

// HasEnded reports whether the order is done, unknown or refused.
func (o Order) HasEnded() bool {
	return o.State == StateDone || o.State == StateUnknown || o.State == StateRefused
}

// RunState returns whether the order has run, has not run, or may have run.
func (o Order) RunState() refuser.RunState {
	switch o.State {
	case StateAccepted, StateRefused:
		return refuser.NotRun
	case StateDone:
		return refuser.Ran
	default:
		return refuser.Unknown
	}
}

// transition returns the order in the state that follows trigger t, or an error if its present
// state does not permit t.
func (o Order) transition(t trigger) (Order, error) {
	m := stateless.NewStateMachine(o.State)
	m.Configure(StateAccepted).
		PermitReentry(triggerAccept).
		Permit(triggerDispatch, StateDispatched).
		Permit(triggerRefuse, StateRefused)
	m.Configure(StateDispatched).
		Permit(triggerFinish, StateDone).
		Permit(triggerLoseAnswer, StateUnknown).
		Permit(triggerRequeue, StateAccepted).
		Permit(triggerWithdraw, StateRefused)
	m.Configure(StateUnknown).
		Permit(triggerFinish, StateDone)
	m.Configure(StateRefused).
		Permit(triggerAccept, StateAccepted).
		Permit(triggerDispatch, StateDispatched)
	if err := m.Fire(t); err != nil {
		return o, fmt.Errorf("order %s: %w", o.ID, err)
	}
	o.State = m.MustState().(State)
	return o, nil
}

// withRequest returns the newly submitted order fresh with the state, attempt number and revision
// of o, so that it can replace the refused record o.
func (o Order) withRequest(fresh Order) Order {
	fresh.State, fresh.Attempt, fresh.revision = o.State, o.Attempt, o.revision
	return fresh
}

// OrderID returns the id of an order, a hash of its organisation, route and key.
func OrderID(organisation, route, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + route + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// OwnerName returns the name under which one process of a daemon owns orders: the daemon's name and
// its incarnation.
func OwnerName(daemon string, boot uint64) string {
	return daemon + "/" + strconv.FormatUint(boot, 10)
}

// requestDigest returns a hash of the content of a request, which detects the reuse of a key for a
// different request.
func requestDigest(r Request) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00", r.Method, r.Path, r.ContentType)
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}
