package messenger

import (
	"net"
	"testing"
)

func TestIsClosed(t *testing.T) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := c.LocalAddr().String()
	if IsClosed(t.Context(), address) {
		t.Errorf("got %s closed while a process listens there, want open", address)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if !IsClosed(t.Context(), address) {
		t.Errorf("got %s open after nobody listens there, want closed", address)
	}
	if IsClosed(t.Context(), "not an address") {
		t.Error("got an address that cannot be resolved closed, want no evidence")
	}
}
