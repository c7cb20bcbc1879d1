package messenger

import (
	"context"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
)

// packetHeaderBytes is the size of the IPv4 and UDP headers, which QUIC does not count.
const packetHeaderBytes = 28

// Traffic counts bytes on the network, including packet headers and acknowledgements.
type Traffic struct {
	SentBytes, ReceivedBytes uint64
}

// withConnStats returns t with the bytes of one connection added.
func (t Traffic) withConnStats(s quic.ConnectionStats) Traffic {
	t.SentBytes += s.BytesSent + packetHeaderBytes*s.PacketsSent
	t.ReceivedBytes += s.BytesReceived + packetHeaderBytes*s.PacketsReceived
	return t
}

// Traffic returns the bytes sent and received since the start, on closed connections too.
func (m *Messenger) Traffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.closedTraffic
	for c := range m.openConns {
		total = total.withConnStats(c.ConnectionStats())
	}
	return total
}

// Connections returns the number of open connections.
func (m *Messenger) Connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.openConns)
}

func (m *Messenger) trackConn(conn *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trackConnLocked(conn)
}

// trackConnLocked keeps a connection in m.openConns until it closes, then adds its bytes to
// m.closedTraffic. The caller holds m.mu.
func (m *Messenger) trackConnLocked(conn *quic.Conn) {
	m.openConns[conn] = struct{}{}
	context.AfterFunc(conn.Context(), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.openConns, conn)
		m.closedTraffic = m.closedTraffic.withConnStats(conn.ConnectionStats())
	})
}

func (m *Messenger) registerGauges(r metrics.Registry) {
	if r == nil {
		return
	}
	for name, f := range map[string]func() int64{
		"peers_connections":    func() int64 { return int64(m.Connections()) },
		"peers_sent_bytes":     func() int64 { return int64(m.Traffic().SentBytes) },
		"peers_received_bytes": func() int64 { return int64(m.Traffic().ReceivedBytes) },
	} {
		metrics.NewRegisteredFunctionalGauge(name, r, f)
	}
}
