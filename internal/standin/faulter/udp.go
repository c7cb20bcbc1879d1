package faulter

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const maxDatagramBytes = 64 << 10

// udpRelay forwards datagrams. It opens one socket to the target for each client, so
// that it can relate answers to clients.
type udpRelay struct {
	link      *Link
	listener  *net.UDPConn
	mu        sync.Mutex
	upstreams map[string]*net.UDPConn
}

func (l *Link) openUDP(ctx context.Context, listen string) error {
	pc, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", listen)
	if err != nil {
		return fmt.Errorf("open link: %w", err)
	}
	r := &udpRelay{link: l, listener: pc.(*net.UDPConn), upstreams: make(map[string]*net.UDPConn)}
	l.address = pc.LocalAddr().String()
	context.AfterFunc(ctx, r.close)
	go r.forwardFromClients(ctx)
	return nil
}

func (r *udpRelay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.upstreams {
		c.Close()
	}
}

func (r *udpRelay) forwardFromClients(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.listener.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		c, err := r.upstreamFor(ctx, from)
		if err != nil {
			continue
		}
		r.forwardDatagram(from, append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = c.Write(b) })
	}
}

// upstreamFor returns the socket to the target for a client, and opens it if needed.
func (r *udpRelay) upstreamFor(ctx context.Context, from *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.upstreams[from.String()]; c != nil {
		return c, nil
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", r.link.target)
	if err != nil {
		return nil, err
	}
	c := conn.(*net.UDPConn)
	r.upstreams[from.String()] = c
	go r.copyAnswers(ctx, c, from)
	return c, nil
}

// copyAnswers sends datagrams from the target to a client until ctx ends.
func (r *udpRelay) copyAnswers(ctx context.Context, c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, err := c.Read(buf)
		if err != nil {
			// The target's port may be closed for some time while a daemon restarts.
			time.Sleep(time.Millisecond)
			continue
		}
		r.forwardDatagram(to, append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = r.listener.WriteToUDP(b, to) })
	}
}

// forwardDatagram sends one datagram from or to a client with the link's behaviour
// applied: it may drop or delay it.
func (r *udpRelay) forwardDatagram(client *net.UDPAddr, b []byte, send func([]byte)) {
	l := r.link
	l.mu.Lock()
	behaviour := l.behaviour
	if len(behaviour.Clients) > 0 && !slices.Contains(behaviour.Clients, client.String()) {
		behaviour = Behaviour{Mode: ModePass}
	}
	lost := behaviour.Loss > 0 && l.rand.Float64() < behaviour.Loss
	l.mu.Unlock()
	if lost || behaviour.Mode != ModePass {
		return
	}
	if behaviour.Delay > 0 {
		time.AfterFunc(behaviour.Delay, func() { send(b) })
		return
	}
	send(b)
}
