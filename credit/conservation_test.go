package credit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/credit"
	"pgregory.net/rapid"
)

// network delays, reorders, duplicates and drops requests and responses.
type network struct {
	requests  []credit.Request
	responses map[string][]credit.Response
}

// run is a request that runs on a backend server.
type run struct {
	holder  int
	backend string
	slot    credit.Slot
	ends    time.Time
}

// simulation has one owner and its successors, three holders that fail and restart,
// and backend servers.
type simulation struct {
	t            *rapid.T
	now          time.Time
	owner        *credit.Owner
	holders      []*credit.Holder
	incarnations []int
	network      network
	runs         []run
}

const (
	simulationSlots      = 4
	simulationBackends   = 2
	simulationMaxRunTime = 30 * time.Second
)

func (w *simulation) newOwner(predecessor bool) {
	var list []credit.Backend
	for i := range simulationBackends {
		list = append(list, credit.Backend{Name: fmt.Sprint(i), Slots: simulationSlots})
	}
	w.owner = credit.NewOwner(credit.OwnerOptions{
		Share:          shareName,
		Region:         "r",
		HasPredecessor: predecessor,
		MaxRunTime:     simulationMaxRunTime,
	}, list, w.now)
}

func (w *simulation) id(i int) string { return fmt.Sprintf("%d.%d", i, w.incarnations[i]) }

func (w *simulation) newHolder(i int) {
	w.incarnations[i]++
	w.holders[i] = credit.NewHolder(credit.HolderOptions{
		Name: fmt.Sprint(i), Incarnation: fmt.Sprint(w.incarnations[i]), Region: "r"})
	w.holders[i].SetShares([]credit.Share{{Name: shareName, Region: "r", Slots: simulationSlots * simulationBackends}})
}

func (w *simulation) randomHolder() int {
	return rapid.IntRange(0, len(w.holders)-1).Draw(w.t, "holder")
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass time": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			w.endRuns()
		},
		"demand": func(t *rapid.T) {
			w.holders[w.randomHolder()].SetDemand(credit.Demand{
				Short: rapid.IntRange(0, 6).Draw(t, "short"),
				Long:  rapid.IntRange(0, 12).Draw(t, "long"),
			})
		},
		"send asks": func(t *rapid.T) {
			h := w.holders[w.randomHolder()]
			if rapid.Bool().Draw(t, "prompted") {
				h.Refresh(shareName)
			}
			w.network.requests = append(w.network.requests, h.Requests(w.now)...)
		},
		"deliver ask":     func(t *rapid.T) { w.deliverRequest(t) },
		"deliver answer":  func(t *rapid.T) { w.deliverResponse(t) },
		"start a request": func(t *rapid.T) { w.start(t) },
		"holder dies": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
				w.newHolder(w.randomHolder())
			}
		},
		"owner is succeeded": func(t *rapid.T) {
			if rapid.IntRange(0, 19).Draw(t, "succeeded") == 0 {
				w.newOwner(true)
			}
		},
		"observe": func(t *rapid.T) {
			for i := range simulationBackends {
				w.owner.ObserveRunning(fmt.Sprint(i), w.running(fmt.Sprint(i)), w.now)
			}
		},
		"": func(t *rapid.T) { w.checkInvariant() },
	}
}

func (w *simulation) deliverRequest(t *rapid.T) {
	if len(w.network.requests) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.network.requests)-1).Draw(t, "ask")
	a := w.network.requests[i]
	if !rapid.Bool().Draw(t, "again") {
		w.network.requests = append(w.network.requests[:i], w.network.requests[i+1:]...)
	}
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	response, _, err := w.owner.Serve(a, w.now)
	if err == nil {
		id := a.Holder + "." + a.Incarnation
		w.network.responses[id] = append(w.network.responses[id], response)
	}
}

func (w *simulation) deliverResponse(t *rapid.T) {
	i := w.randomHolder()
	responses := w.network.responses[w.id(i)]
	if len(responses) == 0 {
		return
	}
	w.holders[i].Accept(responses[rapid.IntRange(0, len(responses)-1).Draw(t, "answer")], w.now)
}

func (w *simulation) start(t *rapid.T) {
	i := w.randomHolder()
	backend := fmt.Sprint(rapid.IntRange(0, simulationBackends-1).Draw(t, "backend"))
	slot, ok := w.holders[i].Acquire(backend, w.now)
	if !ok {
		return
	}
	ends := w.now.Add(time.Duration(rapid.IntRange(1, 29).Draw(t, "run")) * time.Second)
	w.runs = append(w.runs, run{w.incarnations[i]*len(w.holders) + i, backend, slot, ends})
}

func (w *simulation) endRuns() {
	var remaining []run
	for _, r := range w.runs {
		if r.ends.After(w.now) {
			remaining = append(remaining, r)
			continue
		}
		i := r.holder % len(w.holders)
		if r.holder/len(w.holders) == w.incarnations[i] {
			w.holders[i].Release(r.slot)
		}
	}
	w.runs = remaining
}

func (w *simulation) running(backend string) int {
	n := 0
	for _, r := range w.runs {
		if r.backend == backend {
			n++
		}
	}
	return n
}

// checkInvariant fails the test if the running requests and those that the current
// holders could start together exceed a backend server's slots.
func (w *simulation) checkInvariant() {
	for b := range simulationBackends {
		backend := fmt.Sprint(b)
		n := w.running(backend)
		for _, h := range w.holders {
			for _, f := range h.AppendFree(nil, w.now) {
				if f.Backend == backend {
					n += f.Slots
				}
			}
		}
		if n > simulationSlots {
			w.t.Fatalf("backend server %s: %d slots in use or free to use, want at most %d", backend, n, simulationSlots)
		}
	}
}

func TestCredits_AreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: start, holders: make([]*credit.Holder, 3), incarnations: make([]int, 3)}
		w.network.responses = make(map[string][]credit.Response)
		w.newOwner(false)
		for i := range w.holders {
			w.newHolder(i)
		}
		t.Repeat(w.actions())
	})
}
