package main

import (
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

const datagramBytes = 64 << 10

// links are proxies between daemons, one before the peers' address of each. Other daemons know it as the
// daemon's address. They forward all datagrams until the daemons of one zone are cut off from the others.
type links struct {
	isCut atomic.Bool
	// cutZone is the zone that is cut off, and zones holds the zone of each daemon by its IP address.
	cutZone string
	zones   map[string]string
}

// open opens the proxy before a daemon, and returns its address.
func (l *links) open(d *daemon, peers string) (string, error) {
	target, err := net.ResolveUDPAddr("udp", peers)
	if err != nil {
		return "", err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: target.IP})
	if err != nil {
		return "", err
	}
	l.zones[target.IP.String()] = d.fields["zone"].(string)
	p := &proxy{links: l, front: front, target: target, backs: make(map[string]*net.UDPConn)}
	go p.forward()
	return front.LocalAddr().String(), nil
}

// passes reports whether datagrams pass between two daemons, which are known by their IP addresses.
func (l *links) passes(a, b net.IP) bool {
	return !l.isCut.Load() || (l.zones[a.String()] == l.cutZone) == (l.zones[b.String()] == l.cutZone)
}

// proxy is the proxy before one daemon. It has a socket towards the daemon for each other one.
type proxy struct {
	links  *links
	front  *net.UDPConn
	target *net.UDPAddr

	mu    sync.Mutex
	backs map[string]*net.UDPConn
}

// forward forwards what other daemons send until the process ends.
func (p *proxy) forward() {
	buf := make([]byte, datagramBytes)
	for {
		n, from, err := p.front.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || !p.links.passes(from.IP, p.target.IP) {
			continue
		}
		if back, err := p.back(from); err == nil {
			// A datagram that is not sent is lost.
			_, _ = back.Write(buf[:n])
		}
	}
}

// back returns the socket for the datagrams of another daemon.
func (p *proxy) back(from *net.UDPAddr) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.backs[from.String()]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil, err
	}
	p.backs[from.String()] = c
	go p.answer(c, from)
	return c, nil
}

// answer forwards what the daemon sends to another one.
func (p *proxy) answer(back *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, datagramBytes)
	for {
		n, err := back.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && p.links.passes(p.target.IP, to.IP) {
			// A datagram that is not sent is lost.
			_, _ = p.front.WriteToUDP(buf[:n], to)
		}
	}
}

// useLinks puts proxies between the daemons that are added later. cutZone is the zone that they can cut off.
func (s *stage) useLinks(cutZone string) *links {
	s.links = &links{cutZone: cutZone, zones: make(map[string]string)}
	// The settings name the address that other daemons use beside the one that the daemon listens on.
	s.template = strings.Replace(s.template, "platform: {{", "advertise: {{advertise|json}}\nplatform: {{", 1)
	return s.links
}
