package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/crashloop"
	"github.com/currantwinch/currantwinch/verdict"
)

// failPoll fails the poll of a server that is in flight.
func (h *harness) failPoll(server string, reason verdict.Reason) {
	h.t.Helper()
	poll, ok := h.polls[server]
	if !ok {
		h.t.Fatalf("no poll of %s in flight", server)
	}
	delete(h.polls, server)
	h.do(func(c *Core) {
		c.PollCompleted(poll.To, h.now, PollResponse{}, verdict.New(verdict.NotRun, reason, "%s", reason))
	})
}

// firstTask returns the first task of a submission with one step.
func (h *harness) firstTask(id string) *task {
	return &h.core.jobs[id].occurrences[0].steps[0].tasks[0]
}

// A trial is stored before its start is sent, and the start may be refused. The next owner
// must not count a later crash of that server against a task that never ran there.
func TestCore_RefusedTrialIsNoEvidenceForTheNextOwner(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	first := h.runOne(id1, 1000)
	h.failPoll(first.To.ID, ReasonWrongInstance)
	h.advance(time.Second)
	trials := h.takeStarts()
	if len(trials) != 1 || h.core.trials != 1 {
		t.Fatalf("starts %+v, %d trials, want one trial", trials, h.core.trials)
	}
	refused := trials[0]
	h.do(func(c *Core) {
		c.StartCompleted(refused.To, refused.Order, 0, verdict.New(verdict.NotRun, ReasonNoCapacity, "full"))
	})
	h.takeOver()
	h.failPoll(refused.To.ID, ReasonWrongInstance)
	if got := h.firstTask(id1).crashes.Crashes; len(got) != 1 || got[0].Kind != crashloop.Shared {
		t.Errorf("crashes %+v, want only the shared one of the first run", got)
	}
}

// Several servers crash together and the owner ends. The next one must see one outage, and
// not suspect all tasks that ran there.
func TestCore_NextOwnerSeesAnOutage(t *testing.T) {
	h := newHarness(t, 4)
	h.answerAllPolls()
	servers := h.runOnEach()
	for _, s := range servers {
		h.failPoll(s, ReasonNoAnswer)
	}
	h.advance(time.Second)
	h.takeOver()
	for _, s := range servers {
		h.failPoll(s, ReasonWrongInstance)
	}
	for id := range h.core.jobs {
		got := h.firstTask(id).crashes
		if len(got.Crashes) != 1 || got.Suspect() {
			t.Errorf("task of %s: crashes %+v, suspect %v, want one weak crash", id, got.Crashes, got.Suspect())
		}
	}
}

// A server restarts under its own ID while its owner ends, which had noticed its silence.
// The next owner must learn from the stored instance that the run's instance is over.
func TestCore_NextOwnerSeesARestartUnderTheSameID(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.runOne(id1, 1000)
	h.failPoll("s0", ReasonNoAnswer)
	h.takeOver()
	h.answerPoll("s0", PollResponse{StartedAtMS: 2000})
	if got := h.firstTask(id1).crashes.Crashes; len(got) != 1 {
		t.Errorf("crashes %+v, want 1", got)
	}
}

// A server is silent for a moment and answers as the instance that it was. Neither this
// owner nor the next may count that.
func TestCore_SilenceBeforeATakeoverIsNoCrash(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.failPoll("s0", ReasonNoAnswer)
	h.takeOver()
	h.answerPoll("s0", PollResponse{Running: []ActiveRun{runOf(start)}})
	if task := h.firstTask(id1); len(task.crashes.Crashes) != 0 || task.exposure != nil || task.attempt == nil {
		t.Errorf("crashes %+v, exposure %+v, attempt %+v, want an adopted run and no evidence", task.crashes, task.exposure, task.attempt)
	}
}

// The owner of a trial ends while it is under way. The next one goes on with it: nothing
// else starts on that server, and a crash counts as one in a trial.
func TestCore_NextOwnerGoesOnWithATrial(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	pair := oneTask(1000)
	pair.Count = 2
	h.submit(id1, pair)
	first := h.takeStarts()
	for _, s := range first {
		h.confirmStart(s)
	}
	h.failPoll(first[0].To.ID, ReasonWrongInstance)
	h.advance(time.Second)
	trial := h.takeStarts()
	if len(trial) != 2 || trial[0].To != trial[1].To {
		t.Fatalf("starts %+v, want both tasks on one server", trial)
	}
	list := PollResponse{}
	for _, s := range trial {
		h.confirmStart(s)
		list.Running = append(list.Running, runOf(s))
	}
	h.takeOver()
	server := trial[0].To.ID
	h.answerPoll(server, list)
	if s := h.core.servers[server]; s.trial == nil || len(s.trial.members) != 2 || h.core.trials != 1 {
		t.Fatalf("trial %+v on the server, %d in all, want it adopted with both tasks", s.trial, h.core.trials)
	}
	h.failPoll(server, ReasonWrongInstance)
	for i := range 2 {
		got := h.core.jobs[id1].occurrences[0].steps[0].tasks[i].crashes.Crashes
		if len(got) != 2 || got[1].Kind != crashloop.Alone {
			t.Errorf("task %d: crashes %+v, want a second one in a trial", i, got)
		}
	}
	if h.core.trials != 0 {
		t.Errorf("%d trials under way after the crash, want 0", h.core.trials)
	}
}
