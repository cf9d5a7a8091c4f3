package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

const (
	// restartMaxLease is the longest lease that servers grant where they restart, which is
	// longer than owners send.
	restartMaxLease = 10 * time.Second
	// maxLateness is how long after it was sent a call may be carried out by the next
	// instance.
	maxLateness = takeoverSlack
	// restartSeeds is the number of random sequences with restarts.
	restartSeeds = 3000
)

// serverRestarts ends an instance. The next one starts under its ID as soon as it may.
func serverRestarts(s int) tenureEvent {
	return tenureEvent{fmt.Sprintf("s%d crashes and restarts", s), func(w *tenureWorld) {
		v := w.servers[s]
		if !v.downUntil.IsZero() {
			return
		}
		v.downUntil = w.now.Add(w.bounds.ReuseAfter)
		v.runs, v.forbidden, v.ends, v.lastEnd = make(map[runKey]uint64), make(map[workload.TaskID]int), nil, 0
		v.token, v.leaseUntil, v.renewedBy, v.late = 0, 0, 0, nil
		clear(v.told)
	}}
}

// restartIfDue starts the next instance of a server that is down. It carries out the calls
// that were sent just before to the one that has ended.
func (w *tenureWorld) restartIfDue(v *tenureServer) {
	if v.downUntil.IsZero() || w.now.Before(v.downUntil) {
		return
	}
	v.downUntil, v.bornAt = time.Time{}, w.now
	v.startedMS = w.wall()
	v.info.StartedAtMS = v.startedMS
	w.note("%s is back as a new instance", v.info.ID)
	late := v.late
	v.late = nil
	for _, c := range late {
		if w.now.Sub(c.due) <= maxLateness {
			w.carryOutLate(v, c)
		}
	}
	for _, o := range w.owners {
		if o.running && !w.daemons[o.daemon].logAway {
			w.reply(o, func(c *Core) { c.SetServers(w.list()) })
		}
	}
}

// carryOutLate lets a server carry a call out of which nobody hears the answer.
func (w *tenureWorld) carryOutLate(v *tenureServer, c tenureCall) {
	if c.from.epoch < v.token {
		return
	}
	v.token = c.from.epoch
	switch a := c.action.(type) {
	case StartTask:
		key := runKey{a.Order.Task, a.Order.Run}
		if _, there := v.runs[key]; !there {
			// A refusal concerns nobody: the call's sender has given up on it.
			_ = w.begin(v, c.from, a.Order)
		}
	case PollServer:
		w.renew(v, a.Request.LeaseDeadlineMS, c.from.epoch)
	}
}

var newSubmission = tenureEvent{"a submission", func(w *tenureWorld) {
	w.submissions++
	sub := &workload.Submission{
		ID: fmt.Sprintf("%016x", 0x1000+w.submissions), Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(9000)}, Accepted: w.wall(),
	}
	for _, o := range slices.Backward(w.owners) {
		if o.running {
			w.do(o, func(c *Core) { c.Submit(sub, 0, func(Reply) {}) })
			return
		}
	}
}}

// restartEvents is what the random sequences with restarts are made of.
func restartEvents() []tenureEvent {
	out := []tenureEvent{nothing, nothing, newSubmission, newSubmission, newSubmission, serverRestarts(0), serverRestarts(0), serverRestarts(1), serverRestarts(1), listed(0)}
	for d := range tenureUnits - 1 {
		out = append(out, claimBy(d), claimBy(d), restarted(d), paused(d), logAway(d))
		for s := range 2 {
			out = append(out, serverCut(d, s))
		}
	}
	return out
}

func playRestartSeed(t *testing.T, seed uint64, faults tenureFaults) *tenureWorld {
	w := newTenureWorldUnder(t, seed, false, faults, restartMaxLease)
	w.restarts = true
	for _, v := range w.servers {
		v.rate = 0.98 + 0.02*float64(w.rng.IntN(3))
	}
	w.lossy = w.rng.IntN(2) == 0
	events := restartEvents()
	for range 24 {
		w.apply(events[w.rng.IntN(len(events))])
		w.run(time.Duration(w.rng.Int64N(int64(2500 * time.Millisecond))))
	}
	w.run(2 * restartMaxLease)
	return w
}

// Guards against a task that starts while a run of it lasts on an instance that took a call
// meant for the one before, and was granted the longest lease: servers restart under their
// IDs, owners follow each other, and servers are cut off from any of them.
func TestTenureExplore_RestartedServers(t *testing.T) {
	playAllSeeds(t, restartSeeds, func(t *testing.T, seed uint64) *tenureWorld { return playRestartSeed(t, seed, tenureFaults{}) })
}

// Each step of the mend must be needed in some sequence. Sequences that need one are rare, so
// that the search for each begins shortly before one that is known.
func TestTenureExplore_RestartedServersDetectMutations(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	for _, m := range []struct {
		name   string
		faults tenureFaults
		from   uint64
	}{
		{"count the leases that were sent", tenureFaults{countSentLeases: true}, 4600},
		{"count confirmed starts alone", tenureFaults{countAnswered: true}, 23600},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := m.from; seed < m.from+restartSeeds; seed++ {
				if w := playRestartSeed(t, seed, m.faults); w.breach != "" {
					t.Logf("seed %d: %s", seed, w.breach)
					return
				}
			}
			t.Error("mutation not detected")
		})
	}
}
