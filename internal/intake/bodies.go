package intake

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// firstBytes is the initial size of a body's buffer. Most submissions fit in it.
const firstBytes = 4 * kilobyte

// ErrTooLarge is the error of a body that is longer than allowed.
var ErrTooLarge = errors.New("body too large")

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
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(b.StallTimeout))
		} else {
			setBusy(r.Context(), true)
		}
		defer setBusy(r.Context(), false)
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
		setBusy(r.Context(), true)
		defer setBusy(r.Context(), false)
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
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	controller := http.NewResponseController(w)
	began := time.Now()
	past := began.Add(-time.Hour)
	x := &bodyReader{
		bodies: b, r: r, limit: limit, declared: r.ContentLength, end: began.Add(b.BodyTimeout),
		setDeadline: func(t time.Time) { _ = controller.SetReadDeadline(t) },
	}
	x.entry = b.Budget.Begin(size, func() { _ = controller.SetReadDeadline(past) })
	err := x.read()
	if err == nil {
		err = x.entry.Arrived()
	}
	if err != nil {
		// What else the client sends is not read.
		x.setDeadline(past)
		closeAfter(w)
		x.entry.End()
		b.Report.requestRefused(r, err, len(x.buffer), time.Since(began))
		return &Body{}, err
	}
	// The server waits for the end of the connection from here on.
	x.setDeadline(time.Time{})
	setBusy(r.Context(), true)
	return &Body{Bytes: x.buffer, entry: x.entry}, nil
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

// Release returns all bytes that the body holds to the budget.
func (b *Body) Release() {
	if b.entry != nil {
		b.entry.End()
	}
}

// bodyReader reads one body into a buffer that grows with what has come.
type bodyReader struct {
	bodies          *Bodies
	entry           *Entry
	r               *http.Request
	setDeadline     func(time.Time)
	limit, declared int64
	end             time.Time
	buffer          []byte
}

func (x *bodyReader) read() error {
	for {
		if len(x.buffer) == cap(x.buffer) {
			if err := x.grow(); err != nil {
				return err
			}
		}
		n, err := x.readSome()
		x.buffer = x.buffer[:len(x.buffer)+n]
		switch refusal := x.entry.Add(n); {
		case refusal != nil:
			return refusal
		case int64(len(x.buffer)) > x.limit:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case isTimeout(err):
			return &Refusal{ReasonStalled}
		case err != nil:
			return err
		}
	}
}

// readSome reads what has come, and waits for it as long as a stall and the whole body
// may take.
func (x *bodyReader) readSome() (int, error) {
	now := time.Now()
	deadline := now.Add(x.bodies.StallTimeout)
	if x.end.Before(deadline) {
		deadline = x.end
	}
	if err := x.entry.Do(func() { x.setDeadline(deadline) }); err != nil {
		return 0, err
	}
	return x.r.Body.Read(x.buffer[len(x.buffer):cap(x.buffer)])
}

// grow doubles the buffer, up to one byte more than the body may have, so that its end or
// its excess is seen.
func (x *bodyReader) grow() error {
	most := x.limit + 1
	if x.declared >= 0 {
		most = x.declared + 1
	}
	before := int64(cap(x.buffer))
	size := min(most, max(firstBytes, 2*before))
	began := time.Now()
	if err := x.entry.Take(size); err != nil {
		return err
	}
	// The client could not send while the daemon waited for the budget.
	x.end = x.end.Add(time.Since(began))
	grown := make([]byte, len(x.buffer), size)
	copy(grown, x.buffer)
	x.buffer = grown
	if before > 0 {
		x.entry.Release(before)
	}
	return nil
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
