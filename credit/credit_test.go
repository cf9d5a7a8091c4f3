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

// ask lets a holder ask an owner until nothing is due.
func ask(t *testing.T, o *credit.Owner, h *credit.Holder, now time.Time) []string {
	t.Helper()
	h.Refresh(shareName)
	var prompts []string
	for _, a := range h.Requests(now) {
		answer, names, err := o.Serve(a, now)
		if err != nil {
			t.Fatal(err)
		}
		h.Accept(answer, now)
		prompts = names
	}
	return prompts
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
		{"idle slots are spread over the region", []want{{"r", 0, 0, 8}, {"r", 0, 0, 8}}},
		{"demand takes idle slots", []want{{"r", 0, 14, 14}, {"r", 1, 0, 2}}},
		{"overload is shared in equal parts", []want{{"r", 0, 100, 8}, {"r", 0, 30, 8}}},
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
				h = credit.NewHolder(credit.HolderOptions{Name: "far", Region: w.region})
				h.SetShares([]credit.Share{{Name: shareName, Region: w.region, Slots: 16}})
			}
			h.SetDemand(credit.Demand{Short: w.short, Long: w.long})
			holders = append(holders, h)
		}
		now := start
		for range 6 {
			now = now.Add(50 * time.Millisecond)
			for _, h := range holders {
				ask(t, o, h, now)
			}
		}
		for i, w := range c.holders {
			if got := held(holders[i], now); got != w.held {
				t.Errorf("%s: holder %d has %d slots, want %d", c.name, i, got, w.held)
			}
		}
	}
}

func TestOwner_PromptsWhoHoldsTooMuch(t *testing.T) {
	o := newOwner(2, 8, false)
	idle, busy := newHolder("idle", "r"), newHolder("busy", "r")
	ask(t, o, idle, start)
	if held(idle, start) != 16 {
		t.Fatalf("alone it holds %d", held(idle, start))
	}
	now := start.Add(50 * time.Millisecond)
	busy.SetDemand(credit.Demand{Long: 16})
	if prompts := ask(t, o, busy, now); len(prompts) != 1 || prompts[0] != "idle" {
		t.Fatalf("prompts %v", prompts)
	}
	ask(t, o, idle, now)
	now = now.Add(20 * time.Millisecond)
	if prompts := ask(t, o, idle, now); len(prompts) != 1 || prompts[0] != "busy" {
		t.Fatalf("prompts %v", prompts)
	}
	ask(t, o, busy, now)
	if held(busy, now) != 16 {
		t.Errorf("holds %d after the return", held(busy, now))
	}
}

func TestOwner_OlderAskHasNoEffect(t *testing.T) {
	o := newOwner(1, 8, false)
	h := newHolder("d", "r")
	first := h.Requests(start)[0]
	second := h.Requests(start.Add(time.Minute))[0]
	answer, _, err := o.Serve(second, start)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := o.Serve(first, start); err != credit.ErrStaleRequest {
		t.Errorf("got %v", err)
	}
	stale := answer
	stale.Sequence = first.Sequence
	if h.Accept(stale, start) {
		t.Error("took the answer to an older ask")
	}
}

func TestHolder_TermCountsFromBeforeTheAsk(t *testing.T) {
	o := newOwner(1, 8, false)
	h := newHolder("d", "r")
	a := h.Requests(start)[0]
	answer, _, _ := o.Serve(a, start.Add(time.Second))
	h.Accept(answer, start.Add(time.Second))
	slot, ok := h.Acquire("a", start.Add(time.Second))
	if !ok || !slot.SendBefore.Equal(start.Add(credit.DefaultTerm)) {
		t.Fatalf("send before %v", slot.SendBefore)
	}
	if _, ok := h.Acquire("a", start.Add(credit.DefaultTerm)); ok {
		t.Error("used a slot at the end of its term")
	}
	if h.Release(slot); held(h, start.Add(credit.DefaultTerm)) != 0 {
		t.Error("holds slots after the term")
	}
}

// A share that was left out and is back is asked in the same sequence, and what
// still runs on its slots is reported.
func TestHolder_ShareThatIsBack(t *testing.T) {
	o, h := newOwner(1, 4, false), newHolder("h", "r")
	h.SetDemand(credit.Demand{Short: 4})
	ask(t, o, h, start)
	slot, ok := h.Acquire("a", start)
	if !ok {
		t.Fatal("got no slot")
	}
	h.SetShares(nil)
	if free := h.AppendFree(nil, start); len(free) != 0 || held(h, start) != 1 {
		t.Errorf("while it is left out: %v free, %d held, want none and the busy one", free, held(h, start))
	}
	h.SetShares([]credit.Share{{Name: shareName, Region: "r", Slots: 4}})
	h.Refresh(shareName)
	asks := h.Requests(start)
	if len(asks) != 1 || asks[0].Sequence != 2 || len(asks[0].Held) != 1 || asks[0].Held[0].Slots != 1 {
		t.Fatalf("got %+v, want the second ask, which reports one slot", asks)
	}
	h.Release(slot)
	if n := held(h, start); n != 0 {
		t.Errorf("%d held after the release, want 0", n)
	}
}

func TestOwner_LapsedSlotsStayCountedUntilShown(t *testing.T) {
	o := newOwner(1, 8, false)
	dead, live := newHolder("dead", "r"), newHolder("live", "r")
	ask(t, o, dead, start)
	lapsed := start.Add(credit.DefaultTerm * 2)
	ask(t, o, live, lapsed)
	if held(live, lapsed) != 0 {
		t.Fatalf("lent %d slots that may be in use", held(live, lapsed))
	}
	if names := o.UncertainBackends(lapsed); len(names) != 1 {
		t.Fatalf("uncertain %v", names)
	}
	o.ObserveRunning("a", 0, start.Add(time.Second))
	ask(t, o, live, lapsed.Add(time.Second))
	if held(live, lapsed) != 0 {
		t.Error("a state from before the lapse settled it")
	}
	o.ObserveRunning("a", 3, lapsed)
	ask(t, o, live, lapsed.Add(2*time.Second))
	if got := held(live, lapsed.Add(2*time.Second)); got != 5 {
		t.Errorf("lent %d of 8 with 3 running", got)
	}
	after := lapsed.Add(credit.DefaultMaxRunTime)
	ask(t, o, live, after)
	if got := held(live, after); got != 8 {
		t.Errorf("lent %d after the longest run", got)
	}
}

func TestOwner_SuccessorTakesOverWhatHoldersReport(t *testing.T) {
	first := newOwner(1, 8, false)
	known, silent := newHolder("known", "r"), newHolder("silent", "r")
	ask(t, first, silent, start)
	silent.SetDemand(credit.Demand{Long: 3})
	known.SetDemand(credit.Demand{Long: 5})
	now := start
	for range 4 {
		now = now.Add(50 * time.Millisecond)
		ask(t, first, silent, now)
		ask(t, first, known, now)
	}
	if held(known, now) != 5 {
		t.Fatalf("holds %d", held(known, now))
	}
	second := newOwner(1, 8, true)
	known.SetDemand(credit.Demand{Long: 8})
	now = now.Add(50 * time.Millisecond)
	ask(t, second, known, now)
	if held(known, now) != 5 {
		t.Errorf("successor lets it hold %d, want the same 5", held(known, now))
	}
	now = now.Add(2 * credit.DefaultTerm)
	second.ObserveRunning("a", 0, now)
	ask(t, second, known, now)
	if held(known, now) != 8 {
		t.Errorf("holds %d once nothing else can run", held(known, now))
	}
}

func TestOwner_LeavingBackendIsLentNoMore(t *testing.T) {
	o := newOwner(2, 8, false)
	h := newHolder("d", "r")
	ask(t, o, h, start)
	o.SetBackends([]credit.Backend{{Name: "a", Slots: 8, Leaving: true}, {Name: "b", Slots: 8}}, false, start)
	now := start.Add(50 * time.Millisecond)
	ask(t, o, h, now)
	if _, ok := h.Acquire("a", now); ok {
		t.Error("used a slot of a leaving backend server")
	}
	if _, ok := h.Acquire("b", now); !ok {
		t.Error("lost the other backend server's slots")
	}
}
