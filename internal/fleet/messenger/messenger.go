// Package messenger sends messages between daemons over QUIC with mutual TLS:
// unreliable datagrams for messages that may be lost, and one stream for each
// call, which has an answer. Messages are CBOR with a protocol version.
package messenger

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"pomelotiller/internal/fleet/ticker"
)

const (
	handshakeTimeout = 2 * time.Second
	// idleTimeout closes unused connections, so that a daemon keeps only those to
	// its gossip neighbours. It also bounds how long datagrams are sent on a
	// connection whose peer has become unreachable.
	idleTimeout = 6 * time.Second
)

// Handler processes calls of one kind and returns the body of the answer.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Config configures a Messenger.
type Config struct {
	// Listen is the UDP address to listen on.
	Listen string
	// Cert, Key and CA name files in PEM form.
	Cert, Key, CA string
	// Identity is used in place of the files on hosts without disks; may be nil.
	Identity *Identity
	// OnReloadError is called with the error if the files cannot be reloaded; may be nil.
	OnReloadError func(error)
	// Registry receives gauges of connections and bytes; may be nil.
	Registry metrics.Registry
}

// Identity is a daemon's certificate with its key, and the authorities it trusts, in memory.
type Identity struct {
	Cert        tls.Certificate
	Authorities *x509.CertPool
}

// Messenger sends and receives messages and pools one connection for each address
// that it calls. All methods are safe for concurrent use.
type Messenger struct {
	transport        *quic.Transport
	listener         *quic.Listener
	handshakes       *handshakes
	keyMaterial      *keyMaterial
	onReloadError    func(error)
	dialGroup        singleflight.Group
	mu               sync.Mutex
	conns            map[string]*quic.Conn
	openConns        map[*quic.Conn]struct{}
	closedTraffic    Traffic
	handlers         map[string]Handler
	datagramHandlers map[string]func(body []byte)
}

// New listens on cfg.Listen. Connections are accepted only after a call of Run.
func New(cfg Config) (*Messenger, error) {
	mat, err := newKeyMaterial(cfg)
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	pc, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	hs := newHandshakes(cfg.Registry)
	tr := &quic.Transport{Conn: pc, ConnContext: hs.begin, VerifySourceAddress: hs.mustVerify}
	ln, err := tr.Listen(mat.serverConfig(), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	m := &Messenger{
		transport: tr, listener: ln, handshakes: hs, keyMaterial: mat, onReloadError: cfg.OnReloadError,
		conns: make(map[string]*quic.Conn), openConns: make(map[*quic.Conn]struct{}),
		handlers: make(map[string]Handler), datagramHandlers: make(map[string]func([]byte)),
	}
	m.registerGauges(cfg.Registry)
	return m, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout,
		EnableDatagrams: true,
	}
}

// Address returns the address that the messenger listens on.
func (m *Messenger) Address() string { return m.listener.Addr().String() }

// Handle registers the handler of calls of one kind.
func (m *Messenger) Handle(kind string, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = h
}

// HandleDatagram registers the function that receives the bodies of datagrams of one kind.
func (m *Messenger) HandleDatagram(kind string, f func(body []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.datagramHandlers[kind] = f
}

// Run accepts connections and handles their messages until ctx ends, then closes all connections.
func (m *Messenger) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { m.listener.Close() })
	defer stop()
	go m.watchKeyMaterial(ctx)
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return m.close(ctx, err)
		}
		m.handshakes.end(conn.Context())
		go m.serveConn(ctx, conn)
	}
}

// watchKeyMaterial reloads changed key material until ctx ends. After each reload it closes
// the connections of peers that the new key material does not trust.
func (m *Messenger) watchKeyMaterial(ctx context.Context) {
	// Every returns only when ctx ends, and then nil.
	_ = ticker.Every(ctx, reloadPeriod, func(context.Context) {
		changed, err := m.keyMaterial.reloadIfChanged()
		if err != nil && m.onReloadError != nil {
			m.onReloadError(err)
		}
		if changed {
			m.closeUntrusted()
		}
	})
}

// closeUntrusted closes the connections of peers whose certificate the current key
// material no longer trusts.
func (m *Messenger) closeUntrusted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.openConns {
		if !m.keyMaterial.trustsPeer(c.ConnectionState().TLS) {
			// If the close is lost, the idle timeout ends the connection at the peer.
			_ = c.CloseWithError(0, "certificate no longer valid")
		}
	}
}

func (m *Messenger) close(ctx context.Context, cause error) error {
	m.mu.Lock()
	for _, c := range m.conns {
		// If the close is lost, the idle timeout ends the connection at the peer.
		_ = c.CloseWithError(0, "stopping")
	}
	m.mu.Unlock()
	if err := m.transport.Close(); err != nil {
		return fmt.Errorf("close peers: %w", err)
	}
	if err := m.transport.Conn.Close(); err != nil {
		return fmt.Errorf("close peers: %w", err)
	}
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("accept peer: %w", cause)
}

// Call sends a message to the daemon at addr and returns its answer. It returns a
// *CallError if that daemon answers with an error.
func (m *Messenger) Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error) {
	conn, err := m.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		m.dropConn(addr, conn)
		return nil, fmt.Errorf("call %s at %s: %w", kind, addr, err)
	}
	stop := context.AfterFunc(ctx, func() { s.CancelRead(0); s.CancelWrite(0) })
	defer stop()
	if err := writeEnvelope(s, envelope{Version: protocolVersion, Kind: kind, Body: body}); err != nil {
		return nil, fmt.Errorf("call %s at %s: %w", kind, addr, err)
	}
	if err := s.Close(); err != nil {
		return nil, fmt.Errorf("call %s at %s: %w", kind, addr, err)
	}
	var e envelope
	if err := readEnvelope(s, &e); err != nil {
		m.dropIfStalled(ctx, addr, conn)
		return nil, fmt.Errorf("call %s at %s: %w", kind, addr, err)
	}
	if e.Error != "" {
		return nil, &CallError{Kind: kind, Message: e.Error, cause: errorsByCode[e.Code]}
	}
	return e.Body, nil
}

// SendDatagram sends a datagram to the daemon at addr. A nil error does not mean that it arrived.
func (m *Messenger) SendDatagram(ctx context.Context, addr, kind string, body []byte) error {
	conn, err := m.connect(ctx, addr)
	if err != nil {
		return err
	}
	b, err := cbor.Marshal(envelope{Version: protocolVersion, Kind: kind, Body: body})
	if err != nil {
		return fmt.Errorf("encode %s: %w", kind, err)
	}
	if err := conn.SendDatagram(b); err != nil {
		m.dropConn(addr, conn)
		return fmt.Errorf("send %s to %s: %w", kind, addr, err)
	}
	return nil
}
