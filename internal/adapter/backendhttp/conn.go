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
	errLeaseExpired = verdict.New(verdict.NotRun, gateway.ReasonLeaseExpired, "the right to use the slot has ended")
	errEnded        = verdict.New(verdict.NotRun, gateway.ReasonConnectionBroken, "the request has ended")
)

// sendTracker records the progress of one request on its connection.
type sendTracker struct {
	before time.Time
	// reused is set if the connection has carried an earlier request. Only the
	// sending goroutine accesses it.
	reused bool

	mu   sync.Mutex
	conn net.Conn
	// writing is the number of writes in progress. sent is set once a write has
	// taken at least one byte, expired once a write was refused because SendBefore
	// had passed.
	writing int
	sent    bool
	expired bool
	ended   bool
}

// beginWrite reports whether a write may begin. Each successful call must be
// followed by endWrite.
func (s *sendTracker) beginWrite(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ended:
		return errEnded
	case !s.before.IsZero() && !now.Before(s.before):
		s.expired = true
		return errLeaseExpired
	}
	s.writing++
	return nil
}

func (s *sendTracker) endWrite(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing--
	s.sent = s.sent || n > 0
}

// closeConn closes the request's connection, if it has one.
func (s *sendTracker) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// fail ends the request and wraps err with its verdict: MayHaveRun if a byte was
// or may have been written, NotRun otherwise.
func (s *sendTracker) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	maybeSent := s.sent || s.writing > 0
	switch {
	case maybeSent && isTimeout(err):
		return verdict.Wrap(err, verdict.MayHaveRun, gateway.ReasonNoResponse)
	case maybeSent:
		return verdict.Wrap(err, verdict.MayHaveRun, gateway.ReasonConnectionBroken)
	case s.expired:
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

// trackedConn allows writes of the current request only until its SendBefore
// time, and records whether any byte was written.
type trackedConn struct {
	net.Conn
	now func() time.Time

	mu      sync.Mutex
	current *sendTracker
}

func (c *trackedConn) attach(s *sendTracker) {
	c.mu.Lock()
	c.current = s
	c.mu.Unlock()
	s.mu.Lock()
	s.conn = c.Conn
	s.mu.Unlock()
}

// Write writes p to the connection. It fails if the request's SendBefore time
// has passed, and sets that time as the write deadline.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	s := c.current
	c.mu.Unlock()
	if s == nil {
		n, err := c.Conn.Write(p)
		return n, verdict.Wrap(err, verdict.NotRun, gateway.ReasonConnectionBroken)
	}
	now := c.now()
	if err := s.beginWrite(now); err != nil {
		return 0, err
	}
	_ = c.SetWriteDeadline(s.writeDeadline(now))
	n, err := c.Conn.Write(p)
	s.endWrite(n)
	return n, verdict.Wrap(err, verdict.MayHaveRun, gateway.ReasonConnectionBroken)
}

// writeDeadline converts SendBefore to the clock of the network connection, which
// may differ from the daemon's clock. The zero time means no deadline.
func (s *sendTracker) writeDeadline(now time.Time) time.Time {
	if s.before.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(s.before.Sub(now))
}
