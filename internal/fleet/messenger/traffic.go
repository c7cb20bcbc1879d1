package messenger

import (
	"context"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
)

// headerBytes are those of IPv4 and UDP, which each packet has besides its own.
const headerBytes = 28

// Traffic is what went over the wire, headers and acknowledgements included.
type Traffic struct {
	SentBytes, ReceivedBytes uint64
}

func (t Traffic) plus(s quic.ConnectionStats) Traffic {
	t.SentBytes += s.BytesSent + headerBytes*s.PacketsSent
	t.ReceivedBytes += s.BytesReceived + headerBytes*s.PacketsReceived
	return t
}

// Traffic returns the bytes sent and received so far.
func (m *Messenger) Traffic() Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.ended
	for c := range m.open {
		total = total.plus(c.ConnectionStats())
	}
	return total
}

// Connections returns the number of open connections.
func (m *Messenger) Connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.open)
}

func (m *Messenger) track(conn *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trackLocked(conn)
}

// trackLocked counts a connection until it ends. The caller holds the lock.
func (m *Messenger) trackLocked(conn *quic.Conn) {
	m.open[conn] = struct{}{}
	context.AfterFunc(conn.Context(), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.open, conn)
		m.ended = m.ended.plus(conn.ConnectionStats())
	})
}

func (m *Messenger) register(r metrics.Registry) {
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
