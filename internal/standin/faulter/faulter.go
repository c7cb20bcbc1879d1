// Package faulter is a TCP and UDP proxy that injects network faults for tests: it
// delays, drops, stalls, resets and truncates the traffic of its links on command.
package faulter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mode is how a link treats its traffic.
type Mode string

const (
	// ModePass forwards all traffic.
	ModePass Mode = "pass"
	// ModeCut resets open connections, and each new one at once.
	ModeCut Mode = "cut"
	// ModeStalled keeps the connections that are open and never forwards anything on
	// them again; new connections work.
	ModeStalled Mode = "silent"
	// ModeBlackhole accepts and keeps connections and forwards nothing on them.
	ModeBlackhole Mode = "blackhole"
	// ModeReset resets a connection after Bytes from the client.
	ModeReset Mode = "reset"
	// ModeTruncate closes a connection after Bytes to the client.
	ModeTruncate Mode = "truncate"
)

// Behaviour is a mode with its parameters.
type Behaviour struct {
	Mode Mode `json:"mode"`
	// Delay delays each read of a connection and each datagram.
	Delay time.Duration `json:"delay,omitempty"`
	// Bytes is the limit of ModeReset and ModeTruncate.
	Bytes int64 `json:"bytes,omitempty"`
	// Count is the number of connections that ModeReset and ModeTruncate apply to;
	// 0 means all.
	Count int `json:"count,omitempty"`
	// Loss is the fraction of datagrams that are dropped, from 0 to 1.
	Loss float64 `json:"loss,omitempty"`
	// Clients lists the client addresses to which the behaviour of a UDP link applies;
	// the traffic of others is forwarded unchanged. Empty means all clients.
	Clients []string `json:"clients,omitempty"`
}

// Link forwards one TCP or UDP port to a target.
type Link struct {
	network   string
	target    string
	mu        sync.Mutex
	behaviour Behaviour
	conns     map[*proxiedConn]struct{}
	rand      *rand.Rand
	address   string
	// dial connects to the target.
	dial dialFunc
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// Config configures a link.
type Config struct {
	// Network is "tcp" or "udp".
	Network string
	// Listen is the address to listen on; port 0 selects a free one.
	Listen string
	// Target is the address to forward to.
	Target string
	// Seed seeds the random choice of lost datagrams.
	Seed uint64
}

// Open starts a link that runs until ctx ends.
func Open(ctx context.Context, cfg Config) (*Link, error) { return open(ctx, cfg, dialTCP) }

func open(ctx context.Context, cfg Config, dial dialFunc) (*Link, error) {
	l := &Link{
		network: cfg.Network, target: cfg.Target, behaviour: Behaviour{Mode: ModePass},
		conns: make(map[*proxiedConn]struct{}), rand: rand.New(rand.NewPCG(cfg.Seed, 0)), dial: dial,
	}
	if cfg.Network == "udp" {
		return l, l.openUDP(ctx, cfg.Listen)
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("open link: %w", err)
	}
	l.address = ln.Addr().String()
	context.AfterFunc(ctx, func() { ln.Close(); l.closeAll() })
	go l.acceptConns(ctx, ln)
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.address }

// Set replaces the behaviour of the link, also for open connections.
func (l *Link) Set(behaviour Behaviour) {
	l.mu.Lock()
	l.behaviour = behaviour
	for p := range l.conns {
		if behaviour.Mode == ModeStalled {
			p.stall()
		}
	}
	l.mu.Unlock()
	if behaviour.Mode == ModeCut {
		l.closeAll()
	}
}

func (l *Link) currentBehaviour() Behaviour {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behaviour
}

func (l *Link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.close(true)
	}
}

func (l *Link) acceptConns(ctx context.Context, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go l.proxyConn(ctx, c)
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// proxyConn connects a client to the target and copies the traffic until both ends
// are closed. Set applies to the connection from the start, also while the connection to
// the target is being opened.
func (l *Link) proxyConn(ctx context.Context, client net.Conn) {
	p, ok := l.register(client)
	if !ok {
		resetOnClose(client)
		client.Close()
		return
	}
	defer l.forget(p)
	server, err := l.dial(ctx, l.target)
	if err != nil {
		p.close(true)
		return
	}
	if !p.setServer(server) {
		server.Close()
		return
	}
	p.copyTraffic()
}

// register adds a connection of a client, or returns false if the link is cut.
func (l *Link) register(client net.Conn) (*proxiedConn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.behaviour.Mode == ModeCut {
		return nil, false
	}
	p := &proxiedConn{link: l, client: client, behaviour: l.consumeBehaviour()}
	l.conns[p] = struct{}{}
	return p, true
}

func (l *Link) forget(p *proxiedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, p)
}

// consumeBehaviour returns the behaviour for a new connection. If the behaviour is
// limited to a number of connections, it counts this one. The caller holds the lock.
func (l *Link) consumeBehaviour() Behaviour {
	b := l.behaviour
	if b.Mode != ModeReset && b.Mode != ModeTruncate {
		return Behaviour{Mode: ModePass}
	}
	if b.Count > 0 {
		if l.behaviour.Count--; l.behaviour.Count == 0 {
			l.behaviour = Behaviour{Mode: ModePass, Delay: b.Delay}
		}
	}
	return b
}

// proxiedConn is one TCP connection of a client with its connection to the target.
type proxiedConn struct {
	link      *Link
	client    net.Conn
	behaviour Behaviour

	mu sync.Mutex
	// server is the connection to the target, nil until it is open.
	server             net.Conn
	stalled, closed    bool
	bytesUp, bytesDown int64
}

// setServer sets the connection to the target, or returns false if the client's connection
// was closed meanwhile.
func (p *proxiedConn) setServer(server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
	return !p.closed
}

// stall stops all forwarding on the connection for good.
func (p *proxiedConn) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = true
}

func (p *proxiedConn) isStalled() bool {
	p.mu.Lock()
	stalled := p.stalled
	p.mu.Unlock()
	// The link's lock is not taken under that of the connection, since Set takes them the other way round.
	return stalled || p.link.currentBehaviour().Mode == ModeBlackhole
}

func (p *proxiedConn) close(reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range []net.Conn{p.client, p.server} {
		if c == nil {
			continue
		}
		if reset {
			resetOnClose(c)
		}
		c.Close()
	}
}

func (p *proxiedConn) copyTraffic() {
	var wg sync.WaitGroup
	wg.Go(func() { p.copyDirection(p.server, p.client, p.limitFromClient) })
	wg.Go(func() { p.copyDirection(p.client, p.server, p.limitToClient) })
	wg.Wait()
	p.close(false)
}

// limitFromClient returns how many of n bytes from the client to forward, and whether
// to reset the connection after them (ModeReset).
func (p *proxiedConn) limitFromClient(n int) (int, bool) {
	if p.behaviour.Mode != ModeReset {
		return n, false
	}
	allowed := min(int64(n), p.behaviour.Bytes-p.bytesUp)
	p.bytesUp += allowed
	return int(allowed), p.bytesUp >= p.behaviour.Bytes
}

// limitToClient returns how many of n bytes to the client to forward, and whether to
// close the connection after them (ModeTruncate).
func (p *proxiedConn) limitToClient(n int) (int, bool) {
	if p.behaviour.Mode != ModeTruncate {
		return n, false
	}
	allowed := min(int64(n), p.behaviour.Bytes-p.bytesDown)
	p.bytesDown += allowed
	return int(allowed), p.bytesDown >= p.behaviour.Bytes
}

const copyBufferBytes = 32 << 10

func (p *proxiedConn) copyDirection(dst, src net.Conn, limit func(int) (int, bool)) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buf)
		if d := p.link.currentBehaviour().Delay; d > 0 {
			time.Sleep(d)
		}
		n, last := limit(n)
		if n > 0 && !p.isStalled() {
			if _, err := dst.Write(buf[:n]); err != nil {
				p.close(false)
				return
			}
		}
		if last {
			p.close(p.behaviour.Mode == ModeReset)
			return
		}
		if err != nil {
			p.propagateEnd(dst, err)
			return
		}
	}
}

// propagateEnd half-closes dst after an end of file at the other side, and resets both
// sides after any other error. On a stalled connection it does nothing.
func (p *proxiedConn) propagateEnd(dst net.Conn, err error) {
	if p.isStalled() {
		return
	}
	if c, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		if err := c.CloseWrite(); err == nil {
			return
		}
	}
	p.close(true)
}

// resetOnClose makes the next close of a TCP connection send a reset.
func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// SetLinger fails only on a closed connection, which needs no reset.
		_ = t.SetLinger(0)
	}
}
