package relay

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
)

const (
	methodContact = "daemon.contact"
	// contactInterval is the time between two checks of whether anybody answers,
	// a third of cutAfter.
	contactInterval = 400 * time.Millisecond
	// contactTimeout bounds the wait for other daemons, well above a round trip
	// between regions. It and contactInterval fit into cutAfter.
	contactTimeout = 500 * time.Millisecond
	// surveyInterval is the time between two surveys while the store does not
	// answer: that of its probes.
	surveyInterval = probeInterval
)

// MonitorConnectivity asks other daemons for a sign of life while the store does not
// answer this one: a store that is away for all leaves them reachable, a cut
// does not, and some of them may reach the store.
func (r *Relay) MonitorConnectivity(ctx context.Context, turn duty.Turn) error {
	var surveyed time.Time
	cut := false
	for duty.SleepOr(ctx, contactInterval, r.woken) {
		turn()
		now := r.now()
		if r.suspected() && now.Sub(surveyed) >= surveyInterval || r.quiet() {
			surveyed = now
			r.survey(ctx)
		}
		if now := r.Isolated(); now != cut {
			cut = now
			r.log.Log(events.VMIsolationChanged, "cut", cut)
		}
	}
	return nil
}

// quiet reports whether nobody has answered for an interval.
func (r *Relay) quiet() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.heard.IsZero() && r.now().Sub(r.heard) >= contactInterval
}

func (r *Relay) hear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = r.now()
}
