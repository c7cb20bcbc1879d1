package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pomelotiller/internal/fleet/viewer"
)

// A planned stop goes in this order: the other daemons hear that this one is
// leaving; it is not ready any more and listens until no new request comes;
// what it still holds is handed over while the requests in flight finish; the
// control parts end last.

// operatorStopTimeout bounds the wait for operators' calls in flight.
const operatorStopTimeout = time.Second

// onStop registers work that a planned stop does once no new request comes, such
// as handing over orders. All such work runs at once, and the stop waits for it.
func (d *Daemon) onStop(f func(ctx context.Context)) { d.stopWork = append(d.stopWork, f) }

// stopping does the work registered for a planned stop.
func (d *Daemon) stopping(ctx context.Context) {
	d.log("msg", "handing over")
	var all sync.WaitGroup
	for _, f := range d.stopWork {
		all.Go(func() { f(ctx) })
	}
	all.Wait()
}

// awaitStop returns once a planned stop has been asked for, and announces it.
func (d *Daemon) awaitStop(stop, serving context.Context) {
	select {
	case <-stop.Done():
	case <-d.drain:
	case <-serving.Done():
	}
	d.log("msg", "draining")
	d.gossiper.SetState(viewer.StateLeaving)
	d.orders.StartDrain()
}

func (d *Daemon) serveOperators(ctx context.Context) error {
	srv := &http.Server{Handler: d.informer.Handler(), ReadHeaderTimeout: operatorHeaderTimeout}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), operatorStopTimeout)
		defer cancel()
		// A call that lasts longer is cut.
		_ = srv.Shutdown(ctx)
	})
	err := srv.Serve(d.operators)
	if !stop() {
		<-ended
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}
