package intake

import (
	"io"
	"net/http"
	"runtime"
	"time"
)

// Bodies reads the bodies of callers' calls within a budget. A nil *Bodies reads without
// one.
type Bodies struct {
	// Budget bounds the bytes of all bodies together.
	Budget *Budget
	// Work bounds the large bodies that are worked on at a time.
	Work *WorkQueue
	// StallTimeout bounds the time without progress of a body, and BodyTimeout its whole time.
	StallTimeout, BodyTimeout time.Duration
	Report                    *Reporter
}

// NewBodies returns a reader of bodies within a budget of limit bytes and the time limits of l.
func NewBodies(limit int64, l Limits, report *Reporter) *Bodies {
	return &Bodies{
		Budget: NewBudget(limit, time.Now), Work: NewWorkQueue(runtime.GOMAXPROCS(0), time.Now),
		StallTimeout: l.StallTimeout, BodyTimeout: l.BodyTimeout, Report: report,
	}
}

// BodyOptions describe a body that is read.
type BodyOptions struct {
	// Limit is its longest length in bytes.
	Limit int64
	// Group is the group of clients for which it counts (Client.Group).
	Group string
	// Deadline is until when its caller waits; zero if that is not known.
	Deadline time.Time
}

// Body is a body that was read. Release must be called once the call is answered.
type Body struct {
	Bytes []byte
	entry *Entry
	// work is the body's right to the processor, nil if it is small.
	work *Work
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

// Read reads a body. Its error is a *Refusal if the call has to be refused as not run,
// ErrTooLarge, ErrOverBudget, or that of the connection. A large body keeps the processor until
// its Parsed, Decoded or Release is called.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, o BodyOptions) (*Body, error) {
	if b == nil {
		data, err := io.ReadAll(io.LimitReader(r.Body, o.Limit+1))
		if err == nil && int64(len(data)) > o.Limit {
			err = ErrTooLarge
		}
		return &Body{Bytes: data}, err
	}
	switch {
	case r.ContentLength > o.Limit:
		closeAfter(w)
		return &Body{}, ErrTooLarge
	case r.ContentLength > LargestBody(b.Budget.Usage().Limit):
		closeAfter(w)
		return &Body{}, ErrOverBudget
	case r.ContentLength == 0:
		setBusy(r, true)
		return &Body{}, nil
	}
	x := newBodyReader(b, w, r, o)
	data, err := x.entry.ReadAll(x, r.ContentLength, o.Limit, x.waited)
	x.leaveConnection()
	if err == nil {
		err = x.entry.Arrived()
	}
	if err != nil {
		x.abandon()
		closeAfter(w)
		b.Report.requestRefused(r, x.client(), err, len(data), time.Since(x.began))
		return &Body{}, err
	}
	// The server waits for the end of the connection from here on.
	x.setDeadline(time.Time{})
	setBusy(r, true)
	return &Body{Bytes: data, entry: x.entry, work: x.work}, nil
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

// Parsed ends the body's use of the processor. Its bytes are still held.
func (b *Body) Parsed() {
	if b.work != nil {
		b.work.End()
	}
}

// Decoded releases the bytes of the body, and ends its use of the processor. Decoded values must
// not refer to the bytes.
func (b *Body) Decoded() {
	b.Parsed()
	if b.entry != nil {
		b.entry.Release(int64(cap(b.Bytes)))
	}
	b.Bytes = nil
}

// Release returns all bytes that the body holds to the budget, and ends its use of the
// processor. A nil *Body holds none.
func (b *Body) Release() {
	if b != nil {
		b.Parsed()
		b.entry.End()
	}
}
