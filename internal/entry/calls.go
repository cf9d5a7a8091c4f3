package entry

import (
	"context"
	"slices"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// Submit submits to the owner of the submission's home partition and returns its reply. A
// refusal, which is any reply but OutcomeDone, says that no call to an owner was accepted or
// will be. An error has the verdict NotRun if the home is not known, so that no owner was
// called, and else MayHaveRun: only the owner knows whether an attempt through another daemon
// was accepted.
func (e *Router) Submit(ctx context.Context, sub *workload.Submission) (scheduler.Reply, error) {
	home, err := e.home(ctx, sub.Queue, sub.Service)
	if err != nil {
		return scheduler.Reply{}, err
	}
	r, err := e.callShardOwner(ctx, methodSubmit, call{Service: home, ID: sub.ID, Submission: sub})
	if err == nil {
		return r, nil
	}
	unknown := verdict.New(verdict.MayHaveRun, verdict.ReasonOf(err), "%v", err)
	return r, unknown.WithRetryAfter(verdict.RetryAfterOf(err))
}

// home returns the home of a queue that leads to a service now. It stores the home of a
// queue to which nothing was submitted before.
func (e *Router) home(ctx context.Context, queue, service string) (string, error) {
	began := e.o.Now()
	for {
		if home, ok := e.o.Homes.Home(queue); ok {
			return home, nil
		}
		err := e.o.Homes.StoreHome(ctx, queue, service)
		if home, ok := e.o.Homes.Home(queue); ok {
			return home, nil
		}
		if e.o.Now().Sub(began) > ownerSearchTimeout || !duty.Sleep(ctx, ownerSearchInterval) {
			return "", verdict.New(verdict.NotRun, ReasonNoLayout, "no home of queue %q yet: %v", queue, err).WithRetryAfter(ownerRetryAfter)
		}
	}
}

// Status returns the state of a submission.
func (e *Router) Status(ctx context.Context, ref workload.Reference) (scheduler.Reply, error) {
	return e.callHolder(ctx, methodStatus, ref)
}

// Cancel cancels a submission.
func (e *Router) Cancel(ctx context.Context, ref workload.Reference) (scheduler.Reply, error) {
	return e.callHolder(ctx, methodCancel, ref)
}

// callHolder routes a call about one submission to the partition that holds it. The queue's
// home knows of all that were accepted under it. Others may hold a submission that was
// accepted before the home was stored, or under another name of the queue: "not found" is
// replied only if none of them holds it. One that moves meanwhile is found as well, since
// its former partition forwards the call.
func (e *Router) callHolder(ctx context.Context, method string, ref workload.Reference) (scheduler.Reply, error) {
	first := ref.Service
	if home, ok := e.o.Homes.Home(ref.Queue); ok {
		first = home
	}
	asked := make(map[int]bool)
	for _, s := range slices.Concat([]string{first, ref.Service}, e.o.Homes.Services()) {
		layout, ok := e.awaitLayout(ctx, s)
		if !ok {
			return scheduler.Reply{}, noLayout(s)
		}
		part := shard.PartitionOf(s, layout.ShardOfSubmission(ref.ID), e.o.PartitionCount)
		if asked[part] {
			continue
		}
		asked[part] = true
		r, err := e.callOwner(ctx, method, call{Service: s, ID: ref.ID, Tenant: ref.Tenant, Part: part})
		if err != nil || r.Outcome != scheduler.OutcomeNotFound {
			return r, err
		}
	}
	return scheduler.Reply{Outcome: scheduler.OutcomeNotFound}, nil
}

// Pending returns how many submissions of a queue that leads to a service now have not
// started, summed over all partitions that may hold them.
func (e *Router) Pending(ctx context.Context, queue, service string) (scheduler.Reply, error) {
	services := []string{service}
	if home, ok := e.o.Homes.Home(queue); ok && home != service {
		services = append(services, e.o.Homes.Services()...)
	}
	asked := make(map[int]bool)
	for _, s := range services {
		layout, ok := e.awaitLayout(ctx, s)
		if !ok {
			return scheduler.Reply{}, noLayout(s)
		}
		for number := range layout.Shards {
			asked[shard.PartitionOf(s, number, e.o.PartitionCount)] = true
		}
	}
	type part struct {
		reply scheduler.Reply
		err   error
	}
	parts := make(chan part, len(asked))
	for number := range asked {
		go func() {
			r, err := e.callOwner(ctx, methodPending, call{Service: service, Queue: queue, Part: number})
			parts <- part{r, err}
		}()
	}
	var sum scheduler.Reply
	for range asked {
		p := <-parts
		if p.err != nil {
			return scheduler.Reply{}, p.err
		}
		sum.Pending += p.reply.Pending
	}
	return sum, nil
}

func noLayout(service string) error {
	return verdict.New(verdict.NotRun, ReasonNoLayout, "no layout of service %q yet", service).WithRetryAfter(ownerRetryAfter)
}

// callShardOwner routes a call about one submission to the owner of its shard.
func (e *Router) callShardOwner(ctx context.Context, method string, c call) (scheduler.Reply, error) {
	layout, ok := e.awaitLayout(ctx, c.Service)
	if !ok {
		return scheduler.Reply{}, noLayout(c.Service)
	}
	c.Part = shard.PartitionOf(c.Service, layout.ShardOfSubmission(c.ID), e.o.PartitionCount)
	return e.callOwner(ctx, method, c)
}

// awaitLayout returns a service's layout. It waits up to ownerSearchTimeout,
// since a daemon that has just started has not read the layouts yet.
func (e *Router) awaitLayout(ctx context.Context, service string) (shard.Layout, bool) {
	began := e.o.Now()
	for {
		layout, ok := e.o.Layout(service)
		if ok || e.o.Now().Sub(began) > ownerSearchTimeout || !duty.Sleep(ctx, ownerSearchInterval) {
			return layout, ok
		}
	}
}
