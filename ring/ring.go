// Package ring joins two goroutines by a bounded queue. What happens when the
// queue is full is stated where it is made, and its depth and losses can be
// read at any time.
package ring

import (
	"context"
	"sync/atomic"
)

// Policy says what Push does on a full ring.
type Policy uint8

const (
	// Block makes Push wait for room or for the end of its context.
	Block Policy = iota
	// Reject makes Push return false at once.
	Reject
	// DropOldest makes Push discard the oldest element to make room.
	DropOldest
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"block", "reject", "drop_oldest"}[p]
}

// Ring is a bounded queue for any number of producers and consumers.
type Ring[T any] struct {
	name    string
	policy  Policy
	ch      chan T
	pushed  atomic.Uint64
	refused atomic.Uint64
	dropped atomic.Uint64
}

// New returns a ring that holds at most capacity elements. Capacity must be
// positive.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{name: name, policy: policy, ch: make(chan T, capacity)}
}

// Push adds v and reports whether the ring took it. Only the Block policy
// waits; it returns false when ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, v T) bool {
	select {
	case r.ch <- v:
		r.pushed.Add(1)
		return true
	default:
	}
	switch r.policy {
	case Reject:
		r.refused.Add(1)
		return false
	case DropOldest:
		r.replaceOldest(v)
		return true
	}
	return r.wait(ctx, v)
}

func (r *Ring[T]) wait(ctx context.Context, v T) bool {
	select {
	case r.ch <- v:
		r.pushed.Add(1)
		return true
	case <-ctx.Done():
		r.refused.Add(1)
		return false
	}
}

func (r *Ring[T]) replaceOldest(v T) {
	for {
		select {
		case r.ch <- v:
			r.pushed.Add(1)
			return
		default:
		}
		select {
		case <-r.ch:
			r.dropped.Add(1)
		default:
		}
	}
}

// C returns the channel a consumer receives from.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Stats is a ring's state at one moment.
type Stats struct {
	Name     string `json:"name"`
	Policy   string `json:"policy"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	Pushed   uint64 `json:"pushed"`
	Rejected uint64 `json:"refused"`
	Dropped  uint64 `json:"dropped"`
}

// Stats reads the ring's counters without stopping it.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Name: r.name, Policy: r.policy.String(),
		Depth: len(r.ch), Capacity: cap(r.ch),
		Pushed: r.pushed.Load(), Rejected: r.refused.Load(), Dropped: r.dropped.Load(),
	}
}
