package messenger

import (
	"context"
	"fmt"
	"net"

	"github.com/quic-go/quic-go"
)

func (m *Messenger) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	m.mu.Lock()
	conn := m.conns[addr]
	m.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	// Concurrent calls share one handshake, so the end of one caller's ctx must not cancel it.
	dialCtx := context.WithoutCancel(ctx)
	result := m.dialGroup.DoChan(addr, func() (any, error) { return m.dial(dialCtx, addr) })
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to peer %s: %w", addr, ctx.Err())
	case r := <-result:
		if r.Err != nil {
			return nil, fmt.Errorf("connect to peer %s: %w", addr, r.Err)
		}
		return r.Val.(*quic.Conn), nil
	}
}

func (m *Messenger) dial(ctx context.Context, addr string) (*quic.Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := m.transport.Dial(ctx, udp, m.keyMaterial.clientConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[addr] = conn
	context.AfterFunc(conn.Context(), func() { m.dropConn(addr, conn) })
	m.trackConnLocked(conn)
	return conn, nil
}

// CloseConn closes the connection to an address at which another daemon has replaced the
// connected one. The next message opens a new connection.
func (m *Messenger) CloseConn(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.conns[addr]; c != nil {
		delete(m.conns, addr)
		// The replaced daemon no longer runs, so an error does not matter.
		_ = c.CloseWithError(0, "replaced")
	}
}

// dropConn removes a connection from the pool without closing it.
func (m *Messenger) dropConn(addr string, conn *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns[addr] == conn {
		delete(m.conns, addr)
	}
}

// dropIfStalled removes and closes a connection whose call timed out: its peer may be
// unreachable on this connection while a new one works.
func (m *Messenger) dropIfStalled(ctx context.Context, addr string, conn *quic.Conn) {
	if ctx.Err() == nil {
		return
	}
	m.dropConn(addr, conn)
	// If the close does not reach the peer either, the idle timeout ends the connection there.
	_ = conn.CloseWithError(0, "silent")
}
