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
	// ServerName is the name that the certificates of daemons carry.
	ServerName = "pomelotiller"
	// reloadPeriod is the time between looks at the files of the key material.
	reloadPeriod = time.Second
)

// material is the key material in force. It follows its files.
type material struct {
	cfg     Config
	current atomic.Pointer[loaded]
}

// loaded is key material as read at one moment.
type loaded struct {
	tls    *tls.Config
	pool   *x509.CertPool
	stamps [3]stamp
}

// stamp tells whether a file was changed.
type stamp struct {
	modified time.Time
	size     int64
}

func newMaterial(cfg Config) (*material, error) {
	m := &material{cfg: cfg}
	if id := cfg.Identity; id != nil {
		m.current.Store(&loaded{tls: newTLS(id.Cert, id.Authorities), pool: id.Authorities})
		return m, nil
	}
	_, err := m.reload()
	return m, err
}

// reload reads the files if they were changed, and reports whether they were.
// Files that do not fit one another, for example because only some of them were
// replaced yet, leave the present material in force.
func (m *material) reload() (bool, error) {
	if m.cfg.Identity != nil {
		return false, nil
	}
	stamps, err := m.stamps()
	if err != nil {
		return false, err
	}
	if old := m.current.Load(); old != nil && old.stamps == stamps {
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
	m.current.Store(&loaded{tls: newTLS(cert, pool), pool: pool, stamps: stamps})
	return true, nil
}

func (m *material) stamps() ([3]stamp, error) {
	var out [3]stamp
	for i, path := range []string{m.cfg.Cert, m.cfg.Key, m.cfg.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return out, fmt.Errorf("load key material: %w", err)
		}
		out[i] = stamp{info.ModTime(), info.Size()}
	}
	return out, nil
}

// server returns the configuration that accepts peers; each handshake uses the
// material in force then.
func (m *material) server() *tls.Config {
	return &tls.Config{
		NextProtos: []string{protocolName}, MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return m.current.Load().tls, nil },
	}
}

// client returns the configuration that connects to peers.
func (m *material) client() *tls.Config { return m.current.Load().tls }

// trusts reports whether the peer of a connection would be let in now.
func (m *material) trusts(s tls.ConnectionState) bool {
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

func newTLS(cert tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: ServerName,
		NextProtos: []string{protocolName}, MinVersion: tls.VersionTLS13,
		// A resumed session would pass by a change of the authority.
		SessionTicketsDisabled: true,
		// The authority may issue certificates for other uses too.
		VerifyConnection: func(s tls.ConnectionState) error {
			return s.PeerCertificates[0].VerifyHostname(ServerName)
		},
	}
}
