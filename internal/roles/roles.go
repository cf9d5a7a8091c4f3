// Package roles defines the interfaces between the roles of one daemon. Each
// role is implemented in a package of its own and depends on the others only
// through these interfaces.
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

// Base holds the dependencies that every role of a daemon gets.
type Base struct {
	Self cluster.Daemon
	// Now is the daemon's clock. Only differences between its readings are used.
	Now func() time.Time
	// Seed initialises the role's pseudo-random number generators.
	Seed    uint64
	Duties  *duty.Group
	Events  *events.Logger
	Metrics *metrics.Set
}

// Role is one component of a daemon with its own start and stop.
type Role interface {
	// Start registers the role's duties and returns once it is ready.
	Start(ctx context.Context) error
	// Stop shuts the role down gracefully and returns when ctx ends at the latest.
	Stop(ctx context.Context) error
	// Dump returns the role's state for the state dump. It is bounded in size
	// and contains no request bodies.
	Dump() any
}

// Appender writes records to the platform's log.
type Appender interface {
	// Append writes the records and returns the offset of the last one. It
	// returns once the outcome is known or ctx ends. The error's verdict is
	// NotRun if none of the records is in the log, and MayHaveRun if that is
	// not known; appending the same records again under the same keys is then
	// idempotent.
	Append(ctx context.Context, credential logclient.Credential, records ...record.Record) (offset uint64, err error)
}

// The entries of the state, defined in package state.
type (
	// DocumentEntry is a document in force.
	DocumentEntry = state.DocumentEntry
	// JobPhase is the phase of a job according to the log.
	JobPhase = state.JobPhase
	// JobEntry is an accepted job.
	JobEntry = state.JobEntry
	// ShareEntry is the latest claim of a share in log order.
	ShareEntry = state.ShareEntry
	// Publication is one attempt to publish a document.
	Publication = state.Publication
	// Outcome is the result of one record: its offset, and why it had no
	// effect, if it had none.
	Outcome = state.Outcome
)

// The phases of a job.
const (
	JobAccepted  = state.JobAccepted
	JobCancelled = state.JobCancelled
	JobDone      = state.JobDone
)

// View is an immutable snapshot of the state that results from applying the
// log's records up to one offset. It is safe for concurrent use.
type View interface {
	// Offset returns the first offset that is not part of the view.
	Offset() uint64
	// Document returns the document in force of a service.
	Document(service string) (DocumentEntry, bool)
	// Documents returns all documents in force, sorted by service.
	Documents() []DocumentEntry
	// History returns the retained publications of a service, oldest first.
	History(service string) []Publication
	// Job returns an accepted job by its ID.
	Job(id string) (JobEntry, bool)
	// OpenJobs returns the jobs of one key share that have not ended, sorted by ID.
	OpenJobs(share cluster.Share) []JobEntry
	// Jobs returns up to limit jobs with IDs greater than after, including
	// retained jobs that have ended.
	Jobs(after string, limit int) []JobEntry
	// Share returns the latest claim of a share.
	Share(share cluster.Share) (ShareEntry, bool)
	// Shares returns the latest claims of all shares that were ever claimed.
	Shares() []ShareEntry
	// Daemons returns the daemons that joined and have not left, sorted by name.
	Daemons() []cluster.Daemon
	// Bill returns the billing record of a request key.
	Bill(requestKey string) (record.Bill, bool)
	// Outcome returns the outcome of the record with the given key.
	Outcome(key string) (Outcome, bool)
}

// StateReader provides the newest state that this daemon has read from the log.
type StateReader interface {
	View() View
	// Changed returns a channel that is closed when the view next changes.
	Changed() <-chan struct{}
	// Health returns the log's health as observed by this daemon.
	Health() logclient.Health
}

// Lease is time-limited permission to act for a share.
type Lease struct {
	Share cluster.Share
	// Epoch is the epoch with which this daemon's tenure began. It does not
	// change until another daemon owns the share.
	Epoch uint64
	// ClaimEpoch is the epoch of the newest claim. Each renewal increases it.
	ClaimEpoch uint64
	// EffectiveSince is when the tenure became effective.
	EffectiveSince time.Time
	// Until is when the lease expires unless it is extended.
	Until time.Time
}

// Owners tells which daemon may act for which share.
type Owners interface {
	// Lease returns this daemon's current lease of a share, if it holds one.
	// Callers must call it again immediately before each effect.
	Lease(share cluster.Share) (Lease, bool)
	// LeaseUntil is like Lease, with Until capped at limit, for an effect that
	// carries its own expiry and may take place as late as Until. No other
	// daemon acts for the share before then.
	LeaseUntil(share cluster.Share, limit time.Time) (Lease, bool)
	// Leases returns all leases that this daemon currently holds.
	Leases() []Lease
	// Owner returns the daemon that owns the share according to the log.
	Owner(share cluster.Share) (cluster.Daemon, bool)
}

// Members lists the daemons and VMs of the cell.
type Members interface {
	// Self returns this daemon.
	Self() cluster.Daemon
	// Live returns the daemons believed alive, including this one, sorted by name.
	Live() []Member
	// VMs returns the platform's VM list as last read.
	VMs() []cluster.VM
}

// Member is a daemon as observed by this daemon.
type Member struct {
	Daemon cluster.Daemon `json:"daemon"`
	// Offset is the log offset up to which its state is in force.
	Offset uint64 `json:"offset"`
	// Leaving is set once the daemon has begun a graceful stop.
	Leaving bool `json:"leaving"`
	// SinceHeard is the time since the last sign of life from the daemon.
	SinceHeard time.Duration `json:"heardNanoseconds"`
}

// PeerHandler handles calls of one method of the protocol between daemons. The
// verdict of a returned error is sent to the caller.
type PeerHandler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// TypedHandler returns a handler that decodes the parameters of each call into
// a C and passes them to f. Parameters that cannot be decoded are refused with
// the given reason and verdict NotRun.
func TypedHandler[C any](reason verdict.Reason, f func(ctx context.Context, from string, c C) (any, error)) PeerHandler {
	return func(ctx context.Context, from string, params json.RawMessage) (any, error) {
		var c C
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, verdict.Wrap(errors.Wrap(err, "read call"), verdict.NotRun, reason)
		}
		return f(ctx, from, c)
	}
}

// Peers sends calls to other daemons and dispatches theirs.
type Peers interface {
	// Call sends a request to the named daemon and decodes the response into
	// result. The error's verdict is NotRun only if the request was certainly
	// not handled.
	Call(ctx context.Context, daemon, method string, params, result any) error
	// Handle registers the handler of a method. It must be called before the
	// daemon starts.
	Handle(method string, handler PeerHandler)
}
