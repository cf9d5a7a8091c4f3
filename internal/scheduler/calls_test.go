package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// An owner is busy, or its loop has ended, when a call comes: the call waits unread until its
// caller gives up. The caller is told that it did not run, and it must have no effect when the
// owner comes to it after all.
func TestEngine_CallThatIsNotReadWasNotRun(t *testing.T) {
	for name, giveUp := range map[string]func(*batchHarness, context.CancelFunc){
		"the caller's time ends": func(_ *batchHarness, cancel context.CancelFunc) { cancel() },
		"the owner ends":         func(h *batchHarness, _ context.CancelFunc) { close(h.engine.done) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newBatchHarness(t, 1)
			close(h.engine.claimed)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			result := make(chan error)
			go func() {
				sub := &workload.Submission{ID: id1, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1000)}}
				_, err := h.engine.call(ctx, func(c *Core, reply func(Reply)) { c.Submit(sub, 0, reply) })
				result <- err
			}()
			ev := <-h.engine.events.C()
			giveUp(h, cancel)
			if err := <-result; err == nil || verdict.Of(err) != verdict.NotRun {
				t.Errorf("error %v, want verdict %v", err, verdict.NotRun)
			}
			h.do(func(c *Core) { ev.apply(c) })
			if h.core.jobs[id1] != nil {
				t.Error("the owner accepts a submission that was said not to have run")
			}
		})
	}
}

// A call that the owner has read may have run, whatever becomes of the owner.
func TestEngine_CallThatIsReadMayHaveRun(t *testing.T) {
	h := newBatchHarness(t, 1)
	h.holdStores = true
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error)
	go func() {
		sub := &workload.Submission{ID: id1, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1000)}}
		_, err := h.engine.call(ctx, func(c *Core, reply func(Reply)) { c.Submit(sub, 0, reply) })
		result <- err
	}()
	ev := <-h.engine.events.C()
	h.do(func(c *Core) { ev.apply(c) })
	cancel()
	if err := <-result; err == nil || verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("error %v, want verdict %v", err, verdict.MayHaveRun)
	}
}

// An owner ends, stopped or replaced, while the records of submissions wait to be sent to a
// slow store. Those are certainly not in the log: their callers are told so, and their daemon
// asks the next owner.
func TestEngine_OwnerThatEndsRefusesWhatItHasNotSent(t *testing.T) {
	h := newBatchHarness(t, 1)
	h.engine.core = h.core
	h.holdStores = true
	result := make(chan error)
	go func() {
		sub := &workload.Submission{ID: id1, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1000)}}
		_, err := h.engine.call(t.Context(), func(c *Core, reply func(Reply)) { c.Submit(sub, 0, reply) })
		result <- err
	}()
	ev := <-h.engine.events.C()
	h.core.SetTime(h.now, h.wall)
	ev.apply(h.core)
	for _, a := range h.core.Finish(true) {
		if s, ok := a.(Store); ok {
			h.engine.writer.Enqueue(s.WriteID, s.Records)
		}
	}
	h.engine.refuseUnsent()
	select {
	case err := <-result:
		if err == nil || verdict.Of(err) != verdict.NotRun || verdict.ReasonOf(err) != ReasonNotOwner {
			t.Errorf("error %v, want verdict %v and reason %q", err, verdict.NotRun, ReasonNotOwner)
		}
	case <-time.After(5 * time.Second):
		t.Error("the caller gets no answer")
	}
}
