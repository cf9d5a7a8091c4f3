// Package peerstandin is another daemon for tests of the protocol between
// daemons: it echoes the params of every call, or does one thing wrong. It is
// reached directly or by its bytes on a connection.
package peerstandin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// Fault is what goes wrong with one call.
type Fault int

// The faults of a call.
const (
	FaultNone Fault = iota
	// FaultDecline answers with an error that says not run.
	FaultDecline
	// FaultHang never answers and runs nothing.
	FaultHang
	// FaultSlow answers after SlowBy.
	FaultSlow
	// FaultResetBefore breaks the connection before the call runs.
	FaultResetBefore
	// FaultResetDuring breaks the connection while the call runs.
	FaultResetDuring
	// FaultResetAfter runs the call and breaks the connection.
	FaultResetAfter
	// FaultResponseLost runs the call and never answers.
	FaultResponseLost
	// FaultDuplicate answers twice.
	FaultDuplicate
	// FaultReordered answers after the next call has been answered.
	FaultReordered
	// FaultTruncated breaks the connection in the middle of the answer.
	FaultTruncated
	// FaultMalformed answers with what is no JSON.
	FaultMalformed
	// FaultMistyped answers with a result of another type.
	FaultMistyped
	// FaultOversized announces an answer that is over the protocol's bound.
	FaultOversized
	// FaultUnsolicited sends an answer to a call that was never made, and then the
	// one that was asked for.
	FaultUnsolicited
)

// SlowDelay is how late FaultSlow answers.
const SlowDelay = 10 * time.Second

// Faults lists every fault, FaultNone included.
func Faults() []Fault {
	all := make([]Fault, 0, FaultUnsolicited+1)
	for f := FaultNone; f <= FaultUnsolicited; f++ {
		all = append(all, f)
	}
	return all
}

// Daemon is the stand-in. The zero Daemon does nothing wrong.
type Daemon struct {
	// Fault says what goes wrong with a call; nil is nothing.
	Fault func(method string) Fault

	mu      sync.Mutex
	runs    int
	refuses bool
}

// Runs returns how many calls ran.
func (d *Daemon) Runs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs
}

func (d *Daemon) run() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs++
}

func (d *Daemon) fault(method string) Fault {
	if d.Fault == nil {
		return FaultNone
	}
	return d.Fault(method)
}

// Refuse makes the daemon refuse direct calls from now on.
func (d *Daemon) Refuse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses = true
}

func (d *Daemon) refusing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refuses
}

// Reasons of the direct calls' errors.
const (
	reasonRefused verdict.Reason = "refused"
	reasonLost    verdict.Reason = "lost"
	// ReasonDeclined is the reason of FaultDecline.
	ReasonDeclined verdict.Reason = "declined"
)

var errLost = errors.New("the answer is lost")

// Call implements the calling half of roles.Peers without a connection.
func (d *Daemon) Call(ctx context.Context, _, method string, params, result any) error {
	if err := ctx.Err(); err != nil || d.refusing() {
		return verdict.New(verdict.NotRun, reasonRefused, "no connection")
	}
	data, err := json.Marshal(params)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, reasonRefused)
	}
	lost := verdict.Wrap(errLost, verdict.MayHaveRun, reasonLost)
	switch f := d.fault(method); f {
	case FaultDecline:
		return verdict.New(verdict.NotRun, ReasonDeclined, "declined")
	case FaultHang:
		<-ctx.Done()
		return lost
	case FaultResetBefore:
		return lost
	case FaultSlow, FaultResponseLost:
		d.run()
		<-ctx.Done()
		return lost
	case FaultResetDuring, FaultResetAfter, FaultTruncated, FaultMalformed, FaultMistyped, FaultOversized:
		d.run()
		return lost
	}
	d.run()
	return json.Unmarshal(data, result)
}
