// Package roles holds the interfaces through which the roles of one daemon
// meet. Each role is built in a package of its own and knows the others only
// by these.
package roles

import (
	"context"
	"encoding/json"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// Base is what every role of a daemon is built from.
type Base struct {
	Self cluster.Daemon
	// Now is the daemon's clock. Only differences of its readings count.
	Now func() time.Time
	// Seed starts the role's pseudo-random sequences.
	Seed    uint64
	Duties  *duty.Group
	Events  *events.Logger
	Metrics *metrics.Set
}

// Role is one running part of a daemon.
type Role interface {
	// Start registers the role's duties and returns once it is ready.
	Start(ctx context.Context) error
	// Stop ends the role gracefully, at the latest when ctx ends.
	Stop(ctx context.Context) error
	// Dump returns the role's state for the state dump, bounded in size and
	// without request bodies.
	Dump() any
}

// Appender writes records to the platform's log.
type Appender interface {
	// Append returns once the records' fate is known or ctx ends. The offset
	// is that of the last record. The error's verdict is NotRun where no
	// record is in the log, and MayHaveRun where that is not known; the same
	// records may then be appended again under the same keys.
	Append(ctx context.Context, credential logclient.Credential, records ...record.Record) (offset uint64, err error)
}

// The entries of the folded state, which package state defines.
type (
	// DocumentEntry is a document in force.
	DocumentEntry = state.DocumentEntry
	// JobPhase is how far a job has come by the log's records.
	JobPhase = state.JobPhase
	// JobEntry is a job that was accepted.
	JobEntry = state.JobEntry
	// ShareEntry is a share's latest claim by log order.
	ShareEntry = state.ShareEntry
	// Publication is one attempt to publish a document.
	Publication = state.Publication
	// Outcome is what became of one record.
	Outcome = state.Outcome
)

// The phases of a job.
const (
	JobAccepted  = state.JobAccepted
	JobCancelled = state.JobCancelled
	JobDone      = state.JobDone
)

// View is the state folded from the log up to one offset. It never changes
// and may be read from any goroutine.
type View interface {
	// Offset is the first offset that is not part of the view.
	Offset() uint64
	// Document returns a service's document in force.
	Document(service string) (DocumentEntry, bool)
	// Documents returns all documents in force, by service.
	Documents() []DocumentEntry
	// History returns a service's publications, oldest first, as far as kept.
	History(service string) []Publication
	// Job returns an accepted job.
	Job(id string) (JobEntry, bool)
	// OpenJobs returns the jobs of one key share that have not ended, by ID.
	OpenJobs(share cluster.Share) []JobEntry
	// Jobs returns up to limit jobs after the given ID, ended ones included
	// as far as kept.
	Jobs(after string, limit int) []JobEntry
	// Share returns a share's latest claim.
	Share(share cluster.Share) (ShareEntry, bool)
	// Shares returns all shares that were ever claimed.
	Shares() []ShareEntry
	// Daemons returns the daemons that joined and have not left, by name.
	Daemons() []cluster.Daemon
	// Bill returns the billed run of a request key.
	Bill(requestKey string) (record.Bill, bool)
	// Outcome says what became of a record by its key: its offset, and why
	// it had no effect, if it had none.
	Outcome(key string) (Outcome, bool)
}

// StateReader gives the newest folded state.
type StateReader interface {
	View() View
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
	// Health is the log's health as this daemon sees it.
	Health() logclient.Health
}

// Lease is permission to act for a share.
type Lease struct {
	Share cluster.Share
	// Epoch is the epoch that this daemon's tenure began with. It stays the
	// same as long as nobody else owns the share.
	Epoch uint64
	// ClaimEpoch is the epoch of the newest claim, which renewals raise.
	ClaimEpoch uint64
	// EffectiveSince is when the tenure began to be effective.
	EffectiveSince time.Time
	// Until is when the right ends unless it is extended.
	Until time.Time
}

// Owners says who may act for what.
type Owners interface {
	// Lease returns this daemon's lease to act for share now. It must be
	// asked again right before each effect.
	Lease(share cluster.Share) (Lease, bool)
	// LeaseUntil is Lease for an effect that carries its end and may come as
	// late as that. The end is at most limit, and nobody else acts before it.
	LeaseUntil(share cluster.Share, limit time.Time) (Lease, bool)
	// Leases returns all leases that this daemon holds now.
	Leases() []Lease
	// Owner returns the daemon that owns the share by the log.
	Owner(share cluster.Share) (cluster.Daemon, bool)
}

// Members says which daemons and VMs there are.
type Members interface {
	// Self is this daemon.
	Self() cluster.Daemon
	// Live returns the daemons believed alive, this one included, by name.
	Live() []Member
	// VMs returns the platform's list as last read.
	VMs() []cluster.VM
}

// Member is a daemon as this daemon sees it.
type Member struct {
	Daemon cluster.Daemon `json:"daemon"`
	// Offset is the log offset that it has in force.
	Offset uint64 `json:"offset"`
	// Leaving is set once it has begun a graceful stop.
	Leaving bool `json:"leaving"`
	// SinceHeard is how long ago it was last heard of.
	SinceHeard time.Duration `json:"heardNanoseconds"`
}

// PeerHandler answers one method of the protocol between daemons. An error's
// verdict reaches the other side.
type PeerHandler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// TypedHandler returns a handler of calls whose parameters are a C. Others are refused
// with the given reason and certainly not handled.
func TypedHandler[C any](reason verdict.Reason, f func(ctx context.Context, from string, c C) (any, error)) PeerHandler {
	return func(ctx context.Context, from string, params json.RawMessage) (any, error) {
		var c C
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, verdict.Wrap(errors.Wrap(err, "read call"), verdict.NotRun, reason)
		}
		return f(ctx, from, c)
	}
}

// Peers carries calls between daemons.
type Peers interface {
	// Call sends a request to the named daemon and decodes its result. The
	// error's verdict is NotRun only where the request certainly was not
	// handled.
	Call(ctx context.Context, daemon, method string, params, result any) error
	// Handle registers a method before the daemon starts.
	Handle(method string, handler PeerHandler)
}
