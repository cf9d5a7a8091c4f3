package host

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/tenure"
	"github.com/pkg/errors"
)

const (
	// balancerDelay is how long the load balancer may still route callers to this
	// daemon after its readiness probe fails: two probes, one second apart.
	balancerDelay = 2500 * time.Millisecond
	// storePollInterval is the time between two checks whether the store is
	// reachable again.
	storePollInterval = 50 * time.Millisecond
	// leaveTimeout limits the release of partitions at a planned stop.
	leaveTimeout = time.Second
	// answerTime is reserved near the end of a planned stop for callers' calls that are in
	// progress: their contexts are cancelled, so that each gets a verdict.
	answerTime = 300 * time.Millisecond
	// endTime is reserved after answerTime for connections and duties to end.
	endTime = 300 * time.Millisecond
	// flushTime is the part of endTime in which answers whose handlers have returned may still
	// leave, and answerPollInterval the time between two looks whether they have.
	flushTime          = 150 * time.Millisecond
	answerPollInterval = 5 * time.Millisecond
)

// awaitStore waits while no daemon can reach the store, but not beyond the time last. No other
// daemon could take over the partitions meanwhile, so this one continues to serve them.
func (h *Host) awaitStore(ctx context.Context, last time.Time) {
	for h.store.StoreUnreachable() && h.base.Now().Before(last) {
		if !duty.Sleep(ctx, storePollInterval) {
			return
		}
	}
}

// drain releases the partitions and completes the accepted requests before the deadline of
// ctx, whatever the store does: it waits for the store only for as long as the time limits of
// all later steps allow.
func (h *Host) drain(ctx context.Context) error {
	h.stopping.Store(true)
	defer h.endCalls()
	began := h.base.Now()
	deadline, bounded := ctx.Deadline()
	if bounded {
		h.awaitStore(ctx, deadline.Add(-tenure.StopTimeout-leaveTimeout-answerTime-endTime))
	}
	h.tenures.StopAll()
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	err := h.member.Leave(leave)
	cancel()
	if err != nil {
		h.o.Events.Log(events.StoreLost, "call", "leave", "error", err.Error())
	}
	// Readiness probes have failed since the stop began.
	rest := balancerDelay - h.base.Now().Sub(began)
	if bounded {
		rest = min(rest, deadline.Sub(h.base.Now())-answerTime-endTime)
	}
	duty.Sleep(ctx, rest)
	err = h.completeCalls(ctx)
	_ = h.ready.Close()
	return errors.Wrap(err, "complete accepted calls")
}

// completeCalls accepts no more calls, and waits for those in progress. It cancels their
// contexts answerTime and endTime before the deadline of ctx, so that they are answered at
// once.
func (h *Host) completeCalls(ctx context.Context) error {
	if deadline, bounded := ctx.Deadline(); bounded {
		timer := time.AfterFunc(deadline.Sub(h.base.Now())-answerTime-endTime, h.endCalls)
		defer timer.Stop()
		limited, cancel := context.WithDeadline(ctx, deadline.Add(-endTime))
		defer cancel()
		ctx = limited
	}
	err := h.callers.Shutdown(ctx)
	if err == nil {
		return nil
	}
	// Shutdown polls for the end of calls, up to 0.5 s apart, and may have missed it.
	h.connections.awaitAnswers(flushTime)
	if h.InFlight() == 0 {
		return h.callers.Close()
	}
	return err
}

// activeConnections counts the connections on which a call is being read, handled or answered. An
// answer is under way for a moment after its handler has returned.
type activeConnections struct {
	mu     sync.Mutex
	active map[net.Conn]struct{}
}

// track follows the states of a server's connections. It implements http.Server.ConnState.
func (a *activeConnections) track(c net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active == nil {
		a.active = make(map[net.Conn]struct{})
	}
	if state == http.StateActive {
		a.active[c] = struct{}{}
		return
	}
	delete(a.active, c)
}

func (a *activeConnections) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.active)
}

// awaitAnswers waits until no connection is active, for at most the given time. A caller that sends
// its call slowly keeps its connection active.
func (a *activeConnections) awaitAnswers(longest time.Duration) {
	for began := time.Now(); a.count() > 0 && time.Since(began) < longest; {
		time.Sleep(answerPollInterval)
	}
}
