// Package statelog implements the role that keeps a daemon's state: it tails
// the platform's log, applies the records, appends records for other roles,
// writes snapshots, and exchanges state with peers while the log is down.
package statelog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/state"
)

// Defaults of Options.
const (
	// DefaultMaxRecordsBetweenSnapshots is the number of records after a
	// snapshot at which the next one is due. Recovery reads at most about
	// twice as many.
	DefaultMaxRecordsBetweenSnapshots = 4096
	// DefaultMaxSnapshotAge is the age at which a new snapshot is due. The log
	// must keep records for at least three times as long.
	DefaultMaxSnapshotAge = 2 * time.Hour
	// DefaultMinSnapshotInterval is the minimum time between two snapshots,
	// unless the log is about to drop the newest.
	DefaultMinSnapshotInterval = 10 * time.Minute
	// DefaultStartRecoveryTimeout is how long Start tries to recover the state
	// before it returns and leaves recovery to a duty.
	DefaultStartRecoveryTimeout = 5 * time.Second
)

// appendSenders is the number of concurrent appends.
const appendSenders = 4

// Options configures a Store.
type Options struct {
	roles.Base
	Log logclient.Log
	// SystemCredential is the credential under which daemons append.
	SystemCredential logclient.Credential
	// Peers and PeerNames give access to other daemons; both may be nil.
	Peers     roles.Peers
	PeerNames func() []string
	// WritesSnapshots reports whether this daemon is the one that writes
	// snapshots. Nil means never.
	WritesSnapshots func() bool
	// AllowDataLoss lets recovery start with an empty state at the log's
	// oldest record if neither a snapshot nor a peer reaches it.
	AllowDataLoss bool
	// Rate and Burst are this daemon's append budget; zero means the default.
	Rate  float64
	Burst int
	// Zero values of the following fields mean the defaults.
	MaxRecordsBetweenSnapshots uint64
	MaxSnapshotAge             time.Duration
	MinSnapshotInterval        time.Duration
	StartRecoveryTimeout       time.Duration
}

// Store is the role. It implements roles.Role, roles.Appender and
// roles.StateReader. All methods are safe for concurrent use, except OnRead.
type Store struct {
	options Options
	client  *logclient.Client

	view atomic.Pointer[state.View]
	// readFailures counts failed reads. While verifiedFailures is lower, the
	// log may not be the one that was read before, and must be verified.
	readFailures atomic.Uint64
	// nextDropped is set while the log no longer has the next record to be
	// read.
	nextDropped      atomic.Bool
	verifiedFailures atomic.Uint64

	// mu guards the state and the fields below, up to refusedRecords.
	mu     sync.Mutex
	state  *state.State
	source Source
	// hasBase is set once the state can be extended by reading on. The state
	// becomes visible only once source.Recovered is set too: until then it may
	// be far behind the log.
	hasBase bool
	// searchAfter is when the log may be searched for a snapshot again.
	searchAfter    time.Time
	snapshots      snapshotTracker
	recent         recentRecords
	oldest         uint64
	head           uint64
	refusedRecords uint64

	changedMu sync.Mutex
	changed   chan struct{}
	onRead    []func(startedAt time.Time, head uint64)

	snapshotExport  snapshotExport
	creationOffsets creationOffsets
}

// Source says where the state came from and whether the log confirmed it.
type Source struct {
	// Recovered is set once the state has reached the log's head or, while the
	// log can't be read, the furthest peer. Until then the view is empty.
	Recovered bool `json:"recovered"`
	// From is "log" or the name of a peer.
	From   string `json:"from"`
	Offset uint64 `json:"offset"`
	// Confirmed is set once a read has reached the log's head since then.
	Confirmed bool `json:"confirmed"`
}

// New returns a store with an empty state.
func New(o Options) *Store {
	o = o.withDefaults()
	s := &Store{
		options: o,
		client: logclient.New(logclient.Options{
			Log: o.Log, Now: o.Now, Seed: o.Seed, Rate: o.Rate, Burst: o.Burst,
		}),
		state:   state.New(),
		changed: make(chan struct{}),
	}
	s.view.Store(s.state.View())
	if o.Peers != nil {
		s.registerHandlers()
	}
	s.registerMetrics()
	return s
}

func (o Options) withDefaults() Options {
	if o.MaxRecordsBetweenSnapshots == 0 {
		o.MaxRecordsBetweenSnapshots = DefaultMaxRecordsBetweenSnapshots
	}
	if o.MaxSnapshotAge == 0 {
		o.MaxSnapshotAge = DefaultMaxSnapshotAge
	}
	if o.MinSnapshotInterval == 0 {
		o.MinSnapshotInterval = DefaultMinSnapshotInterval
	}
	if o.StartRecoveryTimeout == 0 {
		o.StartRecoveryTimeout = DefaultStartRecoveryTimeout
	}
	if o.Events == nil {
		o.Events = events.Discard()
	}
	return o
}

// dutyTimeout is the longest time that a duty may wait for one call of the
// log.
const dutyTimeout = 45 * time.Second

// Start recovers the state from the log or, while the log is down, from peers,
// and starts the duties. If neither succeeds within StartRecoveryTimeout, it
// returns without an error and a duty continues to try; Source and View then
// show that there is no state. It returns an error only if ctx ended.
func (s *Store) Start(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, s.options.StartRecoveryTimeout)
	defer cancel()
	s.recoverAtStart(startCtx)
	if !s.Source().Recovered {
		s.recoverFromPeers(ctx) // a hanging log may have used up startCtx
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	s.options.Duties.Go("statelog.tail", dutyTimeout, s.tailDuty)
	s.options.Duties.Go("statelog.snapshot", dutyTimeout, s.snapshotDuty)
	s.options.Duties.Go("statelog.peers", dutyTimeout, s.peersDuty)
	for i := range appendSenders {
		s.options.Duties.Go(senderName(i), dutyTimeout, s.sendDuty)
	}
	return nil
}

func senderName(i int) string { return "statelog.append." + string(rune('0'+i)) }

func (s *Store) sendDuty(ctx context.Context, turn duty.Heartbeat) error {
	return s.client.RunAppends(ctx, turn)
}

// Stop waits until the outcome of all appends is known, or returns an error
// when ctx ends. The duties end with their group.
func (s *Store) Stop(ctx context.Context) error {
	for {
		if stats := s.client.Stats(); stats.Queued == 0 && stats.InFlight == 0 {
			return nil
		}
		select {
		case <-time.After(stopPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

const stopPollInterval = 20 * time.Millisecond

// WaitFor returns once the view covers offset. It returns an error if ctx ends
// first.
func (s *Store) WaitFor(ctx context.Context, offset uint64) error {
	for {
		changed := s.Changed()
		if s.view.Load().Offset() > offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// View implements roles.StateReader.
func (s *Store) View() roles.View { return s.view.Load() }

// Changed implements roles.StateReader.
func (s *Store) Changed() <-chan struct{} {
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	return s.changed
}

// Health implements roles.StateReader.
func (s *Store) Health() logclient.Health {
	health := s.client.Health()
	if s.nextDropped.Load() && health != logclient.HealthDown {
		return logclient.HealthTruncated
	}
	return health
}

// OnRead registers a function that is called after every read that reached the
// log's head, once the records below head are in the view: the log held no
// record at or above head at startedAt. OnRead must be called before Start.
// The function must be quick and safe for concurrent use.
func (s *Store) OnRead(f func(startedAt time.Time, head uint64)) { s.onRead = append(s.onRead, f) }

// Source returns where the state came from.
func (s *Store) Source() Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source
}

// Dump implements roles.Role.
func (s *Store) Dump() any {
	view := s.view.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	return Dump{
		Offset: view.Offset(), Oldest: s.oldest, Head: s.head, Health: s.Health(),
		Source: s.source, Counts: view.Counts(), Client: s.client.Stats(),
		Snapshot: s.snapshots.newest, Refused: s.refusedRecords,
	}
}

// Dump is the state of a Store in the state dump.
type Dump struct {
	Offset   uint64           `json:"offset"`
	Oldest   uint64           `json:"oldest"`
	Head     uint64           `json:"head"`
	Health   logclient.Health `json:"health"`
	Source   Source           `json:"source"`
	Counts   state.Counts     `json:"counts"`
	Client   logclient.Stats  `json:"client"`
	Snapshot SnapshotInfo     `json:"snapshot"`
	// Refused counts the records that were refused since the daemon started.
	Refused uint64 `json:"refused"`
}

var (
	_ roles.Role        = (*Store)(nil)
	_ roles.Appender    = (*Store)(nil)
	_ roles.StateReader = (*Store)(nil)
	_ roles.View        = (*state.View)(nil)
)
