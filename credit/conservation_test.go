package credit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/credit"
	"pgregory.net/rapid"
)

// network carries asks and answers late, out of order, twice or not at all.
type network struct {
	asks    []credit.Request
	answers map[string][]credit.Response
}

// run is a request on the backend server.
type run struct {
	holder  int
	backend string
	slot    credit.Slot
	ends    time.Time
}

// world is one owner with its successors, three holders, which die and come
// back, and backend servers.
type world struct {
	t       *rapid.T
	now     time.Time
	owner   *credit.Owner
	holders []*credit.Holder
	lives   []int
	network network
	runs    []run
}

const (
	worldSlots    = 4
	worldBackends = 2
	worldMaxRun   = 30 * time.Second
)

func (w *world) newOwner(predecessor bool) {
	var list []credit.Backend
	for i := range worldBackends {
		list = append(list, credit.Backend{Name: fmt.Sprint(i), Slots: worldSlots})
	}
	w.owner = credit.NewOwner(credit.OwnerOptions{
		Share:          shareName,
		Region:         "r",
		HasPredecessor: predecessor,
		MaxRunTime:     worldMaxRun,
	}, list, w.now)
}

func (w *world) id(i int) string { return fmt.Sprintf("%d.%d", i, w.lives[i]) }

func (w *world) newHolder(i int) {
	w.lives[i]++
	w.holders[i] = credit.NewHolder(credit.HolderOptions{
		Name: fmt.Sprint(i), Incarnation: fmt.Sprint(w.lives[i]), Region: "r"})
	w.holders[i].SetShares([]credit.Share{{Name: shareName, Region: "r", Slots: worldSlots * worldBackends}})
}

func (w *world) holder() int { return rapid.IntRange(0, len(w.holders)-1).Draw(w.t, "holder") }

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			w.endRuns()
		},
		"demand": func(t *rapid.T) {
			w.holders[w.holder()].SetDemand(credit.Demand{
				Short: rapid.IntRange(0, 6).Draw(t, "short"),
				Long:  rapid.IntRange(0, 12).Draw(t, "long"),
			})
		},
		"send asks": func(t *rapid.T) {
			h := w.holders[w.holder()]
			if rapid.Bool().Draw(t, "prompted") {
				h.Refresh(shareName)
			}
			w.network.asks = append(w.network.asks, h.Requests(w.now)...)
		},
		"deliver ask":     func(t *rapid.T) { w.deliverAsk(t) },
		"deliver answer":  func(t *rapid.T) { w.deliverAnswer(t) },
		"start a request": func(t *rapid.T) { w.start(t) },
		"holder dies": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
				w.newHolder(w.holder())
			}
		},
		"owner is succeeded": func(t *rapid.T) {
			if rapid.IntRange(0, 19).Draw(t, "succeeded") == 0 {
				w.newOwner(true)
			}
		},
		"observe": func(t *rapid.T) {
			for i := range worldBackends {
				w.owner.ObserveRunning(fmt.Sprint(i), w.running(fmt.Sprint(i)), w.now)
			}
		},
		"": func(t *rapid.T) { w.check() },
	}
}

func (w *world) deliverAsk(t *rapid.T) {
	if len(w.network.asks) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.network.asks)-1).Draw(t, "ask")
	a := w.network.asks[i]
	if !rapid.Bool().Draw(t, "again") {
		w.network.asks = append(w.network.asks[:i], w.network.asks[i+1:]...)
	}
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	answer, _, err := w.owner.Serve(a, w.now)
	if err == nil {
		id := a.Holder + "." + a.Incarnation
		w.network.answers[id] = append(w.network.answers[id], answer)
	}
}

func (w *world) deliverAnswer(t *rapid.T) {
	i := w.holder()
	answers := w.network.answers[w.id(i)]
	if len(answers) == 0 {
		return
	}
	w.holders[i].Accept(answers[rapid.IntRange(0, len(answers)-1).Draw(t, "answer")], w.now)
}

func (w *world) start(t *rapid.T) {
	i := w.holder()
	backend := fmt.Sprint(rapid.IntRange(0, worldBackends-1).Draw(t, "backend"))
	slot, ok := w.holders[i].Acquire(backend, w.now)
	if !ok {
		return
	}
	ends := w.now.Add(time.Duration(rapid.IntRange(1, 29).Draw(t, "run")) * time.Second)
	w.runs = append(w.runs, run{w.lives[i]*len(w.holders) + i, backend, slot, ends})
}

func (w *world) endRuns() {
	var left []run
	for _, r := range w.runs {
		if r.ends.After(w.now) {
			left = append(left, r)
			continue
		}
		i := r.holder % len(w.holders)
		if r.holder/len(w.holders) == w.lives[i] {
			w.holders[i].Release(r.slot)
		}
	}
	w.runs = left
}

func (w *world) running(backend string) int {
	n := 0
	for _, r := range w.runs {
		if r.backend == backend {
			n++
		}
	}
	return n
}

// check is the invariant: what runs and what could be started by the living
// holders together is never more than the backend server has.
func (w *world) check() {
	for b := range worldBackends {
		backend := fmt.Sprint(b)
		n := w.running(backend)
		for _, h := range w.holders {
			for _, f := range h.AppendFree(nil, w.now) {
				if f.Backend == backend {
					n += f.Slots
				}
			}
		}
		if n > worldSlots {
			w.t.Fatalf("backend server %s: %d of %d slots", backend, n, worldSlots)
		}
	}
}

func TestCredits_AreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: start, holders: make([]*credit.Holder, 3), lives: make([]int, 3)}
		w.network.answers = make(map[string][]credit.Response)
		w.newOwner(false)
		for i := range w.holders {
			w.newHolder(i)
		}
		t.Repeat(w.actions())
	})
}
