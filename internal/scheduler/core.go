package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// clockDrift is how much slower a server's clock may run than ours.
	clockDrift = 1.02
	// lapseSlack covers the end of a run after its lease and the way of answers.
	lapseSlack = 300 * time.Millisecond
)

// Bounds are the platform's figures that the Core keeps to.
type Bounds struct {
	// MaxLease is the longest lease that a server grants.
	MaxLease time.Duration
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout time.Duration
	// StatusRetention is how long the state of an ended submission can be read.
	StatusRetention time.Duration
	// ReuseAfter is the shortest time from the end of a server's life to the
	// start of the next one under its ID.
	ReuseAfter time.Duration
}

// Core holds one partition's submissions and the book of its servers. Every
// method is called by one goroutine, after Begin.
type Core struct {
	epoch  uint64
	bounds Bounds
	log    *events.Logger
	metric *Metrics
	config *routing.Configuration

	// now is the steady time and wall the time of day, in Unix milliseconds,
	// of the event at hand.
	now  time.Time
	wall int64

	// longest is the longest lease that this or an earlier owner may have sent.
	longest time.Duration

	// listRead says that the platform's list of servers was read.
	listRead bool
	servers  map[string]*server
	jobs     map[string]*job
	finals   map[string]workload.FinalState
	// expiring lists ended submissions, oldest first.
	expiring []string
	// timed are occurrences whose time has not come.
	timed []*occurrence
	// queued are the steps with tasks to place.
	queued []*step

	actions []Action
	ticket  uint64
	// onStored holds what to do once a write is in the log, in order.
	onStored []afterWrite
	dirty    []*job
	// noting are the servers with ends that are to be noted once stored.
	noting map[*server]uint64

	// recovered says that every server of an earlier owner was heard or can
	// hold nothing of it any more.
	recovered bool
	started   time.Time
	// asking counts questions to the policy service under way; askers is how
	// many daemons put them.
	asking, askers int
	// held is the room that the last pass kept for gangs.
	held    map[*server]workload.Resources
	learned map[string]*allowance
	// runs are the measured run times, by queue.
	runs   map[string]*runTimes
	fenced bool
	place  bool
}

type afterWrite struct {
	ticket uint64
	do     func()
}

// NewCore returns a Core that continues from the partition's records.
func NewCore(epoch uint64, bounds Bounds, records []partition.Record, log *events.Logger, metric *Metrics, now time.Time, wall int64) *Core {
	c := &Core{
		epoch: epoch, bounds: bounds, log: log, metric: metric, now: now, wall: wall, started: now,
		servers: make(map[string]*server), jobs: make(map[string]*job), finals: make(map[string]workload.FinalState),
		noting: make(map[*server]uint64), learned: make(map[string]*allowance), runs: make(map[string]*runTimes), askers: 1,
	}
	c.longest = max(bounds.lease(), earlierLease(records, bounds))
	c.load(records)
	return c
}

// earlierLease returns the longest lease that an earlier owner may have sent.
func earlierLease(records []partition.Record, bounds Bounds) time.Duration {
	if ms := LastTenure(records).LeaseMS; ms > 0 {
		return msDuration(ms)
	}
	return bounds.MaxLease
}

// Begin sets the time of the next event.
func (c *Core) Begin(now time.Time, wall int64) { c.now, c.wall = now, wall }

// Fenced reports whether a later owner has given orders or written.
func (c *Core) Fenced() bool { return c.fenced }

// Waits reports whether something may be placed.
func (c *Core) Waits() bool { return c.place }

// Finish places what can be placed, if it may, stores what changed and returns
// what is to be done.
func (c *Core) Finish(mayPlace bool) []Action {
	if c.fenced {
		c.actions = nil
		return nil
	}
	c.recover()
	if c.place && mayPlace {
		c.place = false
		c.placeAll()
	}
	c.flush()
	out := c.actions
	c.actions = nil
	return out
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

// write stores records and calls then once they are in the log.
func (c *Core) write(records []partition.Record, then func()) {
	c.ticket++
	c.act(Store{Ticket: c.ticket, Records: records})
	if then != nil {
		c.afterWrites(then)
	}
}

// afterWrites calls do once all writes so far are in the log.
func (c *Core) afterWrites(do func()) {
	c.onStored = append(c.onStored, afterWrite{c.ticket, do})
}

// Stored says that all writes up to ticket are in the log.
func (c *Core) Stored(ticket uint64) {
	for len(c.onStored) > 0 && c.onStored[0].ticket <= ticket {
		do := c.onStored[0].do
		c.onStored = c.onStored[1:]
		do()
	}
}

// flush stores the progress of jobs that changed, then lets servers forget the
// ends that it tells of. An end is never forgotten before it is stored.
func (c *Core) flush() {
	for _, j := range c.dirty {
		j.dirty = false
		if j.ending == "" && j.stored {
			c.write([]partition.Record{progressRecord(j)}, nil)
		}
	}
	c.dirty = c.dirty[:0]
	if len(c.noting) == 0 {
		return
	}
	noted := c.noting
	c.noting = make(map[*server]uint64)
	note := func() {
		for s, n := range noted {
			s.noted = max(s.noted, n)
			c.look(s)
		}
	}
	if len(c.onStored) == 0 && !c.storing() {
		note()
		return
	}
	c.afterWrites(note)
}

// storing reports whether this event has writes to store.
func (c *Core) storing() bool {
	for _, a := range c.actions {
		if _, ok := a.(Store); ok {
			return true
		}
	}
	return false
}

func (c *Core) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// Configure takes in a version of the configuration.
func (c *Core) Configure(config *routing.Configuration) {
	c.config = config
	c.place = true
	for _, j := range c.jobs {
		if q, ok := config.Queue(j.sub.Queue); ok {
			j.queue = *q
		}
	}
}

// Askers sets how many daemons can put questions to the policy service.
func (c *Core) Askers(n int) { c.askers = max(n, 1) }
