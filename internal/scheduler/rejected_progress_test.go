package scheduler

import (
	"slices"
	"strings"
	"testing"

	"github.com/currantwinch/currantwinch/workload"
)

// runWithCheckpoint submits tasks that end done beside one whose checkpoint has a length.
// It returns the starts of the former, which have ended, and the start of the latter.
func (h *harness) runWithCheckpoint(length int) (done []StartTask, checkpointing StartTask) {
	h.t.Helper()
	plain, long := oneTask(1000), oneTask(1000)
	plain.Count, long.Checkpoints = 4, true
	h.submit(id1, plain, long)
	var ends []RunEnd
	var running []ActiveRun
	for _, a := range h.takeStarts() {
		h.confirmStart(a)
		if a.Order.Task.Step == 0 {
			done = append(done, a)
			ends = append(ends, endOf(a, uint64(len(done)), workload.EndDone))
			continue
		}
		checkpointing = a
		run := runOf(a)
		run.Checkpoint = strings.Repeat("c", length)
		running = append(running, run)
	}
	h.answerPoll("s0", PollResponse{Running: running, Ended: ends})
	return done, checkpointing
}

// Guards against tasks that are done and run again: the checkpoint of one task was longer than
// a record, so that all progress of its submission was rejected, and the ends were acknowledged
// all the same (review case 12, TWICE).
func TestCore_CheckpointLongerThanARecordLosesNothingElse(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.MaxRecordBytes = 2000
	h.takeOver()
	h.answerAllPolls()
	done, checkpointing := h.runWithCheckpoint(3000)
	for key, r := range h.log {
		if n := recordBytes(r); n > h.bounds.MaxRecordBytes {
			t.Errorf("record %q has %d bytes, at most %d", key, n, h.bounds.MaxRecordBytes)
		}
	}
	if got := h.polls["s0"].Request.AckedEnd; got != uint64(len(done)) {
		t.Errorf("ends up to %d are acknowledged, want %d", got, len(done))
	}
	h.takeOver()
	h.answerPoll("s0", PollResponse{Running: []ActiveRun{runOf(checkpointing)}})
	if starts := h.takeStarts(); len(starts) > 0 {
		t.Errorf("the next owner starts %s again", starts[0].Order.Task)
	}
}

// The log rejects progress for a cause that its bound does not tell. Ends that rely on it must
// not be acknowledged, by this write or a later one, before it is stored without checkpoints.
func TestCore_EndsAreNotAcknowledgedBeforeRejectedProgressIsStored(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.holdStores = true
	// The submission itself is stored.
	plain := oneTask(1000)
	plain.Count = 2
	h.submit(id1, plain)
	h.storeAll()
	starts := h.takeStarts()
	for _, a := range starts {
		h.confirmStart(a)
	}
	h.answerPoll("s0", PollResponse{Running: []ActiveRun{runOf(starts[1])}, Ended: []RunEnd{endOf(starts[0], 1, workload.EndDone)}})
	i := slices.IndexFunc(h.stores, func(s Store) bool { return s.Records[0].Key[0] == keyProgress })
	if i < 0 {
		t.Fatal("no progress is written")
	}
	rejected := h.stores[i].WriteID
	h.stores = slices.Delete(h.stores, i, i+1)
	h.do(func(c *Core) { c.WriteRejected(rejected, errRejected) })
	if got := h.polls["s0"].Request.AckedEnd; got != 0 {
		t.Fatalf("end %d is acknowledged, and the log lacks it", got)
	}
	h.storeAll()
	h.do(func(c *Core) { c.Tick() })
	h.storeAll()
	if got := h.core.servers["s0"].storedEnd; got != 1 {
		t.Errorf("ends up to %d count as stored, want 1", got)
	}
	h.holdStores = false
	h.takeOver()
	if j := h.core.jobs[id1]; j.occurrences[0].steps[0].done != 1 {
		t.Errorf("%d tasks are done under the next owner, want 1", j.occurrences[0].steps[0].done)
	}
}
