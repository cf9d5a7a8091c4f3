package scheduler

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
)

// fakeForwarder answers every group with a fixed result.
type fakeForwarder struct {
	result StartResult
	mu     sync.Mutex
	groups [][]StartTask
}

func (f *fakeForwarder) Choose(string) (string, bool) { return "other", true }

func (f *fakeForwarder) Forward(_ context.Context, _ string, starts []StartTask) []StartResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.groups = append(f.groups, starts)
	out := make([]StartResult, len(starts))
	for i := range out {
		out[i] = f.result
	}
	return out
}

// newForwardingSender returns an orderSender whose link has been congested.
func newForwardingSender(t *testing.T, servers ServerClient, f StartForwarder) *orderSender {
	s := newTestSender(t, servers)
	s.engine.o.Forwarder = f
	for range 50 {
		s.offload.Observe(true, 10)
	}
	return s
}

// Starts of one submission share most of their text. While the link is the
// bottleneck they leave in one message.
func TestOrderSender_ForwardsStartsOfOneSubmissionTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers, forwarder := &slowServers{}, &fakeForwarder{result: StartResult{ClockMS: 1}}
		s := newForwardingSender(t, servers, forwarder)
		single := startOf(9, 9)
		single.Order.Task.Submission = id2
		resend := startOf(8, 8)
		resend.Attempt = 1
		s.add([]Action{startOf(0, 0), single, startOf(1, 1), resend, startOf(2, 2)})
		s.pump()
		time.Sleep(time.Second)
		synctest.Wait()
		if len(forwarder.groups) != 1 || len(forwarder.groups[0]) != 3 {
			t.Errorf("forwarded %v, want one group of the three starts of one submission", forwarder.groups)
		}
		if starts, _, _ := servers.counts(); starts != 2 {
			t.Errorf("%d starts sent directly, want the single one and the resend", starts)
		}
		for _, ev := range takeEvents(s.engine) {
			if started, ok := ev.(startedEvent); !ok || started.err != nil {
				t.Errorf("got event %+v, want a confirmed start", ev)
			}
		}
	})
}

// A group that certainly was not sent is no refusal of the servers; one without
// an answer may have been sent.
func TestOrderSender_ReportsFailedGroups(t *testing.T) {
	for _, c := range []struct {
		verdict verdict.Verdict
		notSent bool
	}{{verdict.NotRun, true}, {verdict.MayHaveRun, false}} {
		synctest.Test(t, func(t *testing.T) {
			forwarder := &fakeForwarder{result: StartResult{Err: verdict.New(c.verdict, ReasonNoAnswer, "no answer")}}
			s := newForwardingSender(t, &slowServers{}, forwarder)
			s.add([]Action{startOf(0, 0), startOf(1, 1)})
			s.pump()
			synctest.Wait()
			got := takeEvents(s.engine)
			if len(got) != 2 {
				t.Fatalf("%d events, want one for each start", len(got))
			}
			for _, ev := range got {
				if _, notSent := ev.(notSentEvent); notSent != c.notSent {
					t.Errorf("verdict %s: got event %T", c.verdict, ev)
				}
			}
		})
	}
}

// A stop takes its start out of a group that waits.
func TestOrderSender_StopWithdrawsAStartFromItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers, forwarder := &slowServers{}, &fakeForwarder{}
		s := newForwardingSender(t, servers, forwarder)
		s.add([]Action{startOf(0, 0), startOf(1, 1), startOf(2, 2)})
		stopped := startOf(1, 1)
		s.add([]Action{StopTask{To: stopped.To, Order: stopped.Order}})
		s.pump()
		time.Sleep(time.Second)
		synctest.Wait()
		if _, stops, _ := servers.counts(); len(forwarder.groups) != 1 || len(forwarder.groups[0]) != 2 || stops != 0 {
			t.Errorf("forwarded %v and sent %d stops, want two starts and none", forwarder.groups, stops)
		}
	})
}
