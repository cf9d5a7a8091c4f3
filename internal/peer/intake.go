package peer

import (
	"io"
	"net"
	"time"

	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/pkg/errors"
)

const (
	// SocketBytes is the size of the buffers of an accepted connection of a daemon. A round
	// trip of 50 ms leaves it 10 Mbit/s.
	SocketBytes = 64 << 10
	// Backlog is the least number of connections of daemons that may wait to be accepted.
	// The daemons of a large deployment reconnect together after a restart, and a connection
	// beyond the backlog is retried only after a second.
	Backlog = 128
	// maxHelloBytes limits a message before the hello, and the hello itself.
	maxHelloBytes = 4 << 10
	// maxNameBytes limits a daemon's name, which is an address.
	maxNameBytes = 256
	// maxNamedPeers limits the daemons that have metrics of their own; the name in a hello
	// is whatever the other end claims.
	maxNamedPeers = 2048
	// otherPeers is the name in the metrics of all others.
	otherPeers = "other"
	// minMessageRate, in bytes a second, limits the whole time of a message, beside the time
	// of a stall. It is a third of what the slowest link, 10 Mbit/s, gives to each of several
	// connections.
	minMessageRate = 64 << 10
)

var errNoHello = errors.Errorf("no hello within %s", dialTimeout)

// Intake bounds what messages take.
type Intake struct {
	// Accepted bounds the messages of all connections that other daemons opened, and Dialed
	// those of all that this one opened. Strangers can open connections; they must not take
	// the memory that calls of this daemon need.
	Accepted, Dialed Messages
	// StallTimeout bounds the time without progress of a message.
	StallTimeout time.Duration
	Report       *intake.Reporter
}

// Messages bounds the messages of some connections together: those that arrive or are handled,
// and those that wait to be written.
type Messages struct{ Received, Queued *intake.Budget }

func newMessages(l intake.Limits) Messages {
	return Messages{Received: intake.NewBudget(l.MessageBytes, time.Now), Queued: intake.NewBudget(l.MessageBytes, time.Now)}
}

func newIntake(l intake.Limits, report *intake.Reporter) *Intake {
	return &Intake{Accepted: newMessages(l), Dialed: newMessages(l), StallTimeout: l.StallTimeout, Report: report}
}

// Bound returns a listener for connections of other daemons that accepts them within limits,
// and what bounds the messages of all connections.
func Bound(socket net.Listener, l intake.Limits, report *intake.Reporter) (net.Listener, *Intake) {
	bounds := newIntake(l, report)
	report.Watch("messages", bounds.Accepted.Received)
	report.Watch("answers", bounds.Accepted.Queued)
	report.Watch("dialed_messages", bounds.Dialed.Received)
	report.Watch("dialed_calls", bounds.Dialed.Queued)
	return intake.NewListener(socket, intake.ListenerOptions{Name: "peers", Connections: l.PeerConnections, LongLived: true, Report: report}), bounds
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
	if bounded, ok := intake.Bounded(c); ok {
		bounded.SetKnown("")
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

// messageRead is a message that is being read within the budget of received messages.
type messageRead struct {
	stream *stream
	entry  *intake.Entry
	// end is when the whole message must have come.
	end time.Time
}

// clientOf returns who is at the other end of a connection, for the budgets.
func clientOf(c net.Conn) intake.Client {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	return intake.Client{Address: host}
}

// beginRead begins a message of n bytes. The caller must call finish.
func (s *stream) beginRead(n int) *messageRead {
	return &messageRead{
		stream: s,
		entry:  s.messages.Received.Begin(s.client, int64(n), func() { _ = s.conn.SetReadDeadline(time.Now().Add(-time.Hour)) }),
		end:    time.Now().Add(s.intake.StallTimeout + time.Duration(n)*time.Second/minMessageRate),
	}
}

// finish gives the bytes of the message back to the budget, and reports err if the message
// was not read.
func (m *messageRead) finish(err error) error {
	m.entry.End()
	if err != nil {
		m.stream.intake.Report.MessageRefused(m.stream.conn.RemoteAddr().String(), err)
		return err
	}
	return m.stream.conn.SetReadDeadline(time.Time{})
}

// Read implements io.Reader. It waits for bytes of the message as long as a stall and the whole
// message may take.
func (m *messageRead) Read(b []byte) (int, error) {
	deadline := time.Now().Add(m.stream.intake.StallTimeout)
	if m.end.Before(deadline) {
		deadline = m.end
	}
	if err := m.entry.Do(func() { _ = m.stream.conn.SetReadDeadline(deadline) }); err != nil {
		return 0, err
	}
	return m.stream.reader.Read(b)
}

// waited excludes a time in which this daemon did not read, since it waited for memory.
func (m *messageRead) waited(d time.Duration) { m.end = m.end.Add(d) }

// readMessage reads a message of n bytes.
func (s *stream) readMessage(m *messageRead, n int64) ([]byte, error) {
	message := &io.LimitedReader{R: m, N: n}
	data, err := m.entry.ReadAll(message, n, n, m.waited)
	if err == nil && message.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	// It fails if the message has just been refused for want of memory.
	return data, m.entry.Arrived()
}

// holdCall takes the bytes of a call's method and parameters from the budget until release is called. It
// reports false if the budget does not have them.
func (s *stream) holdCall(n int) (release func(), ok bool) {
	e := s.messages.Received.Begin(s.client, int64(n), func() {})
	if e.Arrived() != nil || !e.Try(int64(n)) {
		e.End()
		return nil, false
	}
	return e.End, true
}
