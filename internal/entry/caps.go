package entry

import (
	"context"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/currantwinch/currantwinch/tenant"
)

// Methods between the owners of all partitions about the tenants' caps.
const (
	methodCapAsk  = "cap.ask"
	methodCapTake = "cap.take"
)

// capAskCall asks the owner of partition Part for a part of a cap.
type capAskCall struct {
	Part     int             `json:"part"`
	Question tenant.Question `json:"question"`
}

// capTakeCall transfers a part of a cap to the owner of partition Part.
type capTakeCall struct {
	Part     int                   `json:"part"`
	Transfer scheduler.CapTransfer `json:"transfer"`
}

// CapHolders knows the first holder of the tenants' caps. shard.Manager implements it.
type CapHolders interface {
	CapHolder() (part int, known, loaded bool)
	StoreCapHolder(ctx context.Context, part int) error
}

// Caps reaches the owners of the other partitions on behalf of the owner of one. It
// implements scheduler.Caps.
type Caps struct {
	router *Router
	self   int
}

// CapsOf returns the Caps of the owner of a partition.
func (e *Router) CapsOf(id partition.ID) *Caps { return &Caps{e, id.Part} }

func (e *Router) handleCapCalls() {
	e.o.Peers.Handle(methodCapAsk, roles.TypedHandler(reasonBadCall, func(ctx context.Context, _ string, c capAskCall) (any, error) {
		return ownerOf(e, c.Part, func(o *scheduler.Engine) (struct{}, error) { return struct{}{}, o.AskCap(ctx, c.Question) })
	}))
	e.o.Peers.Handle(methodCapTake, roles.TypedHandler(reasonBadCall, func(ctx context.Context, _ string, c capTakeCall) (any, error) {
		return ownerOf(e, c.Part, func(o *scheduler.Engine) (struct{}, error) { return struct{}{}, o.TakeCap(ctx, c.Transfer) })
	}))
}

// Holder implements scheduler.Caps.
func (x *Caps) Holder() scheduler.CapHolder {
	part, known, loaded := x.router.o.CapHolders.CapHolder()
	return scheduler.CapHolder{Known: known, First: known && part == x.self, Loaded: loaded}
}

// StoreHolder implements scheduler.Caps.
func (x *Caps) StoreHolder(ctx context.Context) error {
	return x.router.o.CapHolders.StoreCapHolder(ctx, x.self)
}

// Others implements scheduler.Caps.
func (x *Caps) Others() []int {
	e := x.router
	seen := map[int]bool{x.self: true}
	var out []int
	for _, service := range e.o.Homes.Services() {
		layout, _ := e.o.Layout(service)
		for number := range layout.Shards {
			if part := shard.PartitionOf(service, number, e.o.PartitionCount); !seen[part] {
				seen[part] = true
				out = append(out, part)
			}
		}
	}
	return out
}

// Ask implements scheduler.Caps.
func (x *Caps) Ask(ctx context.Context, part int, q tenant.Question) error {
	_, err := callOwnerOf(ctx, x.router, part, methodCapAsk, capAskCall{part, q}, func(o *scheduler.Engine) (struct{}, error) {
		return struct{}{}, o.AskCap(ctx, q)
	})
	return err
}

// Send implements scheduler.Caps.
func (x *Caps) Send(ctx context.Context, part int, t scheduler.CapTransfer) error {
	_, err := callOwnerOf(ctx, x.router, part, methodCapTake, capTakeCall{part, t}, func(o *scheduler.Engine) (struct{}, error) {
		return struct{}{}, o.TakeCap(ctx, t)
	})
	return err
}
