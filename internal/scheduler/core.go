package scheduler

import (
	"math"
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"github.com/currantwinch/currantwinch/crashloop"
	"github.com/currantwinch/currantwinch/flow"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/waitindex"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// maxClockDrift is the largest assumed ratio between the rate of this
	// daemon's clock and that of a server.
	maxClockDrift = 1.02
	// leaseExpirySlack covers the time from lease expiry to the end of the run,
	// and the network time of replies.
	leaseExpirySlack = 300 * time.Millisecond
)

// Bounds are the limits that the platform sets and the Core keeps.
type Bounds struct {
	// MaxLease is the longest lease that a backend server grants.
	MaxLease time.Duration
	// GangTimeout limits how long a started gang member waits for the others.
	GangTimeout time.Duration
	// StatusRetention is how long the state of an ended submission stays
	// readable.
	StatusRetention time.Duration
	// ReuseAfter is the shortest time between the end of a server and the start of
	// another one under its ID. The same server may be back sooner.
	ReuseAfter time.Duration
	// MemoryBytes is the budget for what is held of submissions; 0 means none.
	MemoryBytes int64
	// RestartTime is how long after the loss of its owner, however many daemons are lost
	// with it, accepted work may have nothing running; 0 means that there is no bound.
	RestartTime time.Duration
	// RemoteFactor is the ratio of a task's run time outside the rack of its data or its group
	// to that in it; at most 1 if that makes no difference.
	RemoteFactor float64
	// MaxRecordBytes is the longest record that the log accepts, with its key; 0
	// if that is not known.
	MaxRecordBytes int
	// ShareWindow is the time over which a tenant's rate of submissions counts; 0 means
	// tenant.DefaultWindow.
	ShareWindow time.Duration
}

// Core holds the state of one partition's submissions and its backend servers.
// All methods must be called from one goroutine; SetTime precedes each event.
type Core struct {
	epoch  uint64
	bounds Bounds
	log    *events.Logger
	metric *Metrics
	config *routing.Configuration
	// outdatedLogged is the last version for which noteOutdated has logged.
	outdatedLogged uint64

	// now is the monotonic time and wall the wall-clock time, in Unix
	// milliseconds, of the current event.
	now  time.Time
	wall int64

	// lastSession is the number of the newest session.
	lastSession uint64
	// resumedAt is when this machine was last found to have been suspended.
	resumedAt time.Time
	// tenure is this owner's right to send leases, and its wait for those of earlier
	// owners.
	tenure *tenure
	// confirmationDue is set while a decision waits for a call to the log that shows no
	// later claim.
	confirmationDue bool
	// witnessesStaleAt is when other witnesses were found to be due; zero if none are.
	witnessesStaleAt time.Time
	// leasesRenewed is set while leases are renewed.
	leasesRenewed bool

	// waitedBefore is how long, by the ID of a server, no earlier owner can have extended
	// a lease there when the last one recorded that.
	waitedBefore map[string]time.Duration
	// unheardStored is set if a record names servers as unheard, and unheardAt is
	// when it was last written, or when this owner began.
	unheardStored bool
	// declaredUnheard holds the IDs of the servers of which a stored record may say that
	// they have not answered this owner. They get no lease: the next owner would not wait
	// for it.
	declaredUnheard map[string]bool
	unheardAt       time.Time

	// maxLeaseGranted is the longest lease that a server may have granted to this or an
	// earlier owner, whatever was sent.
	maxLeaseGranted time.Duration

	// listRead is set once the platform's server list has been read.
	listRead    bool
	servers     map[string]*server
	jobs        map[string]*job
	finalStates map[string]workload.FinalState
	// finalOrder lists the IDs in finalStates, oldest first.
	finalOrder []string
	// scheduled holds the jobs with occurrences that were not activated yet.
	scheduled dueQueue
	// memory is what the submissions take of the budget for them.
	memory memoryUse
	// queued holds the steps with tasks to place, and backlog sums up their work.
	queued  []*step
	backlog backlogIndex

	// departures holds the submissions that are being handed over to other partitions,
	// and forwards says which partition has taken over those that were.
	departures map[string]*departure
	forwards   map[string]workload.Forward
	// unstoredForwards are those of which the log may still hold the handover instead.
	unstoredForwards map[string]bool
	// forwardsCheckedAt is when the forwards were last checked, by the wall clock.
	forwardsCheckedAt int64
	// handoverConfirmed holds the ended submissions of which the partition that handed
	// them over is known to have completed that. unconfirmedFinals are those whose
	// retention is over and of which that is not known.
	handoverConfirmed map[string]bool
	unconfirmedFinals []string
	// misrouted holds the jobs whose queues lead to another service now. locate and
	// mayHandOver say whether they can move there; locate is nil if that is not known.
	misrouted   map[*job]bool
	locate      func(service, id string) (Location, int)
	mayHandOver bool
	// sharded reports whether a service has several shards; nil if that is not known.
	sharded func(service string) bool
	// roomAsked is set while a question to other shards is open, which was asked at
	// roomAskedAt. roomCursor is where the next one begins among the stuck jobs.
	roomAsked   bool
	roomAskedAt time.Time
	roomCursor  int

	actions     []Action
	lastWriteID uint64
	// onStored holds callbacks, in order, that run once a write is in the log.
	onStored []storedCallback
	dirty    []*job
	// pendingAcks holds the servers with processed ends, which are acknowledged
	// once they are stored.
	pendingAcks map[*server]bool
	// rejectedProgress holds the jobs of which the log has rejected progress that it has not
	// stored in another form since.
	rejectedProgress map[*job]bool

	// exposed holds, by server, the tasks without an attempt there whose run may
	// have ended with a crash of it.
	exposed map[string][]*task
	// unseenCrashes are the servers of earlier owners that crashed before this owner
	// heard from them.
	unseenCrashes []ServerInfo
	// hosts remembers which servers went down lately.
	hosts crashloop.Hosts
	// trials counts the trials under way; deferredTrials are those that are stored
	// and wait for other runs on their servers to settle.
	trials         int
	deferredTrials []*trial

	// recovered is set once every server of an earlier owner has listed its
	// runs or the leases sent to it have expired.
	recovered bool
	started   time.Time
	// openRequests counts the policy requests in flight; policyClients is the
	// number of daemons that can send them.
	openRequests, policyClients int
	// heldForGangs is the capacity that is held for gangs, holders are the gangs, and
	// holdRoom is how many others may try to hold some in place of what was released.
	heldForGangs map[*server]workload.Resources
	holders      []*step
	holdRoom     int
	// index holds the queued steps in placement order, as sorted at sortedAt; wakeCursor
	// is the block that was woken last without a cause.
	index      waitindex.Index[*step]
	sortedAt   time.Time
	wakeCursor int
	// delayed are the steps that are examined again at their wakeAt.
	delayed []*step
	// capWaiting holds, by tenant, the steps that wait until its cap allows more.
	capWaiting map[string]*capQueue
	// localityWaits are the steps of which tasks wait for local slots.
	localityWaits []*step
	// freed are the servers with freed capacity that steps were not examined for yet, and
	// freedSeq counts such releases.
	freed    []*server
	freedSeq uint64
	// numbers are the numbers of the servers' instances.
	numbers instanceNumbers
	// pools holds the servers by service. It is renewed once serversChanged is set.
	pools          map[string]*serverPool
	serversChanged bool
	// openBuffer, ticketedBuffer and forecastBuffer are reused by placement passes.
	openBuffer, ticketedBuffer []*server
	forecastBuffer             []forecast
	allowRates                 map[string]*allowRate
	// speeds is what is known of the servers' speeds, by service, and speedsReviewedAt is
	// when that was last brought up to date.
	speeds           map[string]*serviceSpeeds
	speedsReviewedAt time.Time
	// copiesCheckedAt is when stragglers were last searched for.
	copiesCheckedAt time.Time
	// copyWaiting are the steps that waited for capacity then.
	copyWaiting []*step
	// lastStepNumber is the number of the last step that got one.
	lastStepNumber uint64
	// runTimes holds the mean run time of each queue.
	runTimes        map[string]*runTimes
	fenced          bool
	placementNeeded bool
	placement       placementCounts
	// mostUnreachable is set while most servers with runs are unresponsive.
	mostUnreachable bool
	// startRoom is how many more starts the Engine can send soon; startsHeld is
	// set if the last placement pass ended for want of it.
	startRoom  int
	startsHeld bool
	// startsHeldAt is when startsHeld was last set.
	startsHeldAt time.Time
	// starts is the rate of confirmed starts.
	starts flow.Throughput
	// openTasks is the last result of countOpenTasks, plus the tasks accepted
	// since, by openPriority. It is kept while sendingHeldUp.
	openTasks map[int]int
	// arrivals remembers when submissions that were refused came first.
	arrivals      *admission.Arrivals
	openCountedAt time.Time
	faults        tenureFaults
	// tenants holds the starts of each tenant below its cap.
	tenants   *tenants
	capShares capShares
}

// storedCallback waits until a write and all before it are in the log.
type storedCallback struct {
	writeID uint64
	since   time.Time
	do      func()
	// own is set if the callback is about this very write, so that it must not run
	// if the log rejects the write. Others only wait for what was written before.
	own bool
	// rejected, if set, runs in place of do then.
	rejected func(error)
}

// NewCore returns a Core restored from the partition's records, which its
// earlier owners wrote. Epoch must be higher than theirs.
func NewCore(epoch uint64, bounds Bounds, records []partition.Record, log *events.Logger, metric *Metrics, now time.Time, wall int64) *Core {
	c := &Core{
		epoch: epoch, bounds: bounds, log: log, metric: metric, now: now, wall: wall, started: now, unheardAt: now, leasesRenewed: true,
		starts:  flow.Throughput{MaxGap: maxHeldGap},
		servers: make(map[string]*server), jobs: make(map[string]*job), finalStates: make(map[string]workload.FinalState),
		departures: make(map[string]*departure), forwards: make(map[string]workload.Forward), unstoredForwards: make(map[string]bool), handoverConfirmed: make(map[string]bool),
		misrouted: make(map[*job]bool), pendingAcks: make(map[*server]bool), rejectedProgress: make(map[*job]bool), exposed: make(map[string][]*task), declaredUnheard: make(map[string]bool), allowRates: make(map[string]*allowRate), runTimes: make(map[string]*runTimes), speeds: make(map[string]*serviceSpeeds), policyClients: 1,
		heldForGangs: make(map[*server]workload.Resources), capWaiting: make(map[string]*capQueue), serversChanged: true,
		startRoom: math.MaxInt, openTasks: make(map[int]int), arrivals: admission.NewArrivals(maxArrivals, arrivalRetention),
	}
	c.memory.limit = bounds.MemoryBytes
	c.tenants = newTenants(c)
	c.capShares.sends = make(map[capTransferKey]int)
	claim := nextClaim(records, "", bounds, nil)
	claim.Epoch = epoch
	c.SetClaim(claim, now, wall)
	c.load(records)
	return c
}

// SetTime sets the monotonic and the wall-clock time of the next event.
func (c *Core) SetTime(now time.Time, wall int64) {
	c.checkSuspended(now, wall)
	c.now, c.wall = now, wall
	c.tenants.stale = true
}

// Fenced reports whether a later owner has sent orders or has written to the
// partition. The Core returns no more actions then.
func (c *Core) Fenced() bool { return c.fenced }

// PlacementPending reports whether the next Finish has tasks to try to place.
func (c *Core) PlacementPending() bool { return c.placementNeeded }

// SetStartRoom sets how many more starts should be ordered now. Placement of
// what exceeds it waits, so that it is decided with newer information.
func (c *Core) SetStartRoom(n int) {
	c.startRoom = n
	if n > 0 && c.startsHeld {
		c.placementNeeded = true
	}
}

// Finish ends the handling of an event: it runs a placement pass if one is
// pending and mayPlace is set, stores changed progress, and returns the actions
// to carry out.
func (c *Core) Finish(mayPlace bool) []Action {
	if c.fenced {
		c.actions = nil
		return nil
	}
	c.checkRecovery()
	c.tenants.stale = true
	if c.placementNeeded && mayPlace {
		c.placementNeeded = false
		c.runPlacement()
	}
	if mayPlace {
		c.startCopies()
	}
	c.flush()
	out := c.actions
	c.actions = nil
	return out
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// write stores records and calls then once they are in the log.
func (c *Core) write(records []partition.Record, then func()) { c.writeOr(records, then, nil) }

// writeOr stores records and calls then once they are in the log, or rejected if
// the log does not accept them. Either may be nil.
func (c *Core) writeOr(records []partition.Record, then func(), rejected func(error)) {
	c.lastWriteID++
	c.emit(Store{WriteID: c.lastWriteID, Records: records})
	if then != nil || rejected != nil {
		c.onStored = append(c.onStored, storedCallback{writeID: c.lastWriteID, since: c.now, do: then, own: true, rejected: rejected})
	}
}

// afterStored calls do once all writes so far are in the log.
func (c *Core) afterStored(do func()) {
	c.onStored = append(c.onStored, storedCallback{writeID: c.lastWriteID, since: c.now, do: do})
}

// WritesStored reports that all writes up to writeID are in the log.
func (c *Core) WritesStored(writeID uint64) {
	for len(c.onStored) > 0 && c.onStored[0].writeID <= writeID {
		do := c.onStored[0].do
		c.onStored = c.onStored[1:]
		if do != nil {
			do()
		}
	}
}

// WriteRejected reports that the log does not accept a write, nor would accept it
// again. All earlier writes are in the log. What waits for them goes on.
func (c *Core) WriteRejected(writeID uint64, err error) {
	c.metric.writesRejected.Inc()
	c.log.Log(events.WriteRejected, "write", writeID, "epoch", c.epoch, "error", err.Error())
	for i := range c.onStored {
		w := &c.onStored[i]
		if w.writeID != writeID || !w.own {
			continue
		}
		w.do = nil
		if rejected := w.rejected; rejected != nil {
			w.do = func() { rejected(err) }
		}
	}
	c.WritesStored(writeID)
}

// flush stores the progress of changed jobs. It acknowledges ends to servers
// only once they are stored, since a server drops an acknowledged end.
func (c *Core) flush() {
	for _, j := range c.dirty {
		j.dirty = false
		if j.ending == "" && j.stored {
			c.storeProgress(j)
		}
	}
	c.dirty = c.dirty[:0]
	if len(c.pendingAcks) == 0 {
		return
	}
	acks := make([]ackedEnds, 0, len(c.pendingAcks))
	for s := range c.pendingAcks {
		acks = append(acks, ackedEnds{s.instance(), s.processedEnd})
	}
	clear(c.pendingAcks)
	acknowledge := func() { c.acknowledge(acks) }
	if len(c.onStored) == 0 && !c.hasStores() {
		acknowledge()
		return
	}
	c.afterStored(acknowledge)
}

// ackedEnds names the last stored end of one instance of a server.
type ackedEnds struct {
	to     Instance
	number uint64
}

// acknowledge lets the next polls acknowledge ends that are stored. An instance
// that followed meanwhile numbers its ends anew and gets nothing of that.
//
// While the log lacks progress that it has rejected, the acknowledgement waits.
func (c *Core) acknowledge(acks []ackedEnds) {
	for _, a := range acks {
		s := c.serverOf(a.to)
		switch {
		case s == nil:
		case len(c.rejectedProgress) > 0:
			c.pendingAcks[s] = true
		default:
			s.storedEnd = max(s.storedEnd, a.number)
			c.poll(s)
		}
	}
}

// hasStores reports whether the current event has produced writes.
func (c *Core) hasStores() bool {
	for _, a := range c.actions {
		if _, ok := a.(Store); ok {
			return true
		}
	}
	return false
}

func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// Configure applies a new version of the configuration.
func (c *Core) Configure(config *routing.Configuration) {
	c.config = config
	c.tenants.ledger.Configure(config.Tenancy, c.now)
	c.wakeAll()
	c.placementNeeded = true
	for _, j := range c.jobs {
		c.setQueue(j)
		c.tenants.setCriticalPath(j)
		c.noteRoute(j)
	}
}

// SetPolicyClientCount sets the number of daemons that can send policy
// requests.
func (c *Core) SetPolicyClientCount(n int) { c.policyClients = max(n, 1) }
