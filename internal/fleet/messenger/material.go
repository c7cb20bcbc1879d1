package messenger

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

const (
	protocolName = "pomelotiller/1"
	// ServerName is the DNS name in the certificate of every daemon.
	ServerName = "pomelotiller"
	// reloadPeriod is the time between checks whether the key material files have changed.
	reloadPeriod = time.Second
)

// keyMaterial holds the certificate, key and authorities that new TLS connections use.
// They come from files, which are reloaded when they change, or from Config.Identity.
type keyMaterial struct {
	cfg     Config
	current atomic.Pointer[loadedMaterial]
}

// loadedMaterial is the result of one read of the key material.
type loadedMaterial struct {
	tls        *tls.Config
	pool       *x509.CertPool
	fileStamps [3]fileStamp
}

// fileStamp is the modification time and size of a file; a difference shows a change.
type fileStamp struct {
	modified time.Time
	size     int64
}

func newKeyMaterial(cfg Config) (*keyMaterial, error) {
	m := &keyMaterial{cfg: cfg}
	if id := cfg.Identity; id != nil {
		m.current.Store(&loadedMaterial{tls: newTLSConfig(id.Cert, id.Authorities), pool: id.Authorities})
		return m, nil
	}
	_, err := m.reloadIfChanged()
	return m, err
}

// reloadIfChanged reads the files if they have changed and reports whether it replaced the
// current material. It keeps the current material if the files do not match one another, for
// example while only some of them have been replaced.
func (m *keyMaterial) reloadIfChanged() (bool, error) {
	if m.cfg.Identity != nil {
		return false, nil
	}
	fileStamps, err := m.fileStamps()
	if err != nil {
		return false, err
	}
	if old := m.current.Load(); old != nil && old.fileStamps == fileStamps {
		return false, nil
	}
	cert, err := tls.LoadX509KeyPair(m.cfg.Cert, m.cfg.Key)
	if err != nil {
		return false, fmt.Errorf("load key material: %w", err)
	}
	pem, err := os.ReadFile(m.cfg.CA)
	if err != nil {
		return false, fmt.Errorf("load key material: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return false, fmt.Errorf("load key material: %s holds no certificate", m.cfg.CA)
	}
	m.current.Store(&loadedMaterial{tls: newTLSConfig(cert, pool), pool: pool, fileStamps: fileStamps})
	return true, nil
}

func (m *keyMaterial) fileStamps() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, path := range []string{m.cfg.Cert, m.cfg.Key, m.cfg.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return out, fmt.Errorf("load key material: %w", err)
		}
		out[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

// serverConfig returns the TLS configuration for accepted connections. Each handshake uses the
// key material that is current at that time.
func (m *keyMaterial) serverConfig() *tls.Config {
	return &tls.Config{
		NextProtos: []string{protocolName}, MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return m.current.Load().tls, nil },
	}
}

// clientConfig returns the TLS configuration for outgoing connections.
func (m *keyMaterial) clientConfig() *tls.Config { return m.current.Load().tls }

// trustsPeer reports whether the current authorities accept the certificate of a connected peer.
func (m *keyMaterial) trustsPeer(s tls.ConnectionState) bool {
	if len(s.PeerCertificates) == 0 {
		return false
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName: ServerName, Roots: m.current.Load().pool, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err == nil
}

func newTLSConfig(cert tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: ServerName,
		NextProtos: []string{protocolName}, MinVersion: tls.VersionTLS13,
		// A resumed session skips the certificate check, so it would survive a change of authority.
		SessionTicketsDisabled: true,
		// The authority may also issue certificates that are not for daemons.
		VerifyConnection: func(s tls.ConnectionState) error {
			return s.PeerCertificates[0].VerifyHostname(ServerName)
		},
	}
}
