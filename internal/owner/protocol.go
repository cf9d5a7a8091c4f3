package owner

import (
	"context"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/ownership"
	"github.com/currantwinch/currantwinch/verdict"
)

// Methods of the protocol between daemons.
const (
	methodHeartbeat = "owner.heartbeat"
	methodRead      = "owner.read"
	methodAttest    = "owner.vouch"
	methodConsent   = "owner.consent"
	methodStop      = "owner.stop"
	methodOffer     = "owner.offer"
)

// reasonIncarnationEnded refuses a call that is addressed to another
// incarnation.
const reasonIncarnationEnded verdict.Reason = "incarnation_ended"

// heartbeat is both the request and the response of a heartbeat. Its JSON
// names are short because it is sent often.
type heartbeat struct {
	Incarnation string `json:"i"`
	Offset      uint64 `json:"o"`
	Leaving     bool   `json:"l,omitempty"`
	// Missing names the daemons that the sender asks about, because it hasn't
	// heard from them directly.
	Missing []string         `json:"m,omitempty"`
	Heard   []indirectReport `json:"h,omitempty"`
}

// indirectReport says how long ago the sender last heard from a daemon.
type indirectReport struct {
	Name        string `json:"n"`
	Incarnation string `json:"i"`
	AgoMillis   int64  `json:"a"`
}

// shareEpoch identifies a share at one epoch.
type shareEpoch struct {
	Share cluster.Share `json:"share"`
	Epoch uint64        `json:"epoch"`
}

// sharesRequest asks one incarnation about shares that the sender holds or
// claims.
type sharesRequest struct {
	// To is the incarnation that is asked; empty means any.
	To string `json:"to,omitempty"`
	// From is the incarnation of the sender.
	From   string       `json:"from"`
	Shares []shareEpoch `json:"shares"`
}

// sharesResponse has one yes or no per share, in the order of the request.
type sharesResponse struct {
	Yes []bool `json:"yes"`
}

// stopResponse has one answer per share, in the order of the request.
type stopResponse struct {
	Stops []ownership.StopResponse `json:"stops"`
}

func (w *Owner) registerHandlers() {
	w.o.Peers.Handle(methodHeartbeat, roles.TypedHandler("bad_params", func(_ context.Context, from string, h heartbeat) (any, error) {
		w.mu.Lock()
		w.applyHeartbeatLocked(from, h)
		w.mu.Unlock()
		answer := w.ownHeartbeat(h.Missing)
		return answer, nil
	}))
	w.registerSharesHandler(methodRead, w.handleRead)
	w.registerSharesHandler(methodAttest, w.handleAttest)
	w.registerSharesHandler(methodConsent, w.handleConsent)
	w.registerSharesHandler(methodStop, w.handleStop)
	w.registerSharesHandler(methodOffer, w.handleOffer)
}

// registerSharesHandler registers a handler of a sharesRequest, which refuses
// a request to another incarnation.
func (w *Owner) registerSharesHandler(method string, answer func(ctx context.Context, r sharesRequest) (any, error)) {
	w.o.Peers.Handle(method, roles.TypedHandler("bad_params", func(ctx context.Context, _ string, r sharesRequest) (any, error) {
		if r.To != "" && r.To != w.o.Self.Incarnation {
			return nil, verdict.New(verdict.NotRun, reasonIncarnationEnded, "incarnation %s is not this one", r.To)
		}
		return answer(ctx, r)
	}))
}

// handleRead reads the log to its head and says which shares the sender still
// holds according to it.
func (w *Owner) handleRead(ctx context.Context, r sharesRequest) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, _, err := w.o.Log.ReadNow(ctx); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, "log_unread")
	}
	return w.claimsInView(r), nil
}

// claimsInView says for each share whether the sender's claim of that epoch is
// the newest in the view.
func (w *Owner) claimsInView(r sharesRequest) sharesResponse {
	view := w.o.State.View()
	answer := sharesResponse{Yes: make([]bool, len(r.Shares))}
	for i, s := range r.Shares {
		e := entry(view, s.Share)
		answer.Yes[i] = e.Epoch == s.Epoch && e.Holder == r.From && !e.Released
	}
	return answer
}

// handleAttest attests that the sender holds a share, unless this daemon has
// consented to a later claim, knows of one, or is ending.
func (w *Owner) handleAttest(_ context.Context, r sharesRequest) (any, error) {
	view := w.o.State.View()
	answer := sharesResponse{Yes: make([]bool, len(r.Shares))}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range r.Shares {
		e := entry(view, s.Share)
		later := e.Epoch > s.Epoch && e.Holder != r.From
		answer.Yes[i] = !w.ending && !later && w.protocol.MayAttest(w.shares[s.Share], s.Epoch)
	}
	return answer, nil
}

// handleConsent promises not to attest for any claim before the sender's.
func (w *Owner) handleConsent(_ context.Context, r sharesRequest) (any, error) {
	answer := sharesResponse{Yes: make([]bool, len(r.Shares))}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range r.Shares {
		w.shares[s.Share] = w.protocol.HandleConsent(w.shares[s.Share], s.Epoch)
		answer.Yes[i] = true
	}
	return answer, nil
}

// handleStop agrees to stop acting for shares before the sender's claim takes
// effect.
func (w *Owner) handleStop(_ context.Context, r sharesRequest) (any, error) {
	var answer stopResponse
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, s := range r.Shares {
		state, stop := w.protocol.HandleStop(w.shares[s.Share], s.Epoch, now)
		w.shares[s.Share] = state
		answer.Stops = append(answer.Stops, stop)
	}
	return answer, nil
}

// handleOffer accepts offered shares, unless this daemon hasn't joined or is
// leaving. sharesDuty then claims them.
func (w *Owner) handleOffer(_ context.Context, r sharesRequest) (any, error) {
	answer := sharesResponse{Yes: make([]bool, len(r.Shares))}
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range r.Shares {
		if !w.leaving && w.joined {
			w.offeredAt[s.Share] = now
			answer.Yes[i] = true
		}
	}
	w.wakeShares()
	return answer, nil
}
