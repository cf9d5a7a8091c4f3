package scheduler

// best returns the server to place a task on: one where the task has not
// failed, then one in the rack of the step's data, then one without capacity
// held for a gang, then one of a suitable speed, then the fullest.
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

func (p *placementPass) preferred(t *task, a, b *server) bool {
	if an, bn := t.failedOn[a.info.ID], t.failedOn[b.info.ID]; an != bn {
		return bn
	}
	st := t.step
	if place := st.placeOf(); place != "" {
		an, bn := a.hasLabel(place), b.hasLabel(place)
		if an != bn {
			return an
		}
	}
	if an, bn := p.heldInLastPass(a), p.heldInLastPass(b); an != bn {
		return bn
	}
	if order := p.compareSpeed(st, a, b); order != 0 {
		return order < 0
	}
	return a.free.CPU < b.free.CPU
}

// heldInLastPass reports whether capacity of s is held for a gang.
func (p *placementPass) heldInLastPass(s *server) bool { return p.core.heldForGangs[s].CPU > 0 }
