package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timing holds the timeouts of failure detection.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats of a pair of
	// daemons.
	HeartbeatInterval time.Duration
	// IndirectProbeAfter: a daemon not heard directly for this long is asked
	// about at other daemons.
	IndirectProbeAfter time.Duration
	// FailureTimeout: a daemon that no daemon has heard for this long counts
	// as dead.
	FailureTimeout time.Duration
	// RemovalTimeout: the end of a daemon may be recorded after it was silent
	// and off the platform's list for this long.
	RemovalTimeout time.Duration
}

// DefaultTiming is the timing that daemons use.
var DefaultTiming = Timing{
	HeartbeatInterval:  400 * time.Millisecond,
	IndirectProbeAfter: 700 * time.Millisecond,
	FailureTimeout:     1200 * time.Millisecond,
	RemovalTimeout:     20 * time.Second,
}

// Heartbeat is what a daemon reports of itself.
type Heartbeat struct {
	Incarnation string
	// Offset is the log offset up to which the sender has applied the log.
	Offset  uint64
	Leaving bool
}

// DaemonStatus is what a Detector knows of one daemon.
type DaemonStatus struct {
	Name      string
	Heartbeat Heartbeat
	// LastDirect is when a call or an answer from the daemon last arrived, and
	// LastIndirect when another daemon last heard it.
	LastDirect, LastIndirect time.Time
	// AliveSince is when the daemon was first heard since it last started or
	// counted as dead.
	AliveSince time.Time
	// LastListed is when the platform's list last contained the daemon.
	LastListed time.Time
}

// LastHeard returns when the daemon was last heard, directly or indirectly.
func (e DaemonStatus) LastHeard() time.Time {
	if e.LastIndirect.After(e.LastDirect) {
		return e.LastIndirect
	}
	return e.LastDirect
}

// Detector is a failure detector for the daemons of a cell. It is not safe for
// concurrent use.
type Detector struct {
	timing   Timing
	daemons  map[string]*DaemonStatus
	lastTick time.Time
}

// NewDetector returns a Detector that knows no daemon.
func NewDetector(timing Timing) *Detector {
	return &Detector{timing: timing, daemons: make(map[string]*DaemonStatus)}
}

func (t *Detector) entry(name string) *DaemonStatus {
	e, ok := t.daemons[name]
	if !ok {
		e = &DaemonStatus{Name: name}
		t.daemons[name] = e
	}
	return e
}

// RecordHeartbeat records a heartbeat, or the answer to one. A late answer
// counts as well, since a slow daemon is not a dead one.
func (t *Detector) RecordHeartbeat(name string, r Heartbeat, now time.Time) {
	e := t.entry(name)
	if e.Heartbeat.Incarnation != r.Incarnation || now.Sub(e.LastHeard()) > t.timing.FailureTimeout {
		e.AliveSince = now
	}
	e.Heartbeat = r
	e.LastDirect = now
}

// RecordIndirect records that another daemon heard this incarnation the given
// time ago. A report on an unknown daemon or another incarnation is ignored.
func (t *Detector) RecordIndirect(name, incarnation string, ago time.Duration, now time.Time) {
	e, ok := t.daemons[name]
	if !ok || e.Heartbeat.Incarnation != incarnation {
		return
	}
	if at := now.Add(-ago); at.After(e.LastIndirect) {
		e.LastIndirect = at
	}
}

// RecordListed records the daemons on the platform's list.
func (t *Detector) RecordListed(names []string, now time.Time) {
	for _, name := range names {
		t.entry(name).LastListed = now
	}
}

// Tick must be called once per heartbeat interval. If the last call was more
// than IndirectProbeAfter ago, this process was paused: Tick then adds the
// pause to the time of each direct contact, since silence during the pause
// says nothing about other daemons. It reports whether the process was paused.
func (t *Detector) Tick(now time.Time) (paused bool) {
	paused = !t.lastTick.IsZero() && now.Sub(t.lastTick) > t.timing.IndirectProbeAfter
	if paused {
		paused := now.Sub(t.lastTick)
		for _, e := range t.daemons {
			if !e.LastDirect.IsZero() {
				e.LastDirect = e.LastDirect.Add(paused)
			}
		}
	}
	t.lastTick = now
	return paused
}

// Alive reports whether a daemon counts as alive.
func (t *Detector) Alive(name string, now time.Time) bool {
	e, ok := t.daemons[name]
	return ok && !e.LastHeard().IsZero() && now.Sub(e.LastHeard()) <= t.timing.FailureTimeout
}

// IndirectProbeTargets lists, sorted by name, the daemons that were heard
// recently but not directly for IndirectProbeAfter. Other daemons are asked
// about them.
func (t *Detector) IndirectProbeTargets(now time.Time) []string {
	return t.names(func(e *DaemonStatus) bool {
		return now.Sub(e.LastDirect) > t.timing.IndirectProbeAfter && now.Sub(e.LastHeard()) <= 2*t.timing.FailureTimeout
	})
}

// Live returns the status of the daemons that count as alive, sorted by name.
func (t *Detector) Live(now time.Time) []DaemonStatus {
	names := t.names(func(e *DaemonStatus) bool { return t.Alive(e.Name, now) })
	out := make([]DaemonStatus, 0, len(names))
	for _, n := range names {
		out = append(out, *t.daemons[n])
	}
	return out
}

// Get returns the status of a daemon, and false if it is unknown.
func (t *Detector) Get(name string) (DaemonStatus, bool) {
	e, ok := t.daemons[name]
	if !ok {
		return DaemonStatus{}, false
	}
	return *e, true
}

// MayRemove reports whether a daemon has been silent and off the platform's
// list for longer than RemovalTimeout, so that its end may be recorded.
// started is when this detector began to observe.
func (t *Detector) MayRemove(name string, started, now time.Time) bool {
	last := started
	if e, ok := t.daemons[name]; ok {
		last = latest(started, e.LastHeard(), e.LastListed)
	}
	return now.Sub(last) > t.timing.RemovalTimeout
}

// Prune drops the daemons that were neither listed nor heard for ten times
// RemovalTimeout.
func (t *Detector) Prune(now time.Time) {
	maps.DeleteFunc(t.daemons, func(_ string, e *DaemonStatus) bool {
		return now.Sub(latest(e.LastHeard(), e.LastListed)) > 10*t.timing.RemovalTimeout
	})
}

func (t *Detector) names(match func(*DaemonStatus) bool) []string {
	var names []string
	for name, e := range t.daemons {
		if match(e) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
