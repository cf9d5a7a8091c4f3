package rig

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// lossFinish lets a majority of witnesses attest for some seconds beside leases of
	// maxLease.
	lossFinish = 8 * time.Second
	// lossServerCPU leaves room for all work, twice over, on the servers that are left: a task
	// may wait for room.
	lossServerCPU = 24000
	// lostForGood is longer than any play.
	lostForGood = time.Hour
	// watchAfterLoss is how long a play goes on after a loss.
	watchAfterLoss = 20 * time.Second
)

// planLosses returns the actions of one series: a version of the configuration gives all
// queues other names, and some plays other services; late copies of all answered submissions
// arrive; a majority of the daemons is lost for good, together or in two blows, and a server
// of each service with them.
func planLosses(f *fleet, rng *rand.Rand) []action {
	s := &scenario{fleet: f, rng: rng}
	shift := rng.IntN(2)
	s.add(between(rng, 0, time.Second), fmt.Sprintf("all queues are renamed, and lead %d services on", shift), func() { f.configure("renamed", shift) })
	s.add(3*time.Second, "late copies arrive", func() { f.repeat(rng) })
	loss, order := 6*time.Second, rng.Perm(len(f.daemons))
	second := loss
	if s.chance(0.4) {
		second += 3 * time.Second
	}
	for k, i := range order[:len(order)/2+1] {
		d, at := f.daemons[i], loss
		if k > 0 {
			at = second
		}
		s.add(at, fmt.Sprintf("daemon %d is lost for good", i), d.kill)
	}
	for first := 0; first < len(f.servers); first += serversPerService {
		servers := f.servers[first : first+serversPerService]
		s.add(second, "the busiest server of "+servers[0].service+" is lost for good", func() { busiest(servers).restart(lostForGood) })
	}
	s.add(second+watchAfterLoss, "late copies arrive again", func() { f.repeat(rng) })
	slices.SortStableFunc(s.actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return s.actions
}

// busiest returns the server with the most runs.
func busiest(servers []*server) *server {
	return slices.MaxFunc(servers, func(a, b *server) int { return cmp.Compare(a.runCount(), b.runCount()) })
}

func (s *server) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// stranded returns the tasks whose run was lost with its server, and that did not start again
// within a time; none if that is 0.
func (l *ledger) stranded(within time.Duration) []string {
	if within == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for task, runs := range l.runs {
		last := slices.MaxFunc(runs, func(a, b *taskRun) int { return cmp.Compare(a.start.UnixNano(), b.start.UnixNano()) })
		if last.how == "gone" && time.Since(last.end) > within {
			out = append(out, fmt.Sprintf("%s: %s was lost at %s, and the task has not started again after %s", task, last, l.at(last.end), time.Since(last.end).Round(time.Second)))
			continue
		}
		for _, r := range runs {
			next := slices.IndexFunc(runs, func(o *taskRun) bool { return o.start.After(r.end) })
			if r.how == "gone" && next >= 0 && runs[next].start.Sub(r.end) > within {
				out = append(out, fmt.Sprintf("%s: %s was lost at %s, and the task started again %s later", task, r, l.at(r.end), runs[next].start.Sub(r.end).Round(time.Millisecond)))
			}
		}
	}
	slices.Sort(out)
	return out
}

// A task that waits too long after its server was lost must be found.
func TestLedger_FindsStrandedTasks(t *testing.T) {
	at := func(s int) time.Time { return time.Now().Add(time.Duration(s-100) * time.Second) }
	l := newLedger(nil)
	l.runs = map[string][]*taskRun{
		"again in time":  {{start: at(1), end: at(2), how: "gone"}, {start: at(10), end: at(20), how: "done"}},
		"again too late": {{start: at(1), end: at(2), how: "gone"}, {start: at(14), end: at(20), how: "done"}},
		"never again":    {{start: at(1), end: at(2), how: "gone"}},
		"done":           {{start: at(1), end: at(2), how: "done"}},
	}
	if got := l.stranded(11 * time.Second); len(got) != 2 {
		t.Errorf("%d tasks found, want 2: %q", len(got), got)
	}
	if got := l.stranded(0); got != nil {
		t.Errorf("%q found without a bound", got)
	}
}
