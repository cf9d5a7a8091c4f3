package scheduler

// best returns the server to place a task on, or nil if none has capacity. It prefers
// servers on which the task has not failed, then those in the rack of the step's data or
// group, then those without capacity held for a gang, then those of a suitable speed, then
// the one with the least free CPU.
func (p *placementPass) best(t *task, servers []*server) *server {
	var best *server
	p.count.servers += len(servers)
	for _, s := range servers {
		if p.availableSlots(t.step, s) == 0 {
			continue
		}
		if best == nil || p.preferred(t, s, best) {
			best = s
		}
	}
	return best
}

// preferred reports whether server a comes before server b for the task.
func (p *placementPass) preferred(t *task, a, b *server) bool {
	if an, bn := t.failedOn[a.info.ID], t.failedOn[b.info.ID]; an != bn {
		return bn
	}
	st := t.step
	if rack := st.preferredRack(); rack != "" {
		an, bn := a.hasLabel(rack), b.hasLabel(rack)
		if an != bn {
			return an
		}
	}
	if an, bn := p.hasHeldCapacity(a), p.hasHeldCapacity(b); an != bn {
		return bn
	}
	if order := p.compareSpeed(st, a, b); order != 0 {
		return order < 0
	}
	return a.free.CPU < b.free.CPU
}

// hasHeldCapacity reports whether capacity of s is held for a gang.
func (p *placementPass) hasHeldCapacity(s *server) bool { return p.core.heldForGangs[s].CPU > 0 }
