package scheduler

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// The next owner waits for the leases that were sent, not for those that might
// have been.
func TestCore_InheritedTaskWaitsForTheLeaseOfTheLastOwner(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	start := h.runOne(id1, 1000)
	claim := ClaimRecord(workload.PartitionOwner{Epoch: 1, Daemon: "d", LeaseMS: 4000})
	h.log[claim.Key] = claim
	h.bounds.MaxLease = 10 * time.Second
	h.takeOver()
	h.listAllBut(start.To.ID)
	h.after(5900 * time.Millisecond)
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d starts before this owner's own longest lease", n)
	}
	h.after(800 * time.Millisecond)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts after the longest lease that was sent, want one", n)
	}
}

// A server that left empty keeps nobody waiting after a take-over.
func TestCore_ServerThatLeftEmptyIsForgottenAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	h.servers = h.servers[:1]
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.after(100 * time.Millisecond)
	if _, kept := h.log[string(keyServer)+"s1"]; kept {
		t.Fatal("a server that holds nothing is still recorded after it left")
	}
	h.submit(id1, oneTask(1000))
	h.takeOver()
	h.list("s0", PollResponse{})
	h.after(100 * time.Millisecond)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts after the take-over, want one at once", n)
	}
}

// A draining server that holds nothing is no longer recorded, and is not
// recorded again while it is listed.
func TestCore_DrainedServerKeepsNoOwnerWaiting(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	h.servers[1].Draining = true
	for range 3 {
		h.do(func(c *Core) { c.SetServers(h.servers) })
		h.after(100 * time.Millisecond)
	}
	if _, kept := h.log[string(keyServer)+"s1"]; kept {
		t.Error("a drained server is still recorded")
	}
}

// A drained server is told of its last ends before it is forgotten.
func TestCore_DrainedServerHearsOfItsLastEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.listAll()
	start := h.runOne(id1, 1000)
	h.servers[0].Draining = true
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.list("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	h.after(50 * time.Millisecond)
	if look, ok := h.looks["s0"]; !ok || look.Look.AckedEnd != 1 {
		t.Fatalf("look %+v, want one that tells of the last end", look)
	}
	if _, kept := h.log[string(keyServer)+"s0"]; !kept {
		t.Fatal("forgotten before it heard of its last end")
	}
	h.list("s0", PollResponse{})
	h.after(50 * time.Millisecond)
	if _, kept := h.log[string(keyServer)+"s0"]; kept {
		t.Error("still recorded after it heard of all its ends")
	}
}

// Work that would be lost with its server is stopped for its checkpoint and goes
// on elsewhere; what cannot be resumed is left to end.
func TestCore_EvacuatesALeavingServer(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	saving, plain := oneTask(20000), oneTask(4000)
	saving.Checkpoints = true
	h.submit(id1, saving, plain)
	starts := h.takeStarts()
	if len(starts) != 2 || starts[0].To.ID != starts[1].To.ID {
		t.Fatalf("starts %+v, want two on one server", starts)
	}
	var running []ActiveRun
	for _, s := range starts {
		h.taken(s)
		running = append(running, runOf(s))
	}
	home := starts[0].To.ID
	for i := range h.servers {
		if h.servers[i].ID == home {
			h.servers[i].Draining, h.servers[i].Remaining = true, 4*time.Second
		}
	}
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.after(2 * time.Second)
	if len(h.stops) != 0 {
		t.Fatalf("stops %+v while there is time", h.stops)
	}
	// The list is told again for another server; this one said nothing new.
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.after(time.Second)
	if len(h.stops) != 1 || h.stops[0].Order.Task.Step != 0 {
		t.Fatalf("stops %+v, want that of the task with checkpoints", h.stops)
	}
	h.do(func(c *Core) { c.Stopped(h.stops[0].To, h.stops[0].Order, nil) })
	h.now = h.now.Add(time.Millisecond)
	h.list(home, PollResponse{
		Running: running[1:],
		Ended:   []RunEnd{{Number: 1, Task: starts[0].Order.Task, Run: 1, Kind: workload.EndStopped, Checkpoint: "saved"}},
	})
	h.after(time.Second)
	again := h.takeStarts()
	if len(again) != 1 || again[0].To.ID == home || again[0].Order.Checkpoint != "saved" {
		t.Errorf("started again as %+v, want on the other server from the checkpoint", again)
	}
}

// An owner that hears of its servers before the platform's list is read forgets
// none of them.
func TestCore_ForgetsNoServerBeforeTheListIsRead(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	records := len(h.log)
	h.epoch++
	var kept []partition.Record
	for _, r := range h.log {
		kept = append(kept, r)
	}
	h.core = NewCore(h.epoch, h.bounds, kept, events.Discard(), NewMetrics(metrics.NewSet()), h.now, h.wall)
	h.core.Configure(h.config)
	h.do(func(c *Core) { c.LookAtAll() })
	h.listAll()
	h.after(500 * time.Millisecond)
	if len(h.log) != records {
		t.Errorf("%d records, want the %d that there were", len(h.log), records)
	}
}

// Nobody knows of a start on a server that began anew behind its last owner's
// back. The next owner's runs are above it all the same.
func TestCore_NextOwnerReusesNoRun(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	gang := oneTask(20000)
	gang.Count, gang.Gang = 2, true
	h.submit(id1, gang, oneTask(1000))
	used := 0
	for _, s := range h.takeStarts() {
		h.taken(s)
		used = max(used, s.Order.Run)
	}
	for range 2 {
		h.takeOver()
		for _, s := range h.servers {
			h.list(s.ID, PollResponse{StartedAtMS: int64(2000 * h.epoch)})
		}
		h.after(time.Second)
		starts := h.takeStarts()
		if len(starts) != 3 {
			t.Fatalf("%d starts by the next owner, want 3", len(starts))
		}
		highest := used
		for _, s := range starts {
			if s.Order.Run <= used {
				t.Errorf("%s is started as run %d, which an earlier owner may have used", s.Order.Task, s.Order.Run)
			}
			highest = max(highest, s.Order.Run)
			h.taken(s)
		}
		used = highest
	}
}

// A server that may have begun anew is not told of ends: in its next life the
// same numbers belong to others.
func TestCore_NoEndsToldAcrossASilence(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.ReuseAfter = 2 * time.Second
	h.takeOver()
	h.listAll()
	start := h.runOne(id1, 1000)
	h.list("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	h.list("s0", PollResponse{})
	h.after(3 * time.Second)

	again := h.runOne(id2, 1000)
	if seen := h.looks["s0"].Look.AckedEnd; seen != 0 {
		t.Fatalf("told of end %d on a server not heard for 3 s", seen)
	}
	h.list("s0", PollResponse{StartedAtMS: 5000, Ended: []RunEnd{endOf(again, 1, workload.EndDone)}})
	if got := h.status(id2); got != workload.StatusCompleted {
		t.Errorf("status %q after the end in the server's next life", got)
	}
}

// Within the time that no ID is used again, ends are told at once.
func TestCore_EndsToldWhileTheLifeIsSure(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.ReuseAfter = 2 * time.Second
	h.takeOver()
	h.listAll()
	start := h.runOne(id1, 1000)
	h.list("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if seen := h.looks["s0"].Look.AckedEnd; seen != 1 {
		t.Errorf("told of ends up to %d right after an answer, want 1", seen)
	}
}
