package certs

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// DialTLS returns a function for http.Transport.DialTLSContext that opens TLS
// connections with the given configuration. In TLS 1.3 a server checks the client's
// certificate after the client's handshake is complete, so that its alert arrives while
// the client writes its request. The alert is the error of that write then, and not
// that the transport has closed the connection, having read the alert.
func DialTLS(config *tls.Config) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&tls.Dialer{Config: config}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &alertConn{Conn: conn}, nil
	}
}

// alertConn is a TLS connection whose writes fail with the alert that a read has
// returned before.
type alertConn struct {
	net.Conn
	mu    sync.Mutex
	alert error
}

// Read implements net.Conn.
func (c *alertConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if IsCertificateRejection(err) {
		c.mu.Lock()
		c.alert = err
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *alertConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.alert != nil {
		return n, c.alert
	}
	return n, err
}
