// Package dialer is a pool of connections to endpoints. Unlike net/http.Transport it never retries a
// request by itself, and it does not reuse a connection on which unsolicited bytes arrived.
package dialer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"pomelotiller/internal/observe/meter"
	"pomelotiller/internal/remote/rationer"
	"pomelotiller/internal/remote/validator"
)

const (
	// maxIdleTime is how long an idle connection is kept, unless its endpoint states a shorter
	// idle timeout.
	maxIdleTime = 3 * time.Second
	// idleMargin is subtracted from the idle timeout that an endpoint states, so that no request
	// is sent while the endpoint's close is still on its way.
	idleMargin = 900 * time.Millisecond
	// keepAlivePeriod and keepAliveCount configure TCP keepalive probes, which detect dead
	// connections.
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
	// ackTimeout is how long sent bytes may remain unacknowledged before the kernel closes the
	// connection.
	ackTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which sets ackTimeout.
	tcpUserTimeout  = 0x12
	readBufferBytes = 8 << 10
)

// ErrConnLimit is the error for a target to which Limit connections are open already.
var ErrConnLimit = errors.New("connection limit reached")

// Target identifies an incarnation of an endpoint.
type Target struct {
	Address  string
	Instance string
	// Limit bounds the connections that this daemon opens to it; 0 means no limit.
	Limit int
}

// Conn is a connection to an endpoint that carries one request at a time.
type Conn struct {
	*validator.Conn
	// Reader reads from the connection; it must be used for all reads, and ReadResponse for heads of answers.
	Reader *bufio.Reader
	// limitedReader is the source of Reader.
	limitedReader *limitedReader
	// silence is the source of limitedReader.
	silence *silenceReader
	// Reused is set if the connection has carried a request before.
	Reused bool
	// Rested is how long the connection was idle before the present request.
	Rested time.Duration
	// hasInterim says that the last answer was an interim one, so that its final answer is still expected.
	hasInterim bool

	target Target
	// idleSince is when the connection became idle, usableUntil when it must no longer be used.
	idleSince, usableUntil time.Time
}

// limitedReader reads at most remaining bytes, and then fails with rationer.ErrTooLarge; a negative
// number is no limit.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return l.r.Read(p)
	}
	if l.remaining == 0 {
		return 0, rationer.ErrTooLarge
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// LimitReads limits how many more bytes can be read from the connection, not counting those already
// buffered; negative is no limit.
func (c *Conn) LimitReads(n int64) { c.limitedReader.remaining = n }

// ReadResponse reads the head of an answer to a request, or of an interim one.
func (c *Conn) ReadResponse(req *http.Request) (*http.Response, error) {
	if !c.hasInterim {
		// What is buffered arrived behind the body of the answer before, and was not checked as a head.
		buffered, err := c.Reader.Peek(c.Reader.Buffered())
		if err != nil {
			return nil, err
		}
		if err := c.ExpectAnswer(buffered); err != nil {
			return nil, err
		}
	}
	res, err := http.ReadResponse(c.Reader, req)
	c.hasInterim = err == nil && res.StatusCode < http.StatusOK
	return res, err
}

// Config configures a Pool.
type Config struct {
	// Timeout bounds the time to open a connection.
	Timeout  time.Duration
	Registry metrics.Registry
}

// Pool is a pool of idle connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer

	mu sync.Mutex
	// idle holds the idle connections of each target, and openCounts counts all of its open ones.
	idle       map[string][]*Conn
	openCounts map[string]int
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	return &Pool{
		cfg: cfg, idle: make(map[string][]*Conn), openCounts: make(map[string]int),
		dialer: net.Dialer{
			Timeout: cfg.Timeout, Control: setAckTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount},
		},
	}
}

// setAckTimeout sets ackTimeout on a new socket.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout/time.Millisecond))
	}); cerr != nil {
		return cerr
	}
	return err
}

// Get returns an idle connection that was used within maxIdle, or opens a new one. If it fails,
// nothing was sent to the endpoint.
func (p *Pool) Get(ctx context.Context, t Target, maxIdle time.Duration) (*Conn, error) {
	for {
		c, ok, err := p.takeIdle(t)
		if err != nil {
			return nil, err
		}
		if !ok {
			return p.openConn(ctx, t)
		}
		if now := time.Now(); now.Before(c.usableUntil) && now.Sub(c.idleSince) <= maxIdle && c.isClean() {
			c.Reused, c.Rested = true, now.Sub(c.idleSince)
			return c, nil
		}
		p.Discard(c)
	}
}

// IsRefused reports whether an address refuses connections, as that of a process that has ended does.
// An open connection does not tell: those of a process that ends are closed one after the other.
func (p *Pool) IsRefused(ctx context.Context, address string) bool {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	meter.AddToCounter(p.cfg.Registry, 1, "endpoint_connections_total")
	// Nothing was sent on the connection, so an error of Close has no effect.
	_ = c.Close()
	return false
}

// takeIdle returns an idle connection. If there is none, it returns false and counts a new connection,
// which the caller opens.
func (p *Pool) takeIdle(t Target) (*Conn, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := t.poolKey()
	if list := p.idle[k]; len(list) > 0 {
		c := list[len(list)-1]
		p.idle[k] = list[:len(list)-1]
		return c, true, nil
	}
	if t.Limit > 0 && p.openCounts[k] >= t.Limit {
		return nil, false, fmt.Errorf("endpoint %s: %w", t.Instance, ErrConnLimit)
	}
	p.openCounts[k]++
	return nil, false, nil
}

func (t Target) poolKey() string { return t.Instance + " " + t.Address }

func (p *Pool) openConn(ctx context.Context, t Target) (*Conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.forgetConn(t)
		return nil, fmt.Errorf("connect to endpoint %s: %w", t.Instance, err)
	}
	meter.AddToCounter(p.cfg.Registry, 1, "endpoint_connections_total")
	c := validator.NewConn(nc)
	silence := &silenceReader{Conn: c}
	l := &limitedReader{silence, -1}
	return &Conn{Conn: c, Reader: bufio.NewReaderSize(l, readBufferBytes), limitedReader: l, silence: silence, target: t}, nil
}

// PutIdle returns a connection to the pool after a complete answer. idleTimeout is the time after
// which the endpoint states that it closes the connection; 0 if it states none.
func (p *Pool) PutIdle(c *Conn, idleTimeout time.Duration) {
	span := maxIdleTime
	if idleTimeout > 0 {
		span = idleTimeout - idleMargin
	}
	if span <= 0 || c.Reader.Buffered() > 0 {
		p.Discard(c)
		return
	}
	c.idleSince = time.Now()
	c.usableUntil = c.idleSince.Add(min(span, maxIdleTime))
	p.mu.Lock()
	defer p.mu.Unlock()
	k := c.target.poolKey()
	p.idle[k] = append(p.idle[k], c)
}

// Abort closes a connection whose request is cancelled. It resets the connection, so that bytes of
// the request that are not sent yet are dropped and do not reach the endpoint later.
func (p *Pool) Abort(c *Conn) {
	if tc, ok := c.Conn.Conn.(*net.TCPConn); ok {
		// SetLinger fails only if the connection is closed already.
		_ = tc.SetLinger(0)
	}
	p.Discard(c)
}

// Discard closes a connection that will carry no more requests.
func (p *Pool) Discard(c *Conn) {
	// The connection is not used again, so an error of Close has no effect.
	_ = c.Close()
	p.forgetConn(c.target)
}

// forgetConn stops counting a connection that was closed or could not be opened.
func (p *Pool) forgetConn(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := t.poolKey()
	if p.openCounts[k]--; p.openCounts[k] <= 0 {
		delete(p.openCounts, k)
	}
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for k, list := range p.idle {
		var kept []*Conn
		for _, c := range list {
			if now.After(c.usableUntil) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if p.idle[k] = kept; len(kept) == 0 {
			delete(p.idle, k)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.Discard(c)
	}
}

// isClean reports whether an idle connection is open and no unsolicited bytes arrived on it.
func (c *Conn) isClean() bool {
	sc, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	isClean := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isClean = errors.Is(rerr, syscall.EAGAIN)
	})
	return err == nil && isClean
}
