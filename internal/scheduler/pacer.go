package scheduler

import "time"

// pacer spaces placement passes in proportion to the time that the last one
// took.
type pacer struct {
	now   func() time.Time
	timer *time.Timer
	next  time.Time
	began time.Time
	// armed is set while the timer runs for a delayed pass.
	armed bool
}

func newPacer(now func() time.Time) *pacer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &pacer{now: now, timer: timer}
}

// mayPlace reports whether a pass may start now.
func (p *pacer) mayPlace() bool {
	p.began = p.now()
	return !p.began.Before(p.next)
}

// roundDone records whether a pass was due and whether it was made. It arms the
// timer for a pass that has to wait.
func (p *pacer) roundDone(due, made bool) {
	if !due {
		return
	}
	now := p.now()
	if made {
		p.next = now.Add(placementPauseFactor * now.Sub(p.began))
		return
	}
	if !p.armed {
		p.armed = true
		p.timer.Reset(p.next.Sub(now))
	}
}

// ready fires when a delayed pass may start.
func (p *pacer) ready() <-chan time.Time {
	return p.timer.C
}

func (p *pacer) stop() { p.timer.Stop() }
