package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/fairqueue"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// call is a caller's request while this daemon serves it.
type call struct {
	request Request
	// body holds the memory of the request's body until the call has its outcome, and answer
	// that of the outcome's body until the call is answered. Either is nil if there is none.
	body    *intake.Body
	answer  *intake.Entry
	entry   roles.DocumentEntry
	kind    document.RequestKind
	arrived time.Time
	// firstAttempt is set if the caller states that it never sent the key before.
	firstAttempt bool
	// grants receives exactly one grant for each dispatcher.acquire.
	grants chan grant

	// The fields below belong to the dispatcher's goroutine.
	queued          bool
	handle          fairqueue.Handle[*call]
	expectedRunTime time.Duration
	// failedBackend is the backend server of the last failed attempt, and
	// attempts counts the attempts made.
	failedBackend string
	attempts      int
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
}

// grant is the dispatcher's decision on a call: the slot that it may use, or the
// error that refuses it.
type grant struct {
	slot *slot
	err  *verdict.Error
}

// keyed reports whether the call has an idempotency key.
func (c *call) keyed() bool { return c.request.Key != "" }

// mayHaveEarlierAttempt reports whether an earlier call with the same key may have run.
func (c *call) mayHaveEarlierAttempt() bool { return c.keyed() && !c.firstAttempt }

// billKey returns the request key of the call's bill.
func (c *call) billKey() string {
	if c.keyed() {
		return c.request.Key
	}
	return c.request.ID
}

// bill returns the bill of the call's run.
func (c *call) bill(v verdict.Verdict, runTime time.Duration) record.Bill {
	return record.Bill{
		RequestKey: c.billKey(), Service: c.request.Service, Team: c.entry.Team, Revision: c.entry.Revision,
		Caller: c.request.Caller, Kind: c.request.Kind, Verdict: v, RunTime: runTime,
	}
}

// fingerprint returns a hash of the request, which detects different requests
// with the same key.
func (c *call) fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{c.request.Service, c.request.Kind, c.request.Caller} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.request.Body)
	return d.Sum64()
}

// releaseBody returns the memory of the request's body. It must not be sent again.
func (c *call) releaseBody() {
	c.body.Release()
	c.request.Body = nil
}

// releaseMemory returns all memory of the call, which has been answered or has failed.
func (c *call) releaseMemory() {
	c.releaseBody()
	c.answer.End()
}

// outcomeOf returns the outcome to keep of a call that ran.
func outcomeOf(c *call, backend string, response Response) idempotency.Outcome {
	return idempotency.Outcome{
		Verdict: verdict.Ran, Status: response.Status, ContentType: response.ContentType, Body: response.Body,
		Backend: backend, Revision: c.entry.Revision,
	}
}
