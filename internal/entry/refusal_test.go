package entry

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/internal/tenure"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// oneOwner is a group in which daemon b holds the only partition.
type oneOwner struct{}

func (oneOwner) Join(context.Context, string, uint64, time.Duration) (partition.Assignment, error) {
	return partition.Assignment{}, nil
}
func (oneOwner) Leave(context.Context, string) error { return nil }
func (oneOwner) Holders(context.Context) ([]partition.Holder, error) {
	return []partition.Holder{{ID: partitionID(shard.PartitionOf("pool", 0, 1)), Member: "b"}}, nil
}

// scriptedPeers answers the calls of one method one after another.
type scriptedPeers struct {
	answers []func() (scheduler.Reply, error)
	calls   int
}

func (p *scriptedPeers) Handle(string, roles.PeerHandler) {}

func (p *scriptedPeers) Call(_ context.Context, _, _ string, _, result any) error {
	answer := p.answers[min(p.calls, len(p.answers)-1)]
	p.calls++
	r, err := answer()
	if err != nil {
		return err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// submitScripted submits through a Router whose owner gives the answers to its calls one
// after another.
func submitScripted(t *testing.T, answers ...func() (scheduler.Reply, error)) (scheduler.Reply, error) {
	peers := &scriptedPeers{answers: answers}
	member := partition.NewMember(oneOwner{}, "a", time.Second, time.Now, func(error) {}, func() {}, func([]string) bool { return false })
	member.Refresh(t.Context())
	e := New(Options{
		Member: member, Tenures: tenure.New(tenure.Options{Peers: peers, Now: time.Now}), Peers: peers, PartitionCount: 1, Now: time.Now,
		Layout:   func(string) (shard.Layout, bool) { return shard.Layout{Shards: 1}, true },
		Isolated: func() bool { return false },
	})
	return e.Submit(t.Context(), &workload.Submission{ID: "00000000000000aa", Service: "pool"})
}

func unanswered() (scheduler.Reply, error) {
	return scheduler.Reply{}, verdict.New(verdict.MayHaveRun, peer.ReasonResponseLost, "no answer")
}

func notSent() (scheduler.Reply, error) {
	return scheduler.Reply{}, verdict.New(verdict.NotRun, peer.ReasonUnreachable, "not sent")
}

func replied(o scheduler.Outcome) func() (scheduler.Reply, error) {
	return func() (scheduler.Reply, error) {
		return scheduler.Reply{Outcome: o, Reason: "store_down", RetryAfterMS: 1000}, nil
	}
}

type script []func() (scheduler.Reply, error)

// A refusal says that the submission never runs. The owner's answer to one call does not
// say so of an earlier call of the same attempt that got no answer: that one may still be
// on its way, or be with another owner, and be accepted after the refusal. The caller
// must learn that the submission may run.
func TestRouter_RefusalAfterUnansweredCallMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers script
	}{
		{"unavailable after no answer", script{unanswered, replied(scheduler.OutcomeUnavailable)}},
		{"refused after no answer", script{unanswered, replied(scheduler.OutcomeRefused)}},
		{"refused after no answer and a call that was not sent", script{unanswered, notSent, replied(scheduler.OutcomeRefused)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, err := submitScripted(t, c.answers...)
				if verdict.Of(err) != verdict.MayHaveRun {
					t.Errorf("outcome %d, error %v, want an error with verdict %v", r.Outcome, err, verdict.MayHaveRun)
				}
			})
		})
	}
}

// The other answers must reach the caller as the owner gave them: a refusal when no call
// before it can have been handled, and an acceptance in any case.
func TestRouter_AnswerOfTheOwnerIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers script
		want    scheduler.Outcome
	}{
		{"accepted after no answer", script{unanswered, replied(scheduler.OutcomeDone)}, scheduler.OutcomeDone},
		{"refused at once", script{replied(scheduler.OutcomeRefused)}, scheduler.OutcomeRefused},
		{"unavailable at once", script{replied(scheduler.OutcomeUnavailable)}, scheduler.OutcomeUnavailable},
		{"refused after a call that was not sent", script{notSent, replied(scheduler.OutcomeRefused)}, scheduler.OutcomeRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, err := submitScripted(t, c.answers...)
				if err != nil || r.Outcome != c.want {
					t.Errorf("outcome %d, error %v, want outcome %d", r.Outcome, err, c.want)
				}
			})
		})
	}
}
