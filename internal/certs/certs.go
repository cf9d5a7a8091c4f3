// Package certs keeps a daemon's TLS certificate and authorities, reads them
// anew when their files change, and makes the configurations of both ends of
// a connection from what was read last.
package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Files name what a daemon needs for TLS, each in PEM form.
type Files struct {
	Certificate string
	Key         string
	// Authority verifies other daemons.
	Authority string
	// OperatorAuthority verifies operators.
	OperatorAuthority string
}

// Store holds the newest usable certificate. Its methods may be called from
// any goroutine.
type Store struct {
	files  Files
	daemon string
	now    func() time.Time
	newest atomic.Pointer[material]
}

// Open reads the files of the named daemon. An error is a *FileError.
func Open(files Files, daemon string, now func() time.Time) (*Store, error) {
	s := &Store{files: files, daemon: daemon, now: now}
	m, err := read(files, daemon, now())
	if err != nil {
		return nil, err
	}
	s.newest.Store(m)
	return s, nil
}

// Reload reads the files and reports whether they changed. Files that cannot
// be used leave everything as it was. An error is a *FileError.
func (s *Store) Reload() (changed bool, err error) {
	m, err := read(s.files, s.daemon, s.now())
	if err != nil {
		return false, err
	}
	if bytes.Equal(m.digest, s.newest.Load().digest) {
		return false, nil
	}
	s.newest.Store(m)
	return true, nil
}

// Expiry returns when the certificate in use, or the first of those that
// issued it, ends.
func (s *Store) Expiry() time.Time { return s.newest.Load().expiry }

// CallerServerConfig returns the configuration of a listener whose clients show no
// certificate.
func (s *Store) CallerServerConfig() *tls.Config {
	return s.listener(func(*material, *tls.Config) {})
}

// OperatorServerConfig returns the configuration of a listener whose clients show a
// certificate of the operators' authority.
func (s *Store) OperatorServerConfig() *tls.Config {
	return s.listener(func(m *material, c *tls.Config) {
		c.ClientCAs, c.ClientAuth = m.operators, tls.RequireAndVerifyClientCert
	})
}

// Server returns the configuration of a listener for other daemons.
func (s *Store) Server() *tls.Config {
	return s.listener(func(m *material, c *tls.Config) {
		c.ClientCAs, c.ClientAuth = m.daemons, tls.RequireAndVerifyClientCert
	})
}

// Client returns the configuration of one connection to the named daemon,
// whose certificate must carry that name.
func (s *Store) Client(daemon string) *tls.Config {
	m := s.newest.Load()
	c := s.base(m)
	c.RootCAs, c.ServerName = m.daemons, daemon
	return c
}

// listener makes a configuration of each handshake from what is newest then.
// No session is resumed, so that each handshake verifies the whole chain.
func (s *Store) listener(complete func(*material, *tls.Config)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.newest.Load()
			c := s.base(m)
			complete(m, c)
			return c, nil
		},
	}
}

func (s *Store) base(m *material) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		Certificates:           []tls.Certificate{m.certificate},
		Time:                   s.now,
	}
}

// ClientConfig returns the configuration of a command line that trusts the
// authority's file and, if certificate is not empty, shows its own.
func ClientConfig(authority, certificate, key string) (*tls.Config, error) {
	roots, _, err := readPool("authority", authority)
	if err != nil {
		return nil, err
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}
	if certificate == "" {
		return c, nil
	}
	pair, _, err := readPair(certificate, key)
	if err != nil {
		return nil, err
	}
	c.Certificates = []tls.Certificate{pair}
	return c, nil
}

// material is what one reading of the files gave.
type material struct {
	certificate tls.Certificate
	daemons     *x509.CertPool
	operators   *x509.CertPool
	expiry      time.Time
	digest      []byte
}

// The alerts by which a server refuses a client's certificate (RFC 8446,
// section 6.2).
const (
	alertBadCertificate         = 42
	alertUnsupportedCertificate = 43
	alertCertificateRevoked     = 44
	alertCertificateExpired     = 45
	alertCertificateUnknown     = 46
	alertUnknownAuthority       = 48
	alertCertificateRequired    = 116
)

// IsCertificateRejection reports whether err is a server's refusal of the certificate that a
// client showed. Nothing that the client sent was then read. The library hands
// such an alert over as a number of an unnamed type.
func IsCertificateRejection(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "remote error" {
		return false
	}
	alert := reflect.ValueOf(op.Err)
	if alert.Kind() != reflect.Uint8 {
		return false
	}
	switch alert.Uint() {
	case alertBadCertificate, alertUnsupportedCertificate, alertCertificateRevoked, alertCertificateExpired,
		alertCertificateUnknown, alertUnknownAuthority, alertCertificateRequired:
		return true
	}
	return false
}
