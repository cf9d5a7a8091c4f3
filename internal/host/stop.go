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
	// firstCallTime is how long a stop waits for the first calls on connections that were accepted
	// before. It is well above a round trip between regions.
	firstCallTime = 250 * time.Millisecond
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
	// Shutdown would drop the calls that are read from then on.
	h.closeListener()
	await(func() bool { return h.connections.unread() == 0 }, firstCallTime)
	err := h.callers.Shutdown(ctx)
	if err == nil {
		return nil
	}
	// Shutdown polls for the end of calls, up to 0.5 s apart, and may have missed it.
	await(func() bool { return h.connections.active() == 0 }, flushTime)
	if h.InFlight() == 0 {
		return h.callers.Close()
	}
	return err
}

// await waits until done returns true, for at most the given time.
func await(done func() bool, longest time.Duration) {
	for began := time.Now(); !done() && time.Since(began) < longest; {
		time.Sleep(answerPollInterval)
	}
}

// connections follows the connections of a server.
type connections struct {
	mu sync.Mutex
	// states holds those on which a call is awaited for the first time (StateNew), and those on
	// which one is being handled or answered (StateActive). An answer is under way for a moment
	// after its handler has returned.
	states map[net.Conn]http.ConnState
}

type connectionKey struct{}

// follow makes a server report its connections.
func (s *connections) follow(server *http.Server) {
	server.ConnState = s.changed
	next := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connectionKey{}, c)
	}
}

func (s *connections) changed(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states == nil {
		s.states = make(map[net.Conn]http.ConnState)
	}
	switch state {
	case http.StateNew:
		s.states[c] = http.StateNew
	case http.StateActive:
		// A call may still be dropped until its handler begins.
	default:
		delete(s.states, c)
	}
}

// handling notes that the handler of a call has begun.
func (s *connections) handling(r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(net.Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[c] = http.StateActive
}

// unread returns the number of connections on which no call has been handled yet, and active that of
// those on which one is being handled or answered.
func (s *connections) unread() int { return s.count(http.StateNew) }
func (s *connections) active() int { return s.count(http.StateActive) }

func (s *connections) count(state http.ConnState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, known := range s.states {
		if known == state {
			n++
		}
	}
	return n
}
