package waitindex_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/currantwinch/currantwinch/internal/waitindex"
	"github.com/currantwinch/currantwinch/workload"
)

type item struct {
	order, number int
	need          workload.Resources
	position      waitindex.Position[*item]
}

func (x *item) Compare(o *item) int {
	return cmp.Or(cmp.Compare(x.order, o.order), cmp.Compare(x.number, o.number))
}

func (x *item) Need() workload.Resources { return x.need }

func (x *item) Position() *waitindex.Position[*item] { return &x.position }

const reasons = 4

// The index finds the items that wait for something without a look at the queue. It must agree
// with a look at all of them after any sequence of changes.
func TestIndex_AgreesWithTheQueue(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var x waitindex.Index[*item]
	var items, removed []*item
	for i := range 8000 {
		switch n := random.IntN(20); {
		case n < 8 || len(items) == 0:
			added := &item{number: i, need: workload.Resources{CPU: 1000 + random.Int64N(9000), MemoryMB: 1000}}
			if len(removed) > 0 && n%2 == 0 {
				added, removed = removed[len(removed)-1], removed[:len(removed)-1]
			}
			added.order = random.IntN(3000)
			x.Insert(added)
			items = append(items, added)
		case n < 12:
			x.Wait(items[random.IntN(len(items))], waitindex.Reason(random.IntN(reasons)))
		case n < 14:
			x.WaitAlso(items[random.IntN(len(items))], 0)
		case n < 18:
			from := random.IntN(len(items))
			to := from + 1
			if random.IntN(100) == 0 {
				// The blocks of many neighbours become empty.
				slices.SortFunc(items, (*item).Compare)
				to = min(from+100, len(items))
			}
			for _, o := range items[from:to] {
				x.Remove(o)
				if o.position.WaitsFor(0) {
					t.Fatalf("change %d: an item waits after it was removed", i)
				}
				removed = append(removed, o)
			}
			items = slices.Delete(items, from, to)
		case len(removed) > 0 && n == 18:
			x.Wait(removed[random.IntN(len(removed))], waitindex.Reason(random.IntN(reasons)))
		case random.IntN(40) == 0:
			slices.SortFunc(items, (*item).Compare)
			x.Rebuild(items)
		}
		if i%20 > 0 {
			continue
		}
		slices.SortFunc(items, (*item).Compare)
		var indexed []*item
		for b := range x.Blocks() {
			indexed = append(indexed, x.BlockItems(b)...)
		}
		if !slices.Equal(indexed, items) {
			t.Fatalf("change %d: %d items in the index, want the %d of the queue in order", i, len(indexed), len(items))
		}
		for r := range waitindex.Reason(reasons) {
			got, _ := x.First(r)
			if want := firstOf(items, func(o *item) bool { return o.position.WaitsFor(r) }); got != want {
				t.Fatalf("change %d, reason %d: got %v, want %v", i, r, got, want)
			}
		}
		free := workload.Resources{CPU: random.Int64N(10_000), MemoryMB: 1000}
		fits := func(o *item) bool { return o.need.Fits(free) }
		got, _ := x.FirstFitting(2, free, fits)
		if want := firstOf(items, func(o *item) bool { return o.position.WaitsFor(2) && fits(o) }); got != want {
			t.Fatalf("change %d, %d free: got %v, want %v", i, free.CPU, got, want)
		}
	}
}

func firstOf(items []*item, accept func(*item) bool) *item {
	if i := slices.IndexFunc(items, accept); i >= 0 {
		return items[i]
	}
	return nil
}
