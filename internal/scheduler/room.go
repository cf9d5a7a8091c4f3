package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

const (
	// spareFactor: another shard takes a submission because of load only if it has room
	// for so many times its waiting tasks. Some of it is taken before they arrive.
	spareFactor = 2
	// silentGrace is how long a server may be silent before it no longer counts as one
	// that can run a task later.
	silentGrace = 2 * time.Second
)

// Need is what the waiting tasks of one step need.
type Need struct {
	Label        string             `json:"label,omitempty"`
	Task         workload.Resources `json:"task"`
	Count        int                `json:"count"`
	Gang         bool               `json:"gang,omitempty"`
	MaxPerServer int                `json:"maxPerServer,omitempty"`
	// Exact asks for free capacity for Count tasks, in place of spareFactor times as many.
	Exact bool `json:"exact,omitempty"`
}

// Fit says whether a shard can run what a submission needs.
type Fit uint8

const (
	// FitNever: no servers of the shard could, if they were empty, or its owner has no
	// memory for the submission.
	FitNever Fit = iota
	// FitLater: its servers could, but too few have enough free capacity.
	FitLater
	// FitNow: they have free capacity for it, spareFactor times over or, if that is asked, once.
	FitNow
)

// RoomQuestion asks an owner whether its shard has room for submissions of a service.
type RoomQuestion struct {
	Service string `json:"service"`
	// Needs holds, for each submission, the needs of its waiting steps.
	Needs [][]Need `json:"needs"`
}

// RoomAnswer answers a RoomQuestion.
type RoomAnswer struct {
	// Partition is the one that was asked. The daemon that asks sets it.
	Partition int `json:"-"`
	// Fits holds one entry for each submission of the question.
	Fits []Fit `json:"fits"`
	// FreeCPU is the free CPU of the shard's servers, in thousandths of a core.
	FreeCPU int64 `json:"freeCPU"`
}

// Room answers another owner's question.
func (c *Core) Room(q RoomQuestion) RoomAnswer {
	a := RoomAnswer{Fits: make([]Fit, len(q.Needs))}
	for i, needs := range q.Needs {
		if c.hasMemoryFor(needs) {
			a.Fits[i] = c.fit(q.Service, needs, nil)
		}
	}
	for _, s := range c.servers {
		if s.info.Service == q.Service && s.stored && s.usable(c.now) {
			a.FreeCPU += max(s.free.Minus(c.heldForGangs[s]).CPU, 0)
		}
	}
	return a
}

// fit returns whether this shard can run the needs of a submission. Own holds the steps
// that have these needs, if the submission is this shard's; nil otherwise.
func (c *Core) fit(service string, needs []Need, own []*step) Fit {
	worst := FitNow
	for i, n := range needs {
		var st *step
		if own != nil {
			st = own[i]
		}
		now, later := 0, 0
		for _, s := range c.servers {
			if s.info.Service != service || !s.hasLabel(n.Label) || st != nil && st.authorization.decisionOn(s) == denied {
				continue
			}
			if s.capable(c.now) {
				later += n.slots(s.info.Capacity)
			}
			if s.stored && s.trial == nil && s.usable(c.now) {
				now += n.slots(c.freeBesideHolds(st, s))
			}
		}
		worst = min(worst, n.fit(now, later))
	}
	return worst
}

// freeBesideHolds returns the free capacity of a server beside all that is held for gangs,
// whatever their order. For a gang of this shard it is all that is free, since what is held
// may be held for that very gang. St is nil for a step of another shard.
func (c *Core) freeBesideHolds(st *step, s *server) workload.Resources {
	if st != nil && st.spec.Gang {
		return s.free
	}
	return s.free.Minus(c.heldForGangs[s])
}

// fit judges a need by how many of its tasks fit now, and on empty servers.
func (n Need) fit(now, later int) Fit {
	enough := 1
	if n.Gang {
		enough = n.Count
	}
	switch {
	case now >= n.wanted():
		return FitNow
	case later >= enough:
		return FitLater
	}
	return FitNever
}

// wanted returns for how many tasks there must be room now.
func (n Need) wanted() int {
	if n.Exact {
		return n.Count
	}
	return spareFactor * n.Count
}

// slots returns how many tasks fit on one server with the given capacity, as far as
// that matters.
func (n Need) slots(capacity workload.Resources) int {
	limit := n.wanted()
	if n.MaxPerServer > 0 {
		limit = min(limit, n.MaxPerServer)
	}
	return n.Task.FitCount(capacity, limit)
}

// capable reports whether the server may run tasks now or soon, once others have ended.
func (s *server) capable(now time.Time) bool {
	silent := !s.unresponsiveSince.IsZero() && now.Sub(s.unresponsiveSince) > silentGrace
	return s.listed && !s.rejected && !silent && !s.info.Draining && s.entryCurrent()
}
