// Package issuer creates the TLS certificates of daemons on hosts without disks.
// The certificate authority and its key are in the platform's store, where the
// first daemon creates them by compare-and-swap. Each daemon reads them at its
// start and issues its own certificate.
package issuer

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"time"

	"pomelotiller/internal/fleet/messenger"
	"pomelotiller/internal/remote/storer"
)

const (
	// authorityKey is the key of the authority in the store.
	authorityKey = "fleet/authority"
	// certValidity is how long certificates are valid; daemons are replaced far sooner.
	certValidity = 365 * 24 * time.Hour
	// maxClockSkew is how far certificates are backdated, since clocks of daemons differ.
	maxClockSkew = time.Hour
)

// Authority is the certificate authority of a fleet as the store holds it: the
// certificate in DER form and the Ed25519 private key.
type Authority struct {
	Cert []byte `json:"cert"`
	Key  []byte `json:"key"`
}

// IssueIdentity reads the authority from the store, or creates it if there is none, and
// issues a certificate for the daemon called name.
func IssueIdentity(ctx context.Context, store storer.Store, name string) (messenger.Identity, Authority, error) {
	a, err := readAuthority(ctx, store)
	if errors.Is(err, storer.ErrNotFound) {
		a, err = createAuthority(ctx, store)
	}
	if err != nil {
		return messenger.Identity{}, a, fmt.Errorf("get certificate authority: %w", err)
	}
	id, err := a.issueCert(name)
	return id, a, err
}

// ErrDifferentAuthority means that the store holds an authority other than this daemon's.
var ErrDifferentAuthority = errors.New("the store has another authority")

// RestoreIfLost writes the authority to the store if the store has lost it, so that daemons which
// start later get certificates that the running daemons trust.
func (a Authority) RestoreIfLost(ctx context.Context, store storer.Store) error {
	b, err := json.Marshal(a)
	if err != nil {
		return err
	}
	_, err = store.Swap(ctx, storer.Write{Key: authorityKey, Value: b})
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Current.Value) == 0 {
		return err
	}
	if !bytes.Equal(conflict.Current.Value, b) {
		return ErrDifferentAuthority
	}
	return nil
}

func readAuthority(ctx context.Context, store storer.Store) (Authority, error) {
	var a Authority
	e, err := store.Get(ctx, authorityKey)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(e.Value, &a)
}

// createAuthority writes a new authority to the store, or reads the one that another daemon
// wrote first.
func createAuthority(ctx context.Context, store storer.Store) (Authority, error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Authority{}, err
	}
	tmpl := certTemplate("pomelotiller authority")
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	cert, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, pub, priv)
	if err != nil {
		return Authority{}, err
	}
	a := Authority{Cert: cert, Key: priv}
	b, err := json.Marshal(a)
	if err != nil {
		return Authority{}, err
	}
	_, err = store.Swap(ctx, storer.Write{Key: authorityKey, Value: b})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return readAuthority(ctx, store)
	}
	return a, err
}

func (a Authority) issueCert(name string) (messenger.Identity, error) {
	var none messenger.Identity
	ca, err := x509.ParseCertificate(a.Cert)
	if err != nil {
		return none, fmt.Errorf("parse authority certificate: %w", err)
	}
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return none, err
	}
	tmpl := certTemplate(name)
	tmpl.DNSNames = []string{messenger.ServerName}
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca, pub, ed25519.PrivateKey(a.Key))
	if err != nil {
		return none, fmt.Errorf("issue certificate: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	return messenger.Identity{Cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: priv}, Authorities: pool}, nil
}

func certTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(certValidity),
	}
}
