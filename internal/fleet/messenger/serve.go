package messenger

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

func (m *Messenger) serveConn(ctx context.Context, conn *quic.Conn) {
	m.trackConn(conn)
	if !m.keyMaterial.trustsPeer(conn.ConnectionState().TLS) {
		// The key material changed during the handshake. If the close is lost, the
		// idle timeout ends the connection at the peer.
		_ = conn.CloseWithError(0, "certificate no longer valid")
		return
	}
	go m.receiveDatagrams(ctx, conn)
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go m.serveCall(ctx, s)
	}
}

func (m *Messenger) receiveDatagrams(ctx context.Context, conn *quic.Conn) {
	for {
		b, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var e envelope
		if err := cbor.Unmarshal(b, &e); err != nil || e.Version != protocolVersion {
			continue
		}
		m.mu.Lock()
		f := m.datagramHandlers[e.Kind]
		m.mu.Unlock()
		if f != nil {
			f(e.Body)
		}
	}
}

func (m *Messenger) serveCall(ctx context.Context, s *quic.Stream) {
	defer s.Close()
	out := m.handleCall(ctx, s)
	err := writeEnvelope(s, out)
	if errors.Is(err, ErrMessageTooLarge) {
		err = writeEnvelope(s, errorAnswer(err))
	}
	if err != nil {
		// The caller has disconnected, or its call times out.
		s.CancelWrite(0)
	}
}

// handleCall reads one message, calls its handler and returns the answer.
func (m *Messenger) handleCall(ctx context.Context, s *quic.Stream) envelope {
	var e envelope
	if err := readEnvelope(s, &e); err != nil {
		s.CancelRead(0)
		return errorAnswer(err)
	}
	m.mu.Lock()
	h := m.handlers[e.Kind]
	m.mu.Unlock()
	if e.Version != protocolVersion {
		return errorAnswer(fmt.Errorf("%w: %d, want %d", ErrUnsupportedVersion, e.Version, protocolVersion))
	}
	if h == nil {
		return errorAnswer(fmt.Errorf("%w: %q", ErrUnknownKind, e.Kind))
	}
	b, err := h(ctx, e.Body)
	if err != nil {
		return envelope{Version: protocolVersion, Body: b, Error: err.Error()}
	}
	return envelope{Version: protocolVersion, Body: b}
}
