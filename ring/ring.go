// Package ring provides a bounded in-memory queue between goroutines. The
// behaviour of a full queue is chosen when it is created: block, reject the new
// element or drop the oldest one. Daemons use it between producers and consumers
// of different speeds. Stats reports the depth and the number of rejected and
// dropped elements at any time.
package ring

import (
	"context"
	"sync/atomic"
)

// Policy determines what Push does when the ring is full.
type Policy uint8

const (
	// Block makes Push wait until there is space or its context ends.
	Block Policy = iota
	// Reject makes Push return false immediately.
	Reject
	// DropOldest makes Push discard the oldest element.
	DropOldest
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"block", "reject", "drop_oldest"}[p]
}

// Ring is a bounded FIFO queue for any number of producers and consumers.
type Ring[T any] struct {
	name     string
	policy   Policy
	ch       chan T
	pushed   atomic.Uint64
	rejected atomic.Uint64
	dropped  atomic.Uint64
}

// New returns a ring that holds at most capacity elements. Capacity must be
// positive.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{name: name, policy: policy, ch: make(chan T, capacity)}
}

// Push adds v and reports whether it was added. Only the Block policy waits; it
// returns false if ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, v T) bool {
	select {
	case r.ch <- v:
		r.pushed.Add(1)
		return true
	default:
	}
	switch r.policy {
	case Reject:
		r.rejected.Add(1)
		return false
	case DropOldest:
		r.pushDroppingOldest(v)
		return true
	}
	return r.pushBlocking(ctx, v)
}

func (r *Ring[T]) pushBlocking(ctx context.Context, v T) bool {
	select {
	case r.ch <- v:
		r.pushed.Add(1)
		return true
	case <-ctx.Done():
		r.rejected.Add(1)
		return false
	}
}

func (r *Ring[T]) pushDroppingOldest(v T) {
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

// C returns the channel that consumers receive from.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Stats is a snapshot of a ring's depth and counters. Rejected counts the
// elements that Push returned false for; Dropped counts the elements discarded
// by DropOldest.
type Stats struct {
	Name     string `json:"name"`
	Policy   string `json:"policy"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	Pushed   uint64 `json:"pushed"`
	Rejected uint64 `json:"refused"`
	Dropped  uint64 `json:"dropped"`
}

// Stats returns the current depth and counters. They are read one by one, so
// that concurrent calls of Push may be counted in part.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Name: r.name, Policy: r.policy.String(),
		Depth: len(r.ch), Capacity: cap(r.ch),
		Pushed: r.pushed.Load(), Rejected: r.rejected.Load(), Dropped: r.dropped.Load(),
	}
}
