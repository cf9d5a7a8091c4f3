package entry

import (
	"context"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// Submit submits to the owner of the submission's home partition and returns its reply. A
// refusal, which is any reply but OutcomeDone, says that no call to an owner was accepted or
// will be. So does an error with the verdict NotRun, of this request: no owner has read a call
// made for it. What became of another request with the same ID, which got no such answer, only
// the owner knows.
func (e *Router) Submit(ctx context.Context, sub *workload.Submission) (scheduler.Reply, error) {
	began := e.o.Now()
	home, err := e.home(ctx, began, shard.Queue{Address: sub.Address, Name: sub.Queue}, sub.Service)
	if err != nil {
		return scheduler.Reply{}, err
	}
	return e.callShardOwner(ctx, began, methodSubmit, call{Service: home, ID: sub.ID, Submission: sub})
}

// home returns the home of a queue that leads to a service now. It stores the home of a
// queue to which nothing was submitted before. The search for an owner began at began.
func (e *Router) home(ctx context.Context, began time.Time, queue shard.Queue, service string) (string, error) {
	for {
		if home, ok := e.o.Homes.Home(queue.Address); ok {
			return home, nil
		}
		err := e.o.Homes.StoreHome(ctx, queue, service)
		if home, ok := e.o.Homes.Home(queue.Address); ok {
			return home, nil
		}
		if e.o.Now().Sub(began) > ownerSearchTimeout || !duty.Sleep(ctx, ownerSearchInterval) {
			return "", verdict.New(verdict.NotRun, ReasonNoLayout, "no home of queue %q yet: %v", queue.Address, err).WithRetryAfter(ownerRetryAfter)
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
// accepted before the home was stored: "not found" is replied only if none of them holds it.
// One that moves meanwhile is found as well, since its former partition forwards the call.
func (e *Router) callHolder(ctx context.Context, method string, ref workload.Reference) (scheduler.Reply, error) {
	first := ref.Service
	if home, ok := e.o.Homes.Home(ref.Address); ok {
		first = home
	}
	notFound := scheduler.Reply{Outcome: scheduler.OutcomeNotFound}
	asked, began := make(map[int]bool), e.o.Now()
	for _, s := range slices.Concat([]string{first, ref.Service}, e.o.Homes.Services()) {
		layout, ok := e.layoutSince(ctx, began, s)
		if !ok {
			return scheduler.Reply{}, noLayout(s)
		}
		part := shard.PartitionOf(s, layout.ShardOfSubmission(ref.ID), e.o.PartitionCount)
		if asked[part] {
			continue
		}
		asked[part] = true
		r, err := e.callOwner(ctx, began, method, call{Service: s, ID: ref.ID, Address: ref.Address, Tenant: ref.Tenant, Part: part})
		if err != nil || r.Outcome != scheduler.OutcomeNotFound {
			return r, err
		}
		notFound.ConfigVersion = max(notFound.ConfigVersion, r.ConfigVersion)
	}
	return notFound, nil
}

// Pending returns how many submissions of a queue have not started, summed over all partitions
// that may hold them.
func (e *Router) Pending(ctx context.Context, queue *routing.Queue) (scheduler.Reply, error) {
	service := queue.Service
	services := []string{service}
	if home, ok := e.o.Homes.Home(queue.Address()); !ok || home != service {
		services = append(services, e.o.Homes.Services()...)
	}
	asked, began := make(map[int]bool), e.o.Now()
	for _, s := range services {
		layout, ok := e.layoutSince(ctx, began, s)
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
			r, err := e.callOwner(ctx, began, methodPending, call{Service: service, Queue: queue.Name, Address: queue.Address(), Part: number})
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

// callShardOwner routes a call about one submission to the owner of its shard. The search for
// the owner began at began.
func (e *Router) callShardOwner(ctx context.Context, began time.Time, method string, c call) (scheduler.Reply, error) {
	layout, ok := e.layoutSince(ctx, began, c.Service)
	if !ok {
		return scheduler.Reply{}, noLayout(c.Service)
	}
	c.Part = shard.PartitionOf(c.Service, layout.ShardOfSubmission(c.ID), e.o.PartitionCount)
	return e.callOwner(ctx, began, method, c)
}

// awaitLayout returns a service's layout. It waits up to ownerSearchTimeout,
// since a daemon that has just started has not read the layouts yet.
func (e *Router) awaitLayout(ctx context.Context, service string) (shard.Layout, bool) {
	return e.layoutSince(ctx, e.o.Now(), service)
}

// layoutSince does the same as awaitLayout for a search that began at began.
func (e *Router) layoutSince(ctx context.Context, began time.Time, service string) (shard.Layout, bool) {
	for {
		layout, ok := e.o.Layout(service)
		if ok || e.o.Now().Sub(began) > ownerSearchTimeout || !duty.Sleep(ctx, ownerSearchInterval) {
			return layout, ok
		}
	}
}
