// Package entry accepts callers' calls on any daemon and routes each to the
// owner of its partition, on this daemon or another.
package entry

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/internal/tenure"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
	"golang.org/x/sync/singleflight"
)

const (
	// ownerSearchTimeout limits the search for an owner. A takeover after the
	// loss of a member takes about 1.5 s; the next owner serves the call then.
	ownerSearchTimeout = 2200 * time.Millisecond
	// ownerSearchInterval is the time between two attempts.
	ownerSearchInterval = 60 * time.Millisecond
	// ownerTimeout limits the wait for an owner's answer before the owner is
	// looked up again. Calls are idempotent, so that one that a slow owner
	// still works on may be repeated. It must exceed the time after which an owner
	// refuses what waits for a store that hangs (0.7 s, on a tick of 0.1 s) and
	// ownerReplyMargin, or callers would not learn that the submission did not run.
	ownerTimeout = time.Second
	// ownerReplyMargin is the part of a caller's wait for an owner that is reserved for the
	// owner's answer to arrive. An owner that has not read a call by the beginning of that
	// part answers so. A later answer could not be told from a lost one.
	ownerReplyMargin = 100 * time.Millisecond
	// minCallTime is the least time that must be left for a call to an owner. A call that is
	// sent later gets no answer in time, and its submission may have run.
	minCallTime = 50 * time.Millisecond
	// handleTimeout limits a call by another daemon.
	handleTimeout = 2 * time.Second
	// ownerRetryAfter is the retry delay that callers get when there is no
	// owner. The group usually assigns one within that time.
	ownerRetryAfter = time.Second
)

// Methods between daemons.
const (
	methodSubmit  = "submission.submit"
	methodStatus  = "submission.status"
	methodCancel  = "submission.cancel"
	methodPending = "submission.pending"
)

const (
	// ReasonNoOwner means that no daemon owns the partition now.
	ReasonNoOwner verdict.Reason = "no_owner"
	// ReasonNoLayout means that this daemon does not know the service's shard
	// layout yet.
	ReasonNoLayout verdict.Reason = "no_layout"
	// reasonOutdated means that an owner has refused a submission by an older version of the
	// configuration than that of the daemon that was called.
	reasonOutdated verdict.Reason = "owner_configuration_older"
	// reasonBadCall means that another daemon's call could not be parsed.
	reasonBadCall verdict.Reason = "bad_call"
)

// call is a call between daemons.
type call struct {
	Service string `json:"service"`
	// Part is the partition of the called shard.
	Part  int    `json:"part"`
	ID    string `json:"id,omitempty"`
	Queue string `json:"queue,omitempty"`
	// Address identifies the queue; empty in calls of an earlier version.
	Address workload.QueueAddress `json:"address,omitempty"`
	// ConfigVersion is the version of the configuration of the daemon that calls; 0 if it does not
	// say.
	ConfigVersion uint64 `json:"configVersion,omitempty"`
	// Tenant is the tenant that asks about the submission; empty if there is none.
	Tenant     string               `json:"tenant,omitempty"`
	Submission *workload.Submission `json:"submission,omitempty"`
	// Handover is the number of the handover by which the last partition that passed
	// the call on, which is From, gave the submission away; 0 if none did.
	Handover int `json:"handover,omitempty"`
	From     int `json:"from,omitempty"`
	// TimeoutMS is how long the sender waits for the answer, in milliseconds; 0 if it
	// does not say.
	TimeoutMS int64 `json:"timeoutMS,omitempty"`
}

func (c call) partition() partition.ID { return partitionID(c.Part) }

// Options configures a Router.
type Options struct {
	Member         *partition.Member
	Tenures        *tenure.Manager
	Peers          roles.Peers
	PartitionCount int
	Now            func() time.Time
	// Layout returns a service's shard layout, or false if it is not known.
	Layout func(service string) (shard.Layout, bool)
	Homes  Homes
	// CapHolders knows the first holder of the tenants' caps.
	CapHolders CapHolders
	// Daemons lists the other daemons.
	Daemons func() []string
	// Configuration holds the version in force on this daemon, and learns those of others.
	Configuration Configuration
	// Isolated reports whether neither the store nor another daemon answers
	// this one.
	Isolated func() bool
}

// Homes knows where the submissions of queues are looked for. shard.Manager implements it.
type Homes interface {
	// Home returns the service whose shard decides whether an ID of the queue at an address
	// is new.
	Home(address workload.QueueAddress) (service string, ok bool)
	// StoreHome stores the home of a queue that has none. It leads to service now.
	StoreHome(ctx context.Context, queue shard.Queue, service string) error
	// Services lists the services that ever had a layout.
	Services() []string
}

// Configuration holds the configuration in force, and is told which versions other daemons have.
// configuration.Keeper implements it.
type Configuration interface {
	// Newest returns the configuration in force; nil before the first one.
	Newest() *routing.Configuration
	// Hear records that a daemon has a version.
	Hear(daemon string, version uint64)
}

// Router routes calls to the owners of partitions.
type Router struct {
	o        Options
	versions *versions
	// lookups shares one lookup of the owners among all calls that need one.
	lookups singleflight.Group
}

// New returns a Router and registers its methods with the peers.
func New(o Options) *Router {
	e := &Router{o: o, versions: newVersions(o.Peers, o.Now)}
	e.handleShardCalls()
	e.handleCapCalls()
	for _, method := range []string{methodSubmit, methodStatus, methodCancel, methodPending} {
		o.Peers.Handle(method, e.handle(method))
	}
	return e
}

// callOwner routes a call to the owner of its partition. All calls are
// idempotent, so that one without an answer is repeated with the next owner. A
// submission that is refused after a call without an answer may have run: that call may
// still wait at its daemon, and be accepted after the refusal.
//
// The search began at began and lasts ownerSearchTimeout at most. The verdict of an
// error is NotRun if no owner has read the call, and none will.
func (e *Router) callOwner(ctx context.Context, began time.Time, method string, c call) (scheduler.Reply, error) {
	if _, here := e.o.Tenures.Engine(c.partition()); !here && e.o.Isolated() {
		return scheduler.Reply{}, verdict.New(verdict.NotRun, ReasonNoOwner, "no other daemon answers").WithRetryAfter(ownerRetryAfter)
	}
	mayHaveRun := false
	err := error(verdict.New(verdict.NotRun, ReasonNoOwner, "no time is left to call an owner").WithRetryAfter(ownerRetryAfter))
	for {
		if !mayHaveRun && e.timeLeft(ctx) < minCallTime {
			return scheduler.Reply{}, err
		}
		var r scheduler.Reply
		r, err = e.attempt(ctx, method, c)
		switch {
		case err == nil && method == methodSubmit && r.Outdated(c.Submission.ConfigVersion):
			err = verdict.New(verdict.NotRun, reasonOutdated, "refused by version %d of the configuration, after version %d", r.ConfigVersion, c.Submission.ConfigVersion).WithRetryAfter(ownerRetryAfter)
		case err == nil && mayHaveRun && method == methodSubmit && r.Outcome != scheduler.OutcomeDone:
			return scheduler.Reply{}, refusedAfterNoAnswer(r)
		case err == nil:
			return r, nil
		}
		if verdict.Of(err) != verdict.NotRun {
			mayHaveRun = true
		}
		if ctx.Err() != nil || e.o.Now().Sub(began) > ownerSearchTimeout {
			return scheduler.Reply{}, combinedVerdict(err, mayHaveRun)
		}
		e.lookUpOwners(ctx)
		if !duty.Sleep(ctx, ownerSearchInterval) {
			return scheduler.Reply{}, combinedVerdict(err, mayHaveRun)
		}
	}
}

// timeLeft returns how long the caller still waits.
func (e *Router) timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ownerSearchTimeout
	}
	return deadline.Sub(e.o.Now())
}

// lookUpOwners starts a lookup of the owners, unless one is in progress, and waits for it for
// at most ownerSearchInterval. The store may take seconds to answer, or hang. Meanwhile the
// owner may respond again, or this daemon may become the owner, so that the call is tried
// again without the store's answer.
func (e *Router) lookUpOwners(ctx context.Context) {
	done := e.lookups.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ownerSearchTimeout)
		defer cancel()
		e.o.Member.Refresh(ctx)
		return nil, nil
	})
	timer := time.NewTimer(ownerSearchInterval)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// refusedAfterNoAnswer returns the error of a submission that was refused by r after a
// call of it got no answer. Only a refusal of every call says that it never runs.
func refusedAfterNoAnswer(r scheduler.Reply) error {
	err := verdict.New(verdict.MayHaveRun, verdict.Reason(r.Reason), "refused after a call without an answer")
	return err.WithRetryAfter(time.Duration(r.RetryAfterMS) * time.Millisecond)
}

// combinedVerdict gives a call's error the verdict of all its attempts.
func combinedVerdict(err error, maybe bool) error {
	if maybe && verdict.Of(err) == verdict.NotRun {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonOf(err), RetryAfter: verdict.RetryAfterOf(err), Err: err}
	}
	return err
}

func (e *Router) attempt(ctx context.Context, method string, c call) (scheduler.Reply, error) {
	id := c.partition()
	if _, ok := e.o.Tenures.Engine(id); ok {
		return e.callLocal(ctx, id, method, c)
	}
	holder, ok := e.o.Member.Holder(id)
	if !ok {
		return scheduler.Reply{}, verdict.New(verdict.NotRun, ReasonNoOwner, "partition %d has no owner", id.Part).WithRetryAfter(ownerRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	c.TimeoutMS = max(e.timeLeft(ctx), minCallTime).Milliseconds()
	c.ConfigVersion = e.configVersion()
	var r scheduler.Reply
	err := e.o.Peers.Call(ctx, holder, method, c, &r)
	if err == nil {
		e.o.Configuration.Hear(holder, r.ConfigVersion)
	}
	return r, err
}

// configVersion returns the version of the configuration in force; 0 before the first one.
func (e *Router) configVersion() uint64 {
	if config := e.o.Configuration.Newest(); config != nil {
		return config.Version
	}
	return 0
}

// callLocal passes a call to this daemon's scheduler, and on to the partition that has
// taken the submission over.
func (e *Router) callLocal(ctx context.Context, id partition.ID, method string, c call) (scheduler.Reply, error) {
	r, err := e.callEngine(ctx, id, method, c)
	switch {
	case err != nil || r.Outcome != scheduler.OutcomeForwarded:
		return r, err
	case r.Number <= c.Handover:
		// The partition gave the submission away earlier, and has not got it back yet.
		return scheduler.Reply{Outcome: scheduler.OutcomeNotFound}, nil
	}
	return e.follow(ctx, method, c, r)
}

func (e *Router) callEngine(ctx context.Context, id partition.ID, method string, c call) (scheduler.Reply, error) {
	engine, ok := e.o.Tenures.Engine(id)
	if !ok {
		return scheduler.Reply{}, verdict.New(verdict.NotRun, scheduler.ReasonNotOwner, "partition %d is not this daemon's", id.Part)
	}
	switch method {
	case methodSubmit:
		return engine.Submit(ctx, c.passedOn())
	case methodStatus:
		return engine.Status(ctx, c.reference())
	case methodCancel:
		return engine.Cancel(ctx, c.reference())
	default:
		return engine.Pending(ctx, c.Queue, c.Address)
	}
}

// reference names the submission that a call is about.
func (c call) reference() workload.Reference {
	return workload.Reference{ID: c.ID, Address: c.Address, Service: c.Service, Tenant: c.Tenant}
}

// passedOn returns the submission of a call with how often it was passed on.
func (c call) passedOn() *workload.Submission {
	if c.Handover == 0 {
		return c.Submission
	}
	sub := *c.Submission
	sub.Transfer = &workload.Transfer{Number: c.Handover, From: c.From}
	return &sub
}

// handle returns the handler of another daemon's calls.
func (e *Router) handle(method string) roles.PeerHandler {
	return roles.TypedHandler(reasonBadCall, func(ctx context.Context, from string, c call) (any, error) {
		e.o.Configuration.Hear(from, c.ConfigVersion)
		if method == methodSubmit && c.Submission == nil {
			return nil, verdict.New(verdict.NotRun, reasonBadCall, "no submission")
		}
		ctx, cancel := context.WithTimeout(ctx, c.handleTime())
		defer cancel()
		return e.callLocal(ctx, c.partition(), method, c)
	})
}

// handleTime returns how long the handler of another daemon's call may take, so that its
// answer arrives while that daemon waits.
func (c call) handleTime() time.Duration {
	if c.TimeoutMS <= 0 {
		return handleTimeout
	}
	wait := time.Duration(c.TimeoutMS) * time.Millisecond
	return min(handleTimeout, max(wait-ownerReplyMargin, wait/2))
}
