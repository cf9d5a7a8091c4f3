package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

const (
	// maxHeldPart bounds the part of a service's capacity that is held for gangs
	// which gather.
	maxHeldPart = 0.6
	// overdueTimes its expected time is more than a run takes that ends soon:
	// declared times are off by less than that.
	overdueTimes = 2
	// gangMargin is how many times its need a gang asks for at first, so that one
	// question is enough.
	gangMargin = 2.5
)

// prospect is a server with the room that it is expected to have soon.
type prospect struct {
	server *server
	free   workload.Resources
}

// gather is for a gang that cannot start now. It learns which servers the gang
// may use, holds room on the most promising of them against less pressing
// steps, and asks for tickets once the room is there.
func (p *pass) gather(st *step, need int) {
	if st.reserved != nil {
		p.applyReservation(st)
		return
	}
	prospects := p.prospects(st)
	held, ready := p.hold(st, need, prospects)
	kept := p.keep(st, held)
	switch {
	case st.job().queue.Policy == nil:
	case ready >= need:
		p.askTickets(st, held, kept)
	default:
		p.askUnknown(st, need, prospects)
	}
}

// askTickets asks for the tickets of a gang that lacks nothing else. Its room is
// reserved from now on, whether or not it was kept.
func (p *pass) askTickets(st *step, held map[*server]int, kept bool) {
	if !p.core.mayAsk(st) || st.asksAbout(held) {
		return
	}
	cost := p.core.askAbout(st, ids(held))
	if p.reserve(st, held, cost) && !kept {
		p.hide(st, held)
	}
}

// askUnknown asks where else the gang may run: what is held may stay full for
// long, while other servers that may be allowed have room.
func (p *pass) askUnknown(st *step, need int, prospects []prospect) {
	for p.core.mayAsk(st) {
		chosen := p.unknown(st, need, prospects)
		if len(chosen) == 0 {
			return
		}
		p.core.askAbout(st, chosen)
	}
}

// asksAbout reports whether an open question of the step names one of the servers.
func (s *step) asksAbout(servers map[*server]int) bool {
	for srv := range servers {
		if s.advice.pending[srv.info.ID] > 0 {
			return true
		}
	}
	return false
}

// ids returns the servers' IDs in order.
func ids(servers map[*server]int) []string {
	out := make([]string, 0, len(servers))
	for s := range servers {
		out = append(out, s.info.ID)
	}
	slices.Sort(out)
	return out
}

// prospects lists the servers that the step may use or has not asked about, the
// one with the most room soon first.
func (p *pass) prospects(st *step) []prospect {
	ranked := p.ranked(st.job().sub.Service)
	out := make([]prospect, 0, len(ranked))
	for _, pr := range ranked {
		if !pr.server.hasLabel(st.spec.Label) || st.advice.refused[pr.server.lifeKey()] {
			continue
		}
		out = append(out, prospect{pr.server, pr.free.Minus(p.held[pr.server])})
	}
	return out
}

// ranked lists a service's servers by the room that they will have soon, once a
// pass.
func (p *pass) ranked(service string) []prospect {
	if ranked, ok := p.soon[service]; ok {
		return ranked
	}
	servers := p.servers(service)
	ranked := make([]prospect, 0, len(servers))
	for _, s := range servers {
		ranked = append(ranked, prospect{s, s.soonFree(p.core.now)})
	}
	slices.SortStableFunc(ranked, func(x, y prospect) int { return cmp.Compare(y.free.CPU, x.free.CPU) })
	p.soon[service] = ranked
	return ranked
}

// soonFree returns the free room and the part of each attempt's that its age
// makes likely to be free soon. One that is long overdue is among the few that run
// several times as long as the rest.
func (s *server) soonFree(now time.Time) workload.Resources {
	free := s.free
	for _, a := range s.attempts {
		estimate := a.task.step.expected()
		if a.task.step.spec.LongRunning || estimate <= 0 {
			continue
		}
		age := now.Sub(a.sent)
		if age > overdueTimes*estimate {
			continue
		}
		part := min(float64(age)/float64(estimate), 1)
		free.CPU += int64(part * float64(a.need.CPU))
		free.MemoryMB += int64(part * float64(a.need.MemoryMB))
		free.GPU += int64(part * float64(a.need.GPU))
	}
	return free
}

// hold keeps room for the gang on allowed servers: room that is free now first,
// then room that is likely to be free soon. It returns the members by
// server, and how many of them fit free room now; nil if too few servers are known
// to be allowed.
func (p *pass) hold(st *step, need int, prospects []prospect) (counts map[*server]int, ready int) {
	counts = make(map[*server]int)
	take := func(s *server, n int) {
		if n > 0 {
			counts[s] += n
			need -= n
		}
	}
	total := need
	for _, pr := range prospects {
		if p.allowed(st, pr.server) {
			take(pr.server, min(p.slots(st, pr.server), need))
		}
	}
	ready = total - need
	for _, pr := range prospects {
		if p.allowed(st, pr.server) {
			take(pr.server, min(slotsIn(st, pr.server, pr.free)-counts[pr.server], need))
		}
	}
	if need > 0 {
		return nil, 0
	}
	return counts, ready
}

func (p *pass) allowed(st *step, s *server) bool {
	return st.job().queue.Policy == nil || st.advice.allowed[s.lifeKey()]
}

// keep takes the room of a gang off what less pressing steps see, and reports
// whether it did: not if too much is kept already.
func (p *pass) keep(st *step, members map[*server]int) bool {
	cpu := st.cpuOf(members)
	if p.heldCPU+cpu > p.maxHeld(st) {
		return false
	}
	p.heldCPU += cpu
	p.hide(st, members)
	return true
}

// maxHeld returns the most CPU that may be held on the servers of the step's
// service.
func (p *pass) maxHeld(st *step) int64 {
	service := st.job().sub.Service
	if most, ok := p.holdable[service]; ok {
		return most
	}
	var sum int64
	for _, s := range p.servers(service) {
		sum += s.info.Capacity.CPU
	}
	most := int64(maxHeldPart * float64(sum))
	p.holdable[service] = most
	return most
}

// unknown returns servers to ask about: enough that those allowed are expected
// to hold the gang with room to spare. It returns none while every server was
// asked about. Those that an open question names count, and are not asked about
// again.
func (p *pass) unknown(st *step, need int, prospects []prospect) []string {
	share := p.core.allowanceOf(st.job().queue.Name).share
	want := gangMargin * float64(need)
	least := minAsked
	if st.advice.asking > 0 {
		least = 0
	}
	room := 0
	var out, known []string
	for _, pr := range prospects {
		if len(out)+len(known) >= maxAsked || want <= 0 && len(out) >= least {
			break
		}
		if st.advice.allowed[pr.server.lifeKey()] {
			if n := slotsIn(st, pr.server, pr.server.free.Minus(p.held[pr.server])); n > 0 {
				want -= float64(n)
				room += n
				if st.advice.pending[pr.server.info.ID] == 0 {
					known = append(known, pr.server.info.ID)
				}
			}
			continue
		}
		n := slotsIn(st, pr.server, pr.free)
		want -= share * float64(n)
		room += n
		if st.advice.pending[pr.server.info.ID] == 0 {
			out = append(out, pr.server.info.ID)
		}
	}
	if len(out) == 0 || room < need {
		return nil
	}
	return append(out, known...)
}
