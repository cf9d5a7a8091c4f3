package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// rackLocalKinds are long, middle and short work for 72 servers of 32 cores in racks of 12.
// The given part of the steps names the rack of its data.
func rackLocalKinds(part float64) []workKind {
	return []workKind{
		{queue: routing.Queue{Name: "long", Priority: 1, TargetLatency: 1200 * time.Millisecond}, perSecond: 0.786, steps: 1.2, tasks: 20, runTime: 3400 * time.Millisecond, cpu: 9000, near: part},
		{queue: routing.Queue{Name: "middle", Priority: 2, TargetLatency: 3 * time.Second}, perSecond: 2.24, steps: 1.5, tasks: 25, runTime: 2300 * time.Millisecond, cpu: 3500, near: part},
		{queue: routing.Queue{Name: "short", Priority: 0, TargetLatency: 400 * time.Millisecond}, perSecond: 14.5, steps: 1, tasks: 3, runTime: 680 * time.Millisecond, cpu: 5000, near: part},
	}
}

var server32Cores = workload.Resources{CPU: 32000, MemoryMB: 64000}

// Tasks that start outside the rack of their data for want of a moment's wait take twice as long, and
// so does the capacity that they hold. With waits fewer run remotely, and no more work is late.
func TestLocality_WaitsBringTasksToTheirData(t *testing.T) {
	for _, part := range []float64{0.1, 0.3} {
		var remote, inTime [2]int
		for seed := range uint64(3) {
			for i, factor := range []float64{0, 2} {
				w := newUnevenWorld(t, seed, 72, 12, server32Cores, rackLocalKinds(part), factor)
				w.remoteFactor = 2
				w.run(40*time.Second, 20*time.Second)
				for _, name := range []string{"short", "middle", "long"} {
					t.Logf("%.1f of the steps with a rack, seed %d, waits %t: %s: %s", part, seed, factor > 1, name, w.results[name])
					remote[i] += w.results[name].far
					inTime[i] += w.results[name].inTime
				}
			}
		}
		t.Logf("%.1f of the steps with a rack: %d remote runs before, %d after; %d submissions in time before, %d after", part, remote[0], remote[1], inTime[0], inTime[1])
		if remote[1] > remote[0]*9/10 {
			t.Errorf("%.1f of the steps with a rack: %d remote runs with waits, %d without, want at least a tenth less", part, remote[1], remote[0])
		}
		if inTime[1] < inTime[0]*99/100 {
			t.Errorf("%.1f of the steps with a rack: %d submissions in time with waits, %d without", part, inTime[1], inTime[0])
		}
	}
}

// Where no step prefers a rack, or racks make no difference, every placement must be as before, whatever the factor.
func TestLocality_NothingChangesWithoutPreferredRacks(t *testing.T) {
	for _, part := range []float64{0, 0.3} {
		var placed [][]placedRun
		factors := []float64{0, 3}
		if part > 0 {
			// Steps name racks, and the deployment says that it makes no difference.
			factors = []float64{0, 1}
		}
		for _, factor := range factors {
			w := newUnevenWorld(t, 5, 36, 12, server32Cores, rackLocalKinds(part), factor)
			for k := range w.kinds {
				w.kinds[k].perSecond /= 2
			}
			w.remoteFactor = 1
			w.run(20*time.Second, 0)
			placed = append(placed, w.placed)
		}
		if !slices.Equal(placed[0], placed[1]) {
			t.Errorf("%.1f of the steps with a rack: other placements with factor %v than with %v", part, factors[1], factors[0])
		}
	}
}

// localityHarness returns two servers in two racks, of which the one in the rack of the data is full for
// another left of its run's declared second.
func localityHarness(t *testing.T, factor float64, left time.Duration) *harness {
	h := newHarness(t, 0)
	h.bounds.RemoteFactor = factor
	for i, rack := range []string{"local", "remote"} {
		h.servers = append(h.servers, ServerInfo{
			ID: rack, Service: testService, Address: []string{"10.0.0.1:80", "10.0.0.2:80"}[i], Capacity: workload.Resources{CPU: 32000, MemoryMB: 64000},
			Labels: []string{"a", rack}, StartedAtMS: 1000,
		})
	}
	h.takeOver()
	h.answerAllPolls()
	h.occupy("local", 32000, time.Second-left)
	return h
}

func localTask(estimate time.Duration) workload.Step {
	st := oneTask(1000)
	st.Rack, st.Estimate = "local", estimate
	return st
}

// The wait must end with the local slot, or once it does not pay any more: a run that does
// not end would hold the task for good.
func TestLocality_WaitEnds(t *testing.T) {
	h := localityHarness(t, 2, 300*time.Millisecond)
	h.submit(id1, localTask(2*time.Second))
	if starts := h.takeStarts(); len(starts) != 0 {
		t.Fatalf("started on %s at once, want a wait of 0.3 s to save 2 s", starts[0].To.ID)
	}
	for a := range h.core.servers["local"].attempts {
		h.core.servers["local"].release(h.core.servers["local"].attempts[a])
	}
	h.advance(300 * time.Millisecond)
	if starts := h.takeStarts(); len(starts) != 1 || starts[0].To.ID != "local" {
		t.Errorf("starts %+v once the local slot is free, want one there", starts)
	}

	h = localityHarness(t, 2, 300*time.Millisecond)
	h.submit(id1, localTask(2*time.Second))
	waited := time.Duration(0)
	for ; waited < 5*time.Second && len(h.starts) == 0; waited += 50 * time.Millisecond {
		h.advance(50 * time.Millisecond)
	}
	if waited > 1600*time.Millisecond {
		t.Errorf("waited %v for a slot that does not come, want at most 1.6 s", waited)
	}
}

func TestLocality_NoWaitWhereItDoesNotPay(t *testing.T) {
	gang := localTask(2 * time.Second)
	gang.Gang, gang.Count = true, 2
	for name, c := range map[string]struct {
		factor float64
		step   workload.Step
		left   time.Duration
		change func(h *harness)
	}{
		"no factor":                   {0, localTask(2 * time.Second), 300 * time.Millisecond, nil},
		"the slot comes too late":     {2, localTask(400 * time.Millisecond), 900 * time.Millisecond, nil},
		"a gang that could start":     {2, gang, 300 * time.Millisecond, nil},
		"a long-running task":         {2, func() workload.Step { s := localTask(2 * time.Second); s.LongRunning = true; return s }(), 300 * time.Millisecond, nil},
		"the local server is leaving": {2, localTask(2 * time.Second), 300 * time.Millisecond, func(h *harness) { h.servers[0].Draining = true }},
		"no server is local":          {2, func() workload.Step { s := localTask(2 * time.Second); s.Rack = "elsewhere"; return s }(), 300 * time.Millisecond, nil},
		"the objective leaves no time": {2, localTask(2 * time.Second), 300 * time.Millisecond, func(h *harness) {
			h.config.Queues[0].Stretch, h.config.Queues[0].TargetLatency = 2, 50*time.Millisecond
		}},
		"the local server does not answer": {2, localTask(2 * time.Second), 300 * time.Millisecond, func(h *harness) { h.core.servers["local"].unresponsiveSince = h.now }},
	} {
		h := localityHarness(t, c.factor, c.left)
		if c.change != nil {
			c.change(h)
			h.do(func(core *Core) { core.Configure(h.config); core.SetServers(h.servers) })
		}
		h.submit(id1, c.step)
		if starts := h.takeStarts(); len(starts) == 0 {
			t.Errorf("%s: nothing started, want a remote start at once", name)
		}
	}
}

// Each waiting task must be counted against one local slot: 20 that wait for one would start
// remotely later than at once.
func TestLocality_AsManyWaitAsSlotsAreExpected(t *testing.T) {
	h := localityHarness(t, 2, 300*time.Millisecond)
	step := localTask(2 * time.Second)
	step.Count = 20
	h.submit(id1, step)
	if starts := h.takeStarts(); len(starts) != 19 {
		t.Errorf("%d of 20 tasks start remotely at once, want all but the one for which a slot is expected", len(starts))
	}
}

// A step whose tasks should run in one rack goes to one that has room for all, and a later
// task of it to the rack of the others.
func TestLocality_GroupStaysInOneRack(t *testing.T) {
	h := localityHarness(t, 2, 300*time.Millisecond)
	group := oneTask(8000)
	group.RackSensitive, group.Count = true, 4
	h.submit(id1, group)
	for _, a := range h.takeStarts() {
		if a.To.ID != "remote" {
			t.Errorf("a task starts on %s, want all in the rack with room", a.To.ID)
		}
	}
	if rack := h.core.jobs[id1].occurrences[0].steps[0].preferredRack(); rack != "remote" {
		t.Errorf("rack %q of the group, want the rack of its runs", rack)
	}
}

// Tasks of one service must not be counted against the local slots of another one in the same
// rack: a task that could have waited for a free local slot would run remotely.
func TestLocality_OtherServicesWaitForOtherSlots(t *testing.T) {
	h := localityHarness(t, 2, 300*time.Millisecond)
	other := h.config.Queues[0]
	other.Name, other.Service, other.Priority = "other", "other", -1
	h.config = &routing.Configuration{
		Version: 2, Services: map[string]routing.Service{testService: {Name: testService}, "other": {Name: "other"}}, Queues: append(h.config.Queues, other),
	}
	for i, rack := range []string{"local", "remote"} {
		h.servers = append(h.servers, ServerInfo{
			ID: "other-" + rack, Service: "other", Address: []string{"10.0.1.1:80", "10.0.1.2:80"}[i], Capacity: workload.Resources{CPU: 32000, MemoryMB: 64000},
			Labels: []string{"a", rack}, StartedAtMS: 1000,
		})
	}
	h.do(func(c *Core) { c.Configure(h.config); c.SetServers(h.servers) })
	h.answerAllPolls()
	h.occupy("other-local", 32000, 700*time.Millisecond)
	sub := &workload.Submission{ID: id1, Queue: "other", Service: "other", Spec: "x", Steps: []workload.Step{localTask(2 * time.Second)}, Accepted: h.wall}
	h.do(func(c *Core) { c.Submit(sub, 0, func(Reply) {}) })
	if starts := h.takeStarts(); len(starts) != 0 {
		t.Fatalf("the other service's task started on %s, want a wait for its local slot", starts[0].To.ID)
	}
	h.submit(id2, localTask(2*time.Second))
	if starts := h.takeStarts(); len(starts) != 0 {
		t.Errorf("started on %s while no other task waits for the service's local slot, want a wait", starts[0].To.ID)
	}
}
