// Package dialer keeps connections to endpoints. Unlike a general HTTP
// transport it never sends a request twice by itself, and it does not reuse a
// connection on which anything came that no request had asked for.
package dialer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/observe/meter"
)

const (
	// defaultIdle is how long a connection is kept whose endpoint states no
	// time.
	defaultIdle = 3 * time.Second
	// idleMargin is kept to the time that an endpoint states, for the way of
	// its close.
	idleMargin = 900 * time.Millisecond
	// keepAlive finds connections that went silent.
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
	// ackTimeout ends a connection whose sent bytes are not acknowledged.
	ackTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is the socket option of Linux for ackTimeout.
	tcpUserTimeout = 0x12
	bufferBytes    = 8 << 10
)

// ErrLimit says that an endpoint has as many connections as it may.
var ErrLimit = errors.New("no connection left at the endpoint")

// Target names one start of an endpoint.
type Target struct {
	Address  string
	Instance string
	// Limit bounds the connections that this daemon opens to it; 0 is none.
	Limit int
}

// ErrEndless says that more came than was asked for.
var ErrEndless = errors.New("more bytes than an answer may have")

// Conn is a connection to an endpoint that carries one request at a time.
type Conn struct {
	net.Conn
	// Reader reads from the connection; it must be used for all reads.
	Reader *bufio.Reader
	// bound ends the reads of Reader.
	bound *bound
	// Reused says whether a request was carried before.
	Reused bool

	key          Target
	since, until time.Time
}

// bound reads from a connection until a number of bytes came; negative is no
// bound.
type bound struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *bound) Read(p []byte) (int, error) {
	if b.left < 0 {
		return b.r.Read(p)
	}
	if b.left == 0 {
		return 0, ErrEndless
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// Bound lets n more bytes be read from the connection beside those that are
// buffered; negative is no bound.
func (c *Conn) Bound(n int64) { c.bound.left = n }

// Config configures a Pool.
type Config struct {
	// Timeout bounds the making of one connection.
	Timeout  time.Duration
	Registry metrics.Registry
}

// Pool holds the connections of a daemon to all endpoints.
type Pool struct {
	cfg    Config
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, idle: make(map[string][]*Conn), open: make(map[string]int),
		dialer: net.Dialer{
			Timeout: cfg.Timeout, Control: setAckTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount},
		},
	}
}

// setAckTimeout bounds how long sent bytes stay unacknowledged.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout/time.Millisecond))
	}); cerr != nil {
		return cerr
	}
	return err
}

// Get returns an idle connection that was used within maxIdle, or opens one.
// An error of Get means that nothing was sent.
func (p *Pool) Get(ctx context.Context, t Target, maxIdle time.Duration) (*Conn, error) {
	for {
		c, ok, err := p.take(t)
		if err != nil {
			return nil, err
		}
		if !ok {
			return p.dial(ctx, t)
		}
		if now := time.Now(); now.Before(c.until) && now.Sub(c.since) <= maxIdle && c.clean() {
			c.Reused = true
			return c, nil
		}
		p.Discard(c)
	}
}

// take returns an idle connection, or reserves the room for a new one.
func (p *Pool) take(t Target) (*Conn, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := t.id()
	if list := p.idle[k]; len(list) > 0 {
		c := list[len(list)-1]
		p.idle[k] = list[:len(list)-1]
		return c, true, nil
	}
	if t.Limit > 0 && p.open[k] >= t.Limit {
		return nil, false, fmt.Errorf("endpoint %s: %w", t.Instance, ErrLimit)
	}
	p.open[k]++
	return nil, false, nil
}

func (t Target) id() string { return t.Instance + " " + t.Address }

func (p *Pool) dial(ctx context.Context, t Target) (*Conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.closed(t)
		return nil, fmt.Errorf("connect to endpoint %s: %w", t.Instance, err)
	}
	meter.Count(p.cfg.Registry, 1, "endpoint_connections_total")
	b := &bound{nc, -1}
	return &Conn{Conn: nc, Reader: bufio.NewReaderSize(b, bufferBytes), bound: b, key: t}, nil
}

// Keep takes a connection back after a whole answer, for use until its endpoint
// closes it. A stated of 0 means that the endpoint named no time.
func (p *Pool) Keep(c *Conn, stated time.Duration) {
	span := defaultIdle
	if stated > 0 {
		span = stated - idleMargin
	}
	if span <= 0 || c.Reader.Buffered() > 0 {
		p.Discard(c)
		return
	}
	c.since = time.Now()
	c.until = c.since.Add(min(span, defaultIdle))
	p.mu.Lock()
	defer p.mu.Unlock()
	k := c.key.id()
	p.idle[k] = append(p.idle[k], c)
}

// Abort closes a connection on which a request is given up. What of it is still on
// its way is dropped, and does not reach the endpoint later.
func (p *Pool) Abort(c *Conn) {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tc.SetLinger(0)
	}
	p.Discard(c)
}

// Discard closes a connection that carries no request.
func (p *Pool) Discard(c *Conn) {
	// A connection that is given up has nothing more to say.
	_ = c.Close()
	p.closed(c.key)
}

func (p *Pool) closed(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := t.id()
	if p.open[k]--; p.open[k] <= 0 {
		delete(p.open, k)
	}
}

// Tick closes the connections whose time is over.
func (p *Pool) Tick() {
	now := time.Now()
	var over []*Conn
	p.mu.Lock()
	for k, list := range p.idle {
		var kept []*Conn
		for _, c := range list {
			if now.After(c.until) {
				over = append(over, c)
			} else {
				kept = append(kept, c)
			}
		}
		if p.idle[k] = kept; len(kept) == 0 {
			delete(p.idle, k)
		}
	}
	p.mu.Unlock()
	for _, c := range over {
		p.Discard(c)
	}
}

// clean reports whether an idle connection is open and nothing came on it.
func (c *Conn) clean() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(rerr, syscall.EAGAIN)
	})
	return err == nil && clean
}
