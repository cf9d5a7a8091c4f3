package gateway

import (
	"time"

	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// The methods between daemons that concern idempotency keys.
const (
	methodKeyIssue  = "gateway.key.issue"
	methodKeyBegin  = "gateway.key.begin"
	methodKeyLookup = "gateway.key.lookup"
	methodKeySettle = "gateway.key.settle"
)

// keyBeginRequest asks a key's owner whether one attempt may run.
type keyBeginRequest struct {
	Key         string `json:"key"`
	Holder      string `json:"holder"`
	Fingerprint uint64 `json:"fingerprint"`
	// Remaining is the time until the attempt's deadline.
	Remaining time.Duration `json:"leftNanoseconds"`
	// Bill is the bill to write if the attempt's outcome is lost; nil if none is
	// due.
	Bill *record.Bill `json:"bill,omitempty"`
}

// keyLookupRequest asks a key's owner what it knows of a key.
type keyLookupRequest struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
}

// keyDecision is the owner's response to keyBeginRequest and
// keyLookupRequest.
type keyDecision struct {
	State   idempotency.State   `json:"state"`
	Holder  string              `json:"holder,omitempty"`
	Outcome idempotency.Outcome `json:"outcome,omitzero"`
	// The fields below are set if the state is Refused.
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason,omitempty"`
	Message    string          `json:"message,omitempty"`
	RetryAfter time.Duration   `json:"retryAfterNanoseconds,omitempty"`
}

// keySettleRequest reports the ends of attempts to their key's owner.
type keySettleRequest struct {
	Items []keySettlement `json:"items"`
	// Incarnation is that of the daemon that made the attempts.
	Incarnation string `json:"incarnation"`
}

// keySettlement is the end of one attempt. An outcome with the verdict NotRun
// releases the key for another attempt.
type keySettlement struct {
	Key     string              `json:"key"`
	Holder  string              `json:"holder"`
	Outcome idempotency.Outcome `json:"outcome"`
	Bill    *record.Bill        `json:"bill,omitempty"`
}

// keyIssueRequest asks a daemon that owns key shares for new keys.
type keyIssueRequest struct {
	Count int `json:"count"`
}

// keyIssueResponse carries new keys.
type keyIssueResponse struct {
	Keys []string `json:"keys"`
}

func encodeDecision(d idempotency.Decision) keyDecision {
	wire := keyDecision{State: d.State, Holder: d.Holder, Outcome: d.Outcome}
	if d.Err != nil {
		wire.Verdict, wire.Reason, wire.Message, wire.RetryAfter = d.Err.Verdict, d.Err.Reason, d.Err.Err.Error(), d.Err.RetryAfter
	}
	return wire
}

func (k keyDecision) decision() idempotency.Decision {
	d := idempotency.Decision{State: k.State, Holder: k.Holder, Outcome: k.Outcome}
	if k.State == idempotency.Refused {
		d.Err = verdict.New(k.Verdict, k.Reason, "%s", k.Message).WithRetryAfter(k.RetryAfter)
	}
	return d
}
