package messenger

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// closedTimeout is how long IsClosed waits for the answer of a host.
const closedTimeout = 200 * time.Millisecond

// IsClosed reports whether the host of a UDP address answers that no process listens there (ICMP port
// unreachable, RFC 792). A host that is gone or cut off answers nothing, which tells nothing.
func IsClosed(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, closedTimeout)
	defer cancel()
	// Only a connected socket is told of the answer.
	c, err := (&net.Dialer{}).DialContext(ctx, "udp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return false
	}
	// QUIC ignores a datagram that is no packet of it.
	if _, err := c.Write([]byte{0}); err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, syscall.ECONNREFUSED)
}
