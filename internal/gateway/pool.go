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

// pool is a set of interchangeable backend servers, with the calls queued for them
// and the slots that this daemon holds.
type pool struct {
	name     string
	queue    *fairqueue.Queue[*call]
	holder   *credit.Holder
	balancer *dispatch.Balancer
	reserve  fairqueue.Reserve
	// slots counts the slots of the pool's servers that are not leaving.
	slots           int
	backends        map[string]bool
	running         [2]int
	queuedByService map[string]int

	free       []credit.FreeSlots
	candidates []dispatch.Candidate
}

// slot is a slot of a backend server in use by one call.
type slot struct {
	pool   *pool
	credit credit.Slot
	vm     cluster.VM
	class  estimate.Class
	// handle identifies the call in the queue's accounts.
	handle          fairqueue.Handle[*call]
	caller          string
	expectedRunTime time.Duration
	// requestID and unconfirmedSince are set while the slot is unconfirmed.
	requestID        string
	unconfirmedSince time.Time
}

func newPool(o Options, name string) *pool {
	return &pool{
		name:  name,
		queue: fairqueue.New[*call](fairqueue.Options{}),
		holder: credit.NewHolder(credit.HolderOptions{
			Name: o.Self.Name, Incarnation: o.Self.Incarnation, Region: o.Self.Location.Region,
		}),
		balancer:        dispatch.New(dispatch.Options{}),
		backends:        make(map[string]bool),
		queuedByService: make(map[string]int),
	}
}

// refresh updates the pool's backend servers from the registry.
func (p *pool) refresh(registry *backendRegistry) {
	p.holder.SetShares(registry.poolShares(p.name))
	p.slots = 0
	listed := make(map[string]bool)
	for _, vm := range registry.all() {
		if vm.Pool != p.name {
			continue
		}
		listed[vm.Name] = true
		p.balancer.Add(vm.Name, vm.Slots)
		if !registry.isLeaving(vm.Name) {
			p.slots += vm.Slots
		}
	}
	for name := range p.backends {
		if !listed[name] {
			p.balancer.Remove(name)
		}
	}
	p.backends = listed
}

// collectCandidates collects the backend servers with a free slot, without leaving
// and excluded ones, and returns the slots that the queue may use.
func (p *pool) collectCandidates(registry *backendRegistry, exclude func(string) bool, now time.Time) fairqueue.Slots {
	slots := p.queueSlots(now)
	slots.Free = 0
	p.free = p.holder.AppendFree(p.free[:0], now)
	p.candidates = p.candidates[:0]
	for _, f := range p.free {
		if registry.isLeaving(f.Backend) || exclude(f.Backend) {
			continue
		}
		slots.Free += f.Slots
		p.candidates = append(p.candidates, dispatch.Candidate{
			Backend: f.Backend, Free: f.Slots, Held: f.Held, Local: f.Local,
		})
	}
	return slots
}

// choose returns the candidate that a call of the class should go to. Long work
// leaves the slots of this region that are reserved for short work free, if another
// region has a slot.
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

// chooseExcept returns chosen or, if that is the server that failed the call's last
// attempt, another candidate if there is one.
func (p *pool) chooseExcept(failed, chosen string, class estimate.Class, reserve int, now time.Time) string {
	if chosen != failed {
		return chosen
	}
	p.candidates = slices.DeleteFunc(p.candidates, func(c dispatch.Candidate) bool { return c.Backend == failed })
	if other, ok := p.choose(class, reserve, now); ok {
		return other
	}
	return chosen
}

// usableSlots returns how many slots the pool's calls can use: those held now, or
// this daemon's equal part of all slots if that is more.
func (p *pool) usableSlots(daemons int, now time.Time) int {
	held, _ := p.holder.Held(now)
	return max(held, p.slots/max(daemons, 1))
}

// demand returns how many slots the pool's calls can use. While calls are queued,
// held free slots of excluded servers are added, so that others are requested.
func (p *pool) demand(exclude func(string) bool, now time.Time) credit.Demand {
	unusable := 0
	if p.queue.Len() > 0 {
		p.free = p.holder.AppendFree(p.free[:0], now)
		for _, f := range p.free {
			if exclude(f.Backend) {
				unusable += f.Slots
			}
		}
	}
	return credit.Demand{
		Short: unusable + max(p.running[estimate.Short]+p.queue.Queued(estimate.Short), p.reserve.Target()),
		Long:  p.running[estimate.Long] + p.queue.Queued(estimate.Long),
	}
}

// longMinimumDivisor: long work gets a fourth of the held slots before any short
// work.
const longMinimumDivisor = 4

// queueSlots returns the slots that the queue may use now.
func (p *pool) queueSlots(now time.Time) fairqueue.Slots {
	held, busy := p.holder.Held(now)
	return fairqueue.Slots{
		Free: held - busy, Total: held, Long: p.running[estimate.Long],
		ShortReserve: p.reserve.Slots(held), LongMinimum: held / longMinimumDivisor,
	}
}

// observeLoad updates the reserve for short work from the running and queued
// calls.
func (p *pool) observeLoad(now time.Time) {
	p.reserve.Observe(p.running[estimate.Short]+p.queue.Queued(estimate.Short), now)
	p.reserve.ObserveLong(p.queue.Queued(estimate.Long) > 0, now)
}

// parsePoolShare parses a name made by poolShare.String.
func parsePoolShare(name string) poolShare {
	share, pool, _ := strings.Cut(name, " ")
	var p poolShare
	p.Pool = pool
	// Names made by poolShare.String always parse.
	_ = p.Share.UnmarshalText([]byte(share))
	return p
}
