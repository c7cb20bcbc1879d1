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
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

const (
	protocolVersion  = 1
	protocolName     = "pomelotiller/1"
	serverName       = "pomelotiller"
	maxMessageBytes  = 2 << 20
	handshakeTimeout = 2 * time.Second
	idleTimeout      = 10 * time.Second
	keepAlivePeriod  = 3 * time.Second
	// MaxDatagramBytes is the largest body that fits a datagram on any path.
	MaxDatagramBytes = 1100
)

// Errors of calls.
var (
	ErrVersion = errors.New("protocol version is not supported")
	ErrUnknown = errors.New("kind of message is not known")
)

// envelope is the form of each message on the wire.
type envelope struct {
	Version int    `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint,omitempty"`
	Body    []byte `cbor:"3,keyasint,omitempty"`
	Error   string `cbor:"4,keyasint,omitempty"`
}

// Handler answers calls of one kind.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Config configures a Messenger.
type Config struct {
	// Listen is the UDP address to listen on.
	Listen string
	// Cert, Key and CA name files in PEM form.
	Cert, Key, CA string
}

// Messenger sends and receives messages. All methods are safe for concurrent
// use.
type Messenger struct {
	transport *quic.Transport
	listener  *quic.Listener
	tls       *tls.Config
	mu        sync.Mutex
	conns     map[string]*quic.Conn
	handlers  map[string]Handler
	datagrams map[string]func(body []byte)
}

// New listens on cfg.Listen. Nothing is served before Run.
func New(cfg Config) (*Messenger, error) {
	t, err := tlsConfig(cfg)
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
	ln, err := tr.Listen(t, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Messenger{
		transport: tr, listener: ln, tls: t, conns: make(map[string]*quic.Conn),
		handlers: make(map[string]Handler), datagrams: make(map[string]func([]byte)),
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout,
		KeepAlivePeriod: keepAlivePeriod, EnableDatagrams: true,
	}
}

func tlsConfig(cfg Config) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(cfg.Cert, cfg.Key)
	if err != nil {
		return nil, fmt.Errorf("load key material: %w", err)
	}
	pem, err := os.ReadFile(cfg.CA)
	if err != nil {
		return nil, fmt.Errorf("load key material: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load key material: %s holds no certificate", cfg.CA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: serverName,
		NextProtos: []string{protocolName}, MinVersion: tls.VersionTLS13,
	}, nil
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
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return m.close(ctx, err)
		}
		go m.serve(ctx, conn)
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
	var e envelope
	if err := readEnvelope(s, &e); err != nil {
		s.CancelRead(0)
		return
	}
	m.mu.Lock()
	h := m.handlers[e.Kind]
	m.mu.Unlock()
	out := envelope{Version: protocolVersion}
	switch {
	case e.Version != protocolVersion:
		out.Error = ErrVersion.Error()
	case h == nil:
		out.Error = ErrUnknown.Error()
	default:
		b, err := h(ctx, e.Body)
		if out.Body = b; err != nil {
			out.Error = err.Error()
		}
	}
	// The caller times out if the answer is lost.
	_ = writeEnvelope(s, out)
}

// CallError is an error that the called daemon answered.
type CallError struct {
	Kind    string
	Message string
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("call %s: %s", e.Kind, e.Message) }

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
		return nil, &CallError{Kind: kind, Message: e.Error}
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
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to peer: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err = m.transport.Dial(ctx, udp, m.tls, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", addr, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[addr] = conn
	return conn, nil
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

func writeEnvelope(w io.Writer, e envelope) error {
	b, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

func readEnvelope(r io.Reader, e *envelope) error {
	b, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, e)
}
