// Package issuer makes the key material of daemons on hosts without disks. The
// authority is kept in the platform's store and created there once by
// compare-and-swap; each daemon issues a certificate for itself at its start.
package issuer

import (
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
	// key is where the store keeps the authority.
	key = "fleet/authority"
	// validity is how long certificates last; daemons are replaced far sooner.
	validity = 365 * 24 * time.Hour
	// skew allows for clocks of daemons that differ.
	skew = time.Hour
)

// authority is what the store keeps, in DER form.
type authority struct {
	Cert []byte `json:"cert"`
	Key  []byte `json:"key"`
}

// Identity reads the authority from the store, creates it if there is none, and
// issues a certificate to the daemon of that name.
func Identity(ctx context.Context, store storer.Store, name string) (messenger.Identity, error) {
	a, err := read(ctx, store)
	if errors.Is(err, storer.ErrNotFound) {
		a, err = create(ctx, store)
	}
	if err != nil {
		return messenger.Identity{}, fmt.Errorf("authority of daemons: %w", err)
	}
	return a.issue(name)
}

func read(ctx context.Context, store storer.Store) (authority, error) {
	var a authority
	e, err := store.Get(ctx, key)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(e.Value, &a)
}

// create writes a new authority, or reads the one that another daemon wrote.
func create(ctx context.Context, store storer.Store) (authority, error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return authority{}, err
	}
	tmpl := template("pomelotiller authority")
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	cert, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, pub, priv)
	if err != nil {
		return authority{}, err
	}
	a := authority{Cert: cert, Key: priv}
	b, err := json.Marshal(a)
	if err != nil {
		return authority{}, err
	}
	_, err = store.Swap(ctx, storer.Write{Key: key, Value: b})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return read(ctx, store)
	}
	return a, err
}

func (a authority) issue(name string) (messenger.Identity, error) {
	var none messenger.Identity
	ca, err := x509.ParseCertificate(a.Cert)
	if err != nil {
		return none, fmt.Errorf("authority of daemons: %w", err)
	}
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return none, err
	}
	tmpl := template(name)
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

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-skew),
		NotAfter:     now.Add(validity),
	}
}
