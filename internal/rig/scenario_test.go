package rig

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// warmUp is the time before an outage in which servers fill with tasks.
	warmUp = 3 * time.Second
	// burstBefore is how long before an outage tasks start that outlast it.
	burstBefore = time.Second
	// settle is the time after all paths have healed.
	settle = 5 * time.Second
	// latest is how long after the first daemons the store serves the last one.
	latest = 14 * time.Second
)

// action is a part of a scenario, at a time after its start.
type action struct {
	at   time.Duration
	text string
	do   func()
}

// scenario plans one outage with its cuts, from a seed.
type scenario struct {
	fleet *fleet
	rng   *rand.Rand
	// outage is how long the store leaves daemons unanswered.
	outage time.Duration
	// early holds the daemons that the store serves first, late all others.
	early, late []int
	actions     []action
}

// plan returns the actions of one outage. In two of three, the store leaves all daemons
// unanswered; in the others, only those that it also serves late.
func plan(f *fleet, rng *rand.Rand) []action {
	s := &scenario{fleet: f, rng: rng, outage: s9to13(rng)}
	order := rng.Perm(len(f.daemons))
	n := 1 + rng.IntN(max(1, len(order)/3))
	s.early, s.late = order[:n], order[n:]
	all := rng.IntN(3) > 0
	if !all {
		s.outage = 2 * time.Second
	}
	s.add(0, fmt.Sprintf("the store leaves all unanswered (%t) for %s; early %v, late %v", all, s.outage, s.early, s.late), func() { s.lose(all) })
	s.cutPeers()
	s.cutServers()
	s.add(s.outage, "the store serves the early daemons and the servers", s.serveEarly)
	s.serveLate()
	s.ownersInARow()
	s.stopDaemons()
	s.killDaemon()
	s.add(s.outage+latest+time.Second, "all paths heal", s.heal)
	slices.SortStableFunc(s.actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return s.actions
}

func s9to13(rng *rand.Rand) time.Duration { return between(rng, 9*time.Second, 13*time.Second) }

func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

func (s *scenario) add(at time.Duration, text string, do func()) {
	s.actions = append(s.actions, action{at, text, do})
}

// chance reports true in a share of the cases.
func (s *scenario) chance(share float64) bool { return s.rng.Float64() < share }

// lose makes the store leave the late daemons, or all, without answers. Servers cannot
// write their entries while it serves nobody.
func (s *scenario) lose(all bool) {
	f := s.fleet
	for _, d := range s.late {
		f.store.paths[d].set(true)
	}
	if !all {
		return
	}
	f.store.setDown(true)
	for _, d := range s.early {
		f.store.paths[d].set(true)
	}
}

func (s *scenario) serveEarly() {
	s.fleet.store.setDown(false)
	for _, d := range s.early {
		s.fleet.store.paths[d].set(false)
	}
}

// serveLate makes the store serve the late daemons after the early ones. Until then it
// leaves them unanswered, refuses them, or serves them only some partitions.
func (s *scenario) serveLate() {
	store := s.fleet.store
	from := 8 * time.Second
	if s.chance(0.3) {
		from = 2 * time.Second
	}
	for _, d := range s.late {
		if s.chance(0.4) {
			how := refused
			if s.chance(0.5) {
				how = servedPartly
			}
			s.add(s.outage, fmt.Sprintf("the store refuses daemon %d (%d)", d, how), func() {
				store.setService(d, how)
				store.paths[d].set(false)
			})
		}
		s.add(s.outage+between(s.rng, from, latest), fmt.Sprintf("the store serves daemon %d", d), func() {
			store.setService(d, served)
			store.paths[d].set(false)
		})
	}
}

// directions returns both directions of a path, or one of them.
func (s *scenario) directions() []direction {
	switch s.rng.IntN(5) {
	case 0:
		return []direction{forth}
	case 1:
		return []direction{back}
	default:
		return []direction{forth, back}
	}
}

// cutPeers cuts early daemons off from late ones, each pair by itself. In most
// scenarios, all of these pairs are cut.
func (s *scenario) cutPeers() {
	share := 0.6
	if s.chance(0.9) {
		share = 1
	}
	for _, a := range s.early {
		for _, b := range s.late {
			if s.chance(share) {
				p, directions := s.fleet.between[a][b], s.directions()
				s.add(between(s.rng, 0, s.outage), fmt.Sprintf("cut between daemons %d and %d %v", min(a, b), max(a, b), directions), func() { p.set(true, directions...) })
			}
		}
	}
}

// cutServers cuts daemons off from servers, each pair by itself. The servers of most
// services are split: early daemons, which are the next owners, reach some of them, and
// late ones the others. A server that both reach would refuse the earlier owner's orders,
// which then ends.
func (s *scenario) cutServers() {
	for first := 0; first < len(s.fleet.servers); first += serversPerService {
		n := 1 + s.rng.IntN(serversPerService-1)
		split := s.chance(0.8)
		for i, k := range s.rng.Perm(serversPerService) {
			shares := [2]float64{0.4, 0.04}
			switch {
			case split && i < n:
				shares = [2]float64{0, 1}
			case split:
				shares = [2]float64{1, 0.1}
			}
			s.cutServer(s.fleet.servers[first+k], shares)
		}
	}
}

// cutServer cuts early and late daemons off from a server in the shares given.
func (s *scenario) cutServer(server *server, shares [2]float64) {
	for i, daemons := range [][]int{s.early, s.late} {
		for _, d := range daemons {
			if !s.chance(shares[i]) {
				continue
			}
			p, directions := server.paths[d], s.directions()
			if i == 0 && shares[0] == 1 && directions[0] == back {
				// The server would hear the new owner, and refuse the earlier one.
				directions = []direction{forth}
			}
			at := between(s.rng, max(0, s.outage-3*time.Second), s.outage)
			s.add(at, fmt.Sprintf("cut between daemon %d and %s %v", d, server.id, directions), func() { p.set(true, directions...) })
		}
	}
}

// ownersInARow makes an early daemon lose the store again within a lease of its claims,
// so that a late one follows it. Often that one reaches no server that the one before did
// not reach.
func (s *scenario) ownersInARow() {
	if !s.chance(0.4) {
		return
	}
	d, next, same := s.early[0], s.late[s.rng.IntN(len(s.late))], s.chance(0.7)
	at := s.outage + between(s.rng, 2*time.Second, 2*time.Second+2*maxLease)
	s.add(at, fmt.Sprintf("daemon %d loses the store again, which serves daemon %d; it reaches the same servers: %t", d, next, same), func() {
		s.fleet.store.paths[d].set(true)
		s.fleet.store.setService(next, served)
		s.fleet.store.paths[next].set(false)
		for _, server := range s.fleet.servers {
			if same && server.paths[d].cut[forth].Load() {
				server.paths[next].set(true)
			}
		}
	})
	s.add(at+between(s.rng, 2*time.Second, 5*time.Second), fmt.Sprintf("the store serves daemon %d again", d), func() { s.fleet.store.paths[d].set(false) })
}

// stopDaemons stops daemons for seconds, as a frozen VM.
func (s *scenario) stopDaemons() {
	for _, d := range s.fleet.daemons {
		if !s.chance(0.2) {
			continue
		}
		at := between(s.rng, s.outage-2*time.Second, s.outage+5*time.Second)
		s.add(at, fmt.Sprintf("daemon %d is stopped", d.number), func() { d.signal(syscall.SIGSTOP) })
		s.add(at+between(s.rng, time.Second, 5*time.Second), fmt.Sprintf("daemon %d goes on", d.number), func() { d.signal(syscall.SIGCONT) })
	}
}

// killDaemon kills a daemon and starts it again.
func (s *scenario) killDaemon() {
	if !s.chance(0.3) {
		return
	}
	d := s.fleet.daemons[s.rng.IntN(len(s.fleet.daemons))]
	at := between(s.rng, time.Second, s.outage+5*time.Second)
	s.add(at, fmt.Sprintf("daemon %d is killed", d.number), d.kill)
	s.add(at+between(s.rng, 500*time.Millisecond, 3*time.Second), fmt.Sprintf("daemon %d is started again", d.number), func() { s.fleet.start(d) })
}

func (s *scenario) heal() {
	f := s.fleet
	for i, d := range f.daemons {
		f.store.setService(i, served)
		f.store.paths[i].set(false)
		d.signal(syscall.SIGCONT)
		for j := range i {
			f.between[i][j].set(false)
		}
		for _, server := range f.servers {
			server.paths[i].set(false)
		}
	}
}

// play plays a number of plans, while callers hand in submissions.
func play(f *fleet, seed uint64, rounds int, plan func(f *fleet, rng *rand.Rand) []action) {
	rng := rand.New(rand.NewPCG(seed, 38))
	done := make(chan struct{})
	var callers sync.WaitGroup
	var burst sync.Mutex
	next := seed << 32
	hand := func(queue, tasks int, length time.Duration) {
		burst.Lock()
		next++
		id := next
		burst.Unlock()
		callers.Go(func() { f.submit(queue, id, tasks, length) })
	}
	callers.Go(func() { background(rand.New(rand.NewPCG(seed, 39)), done, hand) })
	for range rounds {
		time.Sleep(warmUp - burstBefore)
		for queue := range services {
			for range 4 {
				hand(queue, 3, between(rng, 20*time.Second, 28*time.Second))
			}
		}
		time.Sleep(burstBefore)
		began := time.Now()
		for _, a := range plan(f, rng) {
			time.Sleep(time.Until(began.Add(a.at)))
			f.ledger.note("ACTION %s", a.text)
			a.do()
		}
		time.Sleep(settle)
	}
	close(done)
	callers.Wait()
}

// background hands in small submissions of all lengths until done is closed.
func background(rng *rand.Rand, done <-chan struct{}, hand func(queue, tasks int, length time.Duration)) {
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			hand(rng.IntN(services), 1+rng.IntN(3), between(rng, 3*time.Second, 20*time.Second))
		}
	}
}
