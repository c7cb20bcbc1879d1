// Package messenger carries messages between daemons over QUIC with mutual TLS:
// datagrams where a loss does no harm, and one stream for each call. Messages
// are CBOR and carry the version of the protocol.
package messenger

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
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
	// idleTimeout ends connections that are no longer used, so that a daemon
	// keeps only those to its neighbours. It also bounds how long datagrams go
	// into a connection that is silent for good.
	idleTimeout = 6 * time.Second
)

// Handler answers calls of one kind.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Config configures a Messenger.
type Config struct {
	// Listen is the UDP address to listen on.
	Listen string
	// Cert, Key and CA name files in PEM form.
	Cert, Key, CA string
	// Identity replaces the files where a host has none; may be nil.
	Identity *Identity
	// Failed is called with an error of reading the files anew; may be nil.
	Failed func(error)
	// Registry receives gauges of the traffic; may be nil.
	Registry metrics.Registry
}

// Identity is key material that is kept in memory.
type Identity struct {
	Cert        tls.Certificate
	Authorities *x509.CertPool
}

// Messenger sends and receives messages. All methods are safe for concurrent
// use.
type Messenger struct {
	transport *quic.Transport
	listener  *quic.Listener
	material  *material
	failed    func(error)
	dials     singleflight.Group
	mu        sync.Mutex
	conns     map[string]*quic.Conn
	open      map[*quic.Conn]struct{}
	ended     Traffic
	handlers  map[string]Handler
	datagrams map[string]func(body []byte)
}

// New listens on cfg.Listen. Nothing is served before Run.
func New(cfg Config) (*Messenger, error) {
	mat, err := newMaterial(cfg)
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
	tr := &quic.Transport{Conn: pc}
	ln, err := tr.Listen(mat.server(), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	m := &Messenger{
		transport: tr, listener: ln, material: mat, failed: cfg.Failed,
		conns: make(map[string]*quic.Conn), open: make(map[*quic.Conn]struct{}),
		handlers: make(map[string]Handler), datagrams: make(map[string]func([]byte)),
	}
	m.register(cfg.Registry)
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

// HandleDatagram registers the receiver of datagrams of one kind.
func (m *Messenger) HandleDatagram(kind string, f func(body []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.datagrams[kind] = f
}

// Run serves peers until ctx ends, then closes all connections.
func (m *Messenger) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { m.listener.Close() })
	defer stop()
	go m.follow(ctx)
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return m.close(ctx, err)
		}
		go m.serve(ctx, conn)
	}
}

// follow takes in changes of the key material until ctx ends.
func (m *Messenger) follow(ctx context.Context) {
	// It ends with ctx alone.
	_ = ticker.Every(ctx, reloadPeriod, func(context.Context) {
		changed, err := m.material.reload()
		if err != nil && m.failed != nil {
			m.failed(err)
		}
		if changed {
			m.dropStrangers()
		}
	})
}

// dropStrangers closes the connections of peers that the key material in force
// no longer lets in.
func (m *Messenger) dropStrangers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.open {
		if !m.material.trusts(c.ConnectionState().TLS) {
			// The peer learns of the end by its idle timeout if this is lost.
			_ = c.CloseWithError(0, "certificate no longer valid")
		}
	}
}

func (m *Messenger) close(ctx context.Context, cause error) error {
	m.mu.Lock()
	for _, c := range m.conns {
		// The peer learns of the end by its idle timeout if this is lost.
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

func (m *Messenger) serve(ctx context.Context, conn *quic.Conn) {
	m.track(conn)
	if !m.material.trusts(conn.ConnectionState().TLS) {
		// The key material changed during the handshake. The peer learns of
		// the end by its idle timeout if this is lost.
		_ = conn.CloseWithError(0, "certificate no longer valid")
		return
	}
	go m.receiveDatagrams(ctx, conn)
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go m.answer(ctx, s)
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
		f := m.datagrams[e.Kind]
		m.mu.Unlock()
		if f != nil {
			f(e.Body)
		}
	}
}

func (m *Messenger) answer(ctx context.Context, s *quic.Stream) {
	defer s.Close()
	out := m.handle(ctx, s)
	err := writeEnvelope(s, out)
	if errors.Is(err, ErrTooLarge) {
		err = writeEnvelope(s, refusal(err))
	}
	if err != nil {
		// The caller is gone, or times out.
		s.CancelWrite(0)
	}
}

// handle reads one message and returns its answer.
func (m *Messenger) handle(ctx context.Context, s *quic.Stream) envelope {
	var e envelope
	if err := readEnvelope(s, &e); err != nil {
		s.CancelRead(0)
		return refusal(err)
	}
	m.mu.Lock()
	h := m.handlers[e.Kind]
	m.mu.Unlock()
	if e.Version != protocolVersion {
		return refusal(fmt.Errorf("%w: %d, want %d", ErrVersion, e.Version, protocolVersion))
	}
	if h == nil {
		return refusal(fmt.Errorf("%w: %q", ErrUnknown, e.Kind))
	}
	b, err := h(ctx, e.Body)
	if err != nil {
		return envelope{Version: protocolVersion, Body: b, Error: err.Error()}
	}
	return envelope{Version: protocolVersion, Body: b}
}

// Call sends a message to the daemon at addr and returns its answer. A daemon's
// own error comes as a *CallError.
func (m *Messenger) Call(ctx context.Context, addr, kind string, body []byte) ([]byte, error) {
	conn, err := m.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		m.forget(addr, conn)
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
		m.forgetIfSilent(ctx, addr, conn)
		return nil, fmt.Errorf("call %s at %s: %w", kind, addr, err)
	}
	if e.Error != "" {
		return nil, &CallError{Kind: kind, Message: e.Error, cause: causes[e.Code]}
	}
	return e.Body, nil
}

// Send sends a datagram, which may be lost.
func (m *Messenger) Send(ctx context.Context, addr, kind string, body []byte) error {
	conn, err := m.connect(ctx, addr)
	if err != nil {
		return err
	}
	b, err := cbor.Marshal(envelope{Version: protocolVersion, Kind: kind, Body: body})
	if err != nil {
		return fmt.Errorf("encode %s: %w", kind, err)
	}
	if err := conn.SendDatagram(b); err != nil {
		m.forget(addr, conn)
		return fmt.Errorf("send %s to %s: %w", kind, addr, err)
	}
	return nil
}

func (m *Messenger) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	m.mu.Lock()
	conn := m.conns[addr]
	m.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	// Calls at once share one handshake; the end of one does not end it.
	dialCtx := context.WithoutCancel(ctx)
	result := m.dials.DoChan(addr, func() (any, error) { return m.dial(dialCtx, addr) })
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
	conn, err := m.transport.Dial(ctx, udp, m.material.client(), quicConfig())
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[addr] = conn
	context.AfterFunc(conn.Context(), func() { m.forget(addr, conn) })
	m.trackLocked(conn)
	return conn, nil
}

// Forget gives up the connection to an address, since the daemon that it led to
// was replaced; the next message makes a new one.
func (m *Messenger) Forget(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.conns[addr]; c != nil {
		delete(m.conns, addr)
		// The former peer is gone and takes no close.
		_ = c.CloseWithError(0, "replaced")
	}
}

func (m *Messenger) forget(addr string, conn *quic.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns[addr] == conn {
		delete(m.conns, addr)
	}
}

// forgetIfSilent gives up a connection whose call timed out, since it may be
// silent for good while a new one works.
func (m *Messenger) forgetIfSilent(ctx context.Context, addr string, conn *quic.Conn) {
	if ctx.Err() == nil {
		return
	}
	m.forget(addr, conn)
	// A silent connection takes no close either; its idle timeout ends it.
	_ = conn.CloseWithError(0, "silent")
}
