package certs

import (
	"net"
	"testing"

	"github.com/pkg/errors"
)

// alert stands for the unexported type of the tls package.
type alert uint8

func (alert) Error() string { return "tls: certificate required" }

// rejectedConn is a connection whose reads return an alert, and whose writes fail
// because the reader has closed it.
type rejectedConn struct{ net.Conn }

func (rejectedConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "remote error", Err: alert(alertCertificateRequired)}
}

func (rejectedConn) Write([]byte) (int, error) { return 0, net.ErrClosed }

// A server's alert may arrive before the client has written its request. The operator
// must be told of the certificate, not that the connection is closed.
func TestDialTLS_AlertIsTheErrorOfALaterWrite(t *testing.T) {
	c := &alertConn{Conn: rejectedConn{}}
	if _, err := c.Write([]byte("GET")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("write before the alert: %v, want %v", err, net.ErrClosed)
	}
	if _, err := c.Read(nil); !IsCertificateRejection(err) {
		t.Fatalf("read: %v, want the alert", err)
	}
	if _, err := c.Write([]byte("GET")); !IsCertificateRejection(err) {
		t.Errorf("write after the alert: %v, want the alert", err)
	}
}
