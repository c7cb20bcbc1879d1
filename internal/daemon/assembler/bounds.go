package assembler

import (
	"time"

	"pomelotiller/internal/config/loader"
	"pomelotiller/internal/traffic/bounder"
)

const (
	// callerHeaderBytes bounds the header of a request, and shortestLineBytes is the length of its shortest line, a
	// name of one byte.
	callerHeaderBytes, shortestLineBytes = 64 << 10, 3
	// callerHeaderTime bounds the time for a header.
	callerHeaderTime = 10 * time.Second
	// callerIdleTime bounds how long a connection may be idle or stalled. It is above the time for which HTTP clients
	// keep idle connections, mostly 90 s, so that none finds its connection closed.
	callerIdleTime = 3 * time.Minute
	// operatorConnections and operatorMemory bound the operators' address, whose largest body is a configuration.
	operatorConnections, operatorMemory = 64, 8 << 20
)

// callerLimits returns the limits on one request.
func callerLimits() bounder.Limits {
	lines := callerHeaderBytes / shortestLineBytes
	return bounder.Limits{
		HeaderBytes: callerHeaderBytes, HeaderLines: lines, HeaderMemory: bounder.HeaderMemory(callerHeaderBytes, lines), HeaderTime: callerHeaderTime, IdleTime: callerIdleTime,
	}
}

// newCallerBounder returns the bounds on all callers, which are those of the smallest host.
func (d *Daemon) newCallerBounder() *bounder.Bounder {
	var e loader.Edge
	return bounder.New(bounder.Config{
		Memory: e.CallerMemory(), Connections: e.CallerConnections(bounder.DescriptorLimit()), Limits: callerLimits, Server: "callers", Logger: d.logger, Registry: d.registry,
	})
}
