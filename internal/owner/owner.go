// Package owner implements the role that tracks the cell's daemons and owns
// shares. It claims shares in the log, keeps the evidence that extends its
// leases, attests for other holders while the log is down, and hands over
// shares when daemons join or leave.
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
	// listInterval is the interval between reads of the platform's VM list.
	listInterval = 2 * time.Second
	// sharesPollInterval is the longest time between checks of the shares.
	sharesPollInterval = 100 * time.Millisecond
	// requestPause is the pause between requests of one kind to an incarnation
	// that answers.
	requestPause = 20 * time.Millisecond
	// evidenceCheckInterval is the interval between checks for stale evidence.
	evidenceCheckInterval = 200 * time.Millisecond
	// maintenanceInterval is the interval between checks of joins, leaves and
	// moves.
	maintenanceInterval = 500 * time.Millisecond
	// claimStartDelay is how long after its start a daemon waits before it
	// claims shares.
	claimStartDelay = 1500 * time.Millisecond
	// stableUptime is how long a daemon must have been live before shares are
	// moved to it from a live owner.
	stableUptime = 30 * time.Second
	// coldStartWindow is how far apart the daemons of a new cell may start and
	// still get shares from the beginning.
	coldStartWindow = 5 * time.Second
	// moveDelay is how long a move must be due before it is offered, and how
	// long an offer stays valid.
	moveDelay = 5 * time.Second
	// evidenceStaleAfter is the age of evidence at which other daemons are
	// asked for newer evidence.
	evidenceStaleAfter = 1600 * time.Millisecond
	// callTimeout bounds one call to another daemon.
	callTimeout = 1500 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat. It is longer than callTimeout,
	// since a late answer shows that the daemon is alive, too.
	heartbeatTimeout = 4 * time.Second
	// appendTimeout bounds one attempt to append a record.
	appendTimeout = 10 * time.Second
	// dutyTimeout is the longest time that a duty may go without a turn.
	dutyTimeout = 10 * time.Second
)

// Log is the access to the platform's log that the role needs.
type Log interface {
	roles.Appender
	// ReadNow reads the log to its head. The log held no record at or above
	// head at startedAt.
	ReadNow(ctx context.Context) (startedAt time.Time, head uint64, err error)
	// OnRead registers a function that is called after each read that reached
	// the head.
	OnRead(f func(startedAt time.Time, head uint64))
}

// Options configures an Owner.
type Options struct {
	roles.Base
	VMList membership.VMList
	State  roles.StateReader
	Log    Log
	Peers  roles.Peers
	// SystemCredential is the credential under which daemons append.
	SystemCredential logclient.Credential
}

// Owner is the role. It implements roles.Role, roles.Owners and roles.Members.
// All methods are safe for concurrent use.
type Owner struct {
	o         Options
	protocol  ownership.Protocol
	timing    membership.Timing
	startedAt time.Time
	metrics   ownerMetrics
	// wake makes sharesDuty run at once.
	wake chan struct{}
	// background counts the goroutines of calls and appends in progress.
	background sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc

	planCache   planCache
	joinedCache joinedCache

	mu                 sync.Mutex
	shares             map[cluster.Share]ownership.ShareState
	leased             map[cluster.Share]bool
	offeredAt          map[cluster.Share]time.Time
	movesDueSince      map[ownership.Move]time.Time
	inFlight           map[requestKey]bool
	stuckLogged        map[cluster.Share]uint64
	claimSequence      uint64
	detector           *membership.Detector
	heartbeatsInFlight map[string]int
	vms                []cluster.VM
	listedDaemons      map[string]cluster.VM
	leaving            bool
	joined             bool
	// ending is set before the record that ends this incarnation is appended:
	// from then on it neither uses its leases nor attests.
	ending  bool
	stopped bool
	// witnessesChangedAt is when the witnesses of a held claim were first seen
	// to differ from the joined daemons; zero if they don't differ.
	witnessesChangedAt time.Time
}

var (
	_ roles.Role    = (*Owner)(nil)
	_ roles.Owners  = (*Owner)(nil)
	_ roles.Members = (*Owner)(nil)
)

// New returns an Owner and registers its handlers with the peers.
func New(o Options) *Owner {
	if o.Events == nil {
		o.Events = events.Discard()
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &Owner{
		o: o, protocol: ownership.Protocol{Timing: ownership.DefaultTiming}, timing: membership.DefaultTiming,
		startedAt: o.Now(), wake: make(chan struct{}, 1), ctx: ctx, stop: stop,
		shares:             make(map[cluster.Share]ownership.ShareState),
		leased:             make(map[cluster.Share]bool),
		offeredAt:          make(map[cluster.Share]time.Time),
		movesDueSince:      make(map[ownership.Move]time.Time),
		inFlight:           make(map[requestKey]bool),
		stuckLogged:        make(map[cluster.Share]uint64),
		heartbeatsInFlight: make(map[string]int),
		listedDaemons:      make(map[string]cluster.VM),
	}
	w.detector = membership.NewDetector(w.timing)
	w.metrics = newOwnerMetrics(o.Metrics, w)
	w.registerHandlers()
	o.Log.OnRead(w.onLogRead)
	return w
}

// Start reads the platform's list once, for at most callTimeout, and starts
// the duties. An error means that the protocol's timing is inconsistent.
func (w *Owner) Start(ctx context.Context) error {
	if err := w.protocol.Timing.Validate(); err != nil {
		return err
	}
	listCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.readList(listCtx)
	w.o.Duties.Go("owner.list", dutyTimeout, w.listDuty)
	w.o.Duties.Go("owner.heartbeat", dutyTimeout, w.heartbeatDuty)
	w.o.Duties.Go("owner.shares", dutyTimeout, w.sharesDuty)
	w.o.Duties.Go("owner.evidence", dutyTimeout, w.evidenceDuty)
	w.o.Duties.Go("owner.keeper", dutyTimeout, w.maintenanceDuty)
	return nil
}

// instant converts a reading of the daemon's clock. Instants start at one
// hour, so that the zero Instant is longer ago than any lease lasts.
func (w *Owner) instant(t time.Time) ownership.Instant {
	return ownership.Instant(t.Sub(w.startedAt) + time.Hour)
}

func (w *Owner) time(i ownership.Instant) time.Time {
	return w.startedAt.Add(time.Duration(i) - time.Hour)
}

func (w *Owner) now() ownership.Instant { return w.instant(w.o.Now()) }

// wakeShares makes sharesDuty run at once.
func (w *Owner) wakeShares() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// spawn runs a call or an append in the background, so that it doesn't delay a
// duty. Its context ends with the role.
func (w *Owner) spawn(f func(ctx context.Context)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.background.Add(1)
	go func() {
		defer w.background.Done()
		f(w.ctx)
	}()
}

// entry returns the newest claim on a share in the view.
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

// daemonIndex indexes the joined daemons of a view.
type daemonIndex struct {
	byName        map[string]cluster.Daemon
	byIncarnation map[string]cluster.Daemon
}

// joinedCache caches the index of the newest view.
type joinedCache struct {
	mu      sync.Mutex
	view    roles.View
	daemons daemonIndex
}

// joinedDaemons indexes the joined daemons of a view. The index must not be
// changed.
func (w *Owner) joinedDaemons(view roles.View) daemonIndex {
	j := &w.joinedCache
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.view == view {
		return j.daemons
	}
	d := daemonIndex{make(map[string]cluster.Daemon), make(map[string]cluster.Daemon)}
	for _, daemon := range view.Daemons() {
		d.byName[daemon.Name] = daemon
		d.byIncarnation[daemon.Incarnation] = daemon
	}
	j.view, j.daemons = view, d
	return d
}

// ended reports whether the log records the end of an incarnation. The
// incarnation must have joined, as every one named in a claim has.
func (d daemonIndex) ended(incarnation string) bool {
	_, ok := d.byIncarnation[incarnation]
	return !ok
}

// incarnations lists the joined incarnations, sorted.
func (d daemonIndex) incarnations() []string {
	out := make([]string, 0, len(d.byIncarnation))
	for i := range d.byIncarnation {
		out = append(out, i)
	}
	slices.Sort(out)
	return out
}

// Dump is the role's state in the state dump.
type Dump struct {
	Self    cluster.Daemon `json:"self"`
	Joined  bool           `json:"joined"`
	Leaving bool           `json:"leaving"`
	Live    []roles.Member `json:"live"`
	Shares  []ShareDump    `json:"shares"`
}

// ShareDump is this daemon's state for one share.
type ShareDump struct {
	Share          cluster.Share      `json:"share"`
	Epoch          uint64             `json:"epoch"`
	Pending        uint64             `json:"pending,omitempty"`
	Effective      bool               `json:"effective"`
	Superseded     bool               `json:"superseded,omitempty"`
	Acting         bool               `json:"acting"`
	LeaseRemaining time.Duration      `json:"leftNanoseconds"`
	WaitsFor       []ownership.Tenure `json:"waitsFor,omitempty"`
	PromisedEpoch  uint64             `json:"promised,omitempty"`
}

// Dump implements roles.Role.
func (w *Owner) Dump() any {
	live := w.Live()
	w.mu.Lock()
	defer w.mu.Unlock()
	d := Dump{Self: w.o.Self, Joined: w.joined, Leaving: w.leaving, Live: live}
	now := w.now()
	for share, state := range w.shares {
		until, ok := w.protocol.Lease(state, now)
		d.Shares = append(d.Shares, ShareDump{
			Share: share, Epoch: state.Tenure.Epoch, Pending: state.Pending.Epoch, Effective: state.Effective,
			Superseded: state.Superseded, Acting: ok, LeaseRemaining: until.Sub(now), WaitsFor: state.Prior, PromisedEpoch: state.PromisedEpoch,
		})
	}
	slices.SortFunc(d.Shares, func(a, b ShareDump) int { return compareShares(a.Share, b.Share) })
	return d
}
