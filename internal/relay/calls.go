package relay

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/partition"
)

// Methods between daemons.
const (
	methodAppend = "store.append"
	methodNewest = "store.newest"
	methodRead   = "store.read"
	methodJoin   = "store.join"
	methodLeave  = "store.leave"
	methodShares = "store.shares"
)

// isBulk reports whether the answers of a method may be large.
func isBulk(method string) bool { return method == methodRead || method == methodNewest }

type appendCall struct {
	ID      partition.ID       `json:"id"`
	Fence   partition.Fence    `json:"fence"`
	Records []partition.Record `json:"records"`
}

type newestCall struct {
	ID    partition.ID `json:"id"`
	After string       `json:"after,omitempty"`
}

type readCall struct {
	ID     partition.ID `json:"id"`
	From   uint64       `json:"from"`
	WaitMS int64        `json:"waitMS"`
}

type joinCall struct {
	Member     string `json:"member"`
	Generation uint64 `json:"generation,omitempty"`
	TTLMS      int64  `json:"ttlMS,omitempty"`
}

type emptyMessage struct{}

// Append implements partition.Log.
func (r *Relay) Append(ctx context.Context, id partition.ID, fence partition.Fence, records []partition.Record) error {
	direct := func(ctx context.Context) (emptyMessage, error) {
		return emptyMessage{}, r.direct.Append(ctx, id, fence, records)
	}
	_, err := call(ctx, r, 0, direct, methodAppend, appendCall{id, fence, records})
	return err
}

// ReadLatest implements partition.Log.
func (r *Relay) ReadLatest(ctx context.Context, id partition.ID, after string) (partition.Page, error) {
	direct := func(ctx context.Context) (partition.Page, error) { return r.direct.ReadLatest(ctx, id, after) }
	return call(ctx, r, 0, direct, methodNewest, newestCall{id, after})
}

// Read implements partition.Log.
func (r *Relay) Read(ctx context.Context, id partition.ID, from uint64, wait time.Duration) (partition.Batch, error) {
	direct := func(ctx context.Context) (partition.Batch, error) { return r.direct.Read(ctx, id, from, wait) }
	through := readCall{id, from, min(wait, maxRelayedWait).Milliseconds()}
	return call(ctx, r, wait, direct, methodRead, through)
}

// Join implements partition.Group.
func (r *Relay) Join(ctx context.Context, member string, generation uint64, ttl time.Duration) (partition.Assignment, error) {
	direct := func(ctx context.Context) (partition.Assignment, error) {
		return r.direct.Join(ctx, member, generation, ttl)
	}
	return call(ctx, r, 0, direct, methodJoin, joinCall{member, generation, ttl.Milliseconds()})
}

// Leave implements partition.Group.
func (r *Relay) Leave(ctx context.Context, member string) error {
	direct := func(ctx context.Context) (emptyMessage, error) { return emptyMessage{}, r.direct.Leave(ctx, member) }
	_, err := call(ctx, r, 0, direct, methodLeave, joinCall{Member: member})
	return err
}

// Holders implements partition.Group.
func (r *Relay) Holders(ctx context.Context) ([]partition.Holder, error) {
	return call(ctx, r, 0, r.direct.Holders, methodShares, emptyMessage{})
}

// register registers the methods by which this daemon makes calls for others.
// It makes them only directly.
func (r *Relay) register() {
	handle(r.peers, methodAppend, func(ctx context.Context, c appendCall) (any, error) {
		return emptyMessage{}, r.direct.Append(ctx, c.ID, c.Fence, c.Records)
	})
	handle(r.peers, methodNewest, func(ctx context.Context, c newestCall) (any, error) {
		return r.direct.ReadLatest(ctx, c.ID, c.After)
	})
	handle(r.peers, methodRead, func(ctx context.Context, c readCall) (any, error) {
		return r.direct.Read(ctx, c.ID, c.From, time.Duration(c.WaitMS)*time.Millisecond)
	})
	handle(r.peers, methodJoin, func(ctx context.Context, c joinCall) (any, error) {
		return r.direct.Join(ctx, c.Member, c.Generation, time.Duration(c.TTLMS)*time.Millisecond)
	})
	handle(r.peers, methodLeave, func(ctx context.Context, c joinCall) (any, error) {
		return emptyMessage{}, r.direct.Leave(ctx, c.Member)
	})
	handle(r.peers, methodContact, func(context.Context, emptyMessage) (any, error) {
		return contactReply{Store: !r.suspected()}, nil
	})
	handle(r.peers, methodShares, func(ctx context.Context, _ emptyMessage) (any, error) {
		return r.direct.Holders(ctx)
	})
}

const (
	// relayTimeout limits a call that is made for another daemon.
	relayTimeout = 2 * time.Second
	// maxRelayedWait limits the wait that a relayed read may request from the
	// store. An empty answer shows in time that the route works.
	maxRelayedWait = time.Second
)

func handle[C any](peers roles.Peers, method string, do func(ctx context.Context, c C) (any, error)) {
	peers.Handle(method, roles.TypedHandler("bad_call", func(ctx context.Context, _ string, c C) (any, error) {
		ctx, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		return do(ctx, c)
	}))
}
