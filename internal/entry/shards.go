package entry

import (
	"context"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/internal/tenure"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/currantwinch/currantwinch/verdict"
)

// Methods between the owners of a service's shards.
const (
	methodRoom     = "shard.room"
	methodHandOver = "shard.handOver"
	methodHeld     = "shard.held"
	// methodHandsOver is answered by daemons that know the records of a handover, with
	// its ranges of occurrences that are done.
	methodHandsOver = "shard.handsOverRanges"
)

const (
	// handsOverTTL is how long a daemon's answer to methodHandsOver is used. Later,
	// the daemon may run another version.
	handsOverTTL = time.Minute
	// noAnswerTTL is how long a daemon that did not answer is not asked again.
	noAnswerTTL = 5 * time.Second
)

// reasonHandingOver: the submission is on its way to another partition.
const reasonHandingOver verdict.Reason = "handing_over"

// roomCall asks the owner of partition Part whether its shard has capacity for
// submissions of a service.
type roomCall struct {
	Part     int                    `json:"part"`
	Question scheduler.RoomQuestion `json:"question"`
}

// handOverCall hands a submission over to the owner of partition Part.
type handOverCall struct {
	Part     int                `json:"part"`
	Handover scheduler.Handover `json:"handover"`
}

// heldCall asks the owner of partition Part which submissions the partition knows.
type heldCall struct {
	Part int      `json:"part"`
	IDs  []string `json:"ids"`
}

// heldReply tells, for each ID of a heldCall, whether the partition knows it.
type heldReply struct {
	Held []bool `json:"held"`
}

// Shards reaches the owners of a service's other shards on behalf of the owner of one
// partition. It implements scheduler.Shards.
type Shards struct {
	router *Router
	self   int
}

// ShardsOf returns the Shards of the owner of a partition.
func (e *Router) ShardsOf(id partition.ID) *Shards { return &Shards{e, id.Part} }

func (e *Router) handleShardCalls() {
	e.o.Peers.Handle(methodRoom, roles.TypedHandler(reasonBadCall, func(ctx context.Context, _ string, c roomCall) (any, error) {
		return ownerOf(e, c.Part, func(o *scheduler.Engine) (scheduler.RoomAnswer, error) { return o.Room(ctx, c.Question) })
	}))
	e.o.Peers.Handle(methodHandOver, roles.TypedHandler(reasonBadCall, func(ctx context.Context, _ string, c handOverCall) (any, error) {
		return ownerOf(e, c.Part, func(o *scheduler.Engine) (struct{}, error) { return struct{}{}, o.TakeOver(ctx, c.Handover) })
	}))
	e.o.Peers.Handle(methodHeld, roles.TypedHandler(reasonBadCall, func(ctx context.Context, _ string, c heldCall) (any, error) {
		return ownerOf(e, c.Part, func(o *scheduler.Engine) (heldReply, error) {
			held, err := o.Held(ctx, c.IDs)
			return heldReply{held}, err
		})
	}))
	e.o.Peers.Handle(methodHandsOver, roles.TypedHandler(reasonBadCall, func(context.Context, string, struct{}) (any, error) {
		return struct{}{}, nil
	}))
}

// ownerOf passes a call to this daemon's scheduler of a partition.
func ownerOf[T any](e *Router, part int, do func(*scheduler.Engine) (T, error)) (T, error) {
	engine, ok := e.o.Tenures.Engine(partitionID(part))
	if !ok {
		var none T
		return none, verdict.New(verdict.NotRun, scheduler.ReasonNotOwner, "partition %d is not this daemon's", part)
	}
	return do(engine)
}

func partitionID(part int) partition.ID { return partition.ID{Topic: tenure.Topic, Part: part} }

// callOwnerOf calls the owner of a partition once, here or on another daemon.
func callOwnerOf[T any](ctx context.Context, e *Router, part int, method string, params any, local func(*scheduler.Engine) (T, error)) (T, error) {
	if engine, ok := e.o.Tenures.Engine(partitionID(part)); ok {
		return local(engine)
	}
	var answer T
	holder, ok := e.knownHolder(ctx, partitionID(part))
	if !ok {
		return answer, verdict.New(verdict.NotRun, ReasonNoOwner, "partition %d has no owner", part)
	}
	err := e.o.Peers.Call(ctx, holder, method, params, &answer)
	if err != nil {
		e.o.Member.Refresh(ctx)
	}
	return answer, err
}

// knownHolder returns the daemon that holds a partition. It looks the holders up if it knows
// none: a partition may have been assigned since without another sign of it.
func (e *Router) knownHolder(ctx context.Context, id partition.ID) (string, bool) {
	if holder, ok := e.o.Member.Holder(id); ok {
		return holder, true
	}
	e.lookUpOwners(ctx)
	return e.o.Member.Holder(id)
}

// Several implements scheduler.Shards.
func (s *Shards) Several(service string) bool {
	layout, ok := s.router.o.Layout(service)
	return ok && layout.Shards > 1
}

// Locate implements scheduler.Shards.
func (s *Shards) Locate(service, id string) (scheduler.Location, int) {
	layout, ok := s.router.o.Layout(service)
	if !ok {
		return scheduler.LocationUnknown, 0
	}
	parts := s.router.o.PartitionCount
	for number := range layout.Shards {
		if shard.PartitionOf(service, number, parts) == s.self {
			return scheduler.LocationHere, s.self
		}
	}
	return scheduler.LocationElsewhere, shard.PartitionOf(service, layout.ShardOfSubmission(id), parts)
}

// MayHandOver implements scheduler.Shards.
func (s *Shards) MayHandOver() bool {
	return s.router.versions.knownToHandOver(s.router.o.Daemons())
}

// Ask implements scheduler.Shards.
func (s *Shards) Ask(ctx context.Context, q scheduler.RoomQuestion) []scheduler.RoomAnswer {
	e := s.router
	layout, ok := e.o.Layout(q.Service)
	if !ok || layout.Shards < 2 || !e.versions.allHandOver(ctx, e.o.Daemons()) {
		return nil
	}
	parts := make(map[int]bool)
	for number := range layout.Shards {
		parts[shard.PartitionOf(q.Service, number, e.o.PartitionCount)] = true
	}
	delete(parts, s.self)
	var mu sync.Mutex
	var answers []scheduler.RoomAnswer
	var wg sync.WaitGroup
	for part := range parts {
		wg.Go(func() {
			a, err := callOwnerOf(ctx, e, part, methodRoom, roomCall{part, q}, func(o *scheduler.Engine) (scheduler.RoomAnswer, error) { return o.Room(ctx, q) })
			if err != nil {
				// An owner that does not answer has no room. It is asked again.
				return
			}
			a.Partition = part
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	wg.Wait()
	return answers
}

// HandOver implements scheduler.Shards.
func (s *Shards) HandOver(ctx context.Context, part int, h scheduler.Handover) error {
	_, err := callOwnerOf(ctx, s.router, part, methodHandOver, handOverCall{part, h}, func(o *scheduler.Engine) (struct{}, error) {
		return struct{}{}, o.TakeOver(ctx, h)
	})
	return err
}

// Held implements scheduler.Shards.
func (s *Shards) Held(ctx context.Context, part int, ids []string) ([]bool, error) {
	r, err := callOwnerOf(ctx, s.router, part, methodHeld, heldCall{part, ids}, func(o *scheduler.Engine) (heldReply, error) {
		held, err := o.Held(ctx, ids)
		return heldReply{held}, err
	})
	return r.Held, err
}

// follow passes a call on to the partition to which the called one forwards it.
func (e *Router) follow(ctx context.Context, method string, c call, at scheduler.Reply) (scheduler.Reply, error) {
	c.From, c.Part, c.Handover = c.Part, at.Partition, at.Number
	r, err := e.attempt(ctx, method, c)
	if err != nil && method == methodSubmit {
		// It may have been accepted before it was handed over.
		return r, combinedVerdict(err, true)
	}
	if err != nil || r.Outcome != scheduler.OutcomeNotFound || at.Delivered {
		return r, err
	}
	if method == methodStatus {
		return scheduler.Reply{Status: at.Status}, nil
	}
	// The other partition may store it at any moment, and start it.
	return scheduler.Reply{}, verdict.New(verdict.MayHaveRun, reasonHandingOver, "on its way to partition %d", at.Partition).WithRetryAfter(ownerRetryAfter)
}

// versions tracks which daemons know the records of a handover. One that does not, and
// that becomes an owner, would not find a submission that was handed over.
type versions struct {
	call func(ctx context.Context, daemon string) error
	now  func() time.Time

	mu    sync.Mutex
	known map[string]version
	// asking holds the daemons that are being asked in the background.
	asking map[string]bool
}

type version struct {
	// lacks is set if the daemon does not know them.
	lacks bool
	until time.Time
}

func newVersions(peers roles.Peers, now func() time.Time) *versions {
	return &versions{
		call: func(ctx context.Context, daemon string) error {
			return peers.Call(ctx, daemon, methodHandsOver, struct{}{}, &struct{}{})
		},
		now: now, known: make(map[string]version), asking: make(map[string]bool),
	}
}

// allHandOver reports whether every daemon that answers knows the records of a
// handover. Daemons that do not answer own nothing now.
func (v *versions) allHandOver(ctx context.Context, daemons []string) bool {
	var wg sync.WaitGroup
	for _, name := range daemons {
		v.mu.Lock()
		fresh := v.now().Before(v.known[name].until)
		v.mu.Unlock()
		if !fresh {
			wg.Go(func() { v.query(ctx, name) })
		}
	}
	wg.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range daemons {
		if v.known[name].lacks {
			return false
		}
	}
	return true
}

// knownToHandOver reports the same of what is known, and asks the daemons in the background
// of which nothing is.
func (v *versions) knownToHandOver(daemons []string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := true
	for _, name := range daemons {
		known, ok := v.known[name]
		all = all && ok && !known.lacks
		if !v.now().Before(known.until) && !v.asking[name] {
			v.asking[name] = true
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), handleTimeout)
				defer cancel()
				v.query(ctx, name)
			}()
		}
	}
	return all
}

func (v *versions) query(ctx context.Context, daemon string) {
	err := v.call(ctx, daemon)
	got := version{until: v.now().Add(handsOverTTL)}
	if err != nil {
		got.lacks = verdict.ReasonOf(err) == peer.ReasonUnknownMethod
		got.until = v.now().Add(noAnswerTTL)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known[daemon] = got
	delete(v.asking, daemon)
}
