// Package statelog is the role that keeps a daemon's state: it tails the
// platform's log, folds the records, appends what other roles hand in, writes
// snapshots, and exchanges state with peers while the log is down.
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
	// DefaultMaxRecordsBetweenSnapshots is how many records may follow a snapshot before
	// the next one is due. Recovery reads at most about twice as many.
	DefaultMaxRecordsBetweenSnapshots = 4096
	// DefaultMaxSnapshotAge is how old the newest snapshot may be. The log must
	// keep records for at least three times as long.
	DefaultMaxSnapshotAge = 2 * time.Hour
	// DefaultMinSnapshotInterval is the least time between two snapshots, unless
	// retention is about to drop the newest.
	DefaultMinSnapshotInterval = 10 * time.Minute
	// DefaultStartRecoveryTimeout is how long Start tries to recover before it returns
	// and leaves recovery to a duty.
	DefaultStartRecoveryTimeout = 5 * time.Second
)

// senders is how many appends may be under way at once.
const senders = 4

// Options is what a Store is built from.
type Options struct {
	roles.Base
	Log logclient.Log
	// SystemCredential is the daemons' own.
	SystemCredential logclient.Credential
	// Peers and PeerNames reach other daemons; both may be nil.
	Peers     roles.Peers
	PeerNames func() []string
	// WritesSnapshots reports whether this daemon is the one to write snapshots.
	// Nil is never.
	WritesSnapshots func() bool
	// AllowDataLoss starts an empty state at the log's oldest record where no
	// snapshot and no peer reaches it.
	AllowDataLoss bool
	// Rate and Burst are this daemon's append budget; zero is the default.
	Rate  float64
	Burst int
	// The zero values of these take the defaults.
	MaxRecordsBetweenSnapshots uint64
	MaxSnapshotAge             time.Duration
	MinSnapshotInterval        time.Duration
	StartRecoveryTimeout       time.Duration
}

// Store is the role. It implements roles.Role, roles.Appender and
// roles.StateReader.
type Store struct {
	options Options
	client  *logclient.Client

	view atomic.Pointer[state.View]
	// failures counts failed reads. While verified is behind it, the log may
	// not be the one that was read before.
	failures atomic.Uint64
	// behind is set while the log no longer has what is to be read next.
	behind   atomic.Bool
	verified atomic.Uint64

	// mu guards the fold and what follows it.
	mu     sync.Mutex
	state  *state.State
	source Source
	// based is set once the state has something to read on from. It is shown
	// only once source.Recovered is set too: until then it may be far behind.
	based bool
	// searchAfter is when the log may be searched for a snapshot again.
	searchAfter time.Time
	snapshots   snapshotTracker
	recent      recentRecords
	oldest      uint64
	head        uint64
	refused     uint64

	changedMu sync.Mutex
	changed   chan struct{}
	onRead    []func(startedAt time.Time, head uint64)

	exports exports
	firsts  firsts
}

// Source says where the state came from and what is not confirmed of it.
type Source struct {
	// Recovered is false until the state is as new as the log's head or, while
	// the log cannot be read, as the furthest peer's. Until then View is empty.
	Recovered bool `json:"recovered"`
	// From is "log" or the name of a peer.
	From   string `json:"from"`
	Offset uint64 `json:"offset"`
	// Confirmed is set once a read of the log has reached its head since.
	Confirmed bool `json:"confirmed"`
}

// New returns a store that has not read anything.
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
		s.handlePeers()
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

// dutyQuiet is the longest that a duty may wait for one call of the log.
const dutyQuiet = 45 * time.Second

// Start recovers the state from the log or, while the log is down, from
// peers. Where neither has any within StartWait, it returns all the same and
// a duty goes on; Source and View then show that there is no state.
func (s *Store) Start(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, s.options.StartRecoveryTimeout)
	defer cancel()
	s.recoverAtStart(startCtx)
	if !s.Source().Recovered {
		s.recoverFromPeers(ctx) // the log may have hung until startCtx ended
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	s.options.Duties.Go("statelog.tail", dutyQuiet, s.tail)
	s.options.Duties.Go("statelog.snapshot", dutyQuiet, s.snapshotDuty)
	s.options.Duties.Go("statelog.peers", dutyQuiet, s.peersDuty)
	for i := range senders {
		s.options.Duties.Go(senderName(i), dutyQuiet, s.sendDuty)
	}
	return nil
}

func senderName(i int) string { return "statelog.append." + string(rune('0'+i)) }

func (s *Store) sendDuty(ctx context.Context, turn duty.Heartbeat) error {
	return s.client.RunAppends(ctx, turn)
}

// Stop waits until the fate of all that was handed in is known, at the latest
// until ctx ends. The duties end with their group.
func (s *Store) Stop(ctx context.Context) error {
	for {
		if stats := s.client.Stats(); stats.Queued == 0 && stats.InFlight == 0 {
			return nil
		}
		select {
		case <-time.After(stopPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

const stopPoll = 20 * time.Millisecond

// WaitFor returns once the view covers offset. It fails when ctx ends.
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
	if s.behind.Load() && health != logclient.HealthDown {
		return logclient.HealthTruncated
	}
	return health
}

// OnRead registers a function that is told of every read that reached the
// log's head, once the records below head are in the view: no record from
// head on existed at startedAt. It must be called before Start. The function
// must be quick, and may be called from several goroutines.
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
		Snapshot: s.snapshots.newest, Refused: s.refused,
	}
}

// Dump is the state of a Store.
type Dump struct {
	Offset   uint64           `json:"offset"`
	Oldest   uint64           `json:"oldest"`
	Head     uint64           `json:"head"`
	Health   logclient.Health `json:"health"`
	Source   Source           `json:"source"`
	Counts   state.Counts     `json:"counts"`
	Client   logclient.Stats  `json:"client"`
	Snapshot SnapshotInfo     `json:"snapshot"`
	// Refused counts the records that had no effect since the daemon started.
	Refused uint64 `json:"refused"`
}

var (
	_ roles.Role        = (*Store)(nil)
	_ roles.Appender    = (*Store)(nil)
	_ roles.StateReader = (*Store)(nil)
	_ roles.View        = (*state.View)(nil)
)
