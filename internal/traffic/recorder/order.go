package recorder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/qmuntal/stateless"

	"pomelotiller/internal/traffic/refuser"
)

// State is the state of an order.
type State string

// States of orders.
const (
	// StateAccepted is an order of which nothing was sent.
	StateAccepted State = "accepted"
	// StateDispatched is an order that may have been sent; only the daemon that
	// dispatched it may send it.
	StateDispatched State = "dispatched"
	// StateDone is an order whose answer is recorded.
	StateDone State = "done"
	// StateUnknown is an order that may have run and whose answer is lost. It
	// becomes done if its answer turns up after all.
	StateUnknown State = "unknown"
	// StateRefused is an order that did not run. The same request under the
	// same key may be accepted again.
	StateRefused State = "refused"
)

// trigger is an event in the life of an order.
type trigger string

const (
	triggerAccept   trigger = "accept"
	triggerDispatch trigger = "dispatch"
	triggerFinish   trigger = "finish"
	triggerLose     trigger = "lose"
	triggerRefuse   trigger = "refuse"
	// triggerRequeue and triggerWithdraw are for the daemon that dispatched an
	// order and knows that it sent no byte of it.
	triggerRequeue  trigger = "requeue"
	triggerWithdraw trigger = "withdraw"
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
	// Omitted says that the body was too large to be recorded.
	Omitted bool `json:"omitted,omitempty"`
}

// Order is the record of one order. It must not be changed; the With methods
// return changed copies.
type Order struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Key          string `json:"key"`
	Digest       string `json:"digest"`
	// Request is dropped once the order has ended.
	Request  Request   `json:"request,omitzero"`
	State    State     `json:"state"`
	Owner    string    `json:"owner"`
	Endpoint string    `json:"endpoint,omitempty"`
	Attempt  int       `json:"attempt,omitempty"`
	Answer   *Answer   `json:"answer,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Accepted time.Time `json:"accepted"`
	Changed  time.Time `json:"changed"`
	// Expires is when an order that was never sent is given up.
	Expires time.Time `json:"expires"`

	revision uint64
	write    string
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
		PermitReentry(triggerAccept).
		Permit(triggerDispatch, StateDispatched).
		Permit(triggerRefuse, StateRefused)
	m.Configure(StateDispatched).
		Permit(triggerFinish, StateDone).
		Permit(triggerLose, StateUnknown).
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

// withRequest returns a refused order with what a caller sent now, to be
// accepted again.
func (o Order) withRequest(fresh Order) Order {
	fresh.State, fresh.Attempt, fresh.revision = o.State, o.Attempt, o.revision
	return fresh
}

// OrderID returns the id of an order: the same organisation, route and key
// always give the same id.
func OrderID(organisation, route, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + route + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// OwnerName names one process of a daemon as an owner of orders.
func OwnerName(daemon string, boot uint64) string {
	return daemon + "/" + strconv.FormatUint(boot, 10)
}

// digest identifies the content of a request.
func digest(r Request) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00", r.Method, r.Path, r.ContentType)
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}
