package credit_test

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/credit"
)

var start = time.Unix(0, 0)

const shareName = "backend/r.0"

func newOwner(backends, slots int, predecessor bool) *credit.Owner {
	var list []credit.Backend
	for i := range backends {
		list = append(list, credit.Backend{Name: string(rune('a' + i)), Slots: slots})
	}
	return credit.NewOwner(credit.OwnerOptions{Share: shareName, Region: "r", HasPredecessor: predecessor}, list, start)
}

func newHolder(name, region string) *credit.Holder {
	h := credit.NewHolder(credit.HolderOptions{Name: name, Incarnation: "1", Region: region})
	h.SetShares([]credit.Share{{Name: shareName, Region: "r", Slots: 16}})
	return h
}

// request sends the holder's due requests to the owner and returns the holders to
// signal.
func request(t *testing.T, o *credit.Owner, h *credit.Holder, now time.Time) []string {
	t.Helper()
	h.Refresh(shareName)
	var signals []string
	for _, a := range h.Requests(now) {
		response, names, err := o.Serve(a, now)
		if err != nil {
			t.Fatal(err)
		}
		h.Accept(response, now)
		signals = names
	}
	return signals
}

func held(h *credit.Holder, now time.Time) int {
	n, _ := h.Held(now)
	return n
}

func TestOwner_Targets(t *testing.T) {
	type want struct {
		region      string
		short, long int
		held        int
	}
	cases := []struct {
		name    string
		holders []want
	}{
		{"idle slots are divided over the region", []want{{"r", 0, 0, 8}, {"r", 0, 0, 8}}},
		{"demand takes idle slots", []want{{"r", 0, 14, 14}, {"r", 1, 0, 2}}},
		{"overload is divided in equal parts", []want{{"r", 0, 100, 8}, {"r", 0, 30, 8}}},
		{"short work comes first", []want{{"r", 12, 0, 12}, {"r", 0, 100, 4}}},
		{"own region comes first", []want{{"r", 0, 12, 12}, {"other", 0, 100, 4}}},
		{"another region gets no idle slots", []want{{"r", 0, 0, 14}, {"other", 2, 0, 2}}},
	}
	for _, c := range cases {
		o := newOwner(2, 8, false)
		var holders []*credit.Holder
		for i, w := range c.holders {
			h := newHolder(string(rune('0'+i)), "r")
			if w.region != "r" {
				h = credit.NewHolder(credit.HolderOptions{Name: "remote", Region: w.region})
				h.SetShares([]credit.Share{{Name: shareName, Region: w.region, Slots: 16}})
			}
			h.SetDemand(credit.Demand{Short: w.short, Long: w.long})
			holders = append(holders, h)
		}
		now := start
		for range 6 {
			now = now.Add(50 * time.Millisecond)
			for _, h := range holders {
				request(t, o, h, now)
			}
		}
		for i, w := range c.holders {
			if got := held(holders[i], now); got != w.held {
				t.Errorf("%s: holder %d has %d slots, want %d", c.name, i, got, w.held)
			}
		}
	}
}

func TestOwner_SignalsHolderAboveTarget(t *testing.T) {
	o := newOwner(2, 8, false)
	idle, busy := newHolder("idle", "r"), newHolder("busy", "r")
	request(t, o, idle, start)
	if held(idle, start) != 16 {
		t.Fatalf("the only holder holds %d slots, want 16", held(idle, start))
	}
	now := start.Add(50 * time.Millisecond)
	busy.SetDemand(credit.Demand{Long: 16})
	if signals := request(t, o, busy, now); len(signals) != 1 || signals[0] != "idle" {
		t.Fatalf("got refresh signals %v", signals)
	}
	request(t, o, idle, now)
	now = now.Add(20 * time.Millisecond)
	if signals := request(t, o, idle, now); len(signals) != 1 || signals[0] != "busy" {
		t.Fatalf("got refresh signals %v", signals)
	}
	request(t, o, busy, now)
	if held(busy, now) != 16 {
		t.Errorf("the busy holder holds %d slots after the idle one returned its own, want 16", held(busy, now))
	}
}

func TestOwner_StaleRequestHasNoEffect(t *testing.T) {
	o := newOwner(1, 8, false)
	h := newHolder("d", "r")
	first := h.Requests(start)[0]
	second := h.Requests(start.Add(time.Minute))[0]
	response, _, err := o.Serve(second, start)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := o.Serve(first, start); err != credit.ErrStaleRequest {
		t.Errorf("got %v", err)
	}
	stale := response
	stale.Sequence = first.Sequence
	if h.Accept(stale, start) {
		t.Error("accepted the response to an older request")
	}
}

func TestHolder_TermStartsWhenRequestIsSent(t *testing.T) {
	o := newOwner(1, 8, false)
	h := newHolder("d", "r")
	a := h.Requests(start)[0]
	response, _, _ := o.Serve(a, start.Add(time.Second))
	h.Accept(response, start.Add(time.Second))
	slot, ok := h.Acquire("a", start.Add(time.Second))
	if !ok || !slot.SendBefore.Equal(start.Add(credit.DefaultTerm)) {
		t.Fatalf("slot must be sent before %v, want the term after the request", slot.SendBefore)
	}
	if _, ok := h.Acquire("a", start.Add(credit.DefaultTerm)); ok {
		t.Error("used a slot at the end of its term")
	}
	if h.Release(slot); held(h, start.Add(credit.DefaultTerm)) != 0 {
		t.Error("holds slots after the term")
	}
}

// TestHolder_ShareListedAgain checks that a share that is removed and set again
// continues its sequence numbers, and that slots still in use are reported to it.
func TestHolder_ShareListedAgain(t *testing.T) {
	o, h := newOwner(1, 4, false), newHolder("h", "r")
	h.SetDemand(credit.Demand{Short: 4})
	request(t, o, h, start)
	slot, ok := h.Acquire("a", start)
	if !ok {
		t.Fatal("got no slot")
	}
	h.SetShares(nil)
	if free := h.AppendFree(nil, start); len(free) != 0 || held(h, start) != 1 {
		t.Errorf("while the share is removed: %v free, %d held, want none free and the used slot held", free, held(h, start))
	}
	h.SetShares([]credit.Share{{Name: shareName, Region: "r", Slots: 4}})
	h.Refresh(shareName)
	requests := h.Requests(start)
	if len(requests) != 1 || requests[0].Sequence != 2 || len(requests[0].Held) != 1 || requests[0].Held[0].Slots != 1 {
		t.Fatalf("got %+v, want the second request, which reports one slot", requests)
	}
	h.Release(slot)
	if n := held(h, start); n != 0 {
		t.Errorf("%d held after the release, want 0", n)
	}
}

func TestOwner_ExpiredLeasesStayCountedUntilConfirmed(t *testing.T) {
	o := newOwner(1, 8, false)
	failed, live := newHolder("failed", "r"), newHolder("live", "r")
	request(t, o, failed, start)
	expired := start.Add(credit.DefaultTerm * 2)
	request(t, o, live, expired)
	if held(live, expired) != 0 {
		t.Fatalf("leased %d slots that may be in use", held(live, expired))
	}
	if names := o.UncertainBackends(expired); len(names) != 1 {
		t.Fatalf("got uncertain backend servers %v, want one", names)
	}
	o.ObserveRunning("a", 0, start.Add(time.Second))
	request(t, o, live, expired.Add(time.Second))
	if held(live, expired) != 0 {
		t.Error("a status from before the lease expired freed slots")
	}
	o.ObserveRunning("a", 3, expired)
	request(t, o, live, expired.Add(2*time.Second))
	if got := held(live, expired.Add(2*time.Second)); got != 5 {
		t.Errorf("leased %d of 8 slots with 3 running, want 5", got)
	}
	after := expired.Add(credit.DefaultMaxRunTime)
	request(t, o, live, after)
	if got := held(live, after); got != 8 {
		t.Errorf("leased %d slots after the longest run time, want 8", got)
	}
}

func TestOwner_SuccessorCountsReportedSlots(t *testing.T) {
	first := newOwner(1, 8, false)
	known, silent := newHolder("known", "r"), newHolder("silent", "r")
	request(t, first, silent, start)
	silent.SetDemand(credit.Demand{Long: 3})
	known.SetDemand(credit.Demand{Long: 5})
	now := start
	for range 4 {
		now = now.Add(50 * time.Millisecond)
		request(t, first, silent, now)
		request(t, first, known, now)
	}
	if held(known, now) != 5 {
		t.Fatalf("holds %d slots, want 5", held(known, now))
	}
	second := newOwner(1, 8, true)
	known.SetDemand(credit.Demand{Long: 8})
	now = now.Add(50 * time.Millisecond)
	request(t, second, known, now)
	if held(known, now) != 5 {
		t.Errorf("holds %d slots under the successor, want the same 5", held(known, now))
	}
	now = now.Add(2 * credit.DefaultTerm)
	second.ObserveRunning("a", 0, now)
	request(t, second, known, now)
	if held(known, now) != 8 {
		t.Errorf("holds %d slots once nothing else can run, want 8", held(known, now))
	}
}

func TestOwner_LeavingBackendIsNotLeased(t *testing.T) {
	o := newOwner(2, 8, false)
	h := newHolder("d", "r")
	request(t, o, h, start)
	o.SetBackends([]credit.Backend{{Name: "a", Slots: 8, Leaving: true}, {Name: "b", Slots: 8}}, false, start)
	now := start.Add(50 * time.Millisecond)
	request(t, o, h, now)
	if _, ok := h.Acquire("a", now); ok {
		t.Error("used a slot of a leaving backend server")
	}
	if _, ok := h.Acquire("b", now); !ok {
		t.Error("lost the other backend server's slots")
	}
}
