package scheduler

import "time"

// placementPause is the time from a placement pass to the next one. Events that arrive
// meanwhile share that pass: each pass looks at all servers once. It does not depend on the
// length of a pass, which is bounded.
const placementPause = 2 * time.Millisecond

// pacer spaces placement passes.
type pacer struct {
	now   func() time.Time
	timer *time.Timer
	next  time.Time
	// armed is set while the timer runs for a delayed pass.
	armed bool
}

func newPacer(now func() time.Time) *pacer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &pacer{now: now, timer: timer}
}

// mayPlace reports whether a pass may start now.
func (p *pacer) mayPlace() bool { return !p.now().Before(p.next) }

// roundDone records whether a pass was made. It arms the timer if a pass is still pending:
// it had to wait, or the last one ended before it had examined all steps.
func (p *pacer) roundDone(made, pending bool) {
	now := p.now()
	if made {
		p.next = now.Add(placementPause)
	}
	if pending && !p.armed {
		p.armed = true
		p.timer.Reset(p.next.Sub(now))
	}
}

// ready fires when a delayed pass may start.
func (p *pacer) ready() <-chan time.Time {
	return p.timer.C
}

func (p *pacer) stop() { p.timer.Stop() }
