package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/pkg/errors"
)

const (
	// maxHandshakes bounds the accepted connections that are not yet verified.
	maxHandshakes = 64
	// refusalInterval is the least time between two events about refused
	// connections, so that a stranger cannot fill the log.
	refusalInterval = time.Second
)

var errHandshakesFull = errors.Errorf("%d connections are being verified", maxHandshakes)

// serve takes an accepted connection. It does not wait for the handshake.
func (p *Peers) serve(c net.Conn) {
	if p.o.Security == nil {
		_, _ = p.newLink(c, false)
		return
	}
	select {
	case p.handshakes <- struct{}{}:
	default:
		p.refusals.add(c, errHandshakesFull)
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		<-p.handshakes
		_ = c.Close()
		return
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		defer func() { <-p.handshakes }()
		p.secureServer(c)
	}()
}

// secureServer serves the connection if the other end shows a certificate of
// the daemons' authority in time.
func (p *Peers) secureServer(c net.Conn) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	secured := tls.Server(c, p.o.Security.Server())
	if err := secured.HandshakeContext(ctx); err != nil {
		if p.ctx.Err() == nil {
			p.refusals.add(c, err)
		}
		_ = c.Close()
		return
	}
	_, _ = p.newLink(secured, false)
}

// secureClient returns the connection secured, if it is to be.
func (p *Peers) secureClient(ctx context.Context, c net.Conn, daemon string) (net.Conn, error) {
	if p.o.Security == nil {
		return c, nil
	}
	secured := tls.Client(c, p.o.Security.Client(daemon))
	if err := secured.HandshakeContext(ctx); err != nil {
		p.refusals.add(c, err)
		_ = c.Close()
		return nil, err
	}
	return secured, nil
}

// verifierOf returns the check of a name against the other end's certificate.
// Without TLS every name passes.
func verifierOf(c net.Conn) func(name string) error {
	secured, ok := c.(*tls.Conn)
	if !ok {
		return func(string) error { return nil }
	}
	return func(name string) error {
		chain := secured.ConnectionState().PeerCertificates
		if len(chain) == 0 {
			return errors.New("the other end showed no certificate")
		}
		return chain[0].VerifyHostname(name)
	}
}

// refusals counts connections that were refused and reports them at a bounded
// rate.
type refusals struct {
	now    func() time.Time
	events *events.Logger
	total  *metrics.Counter

	mu     sync.Mutex
	last   time.Time
	silent int
}

func newRefusals(b roles.Base) *refusals {
	r := &refusals{now: b.Now, events: b.Events, total: &metrics.Counter{}}
	if b.Metrics != nil {
		r.total = b.Metrics.GetOrCreateCounter("currantwinch_peer_refused_connections_total")
	}
	return r
}

// add counts one connection and reports it, unless one was just reported.
func (r *refusals) add(c net.Conn, err error) {
	r.total.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.last.IsZero() && now.Sub(r.last) < refusalInterval {
		r.silent++
		return
	}
	r.events.Log(events.PeerRefused, "remote", c.RemoteAddr().String(), "error", err.Error(), "unreported", r.silent)
	r.last, r.silent = now, 0
}
