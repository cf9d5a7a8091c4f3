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
type reservation struct{ until time.Time }

// reserve reserves capacity for the members while a request of the given cost
// is in flight. It reserves nothing if the reservations would exceed maxHeldCPU.
func (p *placementPass) reserve(st *step, members map[*server]int, cost time.Duration) {
	c := p.core
	cpu := st.memberCPU(members)
	if c.reservedCPU(st.job().sub.Service)+cpu > c.maxHeldCPU(st) {
		return
	}
	st.reserved = &reservation{until: c.now.Add(reservationFactor * cost)}
	c.hold(st, members, true)
	c.log.Log(events.GangReserved, "step", st.id().StepName(), "members", st.unplacedTasks(), "servers", len(members), "cpu", cpu,
		"waited", c.now.Sub(st.readyAt).Milliseconds())
}

// takeReservation ends a gang's reservation with the request. What is held for a gang
// is free for itself.
func (p *placementPass) takeReservation(st *step) {
	if st.reserved != nil && st.authorization.openRequests == 0 {
		st.reserved = nil
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
