// Package bounder bounds what callers hold together in one daemon: memory for connections, headers and bodies, and
// the connections themselves. What arrives is counted as it arrives. When a bound is reached, the connection that
// holds much and has made no progress for the longest is closed first.
package bounder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/fleet/ticker"
	"pomelotiller/internal/observe/logger"
	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/rationer"
)

// Limits are the bounds on one request.
type Limits struct {
	// HeaderBytes bounds the bytes of a header.
	HeaderBytes int
	// HeaderLines bounds the lines of a header, and HeaderMemory what it occupies once it is parsed.
	HeaderLines, HeaderMemory int
	// HeaderTime bounds the time from the first byte of a header to its end.
	HeaderTime time.Duration
	// IdleTime bounds how long a connection may be idle, and how long a caller may send nothing of a body, or
	// take nothing of an answer. 0 is no bound.
	IdleTime time.Duration
}

// Config configures a Bounder.
type Config struct {
	// Memory bounds in bytes what all connections hold, and Connections their number.
	Memory, Connections int
	// Limits returns the limits in force.
	Limits   func() Limits
	Server   string
	Logger   log.Logger
	Registry metrics.Registry
}

// Bounder bounds the connections of one server. Its methods are safe for concurrent use.
type Bounder struct {
	cfg         Config
	memory      *rationer.Ration
	connections *rationer.Ration

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// answering is what requests whose answers have not ended hold, by organisation.
	answering map[string]int
}

// New returns a bounder.
func New(cfg Config) *Bounder {
	return &Bounder{
		cfg:         cfg,
		memory:      rationer.NewWithConfig(rationer.Config{Limit: cfg.Memory, Policy: stalledFirst{}}),
		connections: rationer.NewWithConfig(rationer.Config{Limit: cfg.Connections, Policy: stalledFirst{}}),
		conns:       make(map[*Conn]struct{}), answering: make(map[string]int),
	}
}

// Configure makes a server use the bounds. It takes over the hooks of connections.
func (b *Bounder) Configure(s *http.Server) {
	s.Handler = b.handler(s.Handler)
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*Conn); ok {
			c.setState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) }
}

type contextKey struct{}

// FromContext returns the connection of a request, nil without bounds.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// handler marks the beginning and the end of each request on its connection.
func (b *Bounder) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.beginRequest(r.ContentLength != 0)
		defer c.endRequest()
		h.ServeHTTP(w, r)
	})
}

// sweepPeriod is the time between two sweeps of Run.
const sweepPeriod = time.Second

// Run sweeps periodically until ctx ends.
func (b *Bounder) Run(ctx context.Context) {
	// Every returns only when ctx ends, and then nil.
	_ = ticker.Every(ctx, sweepPeriod, func(context.Context) { b.Sweep() })
}

// Sweep closes the connections that were idle or stalled for too long.
func (b *Bounder) Sweep() {
	l, now := b.cfg.Limits(), time.Now().UnixNano()
	for _, c := range b.list() {
		c.sweep(l, now)
	}
	b.setGauge("callers_memory_bytes", b.memory.Used())
	b.setGauge("callers_connections", b.connections.Used())
}

func (b *Bounder) setGauge(name string, v int) {
	metrics.GetOrRegisterGauge(meter.Name(name, "server", b.cfg.Server), b.cfg.Registry).Update(int64(v))
}

func (b *Bounder) list() []*Conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]*Conn, 0, len(b.conns))
	for c := range b.conns {
		out = append(out, c)
	}
	return out
}

// recordEnd counts and logs that a connection was ended.
func (b *Bounder) recordEnd(c *Conn, why string) {
	meter.AddToCounter(b.cfg.Registry, 1, "callers_ended_total", "server", b.cfg.Server, "why", why)
	logger.Warn(b.cfg.Logger, "msg", "caller ended", "server", b.cfg.Server, "why", why, "remote", c.RemoteAddr(), "organisation", c.organisation(), "phase", c.phase.Load(), "held", c.held.Load(), "lag", c.lag(time.Now().UnixNano()))
}

// answeringFraction is the part of the memory that the requests of one organisation may hold until their answers
// end, so that a crowd with one key leaves room for others.
const answeringFraction = 0.75

// beginAnswering counts n bytes for an organisation. It returns ErrFull if that is too much for one.
func (b *Bounder) beginAnswering(organisation string, n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.answering[organisation]+n) > answeringFraction*float64(b.cfg.Memory) {
		return rationer.ErrFull
	}
	b.answering[organisation] += n
	return nil
}

func (b *Bounder) endAnswering(organisation string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.answering[organisation] -= n; b.answering[organisation] == 0 {
		delete(b.answering, organisation)
	}
}
