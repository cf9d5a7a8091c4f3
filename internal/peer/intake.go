package peer

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/pkg/errors"
)

const (
	// maxHelloBytes limits a message before the hello, and the hello itself.
	maxHelloBytes = 4 << 10
	// maxNameBytes limits a daemon's name, which is an address.
	maxNameBytes = 256
	// maxNamedPeers limits the daemons that have metrics of their own; the name in a hello
	// is whatever the other end claims.
	maxNamedPeers = 2048
	// otherPeers is the name in the metrics of all others.
	otherPeers = "other"
	// firstMessageBytes is the initial size of a message's buffer.
	firstMessageBytes = 4 << 10
	// minMessageRate, in bytes a second, limits the whole time of a message, beside the time
	// of a stall. It is a third of what the slowest link, 10 Mbit/s, gives to each of several
	// connections.
	minMessageRate = 64 << 10
)

var errNoHello = errors.Errorf("no hello within %s", dialTimeout)

// Intake bounds what accepted connections take together. Connections that this daemon
// dialed are not bounded by it.
type Intake struct {
	// Received bounds the messages that arrive or are handled, and Queued those that wait
	// to be written.
	Received, Queued *intake.Budget
	// StallTimeout bounds the time without progress of a message.
	StallTimeout time.Duration
	Report       *intake.Reporter
}

// awaitHello closes an accepted connection whose other end does not say who it is.
func (l *link) awaitHello() {
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
		return
	case <-timer.C:
	}
	if l.remote.Load() == nil {
		l.peers.o.Intake.Report.MessageRefused(l.stream.conn.RemoteAddr().String(), errNoHello)
		l.close()
	}
}

// setKnown marks a connection whose other end has sent its hello.
func setKnown(c net.Conn) {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	if bounded, ok := c.(*intake.Conn); ok {
		bounded.SetKnown()
	}
}

// metricName returns the name of a daemon in metrics.
func (p *Peers) metricName(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.named[name]; !ok && len(p.named) >= maxNamedPeers {
		return otherPeers
	}
	p.named[name] = struct{}{}
	return name
}

// readMessage reads a message of n bytes into a buffer that grows with what has come. On
// an accepted connection, it ends the connection if the message makes no progress, or is
// the slowest when the budget is full.
func (s *stream) readMessage(n int) (data []byte, err error) {
	var e *intake.Entry
	if s.intake != nil {
		e = s.intake.Received.Begin(int64(n), func() { _ = s.conn.SetReadDeadline(time.Now().Add(-time.Hour)) })
		defer func() {
			e.End()
			if err != nil {
				s.intake.Report.MessageRefused(s.conn.RemoteAddr().String(), err)
			} else {
				err = s.conn.SetReadDeadline(time.Time{})
			}
		}()
	}
	end := time.Now().Add(s.stallTimeout() + time.Duration(n)*time.Second/minMessageRate)
	for len(data) < n {
		if len(data) == cap(data) {
			before := cap(data)
			size := min(n, max(firstMessageBytes, 2*before))
			if e != nil {
				began := time.Now()
				if err := e.Take(int64(size)); err != nil {
					return nil, err
				}
				end = end.Add(time.Since(began))
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			data = grown
			if e != nil && before > 0 {
				e.Release(int64(before))
			}
		}
		if e != nil {
			deadline := time.Now().Add(s.stallTimeout())
			if end.Before(deadline) {
				deadline = end
			}
			if err := e.Do(func() { _ = s.conn.SetReadDeadline(deadline) }); err != nil {
				return nil, err
			}
		}
		got, err := s.reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+got]
		if e != nil {
			if err := e.Add(got); err != nil {
				return nil, err
			}
		}
		if err != nil && len(data) < n {
			return nil, err
		}
	}
	if e != nil {
		return data, e.Arrived()
	}
	return data, nil
}

func (s *stream) stallTimeout() time.Duration {
	if s.intake == nil {
		return 0
	}
	return s.intake.StallTimeout
}

// holdCall takes the bytes of a call's parameters from the budget until release is called. It
// reports false if the budget does not have them.
func (s *stream) holdCall(n int) (release func(), ok bool) {
	if s.intake == nil {
		return func() {}, true
	}
	e := s.intake.Received.Begin(int64(n), func() {})
	if e.Arrived() != nil || !e.Try(int64(n)) {
		e.End()
		return nil, false
	}
	return e.End, true
}
