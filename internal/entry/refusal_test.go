package entry

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/internal/tenure"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// oneOwner is a group in which one daemon holds the only partition: each of the named
// ones in turn, a look at the group later, and the last one from then on.
type oneOwner struct {
	owners []string
	looks  int
	// unassigned is how many looks show no holder at first.
	unassigned int
}

func (*oneOwner) Join(context.Context, string, uint64, time.Duration) (partition.Assignment, error) {
	return partition.Assignment{}, nil
}
func (*oneOwner) Leave(context.Context, string) error { return nil }
func (g *oneOwner) Holders(context.Context) ([]partition.Holder, error) {
	if g.unassigned > 0 {
		g.unassigned--
		return nil, nil
	}
	owner := g.owners[min(g.looks, len(g.owners)-1)]
	g.looks++
	return []partition.Holder{{ID: partitionID(shard.PartitionOf("pool", 0, 1)), Member: owner}}, nil
}

// scriptedPeers answers the calls of one method one after another.
type scriptedPeers struct {
	answers []func() (scheduler.Reply, error)
	// called are the daemons that were called.
	called []string
}

func (p *scriptedPeers) Handle(string, roles.PeerHandler) {}

func (p *scriptedPeers) Call(_ context.Context, daemon, _ string, _, result any) error {
	answer := p.answers[min(len(p.called), len(p.answers)-1)]
	p.called = append(p.called, daemon)
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

// noConfiguration is that of a daemon before the first version.
type noConfiguration struct{}

func (noConfiguration) Newest() *routing.Configuration { return nil }
func (noConfiguration) Hear(string, uint64)            {}

// scriptedRouter returns a Router whose calls to the owners get the peers' answers.
func scriptedRouter(t *testing.T, peers *scriptedPeers, owners ...string) *Router {
	return routerWith(t, peers, &oneOwner{owners: owners})
}

func routerWith(t *testing.T, peers *scriptedPeers, group *oneOwner) *Router {
	member := partition.NewMember(group, "a", time.Second, time.Now, func(error) {}, func() {}, func([]string) bool { return false })
	member.Refresh(t.Context())
	return New(Options{
		Member: member, Tenures: tenure.New(tenure.Options{Peers: peers, Now: time.Now}), Peers: peers, PartitionCount: 1, Now: time.Now,
		Layout:   func(string) (shard.Layout, bool) { return shard.Layout{Shards: 1}, true },
		Isolated: func() bool { return false },
		Homes:    storedHomes{checksAddress: "pool"},

		Configuration: noConfiguration{},
	})
}

// storedHomes are the homes of queues that are known.
type storedHomes map[workload.QueueAddress]string

const checksAddress workload.QueueAddress = "desk.example/checks/"

func (h storedHomes) Home(address workload.QueueAddress) (string, bool) {
	service, ok := h[address]
	return service, ok
}

func (h storedHomes) StoreHome(_ context.Context, queue shard.Queue, service string) error {
	h[queue.Address] = service
	return nil
}

func (h storedHomes) Services() []string { return []string{"pool"} }

// submitScripted submits through a Router whose owner gives the answers to its calls one
// after another.
func submitScripted(t *testing.T, answers ...func() (scheduler.Reply, error)) (scheduler.Reply, error) {
	return submitTo(scriptedRouter(t, &scriptedPeers{answers: answers}, "b"), t)
}

func submitTo(e *Router, t *testing.T) (scheduler.Reply, error) {
	return e.Submit(t.Context(), &workload.Submission{ID: "00000000000000aa", Queue: "checks", Address: checksAddress, Service: "pool"})
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
		{"no queue after no answer", script{unanswered, replied(scheduler.OutcomeNotFound)}},
		{"invalid after no answer", script{unanswered, replied(scheduler.OutcomeInvalid)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, err := submitScripted(t, c.answers...)
				if verdict.Of(err) != verdict.MayHaveRun {
					t.Errorf("outcome %d, error %v, want an error with verdict %v", r.Outcome, err, verdict.MayHaveRun)
				}
				if reason, after := verdict.ReasonOf(err), verdict.RetryAfterOf(err); reason != "store_down" || after != time.Second {
					t.Errorf("reason %q, retry after %v, want those of the refusal: store_down, 1s", reason, after)
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

// The refusal of a new owner does not say what becomes of a call that the earlier one
// left unanswered: that daemon may own the partition again while the call is queued there.
func TestRouter_RefusalOfTheNextOwnerMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &scriptedPeers{answers: script{unanswered, replied(scheduler.OutcomeRefused)}}
		e := scriptedRouter(t, peers, "b", "c")
		time.Sleep(time.Second)
		r, err := submitTo(e, t)
		if verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("outcome %d, error %v, want an error with verdict %v", r.Outcome, err, verdict.MayHaveRun)
		}
		if want := []string{"b", "c"}; !slices.Equal(peers.called, want) {
			t.Errorf("called %v, want %v", peers.called, want)
		}
	})
}

// A call about an earlier submission has no refusal: that the owner does not know the
// submission is the answer, whatever became of an earlier copy of the call.
func TestRouter_UnknownSubmissionAfterNoAnswerIsPassedOn(t *testing.T) {
	for name, do := range map[string]func(context.Context, *Router) (scheduler.Reply, error){
		"status": func(ctx context.Context, e *Router) (scheduler.Reply, error) {
			return e.Status(ctx, workload.Reference{Queue: "checks", Address: checksAddress, Service: "pool", ID: "00000000000000aa"})
		},
		"cancel": func(ctx context.Context, e *Router) (scheduler.Reply, error) {
			return e.Cancel(ctx, workload.Reference{Queue: "checks", Address: checksAddress, Service: "pool", ID: "00000000000000aa"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := scriptedRouter(t, &scriptedPeers{answers: script{unanswered, replied(scheduler.OutcomeNotFound)}}, "b")
				r, err := do(t.Context(), e)
				if err != nil || r.Outcome != scheduler.OutcomeNotFound {
					t.Errorf("outcome %d, error %v, want outcome %d", r.Outcome, err, scheduler.OutcomeNotFound)
				}
			})
		})
	}
}

// Guards against "no such queue" by an owner that may have an older version of the configuration
// than the daemon that was called: owners of an earlier release say so (issue 63, CONFIG).
func TestRouter_RefusalByAnOlderVersionIsNotPassedOn(t *testing.T) {
	noQueue := func(version uint64) func() (scheduler.Reply, error) {
		return func() (scheduler.Reply, error) {
			return scheduler.Reply{Outcome: scheduler.OutcomeNotFound, Reason: "no_queue", ConfigVersion: version}, nil
		}
	}
	for _, c := range []struct {
		name    string
		answers script
		want    scheduler.Outcome
		notRun  bool
	}{
		{"older, then as new", script{noQueue(4), noQueue(0), replied(scheduler.OutcomeDone)}, scheduler.OutcomeDone, false},
		{"as new", script{noQueue(5)}, scheduler.OutcomeNotFound, false},
		{"newer", script{noQueue(6)}, scheduler.OutcomeNotFound, false},
		{"older all the time", script{noQueue(4)}, scheduler.OutcomeDone, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := scriptedRouter(t, &scriptedPeers{answers: c.answers}, "b")
			ctx, cancel := context.WithTimeout(t.Context(), callerTime)
			defer cancel()
			r, err := e.Submit(ctx, &workload.Submission{ID: "00000000000000aa", Queue: "checks", Address: checksAddress, Service: "pool", ConfigVersion: 5})
			if c.notRun != (err != nil && verdict.Of(err) == verdict.NotRun) || err == nil && r.Outcome != c.want {
				t.Errorf("%s: outcome %d, error %v, want outcome %d, not run %t", c.name, r.Outcome, err, c.want, c.notRun)
			}
		})
	}
}
