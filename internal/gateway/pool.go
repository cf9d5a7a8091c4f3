package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/credit"
	"github.com/currantwinch/currantwinch/dispatch"
	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
)

// pool is a set of interchangeable backend servers, with the calls that wait
// for them and the slots that this daemon was lent.
type pool struct {
	name     string
	queue    *fairqueue.Queue[*call]
	holder   *credit.Holder
	balancer *dispatch.Balancer
	reserve  fairqueue.Reserve
	// slots counts the pool's slots on servers that are not leaving.
	slots   int
	known   map[string]bool
	running [2]int
	queued  map[string]int

	free       []credit.FreeSlots
	candidates []dispatch.Candidate
}

// slot is a slot of a backend server in use by one call.
type slot struct {
	pool   *pool
	credit credit.Slot
	vm     cluster.VM
	class  estimate.Class
	// handle charges the call's account.
	handle  fairqueue.Handle[*call]
	caller  string
	expects time.Duration
	// requestID and since are set while the slot is in doubt.
	requestID string
	since     time.Time
}

func newPool(o Options, name string) *pool {
	return &pool{
		name:  name,
		queue: fairqueue.New[*call](fairqueue.Options{}),
		holder: credit.NewHolder(credit.HolderOptions{
			Name: o.Self.Name, Incarnation: o.Self.Incarnation, Region: o.Self.Location.Region,
		}),
		balancer: dispatch.New(dispatch.Options{}),
		known:    make(map[string]bool),
		queued:   make(map[string]int),
	}
}

// refresh takes in which backend servers there are.
func (p *pool) refresh(w *backendWatch) {
	p.holder.SetShares(w.parts(p.name))
	p.slots = 0
	now := make(map[string]bool)
	for _, vm := range w.list() {
		if vm.Pool != p.name {
			continue
		}
		now[vm.Name] = true
		p.balancer.Add(vm.Name, vm.Slots)
		if !w.isLeaving(vm.Name) {
			p.slots += vm.Slots
		}
	}
	for name := range p.known {
		if !now[name] {
			p.balancer.Remove(name)
		}
	}
	p.known = now
}

// collect gathers the backend servers with a free slot that the next call may
// go to, none of those that avoid names, and returns what the queue may serve.
func (p *pool) collect(w *backendWatch, avoid func(string) bool, now time.Time) fairqueue.Slots {
	slots := p.slotsNow(now)
	slots.Free = 0
	p.free = p.holder.AppendFree(p.free[:0], now)
	p.candidates = p.candidates[:0]
	for _, f := range p.free {
		if w.isLeaving(f.Backend) || avoid(f.Backend) {
			continue
		}
		slots.Free += f.Slots
		p.candidates = append(p.candidates, dispatch.Candidate{
			Backend: f.Backend, Free: f.Slots, Held: f.Held, Local: f.Local,
		})
	}
	return slots
}

// choose returns which of the servers collected a call of the class should go
// to. Long work leaves alone what the reserve lets short work need here.
func (p *pool) choose(class estimate.Class, reserve int, now time.Time) (string, bool) {
	i, ok := 0, false
	if class == estimate.Long {
		i, ok = p.balancer.ChooseLong(p.candidates, reserve-p.running[estimate.Short], now)
	} else {
		i, ok = p.balancer.Choose(p.candidates, now)
	}
	if !ok {
		return "", false
	}
	return p.candidates[i].Backend, true
}

// chooseBut is choose without the server that failed a call, unless it is the
// only one.
func (p *pool) chooseBut(failed, chosen string, class estimate.Class, reserve int, now time.Time) string {
	if chosen != failed {
		return chosen
	}
	p.candidates = slices.DeleteFunc(p.candidates, func(c dispatch.Candidate) bool { return c.Backend == failed })
	if other, ok := p.choose(class, reserve, now); ok {
		return other
	}
	return chosen
}

// usable returns how many slots the pool's calls can use now: those lent or,
// before any were, this daemon's part of all.
func (p *pool) usable(daemons int, now time.Time) int {
	held, _ := p.holder.Held(now)
	return max(held, p.slots/max(daemons, 1))
}

// demand is how many slots the pool's calls can use. While calls wait, held
// slots of servers that avoid names count as none, so that others are asked
// for.
func (p *pool) demand(avoid func(string) bool, now time.Time) credit.Demand {
	unusable := 0
	if p.queue.Len() > 0 {
		p.free = p.holder.AppendFree(p.free[:0], now)
		for _, f := range p.free {
			if avoid(f.Backend) {
				unusable += f.Slots
			}
		}
	}
	return credit.Demand{
		Short: unusable + max(p.running[estimate.Short]+p.queue.Queued(estimate.Short), p.reserve.Target()),
		Long:  p.running[estimate.Long] + p.queue.Queued(estimate.Long),
	}
}

// longMinimumPart is the part of the held slots that long work gets before any
// short work.
const longMinimumPart = 4

// slotsNow is what the queue may serve now.
func (p *pool) slotsNow(now time.Time) fairqueue.Slots {
	held, busy := p.holder.Held(now)
	return fairqueue.Slots{
		Free: held - busy, Total: held, Long: p.running[estimate.Long],
		ShortReserve: p.reserve.Slots(held), LongMinimum: held / longMinimumPart,
	}
}

// observe lets the reserve for short work follow what runs and waits.
func (p *pool) observe(now time.Time) {
	p.reserve.Observe(p.running[estimate.Short]+p.queue.Queued(estimate.Short), now)
	p.reserve.ObserveLong(p.queue.Queued(estimate.Long) > 0, now)
}

// parsePart reads the name of a part of a share.
func parsePart(name string) poolShare {
	share, pool, _ := strings.Cut(name, " ")
	var p poolShare
	p.Pool = pool
	// The name was made by poolShare.String.
	_ = p.Share.UnmarshalText([]byte(share))
	return p
}
