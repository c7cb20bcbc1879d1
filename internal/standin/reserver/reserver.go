// Package reserver reserves loopback addresses for processes under test that are
// configured with an address and may start to listen on it only later, or again.
package reserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

const (
	// firstPort is above the well-known ports. All blocks lie below the ephemeral ports
	// of the system.
	firstPort     = 12000
	portsPerBlock = 250
	blockCount    = 80
)

// ErrNoPort is returned if all blocks of ports are in use.
var ErrNoPort = errors.New("no free port of loopback")

// portBlock is a range of ports. A process claims it exclusively by listening on its
// first port.
type portBlock struct {
	claimListener net.Listener
	nextPort      int
	lastPort      int
}

// claimedBlocks are the blocks that this process has claimed; mu guards it.
var (
	mu            sync.Mutex
	claimedBlocks []*portBlock
)

// Address returns a loopback address on which no TCP or UDP socket listens. It returns
// each address once, and no other running process gets the same one.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		if n := len(claimedBlocks); n > 0 {
			if a, ok := claimedBlocks[n-1].takeAddress(); ok {
				return a, nil
			}
		}
		b, err := claimBlock()
		if err != nil {
			return "", err
		}
		claimedBlocks = append(claimedBlocks, b)
	}
}

// Test is the part of testing.TB that MustAddress needs.
type Test interface {
	Helper()
	Fatal(args ...any)
}

// MustAddress returns an address like Address, and fails the test if none is left.
func MustAddress(t Test) string {
	t.Helper()
	a, err := Address()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// claimBlock claims the first unclaimed block by listening on its first port.
func claimBlock() (*portBlock, error) {
	for i := range blockCount {
		port := firstPort + i*portsPerBlock
		if l, err := net.Listen("tcp", loopbackAddress(port)); err == nil {
			return &portBlock{claimListener: l, nextPort: port + 1, lastPort: port + portsPerBlock - 1}, nil
		}
	}
	return nil, ErrNoPort
}

// takeAddress returns the next free address of the block, if there is one.
func (b *portBlock) takeAddress() (string, bool) {
	for b.nextPort <= b.lastPort {
		a := loopbackAddress(b.nextPort)
		b.nextPort++
		if isFree(a) {
			return a, true
		}
	}
	return "", false
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// isFree reports whether TCP and UDP sockets can listen on an address.
func isFree(a string) bool {
	l, err := net.Listen("tcp", a)
	if err != nil {
		return false
	}
	c, err := net.ListenPacket("udp", a)
	if err != nil {
		// The port is skipped whether or not Close fails.
		_ = l.Close()
		return false
	}
	return errors.Join(l.Close(), c.Close()) == nil
}
