// Package certifier creates key material for tests and trials: a certificate authority
// and certificates for daemons, as PEM files.
package certifier

import (
	"cmp"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const certificateValidity = 24 * time.Hour

// Authority is a certificate authority for daemons.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files holds the paths of a daemon's certificate and key, and of the certificate of
// the authority.
type Files struct {
	Cert, Key, CA string
}

// New creates an authority and writes its files to dir.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	tmpl := certificateTemplate("pomelotiller authority")
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	a := &Authority{dir: dir, cert: cert, key: key}
	return a, writePEM(a.path("ca.pem"), "CERTIFICATE", der)
}

func (a *Authority) path(name string) string { return filepath.Join(a.dir, name) }

// CA returns the path of the authority's certificate.
func (a *Authority) CA() string { return a.path("ca.pem") }

// Options changes the contents of a certificate, for example to make it invalid.
type Options struct {
	// DNSName replaces the DNS name that daemons expect.
	DNSName string
	// Expired sets an end of validity in the past.
	Expired bool
}

// Issue creates a valid certificate for a daemon.
func (a *Authority) Issue(name string) (Files, error) { return a.IssueWith(name, Options{}) }

// IssueWith creates a certificate with options.
func (a *Authority) IssueWith(name string, o Options) (Files, error) {
	f := Files{Cert: a.path(name + ".pem"), Key: a.path(name + ".key"), CA: a.CA()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, fmt.Errorf("issue certificate: %w", err)
	}
	tmpl := certificateTemplate(name)
	tmpl.DNSNames = []string{cmp.Or(o.DNSName, "pomelotiller")}
	if o.Expired {
		tmpl.NotAfter = time.Now().Add(-time.Minute)
	}
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		return f, fmt.Errorf("issue certificate: %w", err)
	}
	if err := writePEM(f.Cert, "CERTIFICATE", der); err != nil {
		return f, err
	}
	b, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return f, fmt.Errorf("issue certificate: %w", err)
	}
	return f, writePEM(f.Key, "PRIVATE KEY", b)
}

func certificateTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateValidity),
	}
}

func writePEM(path, kind string, der []byte) error {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return fmt.Errorf("write key material: %w", err)
	}
	return nil
}
