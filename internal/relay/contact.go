package relay

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	methodContact = "daemon.contact"
	// contactInterval is the time between two checks of whether anybody answers,
	// a third of cutAfter.
	contactInterval = 400 * time.Millisecond
	// contactTimeout bounds the wait for other daemons, well above a round trip
	// between regions. It and contactInterval fit into cutAfter.
	contactTimeout = 500 * time.Millisecond
	// contacts is how many daemons are asked at once, so that one that is down
	// proves nothing.
	contacts = 3
)

// WatchContact asks other daemons whether they are there while the store is
// silent: a store that is away for all leaves them reachable, a cut does not.
func (r *Relay) WatchContact(ctx context.Context, turn duty.Turn) error {
	for duty.Sleep(ctx, contactInterval) {
		turn()
		if r.quiet() {
			r.contact(ctx)
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

// contact asks a few daemons and returns once one has answered.
func (r *Relay) contact(ctx context.Context) {
	names := r.daemons()
	if len(names) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	n := min(contacts, len(names))
	first := r.asked
	r.asked += n
	answered := make(chan bool, n)
	for i := range n {
		name := names[(first+i)%len(names)]
		go func() {
			err := r.peers.Call(ctx, name, methodContact, nothing{}, nil)
			answered <- err == nil || verdict.Of(err) == verdict.Ran
		}()
	}
	for range n {
		if <-answered {
			r.hear()
			return
		}
	}
}

func (r *Relay) hear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = r.now()
}
