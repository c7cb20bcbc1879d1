// Package faulter is a TCP and UDP proxy for tests that delays, cuts, silences,
// resets and truncates what passes over its links, by command.
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

// Mode is what a link does with traffic.
type Mode string

// Modes of a link.
const (
	// ModePass forwards everything.
	ModePass Mode = "pass"
	// ModeCut closes open connections and refuses new ones.
	ModeCut Mode = "cut"
	// ModeSilent keeps open connections and forwards nothing on them, for
	// good; new connections work.
	ModeSilent Mode = "silent"
	// ModeBlackhole forwards nothing, on new connections neither.
	ModeBlackhole Mode = "blackhole"
	// ModeReset resets a connection once Bytes have passed from the client.
	ModeReset Mode = "reset"
	// ModeTruncate closes a connection once Bytes have passed to the client.
	ModeTruncate Mode = "truncate"
)

// Behaviour is a mode with its parameters.
type Behaviour struct {
	Mode Mode `json:"mode"`
	// Delay is added to each piece of traffic.
	Delay time.Duration `json:"delay,omitempty"`
	// Bytes is the limit of ModeReset and ModeTruncate.
	Bytes int64 `json:"bytes,omitempty"`
	// Count limits ModeReset and ModeTruncate to that many connections; 0 is
	// no limit.
	Count int `json:"count,omitempty"`
	// Loss is the share of datagrams dropped, from 0 to 1.
	Loss float64 `json:"loss,omitempty"`
	// Clients limits the behaviour of a UDP link to these addresses of
	// clients; traffic of others passes. Empty means all.
	Clients []string `json:"clients,omitempty"`
}

// Link forwards one TCP or UDP port to a target.
type Link struct {
	network string
	target  string
	mu      sync.Mutex
	b       Behaviour
	conns   map[*pair]struct{}
	rand    *rand.Rand
	address string
}

// Config configures a link.
type Config struct {
	// Network is "tcp" or "udp".
	Network string
	// Listen is the address to listen on; port 0 takes a free one.
	Listen string
	// Target is the address to forward to.
	Target string
	// Seed starts the random choice of lost datagrams.
	Seed uint64
}

// Open starts a link that lives until ctx ends.
func Open(ctx context.Context, cfg Config) (*Link, error) {
	l := &Link{
		network: cfg.Network, target: cfg.Target, b: Behaviour{Mode: ModePass},
		conns: make(map[*pair]struct{}), rand: rand.New(rand.NewPCG(cfg.Seed, 0)),
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
	go l.accept(ctx, ln)
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.address }

// Set changes what the link does, for open connections too.
func (l *Link) Set(b Behaviour) {
	l.mu.Lock()
	l.b = b
	for p := range l.conns {
		if b.Mode == ModeSilent {
			p.silence()
		}
	}
	l.mu.Unlock()
	if b.Mode == ModeCut {
		l.closeAll()
	}
}

func (l *Link) behaviour() Behaviour {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b
}

func (l *Link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.close(true)
	}
}

func (l *Link) accept(ctx context.Context, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go l.forward(ctx, c)
	}
}

func (l *Link) forward(ctx context.Context, client net.Conn) {
	b := l.behaviour()
	if b.Mode == ModeCut {
		resetOnClose(client)
		client.Close()
		return
	}
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.target)
	if err != nil {
		resetOnClose(client)
		client.Close()
		return
	}
	p := &pair{link: l, client: client, server: server, b: l.take(b)}
	l.mu.Lock()
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	p.run()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// take uses up one connection of a limited behaviour, and returns the
// behaviour that the new connection starts with.
func (l *Link) take(b Behaviour) Behaviour {
	if b.Mode != ModeReset && b.Mode != ModeTruncate {
		return Behaviour{Mode: ModePass}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.b.Mode == b.Mode && l.b.Count > 0 {
		if l.b.Count--; l.b.Count == 0 {
			l.b = Behaviour{Mode: ModePass, Delay: b.Delay}
		}
	}
	return b
}

// pair is one forwarded connection.
type pair struct {
	link           *Link
	client, server net.Conn
	b              Behaviour
	mu             sync.Mutex
	silent         bool
	up, down       int64
}

func (p *pair) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func (p *pair) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent || p.link.behaviour().Mode == ModeBlackhole
}

func (p *pair) close(reset bool) {
	if reset {
		resetOnClose(p.client)
		resetOnClose(p.server)
	}
	p.client.Close()
	p.server.Close()
}

func (p *pair) run() {
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(p.server, p.client, p.limitUp) })
	wg.Go(func() { p.pipe(p.client, p.server, p.limitDown) })
	wg.Wait()
	p.close(false)
}

// limitUp returns how many of n bytes from the client may pass, and whether
// the connection is to be reset after them.
func (p *pair) limitUp(n int) (int, bool) {
	if p.b.Mode != ModeReset {
		return n, false
	}
	allowed := min(int64(n), p.b.Bytes-p.up)
	p.up += allowed
	return int(allowed), p.up >= p.b.Bytes
}

func (p *pair) limitDown(n int) (int, bool) {
	if p.b.Mode != ModeTruncate {
		return n, false
	}
	allowed := min(int64(n), p.b.Bytes-p.down)
	p.down += allowed
	return int(allowed), p.down >= p.b.Bytes
}

const pipeBytes = 32 << 10

func (p *pair) pipe(dst, src net.Conn, limit func(int) (int, bool)) {
	buf := make([]byte, pipeBytes)
	for {
		n, err := src.Read(buf)
		if d := p.link.behaviour().Delay; d > 0 {
			time.Sleep(d)
		}
		n, last := limit(n)
		if n > 0 && !p.isSilent() {
			if _, err := dst.Write(buf[:n]); err != nil {
				p.close(false)
				return
			}
		}
		if last {
			p.close(p.b.Mode == ModeReset)
			return
		}
		if err != nil {
			p.endOne(dst, err)
			return
		}
	}
}

// endOne passes an orderly end on in one direction, and resets the whole
// connection after an error. A silent link passes on neither.
func (p *pair) endOne(dst net.Conn, err error) {
	if p.isSilent() {
		return
	}
	if c, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		if err := c.CloseWrite(); err == nil {
			return
		}
	}
	p.close(true)
}

func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The option fails only on a closed connection, which needs no reset.
		_ = t.SetLinger(0)
	}
}
