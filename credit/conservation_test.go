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

func (s *simulation) newOwner(predecessor bool) {
	var list []credit.Backend
	for i := range simulationBackends {
		list = append(list, credit.Backend{Name: fmt.Sprint(i), Slots: simulationSlots})
	}
	s.owner = credit.NewOwner(credit.OwnerOptions{
		Share:          shareName,
		Region:         "r",
		HasPredecessor: predecessor,
		MaxRunTime:     simulationMaxRunTime,
	}, list, s.now)
}

func (s *simulation) id(i int) string { return fmt.Sprintf("%d.%d", i, s.incarnations[i]) }

func (s *simulation) newHolder(i int) {
	s.incarnations[i]++
	s.holders[i] = credit.NewHolder(credit.HolderOptions{
		Name: fmt.Sprint(i), Incarnation: fmt.Sprint(s.incarnations[i]), Region: "r"})
	s.holders[i].SetShares([]credit.Share{{Name: shareName, Region: "r", Slots: simulationSlots * simulationBackends}})
}

func (s *simulation) randomHolder() int {
	return rapid.IntRange(0, len(s.holders)-1).Draw(s.t, "holder")
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass time": func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			s.endRuns()
		},
		"demand": func(t *rapid.T) {
			s.holders[s.randomHolder()].SetDemand(credit.Demand{
				Short: rapid.IntRange(0, 6).Draw(t, "short"),
				Long:  rapid.IntRange(0, 12).Draw(t, "long"),
			})
		},
		"send asks": func(t *rapid.T) {
			h := s.holders[s.randomHolder()]
			if rapid.Bool().Draw(t, "prompted") {
				h.Refresh(shareName)
			}
			s.network.requests = append(s.network.requests, h.Requests(s.now)...)
		},
		"deliver ask":     func(t *rapid.T) { s.deliverRequest(t) },
		"deliver answer":  func(t *rapid.T) { s.deliverResponse(t) },
		"start a request": func(t *rapid.T) { s.start(t) },
		"holder dies": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "dies") == 0 {
				s.newHolder(s.randomHolder())
			}
		},
		"owner is succeeded": func(t *rapid.T) {
			if rapid.IntRange(0, 19).Draw(t, "succeeded") == 0 {
				s.newOwner(true)
			}
		},
		"observe": func(t *rapid.T) {
			for i := range simulationBackends {
				s.owner.ObserveRunning(fmt.Sprint(i), s.running(fmt.Sprint(i)), s.now)
			}
		},
		"": func(t *rapid.T) { s.checkInvariant() },
	}
}

func (s *simulation) deliverRequest(t *rapid.T) {
	if len(s.network.requests) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.network.requests)-1).Draw(t, "ask")
	a := s.network.requests[i]
	if !rapid.Bool().Draw(t, "again") {
		s.network.requests = append(s.network.requests[:i], s.network.requests[i+1:]...)
	}
	if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	response, _, err := s.owner.Serve(a, s.now)
	if err == nil {
		id := a.Holder + "." + a.Incarnation
		s.network.responses[id] = append(s.network.responses[id], response)
	}
}

func (s *simulation) deliverResponse(t *rapid.T) {
	i := s.randomHolder()
	responses := s.network.responses[s.id(i)]
	if len(responses) == 0 {
		return
	}
	s.holders[i].Accept(responses[rapid.IntRange(0, len(responses)-1).Draw(t, "answer")], s.now)
}

func (s *simulation) start(t *rapid.T) {
	i := s.randomHolder()
	backend := fmt.Sprint(rapid.IntRange(0, simulationBackends-1).Draw(t, "backend"))
	slot, ok := s.holders[i].Acquire(backend, s.now)
	if !ok {
		return
	}
	ends := s.now.Add(time.Duration(rapid.IntRange(1, 29).Draw(t, "run")) * time.Second)
	s.runs = append(s.runs, run{s.incarnations[i]*len(s.holders) + i, backend, slot, ends})
}

func (s *simulation) endRuns() {
	var remaining []run
	for _, r := range s.runs {
		if r.ends.After(s.now) {
			remaining = append(remaining, r)
			continue
		}
		i := r.holder % len(s.holders)
		if r.holder/len(s.holders) == s.incarnations[i] {
			s.holders[i].Release(r.slot)
		}
	}
	s.runs = remaining
}

func (s *simulation) running(backend string) int {
	n := 0
	for _, r := range s.runs {
		if r.backend == backend {
			n++
		}
	}
	return n
}

// checkInvariant fails the test if the running requests and those that the current
// holders could start together exceed a backend server's slots.
func (s *simulation) checkInvariant() {
	for b := range simulationBackends {
		backend := fmt.Sprint(b)
		n := s.running(backend)
		for _, h := range s.holders {
			for _, f := range h.AppendFree(nil, s.now) {
				if f.Backend == backend {
					n += f.Slots
				}
			}
		}
		if n > simulationSlots {
			s.t.Fatalf("backend server %s: %d slots in use or free to use, want at most %d", backend, n, simulationSlots)
		}
	}
}

func TestCredits_AreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: start, holders: make([]*credit.Holder, 3), incarnations: make([]int, 3)}
		s.network.responses = make(map[string][]credit.Response)
		s.newOwner(false)
		for i := range s.holders {
			s.newHolder(i)
		}
		t.Repeat(s.actions())
	})
}
