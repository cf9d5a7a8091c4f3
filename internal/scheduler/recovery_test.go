package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// The next owner waits for the longest lease that the platform allows, whatever lease the
// last owner's claim names: a server that restarted has granted it to a call that was meant
// for the instance before.
func TestCore_InheritedTaskWaitsForTheLongestLease(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	claim := ClaimRecord(workload.PartitionOwner{Epoch: 1, Daemon: "d", LeaseMS: 4000})
	h.log[claim.Key] = claim
	h.bounds.MaxLease = 10 * time.Second
	h.takeOver()
	h.answerAllPollsBut(start.To.ID)
	h.advance(10600 * time.Millisecond)
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d starts before the longest lease has passed, want 0", n)
	}
	h.advance(200 * time.Millisecond)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts after the longest lease, want 1", n)
	}
}

// A server that was unlisted while empty must not delay the next owner.
func TestCore_EmptyUnlistedServerIsRemovedAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.servers = h.servers[:1]
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.advance(100 * time.Millisecond)
	if _, kept := h.log[string(keyServer)+"s1"]; kept {
		t.Fatal("an empty server is still recorded after it was unlisted")
	}
	h.submit(id1, oneTask(1000))
	h.takeOver()
	h.answerPoll("s0", PollResponse{})
	h.advance(100 * time.Millisecond)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts right after the takeover, want 1", n)
	}
}

// The record of an empty draining server must be dropped, and not be written
// again while the server is listed.
func TestCore_EmptyDrainingServerIsNotRecorded(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.servers[1].Draining = true
	for range 3 {
		h.do(func(c *Core) { c.SetServers(h.servers) })
		h.advance(100 * time.Millisecond)
	}
	if _, kept := h.log[string(keyServer)+"s1"]; kept {
		t.Error("an empty draining server is still recorded")
	}
}

// A draining server must get the acknowledgement of its last ends before its
// record is dropped.
func TestCore_DrainingServerGetsAcknowledgementBeforeRemoval(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.servers[0].Draining = true
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	h.advance(50 * time.Millisecond)
	if poll, ok := h.polls["s0"]; !ok || poll.Request.AckedEnd != 1 {
		t.Fatalf("poll %+v, want one that acknowledges the last end", poll)
	}
	if _, kept := h.log[string(keyServer)+"s0"]; !kept {
		t.Fatal("record dropped before the last end was acknowledged")
	}
	h.answerPoll("s0", PollResponse{})
	h.advance(50 * time.Millisecond)
	if _, kept := h.log[string(keyServer)+"s0"]; kept {
		t.Error("still recorded after all ends were acknowledged")
	}
}

// Checkpointing tasks on a departing server must be stopped in time and resume
// elsewhere; other tasks run on.
func TestCore_EvacuatesDepartingServer(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	saving, plain := oneTask(20000), oneTask(4000)
	saving.Checkpoints = true
	h.submit(id1, saving, plain)
	starts := h.takeStarts()
	if len(starts) != 2 || starts[0].To.ID != starts[1].To.ID {
		t.Fatalf("starts %+v, want two on one server", starts)
	}
	var running []ActiveRun
	for _, s := range starts {
		h.confirmStart(s)
		running = append(running, runOf(s))
	}
	home := starts[0].To.ID
	for i := range h.servers {
		if h.servers[i].ID == home {
			h.servers[i].Draining, h.servers[i].Remaining = true, 4*time.Second
		}
	}
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.advance(2 * time.Second)
	if len(h.stops) != 0 {
		t.Fatalf("stops %+v before the evacuation lead, want none", h.stops)
	}
	// The list is delivered again because of another server; the entry of this
	// one is unchanged.
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.advance(time.Second)
	if len(h.stops) != 1 || h.stops[0].Order.Task.Step != 0 {
		t.Fatalf("stops %+v, want only the checkpointing task", h.stops)
	}
	h.do(func(c *Core) { c.StopCompleted(h.stops[0].To, h.stops[0].Order, nil) })
	h.now = h.now.Add(time.Millisecond)
	h.answerPoll(home, PollResponse{
		Running: running[1:],
		Ended:   []RunEnd{{Number: 1, Task: starts[0].Order.Task, Run: 1, Kind: workload.EndStopped, Checkpoint: "saved"}},
	})
	h.advance(time.Second)
	again := h.takeStarts()
	if len(again) != 1 || again[0].To.ID == home || again[0].Order.Checkpoint != "saved" {
		t.Errorf("started again as %+v, want on the other server from the checkpoint", again)
	}
}

// An owner whose servers answer before the platform's list is read must keep
// the records of all of them.
func TestCore_RemovesNoServerBeforeListIsRead(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	records := len(h.log)
	h.epoch++
	var kept []partition.Record
	for _, r := range h.log {
		kept = append(kept, r)
	}
	h.core = NewCore(h.epoch, h.bounds, kept, events.Discard(), NewMetrics(metrics.NewSet()), h.now, h.wall)
	h.core.Configure(h.config)
	h.do(func(c *Core) { c.PollAll() })
	h.answerAllPolls()
	h.advance(500 * time.Millisecond)
	if len(h.log) != records {
		t.Errorf("%d records, want all %d kept", len(h.log), records)
	}
}

// Starts are not stored, so that nobody knows of one on a server that restarted
// during a takeover. Run numbers of the next owner must be higher all the same.
func TestCore_NextOwnerReusesNoRunNumber(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	gang := oneTask(20000)
	gang.Count, gang.Gang = 2, true
	h.submit(id1, gang, oneTask(1000))
	used := 0
	for _, s := range h.takeStarts() {
		h.confirmStart(s)
		used = max(used, s.Order.Run)
	}
	for range 2 {
		h.takeOver()
		for _, s := range h.servers {
			h.answerPoll(s.ID, PollResponse{StartedAtMS: int64(2000 * h.epoch)})
			h.relist(s.ID, int64(2000*h.epoch))
		}
		h.advance(time.Second)
		starts := h.takeStarts()
		if len(starts) != 3 {
			t.Fatalf("%d starts by the next owner, want 3", len(starts))
		}
		highest := used
		for _, s := range starts {
			if s.Order.Run <= used {
				t.Errorf("%s started as run %d, which an earlier owner may have used", s.Order.Task, s.Order.Run)
			}
			highest = max(highest, s.Order.Run)
			h.confirmStart(s)
		}
		used = highest
	}
}

// A server that may have restarted must get no acknowledgement, since end
// numbers start again in a new instance.
func TestCore_AcknowledgesNoEndsAfterPollGap(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.ReuseAfter = 2 * time.Second
	h.takeOver()
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	h.answerPoll("s0", PollResponse{})
	h.advance(3 * time.Second)

	again := h.runOne(id2, 1000)
	if seen := h.polls["s0"].Request.AckedEnd; seen != 0 {
		t.Fatalf("end %d acknowledged to a server that has not answered for 3 s", seen)
	}
	h.answerPoll("s0", PollResponse{StartedAtMS: 5000, Ended: []RunEnd{endOf(again, 1, workload.EndDone)}})
	if got := h.status(id2); got != workload.StatusCompleted {
		t.Errorf("status %q after an end in the server's next instance, want completed", got)
	}
}

// Within ReuseAfter/2 of the last answer, ends are acknowledged at once.
func TestCore_AcknowledgesEndsWhileInstanceIsUnchanged(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.ReuseAfter = 2 * time.Second
	h.takeOver()
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if seen := h.polls["s0"].Request.AckedEnd; seen != 1 {
		t.Errorf("acknowledged through end %d right after an answer, want 1", seen)
	}
}

// A server that left may still run and answer. An owner that restarts finds it in
// the partition's records, and must not use it again.
func TestCore_ServerThatLeftGetsNoTasksAfterARestart(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	left := h.runOne(id1, 20000).To.ID
	h.servers = slices.DeleteFunc(h.servers, func(s ServerInfo) bool { return s.ID == left })
	h.takeOver()
	for range 3 {
		for id := range h.polls {
			h.answerPoll(id, PollResponse{})
		}
		h.advance(time.Second)
	}
	many := oneTask(16000)
	many.Count = 4
	h.submit(id2, many)
	starts := h.takeStarts()
	for _, a := range starts {
		if a.To.ID == left {
			t.Errorf("task %s started on %s, which had left", a.Order.Task, left)
		}
	}
	if len(starts) == 0 {
		t.Error("nothing started on the server that stayed")
	}
}

// An owner that never heard from an inherited server has sent it no lease. The owners after
// it must not wait for the longest lease anew, or a task that ran on a server that left waits
// for as long as owners follow each other.
func TestCore_EachNextOwnerDoesNotWaitForTheLeaseAnew(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.takeOver()
	h.answerAllPollsBut(start.To.ID)
	h.advance(8 * time.Second)
	h.takeOver()
	h.answerAllPollsBut(start.To.ID)
	h.advance(4 * time.Second)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts 12 s after the last lease of at most 10 s was sent, want 1", n)
	}
}
