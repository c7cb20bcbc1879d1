package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pomelotiller/internal/fleet/viewer"
	"pomelotiller/internal/traffic/bounder"
)

// A planned stop has these steps, in this order. The daemon announces to the others that it is
// leaving. It is no longer ready, but accepts requests until none arrive. It hands over its queued
// orders while the requests in flight finish. The control components end last.

// operatorStopTimeout bounds how long a stop waits for operators' requests in flight.
const operatorStopTimeout = time.Second

// addStopTask registers a task that a planned stop runs once no new requests arrive, such as
// handing over orders. All tasks run concurrently, and the stop waits for them.
func (d *Daemon) addStopTask(f func(ctx context.Context)) { d.stopTasks = append(d.stopTasks, f) }

// runStopTasks runs the tasks that are registered for a planned stop and waits for them.
func (d *Daemon) runStopTasks(ctx context.Context) {
	d.log("msg", "handing over")
	var all sync.WaitGroup
	for _, f := range d.stopTasks {
		all.Go(func() { f(ctx) })
	}
	all.Wait()
}

// awaitStopRequest waits until a planned stop is requested or serving ends. It then announces that
// the daemon is leaving and starts to hand over queued orders.
func (d *Daemon) awaitStopRequest(stop, serving context.Context) {
	select {
	case <-stop.Done():
	case <-d.drainRequests:
	case <-serving.Done():
	}
	d.log("msg", "draining")
	d.gossiper.SetState(viewer.StateLeaving)
	d.orderRunner.StartDrain()
}

// serveOperators serves operators until ctx ends.
func (d *Daemon) serveOperators(ctx context.Context) error {
	b := bounder.New(bounder.Config{
		Memory: operatorMemory, Connections: operatorConnections, Limits: callerLimits, Server: "operators", Logger: d.logger, Registry: d.registry,
	})
	srv := &http.Server{Handler: d.informer.Handler(), ReadHeaderTimeout: operatorHeaderTimeout}
	b.Configure(srv)
	go b.Run(ctx)
	shutdownDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), operatorStopTimeout)
		defer cancel()
		// A request that lasts longer is cut off.
		_ = srv.Shutdown(ctx)
	})
	err := srv.Serve(b.Listen(d.operatorListener))
	if !stop() {
		<-shutdownDone
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}
