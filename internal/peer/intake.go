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

// messageRead is a message that is being read on an accepted connection, within the budget
// of received messages. A nil messageRead has no bounds.
type messageRead struct {
	stream *stream
	entry  *intake.Entry
	// end is when the whole message must have come.
	end time.Time
}

// beginRead begins a message of n bytes; it returns nil on a connection without bounds. The
// caller must call finish.
func (s *stream) beginRead(n int) *messageRead {
	if s.intake == nil {
		return nil
	}
	return &messageRead{
		stream: s,
		entry:  s.intake.Received.Begin(int64(n), func() { _ = s.conn.SetReadDeadline(time.Now().Add(-time.Hour)) }),
		end:    time.Now().Add(s.intake.StallTimeout + time.Duration(n)*time.Second/minMessageRate),
	}
}

// finish gives the bytes of the message back to the budget, and reports err if the message
// was not read.
func (m *messageRead) finish(err error) error {
	if m == nil {
		return err
	}
	m.entry.End()
	if err != nil {
		m.stream.intake.Report.MessageRefused(m.stream.conn.RemoteAddr().String(), err)
		return err
	}
	return m.stream.conn.SetReadDeadline(time.Time{})
}

// grow returns a buffer of the given size with the data of another one, in place of which
// it is held in the budget. The time that it waits for that does not count.
func (m *messageRead) grow(data []byte, size int) ([]byte, error) {
	if m != nil {
		began := time.Now()
		if err := m.entry.Take(int64(size)); err != nil {
			return nil, err
		}
		m.end = m.end.Add(time.Since(began))
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	if m != nil {
		m.entry.Release(int64(cap(data)))
	}
	return grown, nil
}

// setDeadline limits the next read: by the time without progress, and by the end of the
// whole message.
func (m *messageRead) setDeadline() error {
	if m == nil {
		return nil
	}
	deadline := time.Now().Add(m.stream.intake.StallTimeout)
	if m.end.Before(deadline) {
		deadline = m.end
	}
	return m.entry.Do(func() { _ = m.stream.conn.SetReadDeadline(deadline) })
}

// arrived counts bytes that have come.
func (m *messageRead) arrived(n int) error {
	if m == nil {
		return nil
	}
	return m.entry.Add(n)
}

// complete ends the time limits of a message that has come whole. It fails if the message
// has just been refused for want of memory.
func (m *messageRead) complete() error {
	if m == nil {
		return nil
	}
	return m.entry.Arrived()
}

// readMessage reads a message of n bytes into a buffer that grows with what has come, so that a length
// that is only announced takes no memory.
func (s *stream) readMessage(m *messageRead, n int) ([]byte, error) {
	var data []byte
	for len(data) < n {
		if len(data) == cap(data) {
			grown, err := m.grow(data, min(n, max(firstMessageBytes, 2*cap(data))))
			if err != nil {
				return nil, err
			}
			data = grown
		}
		if err := m.setDeadline(); err != nil {
			return nil, err
		}
		got, err := s.reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+got]
		if refused := m.arrived(got); refused != nil {
			return nil, refused
		}
		if err != nil && len(data) < n {
			return nil, err
		}
	}
	return data, m.complete()
}

// holdCall takes the bytes of a call's method and parameters from the budget until release is called. It
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
