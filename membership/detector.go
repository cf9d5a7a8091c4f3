package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Timing holds the durations that judgement depends on.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats of a pair.
	HeartbeatInterval time.Duration
	// IndirectProbeAfter is how long a daemon may be silent before others are asked
	// whether they hear it.
	IndirectProbeAfter time.Duration
	// FailureTimeout is how long a daemon may be silent to everyone before it counts
	// as dead.
	FailureTimeout time.Duration
	// RemovalTimeout is how long a daemon must be silent and off the platform's list
	// before its end is recorded.
	RemovalTimeout time.Duration
}

// DefaultTiming is what a daemon runs with.
var DefaultTiming = Timing{
	HeartbeatInterval:  400 * time.Millisecond,
	IndirectProbeAfter: 700 * time.Millisecond,
	FailureTimeout:     1200 * time.Millisecond,
	RemovalTimeout:     20 * time.Second,
}

// Heartbeat is what one heartbeat says of its sender.
type Heartbeat struct {
	Incarnation string
	// Offset is the log offset that the sender has in force.
	Offset  uint64
	Leaving bool
}

// DaemonStatus is what is known of one daemon.
type DaemonStatus struct {
	Name      string
	Heartbeat Heartbeat
	// LastDirect is when an answer or a call of it last came, and LastIndirect when
	// another daemon last vouched for having heard it.
	LastDirect, LastIndirect time.Time
	// AliveSince is when it was first heard in this run of being alive.
	AliveSince time.Time
	// LastListed is when the platform's list last showed it.
	LastListed time.Time
}

// LastHeard is the newest evidence of life.
func (e DaemonStatus) LastHeard() time.Time {
	if e.LastIndirect.After(e.LastDirect) {
		return e.LastIndirect
	}
	return e.LastDirect
}

// Detector collects evidence of daemons and judges it. It is not safe for
// concurrent use. Time is passed in.
type Detector struct {
	timing Timing
	daemon map[string]*DaemonStatus
	turned time.Time
}

// NewDetector returns a table that knows no daemon.
func NewDetector(timing Timing) *Detector {
	return &Detector{timing: timing, daemon: make(map[string]*DaemonStatus)}
}

func (t *Detector) entry(name string) *DaemonStatus {
	e, ok := t.daemon[name]
	if !ok {
		e = &DaemonStatus{Name: name}
		t.daemon[name] = e
	}
	return e
}

// RecordHeartbeat notes a heartbeat, or the answer to one, however late it comes: a slow
// daemon is not a dead one.
func (t *Detector) RecordHeartbeat(name string, r Heartbeat, now time.Time) {
	e := t.entry(name)
	if e.Heartbeat.Incarnation != r.Incarnation || now.Sub(e.LastHeard()) > t.timing.FailureTimeout {
		e.AliveSince = now
	}
	e.Heartbeat = r
	e.LastDirect = now
}

// RecordIndirect notes that another daemon heard this incarnation some time ago.
func (t *Detector) RecordIndirect(name, incarnation string, ago time.Duration, now time.Time) {
	e, ok := t.daemon[name]
	if !ok || e.Heartbeat.Incarnation != incarnation {
		return
	}
	if at := now.Add(-ago); at.After(e.LastIndirect) {
		e.LastIndirect = at
	}
}

// RecordListed notes the daemons on the platform's list.
func (t *Detector) RecordListed(names []string, now time.Time) {
	for _, name := range names {
		t.entry(name).LastListed = now
	}
}

// Tick must be called at every interval. If the last turn is long ago, this
// process was paused, and silence meanwhile says nothing of others. It reports
// whether that was so.
func (t *Detector) Tick(now time.Time) (paused bool) {
	paused = !t.turned.IsZero() && now.Sub(t.turned) > t.timing.IndirectProbeAfter
	if paused {
		silent := now.Sub(t.turned)
		for _, e := range t.daemon {
			if !e.LastDirect.IsZero() {
				e.LastDirect = e.LastDirect.Add(silent)
			}
		}
	}
	t.turned = now
	return paused
}

// Alive reports whether a daemon counts as alive.
func (t *Detector) Alive(name string, now time.Time) bool {
	e, ok := t.daemon[name]
	return ok && !e.LastHeard().IsZero() && now.Sub(e.LastHeard()) <= t.timing.FailureTimeout
}

// IndirectProbeTargets lists the daemons heard lately, but not directly for a while. Their
// peers are asked about them.
func (t *Detector) IndirectProbeTargets(now time.Time) []string {
	return t.names(func(e *DaemonStatus) bool {
		return now.Sub(e.LastDirect) > t.timing.IndirectProbeAfter && now.Sub(e.LastHeard()) <= 2*t.timing.FailureTimeout
	})
}

// Live lists what is known of the daemons that count as alive, by name.
func (t *Detector) Live(now time.Time) []DaemonStatus {
	names := t.names(func(e *DaemonStatus) bool { return t.Alive(e.Name, now) })
	out := make([]DaemonStatus, 0, len(names))
	for _, n := range names {
		out = append(out, *t.daemon[n])
	}
	return out
}

// Get returns what is known of a daemon.
func (t *Detector) Get(name string) (DaemonStatus, bool) {
	e, ok := t.daemon[name]
	if !ok {
		return DaemonStatus{}, false
	}
	return *e, true
}

// MayRemove reports whether a daemon has been silent and off the list for so long
// that its end may be recorded. Started is when this table began to look.
func (t *Detector) MayRemove(name string, started, now time.Time) bool {
	last := started
	if e, ok := t.daemon[name]; ok {
		last = latest(started, e.LastHeard(), e.LastListed)
	}
	return now.Sub(last) > t.timing.RemovalTimeout
}

// Prune drops the daemons that are neither listed nor heard for long.
func (t *Detector) Prune(now time.Time) {
	maps.DeleteFunc(t.daemon, func(_ string, e *DaemonStatus) bool {
		return now.Sub(latest(e.LastHeard(), e.LastListed)) > 10*t.timing.RemovalTimeout
	})
}

func (t *Detector) names(match func(*DaemonStatus) bool) []string {
	var names []string
	for name, e := range t.daemon {
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
