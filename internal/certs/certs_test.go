package certs_test

import (
	"context"
	"crypto/tls"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
	"github.com/currantwinch/currantwinch/internal/standin/testca"
)

// clock is a manually set clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func must[T any](t *testing.T) func(T, error) T {
	return func(value T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}

func newCell(t *testing.T, c *clock) *testca.CellAuthorities {
	return must[*testca.CellAuthorities](t)(testca.NewCellAuthorities(t.TempDir(), c.Now))
}

func open(t *testing.T, cell *testca.CellAuthorities, r testca.Request, c *clock) *certs.Store {
	t.Helper()
	files := must[certs.Files](t)(cell.Daemon(r))
	return must[*certs.Store](t)(certs.Open(files, r.Name, c.Now))
}

// handshake connects a server and a client over an in-memory connection. It
// returns the serial number of the server's certificate and the errors of both
// sides.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, err error) {
	t.Helper()
	n := memnet.New()
	defer n.Close()
	l := must[*tlsListener](t)(listen(n, server))
	c := must[*tls.Conn](t)(l.dial(n, client))
	if err = c.Handshake(); err == nil {
		serial = c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
		// The client learns of the server's rejection only with the first read.
		_, err = c.Read(make([]byte, 1))
	}
	_ = c.Close()
	return serial, errors.Join(err, <-l.done)
}

type tlsListener struct{ done chan error }

func listen(n *memnet.Network, config *tls.Config) (*tlsListener, error) {
	l, err := n.Host("server", "r").Listen("10.0.0.1:1")
	if err != nil {
		return nil, err
	}
	out := &tlsListener{done: make(chan error, 1)}
	go func() {
		c, err := l.Accept()
		if err != nil {
			out.done <- err
			return
		}
		s := tls.Server(c, config)
		out.done <- s.Handshake()
		_, _ = s.Write([]byte{1})
		_ = c.Close()
	}()
	return out, nil
}

func (*tlsListener) dial(n *memnet.Network, config *tls.Config) (*tls.Conn, error) {
	c, err := n.Host("client", "r").Dial(context.Background(), "tcp", "10.0.0.1:1")
	return tls.Client(c, config), err
}

func TestStore_RejectsCertificates(t *testing.T) {
	c := &clock{epoch}
	ours, foreign := newCell(t, c), newCell(t, c)
	a, b := open(t, ours, testca.Request{Name: "a"}, c), open(t, ours, testca.Request{Name: "b"}, c)
	short := open(t, ours, testca.Request{Name: "short", NotAfter: epoch.Add(time.Hour)}, c)
	foreignB := open(t, foreign, testca.Request{Name: "b"}, c)
	ann := must[testca.Issued](t)(ours.Operator(testca.Request{Name: "ann"}))
	operator := must[*tls.Config](t)(certs.ClientConfig(ann.Authority, ann.Certificate, ann.Key))
	operator.InsecureSkipVerify = true
	bare := &tls.Config{InsecureSkipVerify: true}
	old := &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}
	c.now = epoch.Add(2 * time.Hour)
	cases := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"two daemons", a.Server(), b.Client("a"), true},
		{"operator", a.OperatorServerConfig(), operator, true},
		{"caller without a certificate", a.CallerServerConfig(), bare, true},
		{"daemon of another name", a.Server(), b.Client("c"), false},
		{"expired client", a.Server(), short.Client("a"), false},
		{"expired server", short.Server(), a.Client("short"), false},
		{"client of another authority", a.Server(), foreignB.Client("a"), false},
		{"server of another authority", foreignB.Server(), a.Client("b"), false},
		{"no certificate", a.Server(), bare, false},
		{"operator without a certificate", a.OperatorServerConfig(), bare, false},
		{"operator at the daemons' listener", a.Server(), operator, false},
		{"daemon at the operators' listener", a.OperatorServerConfig(), b.Client("a"), false},
		{"older protocol", a.CallerServerConfig(), old, false},
	}
	for _, tt := range cases {
		if _, err := handshake(t, tt.server, tt.client); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

func TestOpen_InvalidFiles(t *testing.T) {
	c := &clock{epoch}
	cell := newCell(t, c)
	other := must[certs.Files](t)(newCell(t, c).Daemon(testca.Request{Name: "a"}))
	spoil := func(pick func(*certs.Files) *string) func(*certs.Files) {
		return func(f *certs.Files) { _ = os.WriteFile(*pick(f), []byte("nothing"), 0o600) }
	}
	certificate := func(f *certs.Files) *string { return &f.Certificate }
	key := func(f *certs.Files) *string { return &f.Key }
	operators := func(f *certs.Files) *string { return &f.OperatorAuthority }
	cases := []struct {
		name   string
		change func(*certs.Files)
		daemon string
		at     time.Duration
		field  string
	}{
		{"sound", func(*certs.Files) {}, "a", 0, ""},
		{"no certificate", func(f *certs.Files) { f.Certificate += "x" }, "a", 0, "certificate"},
		{"unreadable certificate", spoil(certificate), "a", 0, "certificate"},
		{"no key", func(f *certs.Files) { f.Key += "x" }, "a", 0, "key"},
		{"unreadable key", spoil(key), "a", 0, "key"},
		{"key of another certificate", func(f *certs.Files) { f.Key = other.Key }, "a", 0, "key"},
		{"no authority", func(f *certs.Files) { f.Authority += "x" }, "a", 0, "authority"},
		{"authority of others", func(f *certs.Files) { f.Authority = other.Authority }, "a", 0, "certificate"},
		{"empty authority of operators", spoil(operators), "a", 0, "operatorAuthority"},
		{"expired", func(*certs.Files) {}, "a", 2 * testca.DefaultValidity, "certificate"},
		{"not yet valid", func(*certs.Files) {}, "a", -2 * testca.DefaultValidity, "certificate"},
		{"another name", func(*certs.Files) {}, "b", 0, "certificate"},
	}
	for _, tt := range cases {
		files := must[certs.Files](t)(cell.Daemon(testca.Request{Name: "a"}))
		tt.change(&files)
		_, err := certs.Open(files, tt.daemon, func() time.Time { return epoch.Add(tt.at) })
		var fault *certs.FileError
		if found := errors.As(err, &fault); found != (tt.field != "") || found && fault.Field != tt.field {
			t.Errorf("%s: %v, want a fault of %q", tt.name, err, tt.field)
		}
	}
}

func TestReload_RenewedFiles(t *testing.T) {
	c := &clock{epoch}
	cell := newCell(t, c)
	files := must[certs.Files](t)(cell.Daemon(testca.Request{Name: "a", Serial: 5}))
	s := must[*certs.Store](t)(certs.Open(files, "a", c.Now))
	renew := func(serial int64) func() {
		return func() { must[certs.Files](t)(cell.Daemon(testca.Request{Name: "a", Serial: serial})) }
	}
	steps := []struct {
		name    string
		change  func()
		changed bool
		failed  bool
		serial  int64
	}{
		{"nothing new", func() {}, false, false, 5},
		{"renewed", renew(7), true, false, 7},
		{"spoilt", func() { _ = os.WriteFile(files.Key, nil, 0o600) }, false, true, 7},
		{"mended", renew(9), true, false, 9},
		{"gone", func() { _ = os.Remove(files.Authority) }, false, true, 9},
	}
	for _, step := range steps {
		step.change()
		changed, err := s.Reload()
		if changed != step.changed || (err != nil) != step.failed {
			t.Errorf("%s: changed %v, %v", step.name, changed, err)
		}
		if serial, err := handshake(t, s.Server(), s.Client("a")); err != nil || serial != step.serial {
			t.Errorf("%s: serial %d, %v", step.name, serial, err)
		}
	}
}
