package reserver

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Addresses must be distinct, and below the ephemeral ports, which the system may assign
// to any other socket.
func TestAddressesAreReserved(t *testing.T) {
	lowest := lowestEphemeralPort(t)
	seen := make(map[string]bool)
	for range 3 * portsPerBlock {
		a := MustAddress(t)
		if seen[a] {
			t.Fatalf("got %s twice, want it once", a)
		}
		seen[a] = true
		_, port, err := net.SplitHostPort(a)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := strconv.Atoi(port); err != nil || n >= lowest {
			t.Fatalf("got port %s (%v), want one below %d", port, err, lowest)
		}
	}
}

// defaultLowestEphemeralPort is the first ephemeral port of Linux by default.
const defaultLowestEphemeralPort = 32768

// lowestEphemeralPort returns the first ephemeral port of this system.
func lowestEphemeralPort(t *testing.T) int {
	t.Helper()
	b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Logf("read range of ephemeral ports: %v", err)
		return defaultLowestEphemeralPort
	}
	n, err := strconv.Atoi(strings.Fields(string(b))[0])
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Addresses on which a TCP or UDP socket listens, and blocks that another process has
// claimed, must be skipped.
func TestUsedPortsAreSkipped(t *testing.T) {
	first, err := claimBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer first.claimListener.Close()
	second, err := claimBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer second.claimListener.Close()
	if first.lastPort >= second.nextPort {
		t.Fatalf("got blocks to %d and from %d, want them apart", first.lastPort, second.nextPort)
	}
	c, err := net.ListenPacket("udp", loopbackAddress(first.nextPort))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	l, err := net.Listen("tcp", loopbackAddress(first.nextPort+1))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	want := loopbackAddress(first.nextPort + 2)
	if got, ok := first.takeAddress(); !ok || got != want {
		t.Errorf("got %s (%t), want %s", got, ok, want)
	}
}
