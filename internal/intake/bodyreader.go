package intake

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// bodyReader reads what has come of one body, and waits for it as long as a stall and the whole
// body may take. A large body is worked on only while its turn in the WorkQueue lasts.
type bodyReader struct {
	bodies      *Bodies
	options     BodyOptions
	body        io.Reader
	conn        *Conn
	setDeadline func(time.Time)
	// began is when the reading began, and end when the whole body must have come. Times in
	// which the daemon let the body wait do not count for end.
	began, end time.Time
	// left is the number of bytes that are expected, and declared the body's length, -1 if it
	// is unknown.
	left, declared int64
	// before is what had come on the connection when the reading began.
	before int64
	entry  *Entry
	work   *Work
}

func newBodyReader(b *Bodies, w http.ResponseWriter, r *http.Request, o BodyOptions) *bodyReader {
	controller := http.NewResponseController(w)
	x := &bodyReader{
		bodies: b, options: o, body: r.Body, conn: connOf(r), began: time.Now(), left: r.ContentLength, declared: r.ContentLength,
		setDeadline: func(t time.Time) { _ = controller.SetReadDeadline(t) },
	}
	if x.left < 0 {
		x.left = o.Limit
	}
	if x.conn != nil {
		x.before = x.conn.received.Load()
	}
	x.end = x.began.Add(b.BodyTimeout)
	x.entry = b.Budget.Begin(Client{Group: o.Group, Address: addressOf(r.RemoteAddr)}, x.left, x.interrupt)
	return x
}

func (x *bodyReader) client() Client { return x.entry.client }

// past is a deadline that has passed.
func (x *bodyReader) past() time.Time { return x.began.Add(-time.Hour) }

// interrupt ends a read and a wait for the processor.
func (x *bodyReader) interrupt() {
	x.setDeadline(x.past())
	if work := x.entry.work; work != nil {
		work.Cancel()
	}
}

// Read implements io.Reader.
func (x *bodyReader) Read(b []byte) (int, error) {
	if err := x.enterQueue(); err != nil {
		return 0, err
	}
	deadline := time.Now().Add(x.bodies.StallTimeout)
	if x.end.Before(deadline) {
		deadline = x.end
	}
	if err := x.entry.Do(func() { x.setDeadline(deadline) }); err != nil {
		return 0, err
	}
	n, err := x.body.Read(b)
	x.left -= int64(n)
	if x.work != nil {
		x.work.Add(int64(n))
		x.pause(x.work.takeWaited())
		if refused := x.work.Refused(); refused != nil {
			return n, refused
		}
	}
	if isTimeout(err) {
		err = &Refusal{Reason: ReasonStalled}
	}
	return n, err
}

// enterQueue waits for the processor once it is known that the body is large: by its declared
// length, or by what has come on the connection, which is more than the body if its chunks are
// small.
func (x *bodyReader) enterQueue() error {
	if x.work != nil || x.conn == nil || max(x.declared, x.conn.received.Load()-x.before) <= smallBytes {
		return nil
	}
	work := x.bodies.Work.Begin(x.options.Group, x.left, x.options.Deadline)
	x.work = work
	x.entry.setWork(work)
	work.Acquire()
	x.pause(work.takeWaited())
	if refused := work.Refused(); refused != nil {
		return refused
	}
	x.conn.setWork(work)
	return nil
}

// pause excludes a time in which the daemon did not read.
func (x *bodyReader) pause(d time.Duration) {
	if d > 0 {
		x.waited(d)
		x.entry.pause(d)
	}
}

// waited excludes a time in which the client could not send, since the daemon waited for memory
// or for the processor.
func (x *bodyReader) waited(d time.Duration) { x.end = x.end.Add(d) }

// leaveConnection ends the waits for the processor on the connection: the server reads on it by
// itself from now on.
func (x *bodyReader) leaveConnection() {
	if x.conn != nil {
		x.conn.setWork(nil)
	}
}

// abandon gives back what the body holds. What else the client sends is not read.
func (x *bodyReader) abandon() {
	x.setDeadline(x.past())
	if x.work != nil {
		x.work.End()
	}
	x.entry.End()
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
