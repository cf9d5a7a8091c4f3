package scheduler

import (
	"cmp"
	"slices"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/workload"
)

// overcommitted reports whether the attempts on the server need more than its
// capacity, which may have shrunk since they were placed.
func (s *server) overcommitted() bool { return !(workload.Resources{}).Fits(s.free) }

// withdrawUnconfirmed stops starts on an overcommitted server that it has not
// confirmed, the newest first, until the others fit. Those that were not sent yet
// are dropped by the sender.
func (c *Core) withdrawUnconfirmed(s *server) {
	if !s.overcommitted() {
		return
	}
	free := s.free
	var unconfirmed []*attempt
	for _, a := range s.attempts {
		switch a.state {
		case startSent:
			unconfirmed = append(unconfirmed, a)
		case stopping:
			free = free.Plus(a.need)
		}
	}
	slices.SortFunc(unconfirmed, func(x, y *attempt) int {
		return cmp.Or(y.sentAt.Compare(x.sentAt), cmp.Compare(y.task.id().String(), x.task.id().String()))
	})
	withdrawn := 0
	for _, a := range unconfirmed {
		if (workload.Resources{}).Fits(free) {
			break
		}
		free = free.Plus(a.need)
		c.stop(a)
		withdrawn++
	}
	c.log.Log(events.ServerShrank, "server", s.info.ID, "cpu", s.info.Capacity.CPU, "free", s.free.CPU, "attempts", len(s.attempts), "withdrawn", withdrawn)
}
