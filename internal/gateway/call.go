package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/fairqueue"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// call is one caller's request inside this daemon.
type call struct {
	request Request
	entry   roles.DocumentEntry
	kind    document.RequestKind
	arrived time.Time
	// first is set where the caller states that it never sent the key before.
	first bool
	// granted receives exactly one grant for each acquire.
	granted chan grant

	// What follows belongs to the dispatcher.
	queued  bool
	handle  fairqueue.Handle[*call]
	expects time.Duration
	// avoid is the backend server that failed the last attempt, and attempts
	// counts the attempts made.
	avoid    string
	attempts int
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
}

// grant lets a call be sent, or refuses it.
type grant struct {
	slot *slot
	err  *verdict.Error
}

// keyed reports whether the call runs under a key owner's memory.
func (c *call) keyed() bool { return c.request.Key != "" }

// billKey names the call's run in the log.
func (c *call) billKey() string {
	if c.keyed() {
		return c.request.Key
	}
	return c.request.ID
}

// bill is what to record of the call's run.
func (c *call) bill(v verdict.Verdict, runTime time.Duration) record.Bill {
	return record.Bill{
		RequestKey: c.billKey(), Service: c.request.Service, Team: c.entry.Team, Revision: c.entry.Revision,
		Caller: c.request.Caller, Kind: c.request.Kind, Verdict: v, RunTime: runTime,
	}
}

// fingerprint tells apart requests that wrongly use the same key.
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

// outcomeOf is what is kept of a call that ran.
func outcomeOf(c *call, backend string, answer Response) idempotency.Outcome {
	return idempotency.Outcome{
		Verdict: verdict.Ran, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body,
		Backend: backend, Revision: c.entry.Revision,
	}
}
