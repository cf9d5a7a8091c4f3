// Package testca provides a certificate authority for tests.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// DefaultValidity is the validity of certificates without an explicit NotAfter.
const DefaultValidity = 24 * time.Hour

// Authority issues certificates.
type Authority struct {
	now  func() time.Time
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority with a new key and a self-signed certificate.
func New(now func() time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: now().Add(-DefaultValidity), NotAfter: now().Add(10 * DefaultValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority")
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{now: now, cert: cert, key: key}, errors.Wrap(err, "parse authority")
}

// Request describes a certificate to issue.
type Request struct {
	Name   string
	Serial int64
	// NotAfter is the end of validity; zero means DefaultValidity from now.
	NotAfter time.Time
	// IPs are the subject's IP addresses, in addition to its DNS name.
	IPs []net.IP
}

// Issued holds the paths of a certificate's files.
type Issued struct{ Certificate, Key, Authority string }

// Issue writes a certificate, its key and the authority's certificate to dir. It
// replaces earlier files of the same name.
func (a *Authority) Issue(dir string, r Request) (Issued, error) {
	if r.NotAfter.IsZero() {
		r.NotAfter = a.now().Add(DefaultValidity)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Issued{}, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(max(r.Serial, 2)), Subject: pkix.Name{CommonName: r.Name},
		NotBefore: a.now().Add(-DefaultValidity), NotAfter: r.NotAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		DNSNames:    []string{r.Name}, IPAddresses: r.IPs,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Issued{}, errors.Wrap(err, "sign certificate")
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Issued{}, errors.Wrap(err, "encode key")
	}
	out := Issued{
		Certificate: filepath.Join(dir, r.Name+".crt"), Key: filepath.Join(dir, r.Name+".key"),
		Authority: filepath.Join(dir, r.Name+".ca"),
	}
	for _, f := range []struct {
		file, kind string
		der        []byte
	}{
		{out.Certificate, "CERTIFICATE", der},
		{out.Key, "EC PRIVATE KEY", secret},
		{out.Authority, "CERTIFICATE", a.cert.Raw},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := os.WriteFile(f.file, text, 0o600); err != nil {
			return Issued{}, errors.Wrap(err, "write certificate")
		}
	}
	return out, nil
}
