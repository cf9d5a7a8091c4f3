package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
)

// reservationFactor: capacity stays reserved for this many times the expected
// time of the request, since the answer may be queued behind another one.
const reservationFactor = 2

// reservation is free capacity of a gang that lacks nothing but tickets. No
// other step gets it while the request is in flight, whatever its priority,
// since the gang would otherwise have to find capacity again.
type reservation struct {
	members map[*server]int
	until   time.Time
}

// reserve reserves capacity for the members while a request of the given cost
// is in flight. It reports false, and reserves nothing, if the reservations
// would exceed maxHeldCPU.
func (p *placementPass) reserve(st *step, members map[*server]int, cost time.Duration) bool {
	cpu := st.memberCPU(members)
	if p.reservedCPU+cpu > p.maxHeldCPU(st) {
		return false
	}
	st.reserved = &reservation{members: members, until: p.core.now.Add(reservationFactor * cost)}
	p.reservedCPU += cpu
	p.core.log.Log(events.GangReserved, "step", st.id().StepName(), "members", st.unplacedTasks(), "servers", len(members), "cpu", cpu,
		"waited", p.core.now.Sub(st.readyAt).Milliseconds())
	return true
}

// applyReservations withholds all reserved capacity from the steps of this
// pass.
func (p *placementPass) applyReservations(queued []*step) {
	for _, st := range queued {
		if st.reserved != nil && p.core.now.After(st.reserved.until) {
			st.reserved = nil
		}
		if st.reserved != nil {
			p.applyReservation(st)
		}
	}
}

func (p *placementPass) applyReservation(st *step) {
	p.withhold(st, st.reserved.members)
	p.reservedCPU += st.memberCPU(st.reserved.members)
}

// takeReservation makes a gang's reserved capacity available to it at its turn.
// The reservation ends with the request.
func (p *placementPass) takeReservation(st *step) {
	if st.reserved == nil {
		return
	}
	for s, n := range st.reserved.members {
		p.held[s] = p.held[s].Minus(st.spec.Reserved().Scaled(n))
	}
	p.reservedCPU -= st.memberCPU(st.reserved.members)
	if st.authorization.openRequests == 0 {
		st.reserved = nil
	}
}

// withhold subtracts capacity for the gang's members from what other steps see.
func (p *placementPass) withhold(st *step, members map[*server]int) {
	for s, n := range members {
		p.held[s] = p.held[s].Plus(st.spec.Reserved().Scaled(n))
	}
}

// memberCPU returns the CPU of the members, in thousandths of a core.
func (s *step) memberCPU(members map[*server]int) int64 {
	n := 0
	for _, c := range members {
		n += c
	}
	return s.spec.Reserved().Scaled(n).CPU
}
