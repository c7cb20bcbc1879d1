package scaler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/config/registrar"
	"pomelotiller/internal/control/dutykeeper"
	"pomelotiller/internal/fleet/tracker"
)

// lease is a duty that ends by itself.
type lease struct{ until time.Time }

func (l *lease) Fence(string) (dutykeeper.Fence, bool) {
	return dutykeeper.Fence{Holder: "a", Number: 1}, time.Now().Before(l.until)
}

func (l *lease) Yield(context.Context, string) {}

// slowCloud takes a while for each order.
type slowCloud struct {
	took time.Duration
	at   []time.Time
}

func (c *slowCloud) Order(context.Context, dutykeeper.Fence, Order) error {
	c.at = append(c.at, time.Now())
	time.Sleep(c.took)
	return nil
}

// A holder whose calls are slow gives no order once its lease has ended, since
// another may have the duty by then.
func TestNoOrderAfterTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, c := &lease{}, &slowCloud{took: time.Second}
		s := New(Config{
			Duty: "platform", Keeper: l, Orderer: c, Domains: domains, Logger: log.NewNopLogger(), Registry: metrics.NewRegistry(),
			Catalog:   func() *registrar.Catalog { return &registrar.Catalog{Services: []registrar.Service{engines}} },
			Endpoints: func() *tracker.Snapshot { return &tracker.Snapshot{} },
			Load:      func(string) Load { return Load{Prompt: 400_000, Pace: 60_000} },
		})
		l.until = time.Now().Add(startTime + 2500*time.Millisecond)
		s.Tick(t.Context())
		time.Sleep(startTime)
		s.Tick(t.Context())
		if len(c.at) == 0 {
			t.Error("got no order within the lease, want some")
		}
		for i, at := range c.at {
			if !at.Before(l.until) {
				t.Errorf("order %d was given %s after the lease", i, at.Sub(l.until))
			}
		}
	})
}
