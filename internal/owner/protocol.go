package owner

import (
	"context"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/ownership"
	"github.com/currantwinch/currantwinch/verdict"
)

// The methods between daemons.
const (
	methodHeartbeat = "owner.heartbeat"
	methodRead      = "owner.read"
	methodVouch     = "owner.vouch"
	methodConsent   = "owner.consent"
	methodStop      = "owner.stop"
	methodOffer     = "owner.offer"
)

// reasonEnded is the reason of a call that was meant for another incarnation.
const reasonEnded verdict.Reason = "incarnation_ended"

// heartbeat goes both ways. Its fields are short because it is sent often.
type heartbeat struct {
	Incarnation string `json:"i"`
	Offset      uint64 `json:"o"`
	Leaving     bool   `json:"l,omitempty"`
	// Missing names the daemons that the sender would like to hear of.
	Missing []string  `json:"m,omitempty"`
	Heard   []heardOf `json:"h,omitempty"`
}

type heardOf struct {
	Name        string `json:"n"`
	Incarnation string `json:"i"`
	AgoMillis   int64  `json:"a"`
}

// shareEpoch names a share at one epoch.
type shareEpoch struct {
	Share cluster.Share `json:"share"`
	Epoch uint64        `json:"epoch"`
}

// sharesRequest asks one incarnation about shares of the asker.
type sharesRequest struct {
	// To is the incarnation asked; empty is any.
	To string `json:"to,omitempty"`
	// From is the incarnation that asks.
	From   string       `json:"from"`
	Shares []shareEpoch `json:"shares"`
}

// sharesAnswer says yes or no for each share, in the request's order.
type sharesAnswer struct {
	Yes []bool `json:"yes"`
}

// stopAnswer holds one answer for each share, in the request's order.
type stopAnswer struct {
	Stops []ownership.StopResponse `json:"stops"`
}

func (w *Owner) handle() {
	w.o.Peers.Handle(methodHeartbeat, roles.TypedHandler("bad_params", func(_ context.Context, from string, h heartbeat) (any, error) {
		w.mu.Lock()
		w.hearLocked(from, h)
		w.mu.Unlock()
		answer := w.ownHeartbeat(h.Missing)
		return answer, nil
	}))
	w.handleShares(methodRead, w.answerRead)
	w.handleShares(methodVouch, w.answerVouch)
	w.handleShares(methodConsent, w.answerConsent)
	w.handleShares(methodStop, w.answerStop)
	w.handleShares(methodOffer, w.answerOffer)
}

func (w *Owner) handleShares(method string, answer func(ctx context.Context, r sharesRequest) (any, error)) {
	w.o.Peers.Handle(method, roles.TypedHandler("bad_params", func(ctx context.Context, _ string, r sharesRequest) (any, error) {
		if r.To != "" && r.To != w.o.Self.Incarnation {
			return nil, verdict.New(verdict.NotRun, reasonEnded, "incarnation %s is not this one", r.To)
		}
		return answer(ctx, r)
	}))
}

// answerRead reads the log after having been asked and says which shares the
// asker still holds by it.
func (w *Owner) answerRead(ctx context.Context, r sharesRequest) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, _, err := w.o.Log.ReadNow(ctx); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, "log_unread")
	}
	return w.holds(r), nil
}

// holds says for each share whether the view shows the asker's claim of that
// epoch as the newest.
func (w *Owner) holds(r sharesRequest) sharesAnswer {
	view := w.o.State.View()
	answer := sharesAnswer{Yes: make([]bool, len(r.Shares))}
	for i, s := range r.Shares {
		e := entry(view, s.Share)
		answer.Yes[i] = e.Epoch == s.Epoch && e.Holder == r.From && !e.Released
	}
	return answer
}

// answerVouch vouches for a holder, unless this daemon has consented to a
// later claim or knows of one.
func (w *Owner) answerVouch(_ context.Context, r sharesRequest) (any, error) {
	view := w.o.State.View()
	answer := sharesAnswer{Yes: make([]bool, len(r.Shares))}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range r.Shares {
		e := entry(view, s.Share)
		later := e.Epoch > s.Epoch && e.Holder != r.From
		answer.Yes[i] = !w.left && !later && w.protocol.MayAttest(w.parts[s.Share], s.Epoch)
	}
	return answer, nil
}

// answerConsent promises not to vouch for any claim before the asker's.
func (w *Owner) answerConsent(_ context.Context, r sharesRequest) (any, error) {
	answer := sharesAnswer{Yes: make([]bool, len(r.Shares))}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range r.Shares {
		w.parts[s.Share] = w.protocol.HandleConsent(w.parts[s.Share], s.Epoch)
		answer.Yes[i] = true
	}
	return answer, nil
}

// answerStop agrees to end this daemon's part before the asker's claim.
func (w *Owner) answerStop(_ context.Context, r sharesRequest) (any, error) {
	var answer stopAnswer
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, s := range r.Shares {
		part, stop := w.protocol.HandleStop(w.parts[s.Share], s.Epoch, now)
		w.parts[s.Share] = part
		answer.Stops = append(answer.Stops, stop)
	}
	return answer, nil
}

// answerOffer takes shares on from a living owner, unless this daemon leaves.
func (w *Owner) answerOffer(_ context.Context, r sharesRequest) (any, error) {
	answer := sharesAnswer{Yes: make([]bool, len(r.Shares))}
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range r.Shares {
		if !w.leaving && w.joined {
			w.offered[s.Share] = now
			answer.Yes[i] = true
		}
	}
	w.poke()
	return answer, nil
}
