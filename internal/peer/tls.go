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
	// maxHandshakes limits the concurrent TLS handshakes of accepted connections.
	maxHandshakes = 64
	// refusalInterval is the minimum time between two events about refused
	// connections, so that unauthenticated clients cannot flood the log.
	refusalInterval = time.Second
)

var errHandshakesFull = errors.Errorf("%d connections are being verified", maxHandshakes)

// handleConn takes over an accepted connection. The TLS handshake runs on a
// goroutine of its own.
func (p *Peers) handleConn(c net.Conn) {
	if p.o.Security == nil {
		_, _ = p.newLink(c, false)
		return
	}
	select {
	case p.handshakes <- struct{}{}:
	default:
		p.refusals.report(c, errHandshakesFull)
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

// secureServer performs the TLS handshake of an accepted connection, and serves
// the connection if the handshake succeeds within dialTimeout.
func (p *Peers) secureServer(c net.Conn) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	secured := tls.Server(c, p.o.Security.Server())
	if err := secured.HandshakeContext(ctx); err != nil {
		if p.ctx.Err() == nil {
			p.refusals.report(c, err)
		}
		_ = c.Close()
		return
	}
	_, _ = p.newLink(secured, false)
}

// secureClient performs the TLS handshake of a dialed connection, if TLS is
// configured.
func (p *Peers) secureClient(ctx context.Context, c net.Conn, daemon string) (net.Conn, error) {
	if p.o.Security == nil {
		return c, nil
	}
	secured := tls.Client(c, p.o.Security.Client(daemon))
	if err := secured.HandshakeContext(ctx); err != nil {
		p.refusals.report(c, err)
		_ = c.Close()
		return nil, err
	}
	return secured, nil
}

// nameVerifier returns a function that checks a name against the certificate of
// the other end. Without TLS it accepts every name.
func nameVerifier(c net.Conn) func(name string) error {
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

// refusals counts refused connections and logs them at a limited rate.
type refusals struct {
	now    func() time.Time
	events *events.Logger
	total  *metrics.Counter

	mu         sync.Mutex
	lastLogged time.Time
	suppressed int
}

func newRefusals(b roles.Base) *refusals {
	r := &refusals{now: b.Now, events: b.Events, total: &metrics.Counter{}}
	if b.Metrics != nil {
		r.total = b.Metrics.GetOrCreateCounter("currantwinch_peer_refused_connections_total")
	}
	return r
}

// report counts a refused connection, and logs it unless another one was logged
// within refusalInterval.
func (r *refusals) report(c net.Conn, err error) {
	r.total.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.lastLogged.IsZero() && now.Sub(r.lastLogged) < refusalInterval {
		r.suppressed++
		return
	}
	r.events.Log(events.PeerRefused, "remote", c.RemoteAddr().String(), "error", err.Error(), "unreported", r.suppressed)
	r.lastLogged, r.suppressed = now, 0
}
