package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
)

// reserveSlack is how many times the declared time of a question its gang's room
// is kept: the answer may be queued behind that of another.
const reserveSlack = 2

// reservation is the free room of a gang that lacks nothing but tickets. No other
// step gets it while the question is under way, however pressing, since the gang
// would have to gather anew.
type reservation struct {
	members map[*server]int
	until   time.Time
}

// reserve keeps the counted room for the gang while a question of the given cost
// is under way, and reports whether it does: not if too much is reserved already.
func (p *pass) reserve(st *step, members map[*server]int, cost time.Duration) bool {
	cpu := st.cpuOf(members)
	if p.reservedCPU+cpu > p.maxHeld(st) {
		return false
	}
	st.reserved = &reservation{members: members, until: p.core.now.Add(reserveSlack * cost)}
	p.reservedCPU += cpu
	p.core.log.Log(events.GangReserved, "step", st.id().StepName(), "members", st.waiting(), "servers", len(members), "cpu", cpu,
		"waited", p.core.now.Sub(st.readyAt).Milliseconds())
	return true
}

// applyReservations takes all reserved room off what the steps of this pass see.
func (p *pass) applyReservations(queued []*step) {
	for _, st := range queued {
		if st.reserved != nil && p.core.now.After(st.reserved.until) {
			st.reserved = nil
		}
		if st.reserved != nil {
			p.applyReservation(st)
		}
	}
}

func (p *pass) applyReservation(st *step) {
	p.hide(st, st.reserved.members)
	p.reservedCPU += st.cpuOf(st.reserved.members)
}

// release gives a gang the room that it has reserved, at its turn. The
// reservation ends with the question.
func (p *pass) release(st *step) {
	if st.reserved == nil {
		return
	}
	for s, n := range st.reserved.members {
		p.held[s] = p.held[s].Minus(st.spec.Reserved().Scaled(n))
	}
	p.reservedCPU -= st.cpuOf(st.reserved.members)
	if st.advice.asking == 0 {
		st.reserved = nil
	}
}

// hide takes room for members of the gang off what other steps see.
func (p *pass) hide(st *step, members map[*server]int) {
	for s, n := range members {
		p.held[s] = p.held[s].Plus(st.spec.Reserved().Scaled(n))
	}
}

// cpuOf returns the CPU of the counted members, in thousandths of a core.
func (s *step) cpuOf(members map[*server]int) int64 {
	n := 0
	for _, c := range members {
		n += c
	}
	return s.spec.Reserved().Scaled(n).CPU
}
