package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

var errRejected = verdict.New(verdict.NotRun, partition.ReasonRejected, "record of 300000 bytes, at most 262144")

// A submission that the log cannot hold is refused at once, with the bound, before
// anything is written.
func TestCore_RefusesASubmissionThatTheLogCannotHold(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.MaxRecordBytes = 1000
	h.takeOver()
	h.answerAllPolls()
	long := oneTask(1000)
	long.Image = strings.Repeat("x", 2000)
	reply := h.submit(id1, long)
	if reply.Outcome != OutcomeInvalid || !strings.Contains(reply.Detail, "at most 1000") {
		t.Errorf("reply %+v, want it invalid with the bound", reply)
	}
	if len(h.log[string(keyAccepted)+id1].Value) != 0 || h.status(id1) != "" {
		t.Error("the submission was stored")
	}
}

// The log may reject a write whose size was thought to be fine. Its caller is told so, and
// what waits for the writes around it goes on.
func TestCore_RejectedWriteRefusesItsSubmission(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.holdStores = true
	refused, accepted := h.submit(id1, oneTask(1000)), h.submit(id2, oneTask(1000))
	first := h.stores[0]
	h.stores = h.stores[1:]
	h.do(func(c *Core) { c.WriteRejected(first.WriteID, errRejected) })
	if refused.Outcome != OutcomeInvalid {
		t.Errorf("reply %+v to the submission that was rejected, want it invalid", refused)
	}
	h.holdStores = false
	h.storeAll()
	h.advance(50 * time.Millisecond)
	starts := h.takeStarts()
	if accepted.Outcome != OutcomeDone || len(starts) != 1 || starts[0].Order.Task.Submission != id2 {
		t.Errorf("reply %+v to the other, starts %+v, want it accepted and started alone", accepted, starts)
	}
}

// A server whose record the log rejects is never used, and costs nothing further.
func TestCore_ServerWhoseRecordIsRejectedIsNotUsed(t *testing.T) {
	h := newHarness(t, 0)
	h.holdStores = true
	h.servers = append(h.servers, ServerInfo{ID: "odd", Service: testService, Address: "10.0.0.9:80", Capacity: workload.Resources{CPU: 32000, MemoryMB: 64000}, StartedAtMS: 1000})
	h.do(func(c *Core) { c.SetServers(h.servers) })
	write := h.stores[0]
	h.stores = nil
	h.holdStores = false
	h.do(func(c *Core) { c.WriteRejected(write.WriteID, errRejected) })
	for range 5 {
		h.do(func(c *Core) { c.SetServers(h.servers) })
		h.advance(time.Second)
	}
	if _, stored := h.log[string(keyServer)+"odd"]; stored || len(h.polls) != 0 || len(h.stores) != 0 {
		t.Errorf("polls %v and writes %v for a server without a record, want none", h.polls, h.stores)
	}
	h.servers = nil
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.advance(time.Second)
	if len(h.core.servers) != 0 {
		t.Error("the server is still known after it has left the list")
	}
}

// Progress that is longer than one record is stored in several, and the next owner
// restores all of it. What shrinks leaves no old part behind.
func TestCore_LongProgressIsStoredInParts(t *testing.T) {
	h := newHarness(t, 4)
	h.bounds.MaxRecordBytes = 2000
	h.takeOver()
	h.answerAllPolls()
	wide := oneTask(100)
	wide.Count, wide.Checkpoints, wide.Need.MemoryMB = 200, true, 10
	h.submit(id1, wide)
	starts := h.takeStarts()
	for i, a := range starts {
		h.confirmStart(a)
		a := a
		h.do(func(c *Core) {
			c.saveCheckpoint(c.task(c.jobs[id1], a.Order.Task), fmt.Sprintf("%016x", i))
			c.markDirty(c.jobs[id1])
		})
	}
	parts := 0
	for key, r := range h.log {
		if key[0] != keyProgress {
			continue
		}
		parts++
		if n := recordBytes(r); n > h.bounds.MaxRecordBytes {
			t.Errorf("record %q has %d bytes, at most %d", key, n, h.bounds.MaxRecordBytes)
		}
	}
	if len(starts) != wide.Count || parts < 3 {
		t.Fatalf("%d starts and %d progress records, want %d and several", len(starts), parts, wide.Count)
	}
	h.takeOver()
	for i, a := range starts {
		if got, want := h.core.task(h.core.jobs[id1], a.Order.Task).checkpoint, fmt.Sprintf("%016x", i); got != want {
			t.Fatalf("checkpoint %q of task %s after the take-over, want %q", got, a.Order.Task, want)
		}
	}
	h.do(func(c *Core) { c.Cancel(id1, func(Reply) {}) })
	for key := range h.log {
		if key[0] == keyProgress {
			t.Errorf("record %q is left after the submission has ended", key)
		}
	}
}

// An entry may name the address of a server that is well. It must not end the runs there,
// which would run twice.
func TestCore_EntryWithTheAddressOfASoundServerEndsNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	odd := h.servers[0]
	odd.ID, odd.StartedAtMS = "odd", 9000
	h.servers = append(h.servers, odd)
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.answerPoll("s0", PollResponse{Running: []ActiveRun{runOf(start)}})
	if again := h.takeStarts(); len(again) != 0 {
		t.Errorf("%s started again while its server answers", again[0].Order.Task)
	}
}

// A server that never answers, and on which nothing depends, must not be polled several
// times a second for ever.
func TestCore_PollsAnIdleSilentServerRarely(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	odd := h.servers[0]
	odd.ID, odd.Address = "odd", "10.0.0.99:80"
	h.servers = append(h.servers, odd)
	h.do(func(c *Core) { c.SetServers(h.servers) })
	polls := 0
	var last PollServer
	for range 60 {
		if poll, ok := h.polls["odd"]; ok {
			delete(h.polls, "odd")
			polls, last = polls+1, poll
			h.do(func(c *Core) {
				c.PollCompleted(poll.To, h.now, PollResponse{}, verdict.New(verdict.NotRun, ReasonNoAnswer, "connection refused"))
			})
		}
		h.advance(time.Second)
	}
	if last.Delay < maxIdlePollDelay {
		t.Errorf("polled again after %s for the %dth time, want %s", last.Delay, polls, maxIdlePollDelay)
	}
}
