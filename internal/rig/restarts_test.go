package rig

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// planRestarts returns the actions of one series: half of the servers of each service restart
// under their IDs, daemons are killed or stopped while owners notice that, and the servers
// are cut off from all daemons for about as long as a lease lasts.
func planRestarts(f *fleet, rng *rand.Rand) []action {
	s := &scenario{fleet: f, rng: rng}
	s.outage = time.Second
	for first := 0; first < len(f.servers); first += serversPerService {
		for _, k := range rng.Perm(serversPerService)[:serversPerService/2] {
			s.restartThenCut(f.servers[first+k])
		}
	}
	for _, i := range rng.Perm(len(f.daemons))[:max(2, len(f.daemons)/2)] {
		d := f.daemons[i]
		at := s.outage + between(rng, 500*time.Millisecond, 2500*time.Millisecond)
		if s.chance(0.3) {
			s.add(at, fmt.Sprintf("daemon %d is stopped", d.number), func() { d.signal(syscall.SIGSTOP) })
			s.add(at+between(rng, time.Second, 4*time.Second), fmt.Sprintf("daemon %d goes on", d.number), func() { d.signal(syscall.SIGCONT) })
			continue
		}
		s.add(at, fmt.Sprintf("daemon %d is killed", d.number), d.kill)
		s.add(at+between(rng, 500*time.Millisecond, 3*time.Second), fmt.Sprintf("daemon %d is started again", d.number), func() { f.start(d) })
	}
	s.add(s.outage+2*restartMaxLease, "all paths heal", s.heal)
	slices.SortStableFunc(s.actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return s.actions
}

// restartThenCut restarts a server, and cuts it off from all daemons soon after it is back.
func (s *scenario) restartThenCut(v *server) {
	at := s.outage + between(s.rng, 0, 300*time.Millisecond)
	down := between(s.rng, 500*time.Millisecond, time.Second)
	s.add(at, fmt.Sprintf("%s restarts, down for %s", v.id, down), func() { v.restart(down) })
	cut := at + down + between(s.rng, 200*time.Millisecond, 2500*time.Millisecond)
	s.add(cut, v.id+" is cut off", func() {
		for _, p := range v.paths {
			p.set(true)
		}
	})
	s.add(cut+between(s.rng, 7*time.Second, 13*time.Second), v.id+" is reached again", func() {
		for _, p := range v.paths {
			p.set(false)
		}
	})
}
