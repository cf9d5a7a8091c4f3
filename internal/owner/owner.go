// Package owner is the role that says which daemons there are and which of
// them may act for what. It claims shares in the log, keeps the evidence that
// a right needs, vouches for other holders while the log is down, and hands
// shares over when daemons come and go.
package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/membership"
	"github.com/currantwinch/currantwinch/ownership"
)

const (
	// listInterval is the time between two reads of the platform's list.
	listInterval = 2 * time.Second
	// sharesInterval is the longest time between two looks at the shares.
	sharesInterval = 100 * time.Millisecond
	// askPause is between two questions to one incarnation that answers.
	askPause = 20 * time.Millisecond
	// evidenceInterval is the time between two looks for stale evidence.
	evidenceInterval = 200 * time.Millisecond
	// keeperInterval is the time between two looks at joins, leaves and moves.
	keeperInterval = 500 * time.Millisecond
	// startGrace is how long after its start a daemon begins to claim.
	startGrace = 1500 * time.Millisecond
	// stableAfter is how long a daemon must have been alive before shares are
	// moved to it from a living owner.
	stableAfter = 30 * time.Second
	// startTogether is how far apart daemons of a new cell may start and still
	// share it from the beginning.
	startTogether = 5 * time.Second
	// settleTime is how long a move must be due before it is made.
	settleTime = 5 * time.Second
	// staleAfter is the age of evidence at which peers are asked.
	staleAfter = 1600 * time.Millisecond
	// callTimeout bounds one call of another daemon.
	callTimeout = 1500 * time.Millisecond
	// heartbeatTimeout is longer, since a late answer is a sign of life, too.
	heartbeatTimeout = 4 * time.Second
	// appendTimeout bounds one attempt to append.
	appendTimeout = 10 * time.Second
	// quietTime is the longest that a duty may go without a turn.
	quietTime = 10 * time.Second
)

// Log is what the role needs of the platform's log.
type Log interface {
	roles.Appender
	// ReadNow reads to the head; no record from head on existed at startedAt.
	ReadNow(ctx context.Context) (startedAt time.Time, head uint64, err error)
	// OnRead registers a function told of each read that reached the head.
	OnRead(f func(startedAt time.Time, head uint64))
}

// Options is what an Owner is built from.
type Options struct {
	roles.Base
	VMList membership.VMList
	State  roles.StateReader
	Log    Log
	Peers  roles.Peers
	// SystemCredential is the daemons' own.
	SystemCredential logclient.Credential
}

// Owner is the role. It implements roles.Role, roles.Owners and roles.Members.
type Owner struct {
	o        Options
	protocol ownership.Protocol
	timing   membership.Timing
	origin   time.Time
	metrics  ownerMetrics
	// wake makes the shares duty look at once.
	wake chan struct{}
	// calls counts the short-lived goroutines of calls and appends.
	calls sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc

	planned  planned
	joinedIn joinedIn

	mu       sync.Mutex
	parts    map[cluster.Share]ownership.ShareState
	acting   map[cluster.Share]bool
	offered  map[cluster.Share]time.Time
	due      map[ownership.Move]time.Time
	asking   map[askKey]bool
	stuck    map[cluster.Share]uint64
	sequence uint64
	table    *membership.Detector
	beating  map[string]int
	vms      []cluster.VM
	listed   map[string]cluster.VM
	leaving  bool
	joined   bool
	// left is set before the record that ends this incarnation is appended:
	// from then on it neither acts nor vouches.
	left    bool
	stopped bool
	// witnessesOff is since when a held claim names other witnesses than
	// those that there are.
	witnessesOff time.Time
}

var (
	_ roles.Role    = (*Owner)(nil)
	_ roles.Owners  = (*Owner)(nil)
	_ roles.Members = (*Owner)(nil)
)

// New returns an Owner and registers its methods with the peers.
func New(o Options) *Owner {
	if o.Events == nil {
		o.Events = events.Discard()
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &Owner{
		o: o, protocol: ownership.Protocol{Timing: ownership.DefaultTiming}, timing: membership.DefaultTiming,
		origin: o.Now(), wake: make(chan struct{}, 1), ctx: ctx, stop: stop,
		parts:   make(map[cluster.Share]ownership.ShareState),
		acting:  make(map[cluster.Share]bool),
		offered: make(map[cluster.Share]time.Time),
		due:     make(map[ownership.Move]time.Time),
		asking:  make(map[askKey]bool),
		stuck:   make(map[cluster.Share]uint64),
		beating: make(map[string]int),
		listed:  make(map[string]cluster.VM),
	}
	w.table = membership.NewDetector(w.timing)
	w.metrics = newOwnerMetrics(o.Metrics, w)
	w.handle()
	o.Log.OnRead(w.observe)
	return w
}

// Start reads the platform's list once, if it answers, and starts the duties.
func (w *Owner) Start(ctx context.Context) error {
	if err := w.protocol.Timing.Validate(); err != nil {
		return err
	}
	listCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.readList(listCtx)
	w.o.Duties.Go("owner.list", quietTime, w.listDuty)
	w.o.Duties.Go("owner.heartbeat", quietTime, w.heartbeatDuty)
	w.o.Duties.Go("owner.shares", quietTime, w.sharesDuty)
	w.o.Duties.Go("owner.evidence", quietTime, w.evidenceDuty)
	w.o.Duties.Go("owner.keeper", quietTime, w.keeperDuty)
	return nil
}

// instant converts a reading of the daemon's clock. Readings start at an hour,
// so that the zero Instant is long ago.
func (w *Owner) instant(t time.Time) ownership.Instant {
	return ownership.Instant(t.Sub(w.origin) + time.Hour)
}

func (w *Owner) time(i ownership.Instant) time.Time {
	return w.origin.Add(time.Duration(i) - time.Hour)
}

func (w *Owner) now() ownership.Instant { return w.instant(w.o.Now()) }

func (w *Owner) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// spawn runs a call or an append that must not hold up a duty. It ends with
// the role.
func (w *Owner) spawn(f func(ctx context.Context)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.calls.Add(1)
	go func() {
		defer w.calls.Done()
		f(w.ctx)
	}()
}

// entry returns a share's newest claim in the view.
func entry(view roles.View, share cluster.Share) ownership.Entry {
	e, ok := view.Share(share)
	if !ok {
		return ownership.Entry{}
	}
	prior := make([]ownership.Tenure, 0, len(e.Prior))
	for _, t := range e.Prior {
		prior = append(prior, ownership.Tenure{Epoch: t.Epoch, Holder: t.Incarnation, Witnesses: t.Witnesses})
	}
	return ownership.Entry{
		Tenure:   ownership.Tenure{Epoch: e.Epoch, Holder: e.Incarnation, Witnesses: e.Witnesses},
		Released: e.Released, Prior: prior,
	}
}

// daemons indexes the joined daemons of a view.
type daemons struct {
	byName        map[string]cluster.Daemon
	byIncarnation map[string]cluster.Daemon
}

// joinedIn keeps the joined daemons of the view that was asked for last.
type joinedIn struct {
	mu      sync.Mutex
	view    roles.View
	daemons daemons
}

// daemonsOf indexes the joined daemons of a view. The index must not be
// changed.
func (w *Owner) daemonsOf(view roles.View) daemons {
	j := &w.joinedIn
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.view == view {
		return j.daemons
	}
	d := daemons{make(map[string]cluster.Daemon), make(map[string]cluster.Daemon)}
	for _, daemon := range view.Daemons() {
		d.byName[daemon.Name] = daemon
		d.byIncarnation[daemon.Incarnation] = daemon
	}
	j.view, j.daemons = view, d
	return d
}

// ended reports whether an incarnation that a claim names, and so has joined,
// has ended by the log.
func (d daemons) ended(incarnation string) bool {
	_, ok := d.byIncarnation[incarnation]
	return !ok
}

// incarnations lists the joined incarnations in order.
func (d daemons) incarnations() []string {
	out := make([]string, 0, len(d.byIncarnation))
	for i := range d.byIncarnation {
		out = append(out, i)
	}
	slices.Sort(out)
	return out
}

// Dump is the role's state.
type Dump struct {
	Self    cluster.Daemon `json:"self"`
	Joined  bool           `json:"joined"`
	Leaving bool           `json:"leaving"`
	Live    []roles.Member `json:"live"`
	Shares  []ShareDump    `json:"shares"`
}

// ShareDump is this daemon's part in one share.
type ShareDump struct {
	Share      cluster.Share      `json:"share"`
	Epoch      uint64             `json:"epoch"`
	Pending    uint64             `json:"pending,omitempty"`
	Effective  bool               `json:"effective"`
	Superseded bool               `json:"superseded,omitempty"`
	Acting     bool               `json:"acting"`
	Left       time.Duration      `json:"leftNanoseconds"`
	WaitsFor   []ownership.Tenure `json:"waitsFor,omitempty"`
	Promised   uint64             `json:"promised,omitempty"`
}

// Dump implements roles.Role.
func (w *Owner) Dump() any {
	live := w.Live()
	w.mu.Lock()
	defer w.mu.Unlock()
	d := Dump{Self: w.o.Self, Joined: w.joined, Leaving: w.leaving, Live: live}
	now := w.now()
	for share, part := range w.parts {
		until, ok := w.protocol.Lease(part, now)
		d.Shares = append(d.Shares, ShareDump{
			Share: share, Epoch: part.Tenure.Epoch, Pending: part.Pending.Epoch, Effective: part.Effective,
			Superseded: part.Superseded, Acting: ok, Left: until.Sub(now), WaitsFor: part.Prior, Promised: part.PromisedEpoch,
		})
	}
	slices.SortFunc(d.Shares, func(a, b ShareDump) int { return compareShares(a.Share, b.Share) })
	return d
}
