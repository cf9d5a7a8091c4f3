// Package peerstandin provides a peer daemon for tests of the protocol between
// daemons. It returns the params of every call as its result, or injects a
// fault. It can be called directly or over a connection.
package peerstandin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// Fault is a fault to inject into one call.
type Fault int

// The faults of a call.
const (
	FaultNone Fault = iota
	// FaultDecline responds with an error with verdict.NotRun.
	FaultDecline
	// FaultHang never responds and does not run the call.
	FaultHang
	// FaultSlow responds after SlowDelay.
	FaultSlow
	// FaultResetBefore closes the connection before the call runs.
	FaultResetBefore
	// FaultResetDuring closes the connection while the call runs.
	FaultResetDuring
	// FaultResetAfter closes the connection after the call has run.
	FaultResetAfter
	// FaultResponseLost runs the call and never responds.
	FaultResponseLost
	// FaultDuplicate sends the response twice.
	FaultDuplicate
	// FaultReordered sends the response after that of the next call.
	FaultReordered
	// FaultTruncated closes the connection in the middle of the response.
	FaultTruncated
	// FaultMalformed responds with bytes that are not JSON.
	FaultMalformed
	// FaultMistyped responds with a result of another type.
	FaultMistyped
	// FaultOversized announces a response above the protocol's size limit.
	FaultOversized
	// FaultUnsolicited sends a response with the ID of no call, and then the
	// response to this call.
	FaultUnsolicited
)

// SlowDelay is the delay of a FaultSlow response.
const SlowDelay = 10 * time.Second

// Faults returns every fault, including FaultNone.
func Faults() []Fault {
	all := make([]Fault, 0, FaultUnsolicited+1)
	for f := FaultNone; f <= FaultUnsolicited; f++ {
		all = append(all, f)
	}
	return all
}

// Daemon is a peer daemon. The zero value injects no faults.
type Daemon struct {
	// Fault returns the fault to inject into a call; nil means none.
	Fault func(method string) Fault

	mu      sync.Mutex
	runs    int
	refuses bool
}

// Runs returns the number of calls that have run.
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

// Refuse makes the daemon refuse all later direct calls.
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

// Reasons of the errors of direct calls.
const (
	reasonRefused verdict.Reason = "refused"
	reasonLost    verdict.Reason = "lost"
	// ReasonDeclined is the reason of FaultDecline.
	ReasonDeclined verdict.Reason = "declined"
)

var errLost = errors.New("response lost")

// Call implements the client side of roles.Peers without a connection.
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
