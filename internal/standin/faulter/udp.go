package faulter

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const datagramBytes = 64 << 10

// relay forwards datagrams; each client gets a socket of its own towards the
// target, so that answers find their way back.
type relay struct {
	link  *Link
	front *net.UDPConn
	mu    sync.Mutex
	back  map[string]*net.UDPConn
}

func (l *Link) openUDP(ctx context.Context, listen string) error {
	pc, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", listen)
	if err != nil {
		return fmt.Errorf("open link: %w", err)
	}
	r := &relay{link: l, front: pc.(*net.UDPConn), back: make(map[string]*net.UDPConn)}
	l.address = pc.LocalAddr().String()
	context.AfterFunc(ctx, r.close)
	go r.run(ctx)
	return nil
}

func (r *relay) close() {
	r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.back {
		c.Close()
	}
}

func (r *relay) run(ctx context.Context) {
	buf := make([]byte, datagramBytes)
	for {
		n, from, err := r.front.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		c, err := r.socket(ctx, from)
		if err != nil {
			continue
		}
		r.pass(from, append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = c.Write(b) })
	}
}

func (r *relay) socket(ctx context.Context, from *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.back[from.String()]; c != nil {
		return c, nil
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", r.link.target)
	if err != nil {
		return nil, err
	}
	c := conn.(*net.UDPConn)
	r.back[from.String()] = c
	go r.answers(ctx, c, from)
	return c, nil
}

func (r *relay) answers(ctx context.Context, c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		n, err := c.Read(buf)
		if err != nil {
			// The target's port may be closed for a while: a daemon restarts.
			time.Sleep(time.Millisecond)
			continue
		}
		r.pass(to, append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = r.front.WriteToUDP(b, to) })
	}
}

// pass applies the link's behaviour to one datagram from or to a client.
func (r *relay) pass(client *net.UDPAddr, b []byte, send func([]byte)) {
	l := r.link
	l.mu.Lock()
	behaviour := l.b
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
