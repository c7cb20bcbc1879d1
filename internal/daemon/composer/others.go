package composer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"pomelotiller/internal/traffic/bounder"
)

const (
	// otherConnections and otherMemory bound the connections to each address that is not for callers, and what they
	// hold. Anyone on the network can reach these.
	otherConnections = 64
	otherMemory      = 4 << 20
	// otherHeaderBytes bounds the header of a request there.
	otherHeaderBytes = 16 << 10
	// otherIdleTime bounds how long such a connection may be idle or stalled.
	otherIdleTime = 30 * time.Second
)

// otherLimits returns the limits on requests of load balancers, operators and collectors of metrics.
func otherLimits() bounder.Limits {
	lines := otherHeaderBytes / shortestLineBytes
	return bounder.Limits{
		HeaderBytes: otherHeaderBytes, HeaderLines: lines, HeaderMemory: bounder.HeaderMemory(otherHeaderBytes, lines), HeaderTime: headerTimeout, IdleTime: otherIdleTime,
	}
}

// serveOthers serves an address that is not for callers, with bounds of its own, until ctx ends.
func (d *Daemon) serveOthers(ctx context.Context, name string, l net.Listener, h http.Handler) error {
	b := bounder.New(bounder.Config{Memory: otherMemory, Connections: otherConnections, Limits: otherLimits, Server: name, Logger: d.logger, Registry: d.registry})
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: serverHeaderBytes}
	b.Configure(srv)
	stop := context.AfterFunc(ctx, func() {
		// An error of Close is of no use: the listener is closed in any case.
		_ = srv.Close()
	})
	defer stop()
	go b.Run(ctx)
	if err := srv.Serve(b.Listen(l)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}
