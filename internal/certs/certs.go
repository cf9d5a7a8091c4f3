// Package certs holds a daemon's TLS certificate and certificate authorities,
// reloads them when their files change, and provides the TLS configurations of
// servers and clients from the files read last.
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

// Files names the PEM files that a daemon needs for TLS.
type Files struct {
	Certificate string
	Key         string
	// Authority is the CA that verifies other daemons.
	Authority string
	// OperatorAuthority is the CA that verifies operators.
	OperatorAuthority string
}

// Store holds the certificate and authorities read last. It is safe for
// concurrent use.
type Store struct {
	files   Files
	daemon  string
	now     func() time.Time
	current atomic.Pointer[keyMaterial]
}

// Open reads and verifies the files of the named daemon. Its error is a
// *FileError.
func Open(files Files, daemon string, now func() time.Time) (*Store, error) {
	s := &Store{files: files, daemon: daemon, now: now}
	m, err := read(files, daemon, now())
	if err != nil {
		return nil, err
	}
	s.current.Store(m)
	return s, nil
}

// Reload reads the files again and reports whether they changed. If a file
// cannot be used, the store keeps the previous certificate and authorities, and
// the error is a *FileError.
func (s *Store) Reload() (changed bool, err error) {
	m, err := read(s.files, s.daemon, s.now())
	if err != nil {
		return false, err
	}
	if bytes.Equal(m.digest, s.current.Load().digest) {
		return false, nil
	}
	s.current.Store(m)
	return true, nil
}

// Expiry returns the time at which the certificate in use, or the first
// certificate of its chain, expires.
func (s *Store) Expiry() time.Time { return s.current.Load().expiry }

// CallerServerConfig returns the configuration of a listener for callers, which
// present no certificate.
func (s *Store) CallerServerConfig() *tls.Config {
	return s.serverConfig(func(*keyMaterial, *tls.Config) {})
}

// OperatorServerConfig returns the configuration of a listener whose clients must
// present a certificate of the operators' authority.
func (s *Store) OperatorServerConfig() *tls.Config {
	return s.serverConfig(func(m *keyMaterial, c *tls.Config) {
		c.ClientCAs, c.ClientAuth = m.operators, tls.RequireAndVerifyClientCert
	})
}

// Server returns the configuration of a listener for other daemons, which must
// present a certificate of the daemons' authority.
func (s *Store) Server() *tls.Config {
	return s.serverConfig(func(m *keyMaterial, c *tls.Config) {
		c.ClientCAs, c.ClientAuth = m.daemons, tls.RequireAndVerifyClientCert
	})
}

// Client returns the configuration of one connection to the named daemon. The
// daemon's certificate must be valid for that name.
func (s *Store) Client(daemon string) *tls.Config {
	m := s.current.Load()
	c := s.base(m)
	c.RootCAs, c.ServerName = m.daemons, daemon
	return c
}

// serverConfig returns a configuration that uses the current files at the time of
// each handshake. Session resumption is disabled so that each handshake verifies
// the whole chain.
func (s *Store) serverConfig(complete func(*keyMaterial, *tls.Config)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current.Load()
			c := s.base(m)
			complete(m, c)
			return c, nil
		},
	}
}

func (s *Store) base(m *keyMaterial) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		Certificates:           []tls.Certificate{m.certificate},
		Time:                   s.now,
	}
}

// ClientConfig returns the configuration of a command-line client that trusts
// the CA in the file authority and, if certificate is not empty, presents that
// certificate.
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

// keyMaterial is the content of the files, as read at one time.
type keyMaterial struct {
	certificate tls.Certificate
	daemons     *x509.CertPool
	operators   *x509.CertPool
	expiry      time.Time
	digest      []byte
}

// TLS alerts by which a server rejects a client's certificate (RFC 8446,
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

// IsCertificateRejection reports whether err is a TLS alert by which a server
// rejected the client's certificate. The server has then read nothing that the
// client sent. The tls package does not export the type of such alerts, so the
// value is read by reflection.
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
