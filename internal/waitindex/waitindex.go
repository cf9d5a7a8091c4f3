// Package waitindex keeps queued items in order and says which of them wait for what, so
// that the first item that an event concerns is found without a look at all of them. An
// Index must be used by one goroutine at a time.
package waitindex

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/currantwinch/currantwinch/workload"
)

// Reason is something that an item may wait for, from 0 on.
type Reason uint8

// MaxReasons is the number of reasons that an Index tells apart.
const MaxReasons = 8

const (
	// blockFill is the number of items in a new block; a full block of maxBlock is split.
	blockFill = 32
	maxBlock  = 64
)

// Item is what an Index holds. T is the item's own type.
type Item[T any] interface {
	comparable
	// Compare returns a negative number if the item comes before another one.
	Compare(other T) int
	// Need returns the capacity without which the item cannot go on.
	Need() workload.Resources
	// Position returns the item's position in the index, which the item keeps.
	Position() *Position[T]
}

// Position is an item's position in an Index, and what it waits for. The zero value is that of
// an item which is in no Index and waits for nothing.
type Position[T any] struct {
	block *block[T]
	slot  int
	// waits has a bit for each Reason.
	waits uint8
}

// WaitsFor reports whether the item waits for a reason.
func (p *Position[T]) WaitsFor(r Reason) bool { return p.waits>>r&1 > 0 }

// Add lets the item wait for a reason beside others. The item must be in no Index.
func (p *Position[T]) Add(r Reason) { p.waits |= 1 << r }

// Index holds items in order, as of the last Rebuild; items that came since are inserted.
// The zero value is empty.
type Index[T Item[T]] struct{ blocks []*block[T] }

// block is a run of items in order.
type block[T any] struct {
	items []T
	// waiting has a bit for each item that waits for a reason.
	waiting [MaxReasons]uint64
	// least is, for each resource, the least that any item needs.
	least workload.Resources
}

// Rebuild indexes sorted items anew. What they wait for is kept. An item that is in the Index
// and not among them must have been removed.
func (x *Index[T]) Rebuild(sorted []T) {
	n := 0
	for len(sorted) > 0 {
		if n == len(x.blocks) {
			x.blocks = append(x.blocks, &block[T]{})
		}
		b := x.blocks[n]
		part := sorted[:min(blockFill, len(sorted))]
		sorted = sorted[len(part):]
		clear(b.items)
		b.items = append(b.items[:0], part...)
		renew(b)
		n++
	}
	clear(x.blocks[n:])
	x.blocks = x.blocks[:n]
}

// renew sets what follows from the items of a block.
func renew[T Item[T]](b *block[T]) {
	clear(b.waiting[:])
	for i, item := range b.items {
		p := item.Position()
		p.block, p.slot = b, i
		for r := range b.waiting {
			b.waiting[r] |= uint64(p.waits>>r&1) << i
		}
		need := item.Need()
		if i == 0 {
			b.least = need
			continue
		}
		b.least = workload.Resources{CPU: min(b.least.CPU, need.CPU), MemoryMB: min(b.least.MemoryMB, need.MemoryMB), GPU: min(b.least.GPU, need.GPU)}
	}
}

// Insert adds an item in order.
func (x *Index[T]) Insert(item T) {
	b := x.blockFor(item)
	at := sort.Search(len(b.items), func(i int) bool { return b.items[i].Compare(item) > 0 })
	b.items = slices.Insert(b.items, at, item)
	renew(b)
}

// Remove removes an item, which waits for nothing afterwards. It takes time in proportion to
// the item's block, and to the number of blocks once the last item of a block is removed.
func (x *Index[T]) Remove(item T) {
	p := item.Position()
	b, slot := p.block, p.slot
	*p = Position[T]{}
	if b == nil {
		return
	}
	b.items = slices.Delete(b.items, slot, slot+1)
	if len(b.items) > 0 {
		renew(b)
		return
	}
	// blockFor finds blocks by their first items, so that no block may be empty.
	i := slices.Index(x.blocks, b)
	x.blocks = slices.Delete(x.blocks, i, i+1)
}

// blockFor returns the block to which an item belongs, with room for it.
func (x *Index[T]) blockFor(item T) *block[T] {
	if len(x.blocks) == 0 {
		x.blocks = append(x.blocks, &block[T]{})
	}
	i := max(sort.Search(len(x.blocks), func(i int) bool {
		return len(x.blocks[i].items) > 0 && x.blocks[i].items[0].Compare(item) > 0
	})-1, 0)
	if len(x.blocks[i].items) < maxBlock {
		return x.blocks[i]
	}
	next := x.split(i)
	if next.items[0].Compare(item) <= 0 {
		return next
	}
	return x.blocks[i]
}

// split moves the second half of a block to a new one after it, and returns that.
func (x *Index[T]) split(i int) *block[T] {
	b := x.blocks[i]
	next := &block[T]{items: slices.Clone(b.items[maxBlock/2:])}
	clear(b.items[maxBlock/2:])
	b.items = b.items[:maxBlock/2]
	x.blocks = slices.Insert(x.blocks, i+1, next)
	renew(b)
	renew(next)
	return next
}

// Wait sets what an item waits for, in place of what it did.
func (x *Index[T]) Wait(item T, reasons ...Reason) {
	p := item.Position()
	p.waits = 0
	for _, r := range reasons {
		p.waits |= 1 << r
	}
	if p.block == nil {
		return
	}
	for r := range p.block.waiting {
		p.block.waiting[r] = p.block.waiting[r]&^(1<<p.slot) | uint64(p.waits>>r&1)<<p.slot
	}
}

// WaitAlso lets an item wait for a reason beside what it waits for.
func (x *Index[T]) WaitAlso(item T, r Reason) {
	p := item.Position()
	p.waits |= 1 << r
	if p.block != nil {
		p.block.waiting[r] |= 1 << p.slot
	}
}

// Blocks returns the number of parts into which the items are divided, for BlockItems.
func (x *Index[T]) Blocks() int { return len(x.blocks) }

// BlockItems returns the items of a part, in order. They must not be changed.
func (x *Index[T]) BlockItems(i int) []T { return x.blocks[i].items }

// First returns the first item that waits for any of the reasons, or false.
func (x *Index[T]) First(reasons ...Reason) (item T, ok bool) {
	for _, b := range x.blocks {
		var set uint64
		for _, r := range reasons {
			set |= b.waiting[r]
		}
		if set != 0 {
			return b.items[bits.TrailingZeros64(set)], true
		}
	}
	return item, false
}

// FirstFitting returns the first item that waits for the reason, whose block has an item that
// fits into what is free, and that accept agrees to; or false. Accept must check the item's
// own need.
func (x *Index[T]) FirstFitting(r Reason, free workload.Resources, accept func(T) bool) (item T, ok bool) {
	for _, b := range x.blocks {
		set := b.waiting[r]
		if set == 0 || !b.least.Fits(free) {
			continue
		}
		for ; set != 0; set &= set - 1 {
			if candidate := b.items[bits.TrailingZeros64(set)]; accept(candidate) {
				return candidate, true
			}
		}
	}
	return item, false
}
