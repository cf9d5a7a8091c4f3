package intake

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// NewBodies returns a reader of bodies within a budget of limit bytes and the time limits of l.
func NewBodies(limit int64, l Limits, report *Reporter) *Bodies {
	return &Bodies{Budget: NewBudget(limit, time.Now), StallTimeout: l.StallTimeout, BodyTimeout: l.BodyTimeout, Report: report}
}

// Bodies reads the bodies of callers' calls within a budget. A nil *Bodies reads without
// one.
type Bodies struct {
	// Budget bounds the bytes of all bodies together.
	Budget *Budget
	// StallTimeout bounds the time without progress of a body, and BodyTimeout its whole time.
	StallTimeout, BodyTimeout time.Duration
	Report                    *Reporter
}

// Body is a body that was read. Release must be called once the call is answered.
type Body struct {
	Bytes []byte
	entry *Entry
}

// Protect limits the time of bodies that a handler does not read, and marks connections
// whose request has come as busy.
func (b *Bodies) Protect(next http.Handler) http.Handler {
	if b == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(b.StallTimeout))
		} else {
			setBusy(r, true)
		}
		defer setBusy(r, false)
		next.ServeHTTP(w, r)
	})
}

// WithoutBodies marks connections as Protect does, for handlers that read no bodies: a body
// that comes all the same is not read, and its connection is closed after the answer.
func WithoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(-time.Hour))
			closeAfter(w)
		}
		setBusy(r, true)
		defer setBusy(r, false)
		next.ServeHTTP(w, r)
	})
}

// Read reads a body of at most limit bytes. Its error is a *Refusal if the call has to be
// refused as not run, ErrTooLarge, or that of the connection.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if b == nil {
		data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
		if err == nil && int64(len(data)) > limit {
			err = ErrTooLarge
		}
		return &Body{Bytes: data}, err
	}
	if r.ContentLength > limit {
		closeAfter(w)
		return &Body{}, ErrTooLarge
	}
	if r.ContentLength > LargestBody(b.Budget.Usage().Limit) {
		closeAfter(w)
		return &Body{}, ErrOverBudget
	}
	if r.ContentLength == 0 {
		setBusy(r, true)
		return &Body{}, nil
	}
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	controller := http.NewResponseController(w)
	began := time.Now()
	past := began.Add(-time.Hour)
	x := &bodyReader{
		bodies: b, body: r.Body, end: began.Add(b.BodyTimeout),
		setDeadline: func(t time.Time) { _ = controller.SetReadDeadline(t) },
	}
	x.entry = b.Budget.Begin(size, func() { _ = controller.SetReadDeadline(past) })
	data, err := x.entry.ReadAll(x, r.ContentLength, limit, x.waited)
	if err == nil {
		err = x.entry.Arrived()
	}
	if err != nil {
		// What else the client sends is not read.
		x.setDeadline(past)
		closeAfter(w)
		x.entry.End()
		b.Report.requestRefused(r, err, len(data), time.Since(began))
		return &Body{}, err
	}
	// The server waits for the end of the connection from here on.
	x.setDeadline(time.Time{})
	setBusy(r, true)
	return &Body{Bytes: data, entry: x.entry}, nil
}

// closeAfter makes the server close the connection after the answer.
func closeAfter(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// Reserve takes the bytes that the decoded body holds, with at most maxObjects objects. It
// returns a *Refusal if the budget does not have them.
func (b *Body) Reserve(maxObjects int) error {
	if b.entry == nil {
		return nil
	}
	return b.entry.Take(DecodedBytes(b.Bytes, maxObjects))
}

// Decoded releases the bytes of the body. Decoded values must not refer to them.
func (b *Body) Decoded() {
	if b.entry != nil {
		b.entry.Release(int64(cap(b.Bytes)))
	}
	b.Bytes = nil
}

// Release returns all bytes that the body holds to the budget. A nil *Body holds none.
func (b *Body) Release() {
	if b != nil {
		b.entry.End()
	}
}

// bodyReader reads what has come of one body, and waits for it as long as a stall and the whole
// body may take.
type bodyReader struct {
	bodies      *Bodies
	entry       *Entry
	body        io.Reader
	setDeadline func(time.Time)
	end         time.Time
}

// Read implements io.Reader.
func (x *bodyReader) Read(b []byte) (int, error) {
	deadline := time.Now().Add(x.bodies.StallTimeout)
	if x.end.Before(deadline) {
		deadline = x.end
	}
	if err := x.entry.Do(func() { x.setDeadline(deadline) }); err != nil {
		return 0, err
	}
	n, err := x.body.Read(b)
	if isTimeout(err) {
		err = &Refusal{ReasonStalled}
	}
	return n, err
}

// waited excludes a time in which the client could not send, since the daemon waited for
// memory.
func (x *bodyReader) waited(d time.Duration) { x.end = x.end.Add(d) }

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
