package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// capPair is two partitions that share the cap of tenant a. The first is the first holder.
type capPair struct {
	parts [2]*harness
	// lose makes calls between the owners get no answer; the transfers arrive all the same.
	lose bool
	// asks and sends count the calls.
	asks, sends int
}

func newCapPair(t *testing.T, limit int64) *capPair {
	p := &capPair{}
	for i := range p.parts {
		p.parts[i] = newHarness(t, 2)
		p.parts[i].answerAllPolls()
		p.connect(i)
		p.parts[i].setTenants(capped("a", limit))
	}
	return p
}

func (p *capPair) connect(i int) {
	p.parts[i].do(func(c *Core) { c.SetCapHolder(CapHolder{Known: true, First: i == 0, Loaded: true}, 1) })
}

// pass lets time pass and carries the calls of each owner to the other.
func (p *capPair) pass(d time.Duration) {
	for ; d > 0; d -= tickInterval {
		for i, h := range p.parts {
			h.advance(tickInterval)
			calls := h.shardCalls
			h.shardCalls = nil
			for _, a := range calls {
				p.carry(i, h, p.parts[1-i], a)
			}
		}
	}
}

func (p *capPair) carry(from int, h, to *harness, a Action) {
	switch a := a.(type) {
	case AskCap:
		p.asks++
		a.Question.From = from
		to.do(func(c *Core) { c.CapAsked(a.Question) })
	case SendCap:
		p.sends++
		var err error = verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")
		t := CapTransfer{Tenant: a.Tenant, From: from, Number: a.Transfer.Number, Amount: a.Transfer.Amount}
		to.do(func(c *Core) {
			c.TakeCap(t, func(Reply) {
				if !p.lose {
					err = nil
				}
			})
		})
		h.do(func(c *Core) { c.CapSent(a.Tenant, a.Transfer.Number, err) })
	}
}

func (p *capPair) fractions() (first, second int64) {
	return p.parts[0].core.tenants.ledger.Fraction("a"), p.parts[1].core.tenants.ledger.Fraction("a")
}

// A tenant whose work lies at one owner must get nearly all of its cap there, also where
// another owner had it, and that one must not start what it gave away.
func TestCaps_IdleOwnerGivesItsFraction(t *testing.T) {
	p := newCapPair(t, 20_000)
	p.parts[1].submitAs("a", id1, stepOf(10, 4000))
	if got := len(p.parts[1].takeStarts()); got != 0 {
		t.Fatalf("%d starts of an owner that holds nothing of the cap, want 0", got)
	}
	p.pass(time.Second)
	starts := p.parts[1].takeStarts()
	if len(starts) < 4 || len(starts) > 5 {
		t.Fatalf("%d starts of 4 cores under a cap of 20, want 4 or 5", len(starts))
	}
	first, second := p.fractions()
	if first+second != 1_000_000 {
		t.Errorf("fractions %d and %d, want 1000000 in all", first, second)
	}
	p.parts[0].submitAs("a", id2, stepOf(10, 4000))
	if got := len(p.parts[0].takeStarts()); got > 0 {
		t.Errorf("%d starts of the owner that gave its fraction away, want 0", got)
	}
}

// Owners that both have more work than the cap allows must divide it by their work: the one
// that has the cap must not keep all of it as long as it has work.
func TestCaps_OwnersDivideAScarceCap(t *testing.T) {
	p := newCapPair(t, 40_000)
	running := [2][]StartTask{}
	ended := [2]uint64{}
	for i := range 20 {
		p.parts[0].submitAs("a", tenantID(2*i), stepOf(10, 2000))
		if i > 2 {
			p.parts[1].submitAs("a", tenantID(2*i+1), stepOf(10, 2000))
		}
		for part, h := range p.parts {
			for _, s := range h.takeStarts() {
				h.confirmStart(s)
				running[part] = append(running[part], s)
			}
			byServer := map[string]*PollResponse{}
			for n, s := range running[part] {
				list := byServer[s.To.ID]
				if list == nil {
					list = &PollResponse{}
					byServer[s.To.ID] = list
				}
				if n < len(running[part])/2 {
					ended[part]++
					list.Ended = append(list.Ended, endOf(s, ended[part], workload.EndDone))
				} else {
					list.Running = append(list.Running, runOf(s))
				}
			}
			running[part] = running[part][len(running[part])/2:]
			for id, list := range byServer {
				if _, polled := h.polls[id]; polled {
					h.answerPoll(id, *list)
				}
			}
		}
		p.pass(500 * time.Millisecond)
	}
	first, second := p.fractions()
	if first < 200_000 || second < 200_000 || first+second > 1_000_000 {
		t.Errorf("fractions %d and %d of two owners with much the same work, want neither below 200000", first, second)
	}
}

// A transfer that is sent again, by the same owner or the next one, must count once, and a
// new owner must find what its partition holds.
func TestCaps_TransferCountsOnceAcrossOwners(t *testing.T) {
	p := newCapPair(t, 20_000)
	p.lose = true
	p.parts[1].submitAs("a", id1, stepOf(3, 4000))
	p.pass(3 * time.Second)
	if p.sends < 2 {
		t.Fatalf("an unanswered transfer was sent %d times, want it repeated", p.sends)
	}
	before, held := p.fractions()
	if before+held > 1_000_000 || held == 0 {
		t.Fatalf("fractions %d and %d after a transfer without an answer, want at most 1000000 in all and some at the receiver", before, held)
	}
	for i, h := range p.parts {
		h.takeOver()
		p.connect(i)
	}
	p.lose = false
	p.pass(3 * time.Second)
	first, second := p.fractions()
	if first != before || second != held {
		t.Errorf("fractions %d and %d after both owners were replaced, want %d and %d", first, second, before, held)
	}
	for i, h := range p.parts {
		if open := h.core.tenants.ledger.Fractions.Unconfirmed("a"); len(open) > 0 {
			t.Errorf("partition %d: %d transfers are still unconfirmed", i, len(open))
		}
	}
}

// The only partition must neither ask nor store anything for a cap, and must not wait for
// the record of the first holder.
func TestCaps_OnlyPartitionHoldsAll(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.do(func(c *Core) { c.SetCapHolder(CapHolder{Loaded: true}, 0) })
	h.setTenants(capped("a", 8000))
	h.submitAs("a", id1, stepOf(5, 4000))
	if got := len(h.takeStarts()); got != 2 {
		t.Errorf("%d starts, want 2", got)
	}
	for range 40 {
		h.advance(tickInterval)
	}
	for _, a := range h.shardCalls {
		if _, asks := a.(AskCap); asks {
			t.Error("the owner of the only partition asks for a part of a cap")
		}
	}
	for key := range h.log {
		if key[0] == keyFraction {
			t.Error("the owner of the only partition stores a fraction")
		}
	}
	h.do(func(c *Core) { c.SetCapHolder(CapHolder{}, 0) })
	if got := h.core.tenants.ledger.Fraction("a"); got != 0 {
		t.Errorf("fraction %d before the first holder can be known, want 0", got)
	}
}
