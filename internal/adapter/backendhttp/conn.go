package backendhttp

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

var (
	errTooLate = verdict.New(verdict.NotRun, gateway.ReasonLeaseExpired, "the right to use the slot has ended")
	errEnded   = verdict.New(verdict.NotRun, gateway.ReasonConnectionBroken, "the request has ended")
)

// sending follows one request onto its connection.
type sending struct {
	before time.Time
	// reused is set where the connection had served before. It belongs to the
	// goroutine that sends.
	reused bool

	mu   sync.Mutex
	conn net.Conn
	// writing counts writes in progress, and left is set once one took a byte.
	writing int
	left    bool
	late    bool
	ended   bool
}

// start says whether a write may begin. Each is ended by wrote.
func (s *sending) start(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended:
		return errEnded
	case !s.before.IsZero() && !now.Before(s.before):
		s.late = true
		return errTooLate
	}
	s.writing++
	return nil
}

func (s *sending) wrote(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing--
	s.left = s.left || n > 0
}

// closeConn closes the connection that the request was sent on.
func (s *sending) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// failed ends the request and gives err the verdict that is certain.
func (s *sending) failed(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	left := s.left || s.writing > 0
	switch {
	case left && isTimeout(err):
		return verdict.Wrap(err, verdict.MayHaveRun, gateway.ReasonNoResponse)
	case left:
		return verdict.Wrap(err, verdict.MayHaveRun, gateway.ReasonConnectionBroken)
	case s.late:
		return verdict.Wrap(err, verdict.NotRun, gateway.ReasonLeaseExpired)
	case isTimeout(err):
		return verdict.Wrap(err, verdict.NotRun, gateway.ReasonDeadlineExceeded)
	default:
		return verdict.Wrap(err, verdict.NotRun, gateway.ReasonBackendUnreachable)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}

// trackedConn lets a request write only while it may, and remembers whether
// it wrote.
type trackedConn struct {
	net.Conn
	now func() time.Time

	mu      sync.Mutex
	current *sending
}

func (c *trackedConn) use(s *sending) {
	c.mu.Lock()
	c.current = s
	c.mu.Unlock()
	s.mu.Lock()
	s.conn = c.Conn
	s.mu.Unlock()
}

// Write hands p to the connection, at the latest when the request's right to
// be sent ends.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	s := c.current
	c.mu.Unlock()
	if s == nil {
		n, err := c.Conn.Write(p)
		return n, verdict.Wrap(err, verdict.NotRun, gateway.ReasonConnectionBroken)
	}
	now := c.now()
	if err := s.start(now); err != nil {
		return 0, err
	}
	_ = c.SetWriteDeadline(s.writeBy(now))
	n, err := c.Conn.Write(p)
	s.wrote(n)
	return n, verdict.Wrap(err, verdict.MayHaveRun, gateway.ReasonConnectionBroken)
}

// writeBy is when the right to write ends in the time of the network, whose
// clock need not agree with the daemon's.
func (s *sending) writeBy(now time.Time) time.Time {
	if s.before.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(s.before.Sub(now))
}
