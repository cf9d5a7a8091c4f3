package certs

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"time"

	"github.com/pkg/errors"
)

// FileError reports a file that cannot be used.
type FileError struct {
	// Field is the settings key that names the file.
	Field string
	File  string
	// Allowed describes the expected content of the file.
	Allowed string
	Err     error
}

// Error returns the key, the file and the cause.
func (e *FileError) Error() string { return e.Field + ": " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// read reads all files and verifies, at time now, that other daemons would
// accept the certificate as that of the named daemon.
func read(f Files, daemon string, now time.Time) (*keyMaterial, error) {
	hash := sha256.New()
	pair, raw, err := readPair(f.Certificate, f.Key)
	if err != nil {
		return nil, err
	}
	hash.Write(raw)
	m := &keyMaterial{certificate: pair}
	if m.daemons, raw, err = readPool("authority", f.Authority); err != nil {
		return nil, err
	}
	hash.Write(raw)
	if m.operators, raw, err = readPool("operatorAuthority", f.OperatorAuthority); err != nil {
		return nil, err
	}
	hash.Write(raw)
	m.digest = hash.Sum(nil)
	m.expiry, err = verifyCertificate(pair, m.daemons, daemon, now)
	if err != nil {
		allowed := "a certificate of the authority, valid now, for servers and clients, with the DNS name " + daemon
		return nil, &FileError{"certificate", f.Certificate, allowed, err}
	}
	return m, nil
}

func readPair(certificate, key string) (pair tls.Certificate, raw []byte, err error) {
	chain, err := os.ReadFile(certificate)
	if err != nil {
		return pair, nil, unreadable("certificate", certificate, err)
	}
	secret, err := os.ReadFile(key)
	if err != nil {
		return pair, nil, unreadable("key", key, err)
	}
	pair, err = tls.X509KeyPair(chain, secret)
	if err == nil {
		return pair, append(chain, secret...), nil
	}
	if !containsCertificate(chain) {
		return pair, nil, &FileError{"certificate", certificate, "a certificate in PEM form", err}
	}
	return pair, nil, &FileError{"key", key, "the certificate's private key in PEM form", err}
}

// containsCertificate reports whether the first CERTIFICATE block of a PEM file
// can be parsed.
func containsCertificate(text []byte) bool {
	for block, rest := pem.Decode(text); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		_, err := x509.ParseCertificate(block.Bytes)
		return err == nil
	}
	return false
}

func readPool(field, file string) (*x509.CertPool, []byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, unreadable(field, file, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, nil, &FileError{field, file, "certificates in PEM form", errors.New("it holds no certificate")}
	}
	return pool, raw, nil
}

func unreadable(field, file string, err error) error {
	var cause *os.PathError
	if errors.As(err, &cause) {
		err = cause.Err
	}
	return &FileError{field, file, "a readable file", err}
}

// verifyCertificate verifies the certificate for use as a server and as a client,
// and returns the time at which the first certificate of its chain expires.
func verifyCertificate(pair tls.Certificate, roots *x509.CertPool, daemon string, now time.Time) (time.Time, error) {
	intermediates := x509.NewCertPool()
	for _, der := range pair.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return time.Time{}, errors.Wrap(err, "read the chain")
		}
		intermediates.AddCert(c)
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: intermediates, DNSName: daemon, CurrentTime: now}
	var chains [][]*x509.Certificate
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options.KeyUsages = []x509.ExtKeyUsage{usage}
		verified, err := pair.Leaf.Verify(options)
		if err != nil {
			return time.Time{}, err
		}
		chains = verified
	}
	return latestExpiry(chains), nil
}

// latestExpiry returns the expiry of the chain that stays valid longest. A chain
// expires with the first of its certificates.
func latestExpiry(chains [][]*x509.Certificate) time.Time {
	var latest time.Time
	for _, chain := range chains {
		end := chain[0].NotAfter
		for _, c := range chain[1:] {
			if c.NotAfter.Before(end) {
				end = c.NotAfter
			}
		}
		if end.After(latest) {
			latest = end
		}
	}
	return latest
}
