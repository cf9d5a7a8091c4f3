package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// callerTime is the time that a caller gives a call, less the margin for the answer.
const callerTime = 2950 * time.Millisecond

// notOwner is the answer of a daemon that does not own the partition, or whose scheduler ended
// before it read the call.
func notOwner() (scheduler.Reply, error) {
	return scheduler.Reply{}, verdict.New(verdict.NotRun, scheduler.ReasonNotOwner, "not this daemon's")
}

// notRead is the answer of an owner that could not read the call in time.
func notRead() (scheduler.Reply, error) {
	return scheduler.Reply{}, verdict.New(verdict.NotRun, scheduler.ReasonTimeout, "not claimed in time")
}

// Guards against answers 504, may have run, to submissions that certainly reached no owner: on
// a day with restarts 829 callers got one and sent nothing else in time. Each row brings one
// failure about that lasts; the last ones show that no more is said than can be proved.
func TestRouter_SubmissionThatReachedNoOwnerWasNotRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		owner   string
		answers script
		want    verdict.Verdict
	}{
		{"no owner is known", "", script{unanswered}, verdict.NotRun},
		{"the owner cannot be reached", "b", script{notSent}, verdict.NotRun},
		{"the owner has given the partition up", "b", script{notOwner}, verdict.NotRun},
		{"the owner does not claim the partition in time", "b", script{notRead}, verdict.NotRun},
		{"the owner cannot be reached, and then gives it up", "b", script{notSent, notOwner}, verdict.NotRun},
		{"a call got no answer, and later ones are not sent", "b", script{unanswered, notSent}, verdict.MayHaveRun},
		{"a later call got no answer", "b", script{notSent, notOwner, unanswered, notSent}, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := scriptedRouter(t, &scriptedPeers{answers: c.answers}, c.owner)
				ctx, cancel := context.WithTimeout(t.Context(), callerTime)
				defer cancel()
				began := time.Now()
				_, err := e.Submit(ctx, &workload.Submission{ID: "00000000000000aa", Queue: "checks", Service: "pool"})
				if got := verdict.Of(err); err == nil || got != c.want {
					t.Errorf("verdict %v (%v), want %v", got, err, c.want)
				}
				if took := time.Since(began); took > ownerSearchTimeout+2*ownerSearchInterval+50*time.Millisecond {
					t.Errorf("answered after %s, want the end of the search, %s", took, ownerSearchTimeout)
				}
			})
		})
	}
}

// A call that is sent when no answer can come in time makes a submission that was not run one
// that may have run.
func TestRouter_SendsNoCallThatCannotBeAnsweredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &scriptedPeers{answers: script{unanswered}}
		e := scriptedRouter(t, peers, "b")
		ctx, cancel := context.WithTimeout(t.Context(), minCallTime/2)
		defer cancel()
		_, err := e.Submit(ctx, &workload.Submission{ID: "00000000000000aa", Queue: "checks", Service: "pool"})
		if err == nil || verdict.Of(err) != verdict.NotRun || verdict.RetryAfterOf(err) == 0 || len(peers.called) > 0 {
			t.Errorf("error %v after calls of %v, want one with verdict %v and a retry delay after none", err, peers.called, verdict.NotRun)
		}
	})
}

// hangingGroup gives one owner at its first lookup, and then no answer.
type hangingGroup struct {
	oneOwner
}

func (g *hangingGroup) Holders(ctx context.Context) ([]partition.Holder, error) {
	if g.looks > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return g.oneOwner.Holders(ctx)
}

// Guards against callers that wait for a lookup of the owners while the store hangs, one 2.5 s
// lookup after another, although the owner that they know is back.
func TestRouter_DoesNotWaitForTheStoreToLookUpOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &scriptedPeers{answers: script{notSent, notSent, notSent, replied(scheduler.OutcomeDone)}}
		e := scriptedRouter(t, peers, "b")
		group := &hangingGroup{oneOwner{owners: []string{"b"}}}
		e.o.Member = partition.NewMember(group, "a", time.Second, time.Now, func(error) {}, func() {}, func([]string) bool { return false })
		e.o.Member.Refresh(t.Context())
		time.Sleep(time.Second)
		began := time.Now()
		r, err := submitTo(e, t)
		if err != nil || r.Outcome != scheduler.OutcomeDone {
			t.Errorf("outcome %d, error %v, want it accepted", r.Outcome, err)
		}
		if took := time.Since(began); took > 6*ownerSearchInterval+10*time.Millisecond {
			t.Errorf("accepted after %s, want 3 pauses of %s and as many waits for a lookup", took, ownerSearchInterval)
		}
		time.Sleep(ownerSearchTimeout) // until the lookup ends
	})
}

// The searches for the home, for the layout and for the owner follow one another. Each could
// take ownerSearchTimeout by itself, so that the caller was gone when the last one ended.
func TestRouter_SearchesShareOneTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := scriptedRouter(t, &scriptedPeers{answers: script{notSent}}, "b")
		began := time.Now()
		e.o.Layout = func(string) (shard.Layout, bool) { return shard.Layout{Shards: 1}, time.Since(began) > 2*time.Second }
		_, err := submitTo(e, t)
		if took := time.Since(began); verdict.Of(err) != verdict.NotRun || took > ownerSearchTimeout+4*ownerSearchInterval {
			t.Errorf("%v after %s, want verdict %v after %s", err, took, verdict.NotRun, ownerSearchTimeout)
		}
	})
}

// A submission that its partition has given away was accepted before. That the partition which
// has it cannot be reached does not say that it never runs.
func TestRouter_SubmissionThatWasHandedOverMayHaveRun(t *testing.T) {
	for name, answer := range map[string]func() (scheduler.Reply, error){
		"unreachable": notSent, "not there yet": replied(scheduler.OutcomeNotFound),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := scriptedRouter(t, &scriptedPeers{answers: script{answer}}, "b")
				sub := &workload.Submission{ID: "00000000000000aa", Queue: "checks", Service: "pool"}
				at := scheduler.Reply{Outcome: scheduler.OutcomeForwarded, Number: 1}
				_, err := e.follow(t.Context(), methodSubmit, call{Service: "pool", ID: sub.ID, Submission: sub}, at)
				if err == nil || verdict.Of(err) != verdict.MayHaveRun {
					t.Errorf("error %v, want verdict %v", err, verdict.MayHaveRun)
				}
			})
		})
	}
}

// An owner that waits for its claim must answer that it has not read a call while the other
// daemon still waits, or that daemon takes the answer for lost.
func TestCall_HandlerEndsBeforeTheSenderStopsWaiting(t *testing.T) {
	for _, c := range []struct{ sender, want time.Duration }{
		{0, handleTimeout}, {ownerTimeout, ownerTimeout - ownerReplyMargin}, {100 * time.Millisecond, 50 * time.Millisecond}, {time.Hour, handleTimeout},
	} {
		if got := (call{TimeoutMS: c.sender.Milliseconds()}).handleTime(); got != c.want {
			t.Errorf("a sender that waits %s: the handler ends after %s, want %s", c.sender, got, c.want)
		}
	}
}
