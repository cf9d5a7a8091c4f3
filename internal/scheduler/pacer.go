package scheduler

import "time"

// pacer spaces rounds of placements by how long the last one took.
type pacer struct {
	now   func() time.Time
	timer *time.Timer
	next  time.Time
	began time.Time
	// armed says that the timer is set for a round that waits.
	armed bool
}

func newPacer(now func() time.Time) *pacer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &pacer{now: now, timer: timer}
}

// open reports whether a round may begin now.
func (p *pacer) open() bool {
	p.began = p.now()
	return !p.began.Before(p.next)
}

// placed says that a round was due, and whether it was made.
func (p *pacer) placed(due, made bool) {
	if !due {
		return
	}
	now := p.now()
	if made {
		p.next = now.Add(placeShare * now.Sub(p.began))
		return
	}
	if !p.armed {
		p.armed = true
		p.timer.Reset(p.next.Sub(now))
	}
}

// wake fires when a round that waited may begin.
func (p *pacer) wake() <-chan time.Time {
	return p.timer.C
}

func (p *pacer) stop() { p.timer.Stop() }
