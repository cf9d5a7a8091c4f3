package relay

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
)

const (
	methodContact = "daemon.contact"
	// connectivityInterval is the time between two connectivity checks, a third
	// of isolatedAfter.
	connectivityInterval = 400 * time.Millisecond
	// contactTimeout limits the wait for other daemons. It is well above a
	// round trip between regions. Together with connectivityInterval it must be
	// below isolatedAfter.
	contactTimeout = 500 * time.Millisecond
	// contactInterval is the time between two calls of contactDaemons while the
	// store does not answer, the same as between probes of the store.
	contactInterval = probeInterval
)

// MonitorConnectivity checks periodically whether anything answers this daemon,
// and logs changes of Isolated. While the store does not answer, it asks other
// daemons: in a store outage they still answer, in a network partition they do
// not, and some of them may reach the store. It runs until ctx ends.
func (r *Relay) MonitorConnectivity(ctx context.Context, turn duty.Heartbeat) error {
	var contactedAt time.Time
	isolated := false
	for duty.SleepOrWake(ctx, connectivityInterval, r.storeSuspected) {
		turn()
		now := r.now()
		if r.suspected() && now.Sub(contactedAt) >= contactInterval || r.noRecentContact() {
			contactedAt = now
			r.contactDaemons(ctx)
		}
		if now := r.Isolated(); now != isolated {
			isolated = now
			r.log.Log(events.VMIsolationChanged, "cut", isolated)
		}
	}
	return nil
}

// noRecentContact reports whether nothing has answered for
// connectivityInterval.
func (r *Relay) noRecentContact() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastContact.IsZero() && r.now().Sub(r.lastContact) >= connectivityInterval
}

// setLastContact records that the store or another daemon has answered now.
func (r *Relay) setLastContact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = r.now()
}
