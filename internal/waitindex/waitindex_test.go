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
	place         waitindex.Place[*item]
}

func (x *item) Compare(o *item) int {
	return cmp.Or(cmp.Compare(x.order, o.order), cmp.Compare(x.number, o.number))
}

func (x *item) Need() workload.Resources { return x.need }

func (x *item) Place() *waitindex.Place[*item] { return &x.place }

const reasons = 4

// The index finds the items that wait for something without a look at the queue. It must agree
// with a look at all of them after any sequence of changes.
func TestIndex_AgreesWithTheQueue(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var x waitindex.Index[*item]
	var items []*item
	for i := range 4000 {
		switch n := random.IntN(10); {
		case n < 4 || len(items) == 0:
			added := &item{order: random.IntN(3000), number: i, need: workload.Resources{CPU: 1000 + random.Int64N(9000), MemoryMB: 1000}}
			x.Insert(added)
			items = append(items, added)
		case n < 7:
			x.Wait(items[random.IntN(len(items))], waitindex.Reason(random.IntN(reasons)))
		case n < 9:
			x.WaitAlso(items[random.IntN(len(items))], 0)
		case random.IntN(40) == 0:
			slices.SortFunc(items, (*item).Compare)
			x.Rebuild(items)
		}
		if i%20 > 0 {
			continue
		}
		slices.SortFunc(items, (*item).Compare)
		for r := range waitindex.Reason(reasons) {
			got, _ := x.First(r)
			if want := firstOf(items, func(o *item) bool { return o.place.WaitsFor(r) }); got != want {
				t.Fatalf("change %d, reason %d: got %v, want %v", i, r, got, want)
			}
		}
		free := workload.Resources{CPU: random.Int64N(10_000), MemoryMB: 1000}
		fits := func(o *item) bool { return o.need.Fits(free) }
		got, _ := x.FirstFitting(2, free, fits)
		if want := firstOf(items, func(o *item) bool { return o.place.WaitsFor(2) && fits(o) }); got != want {
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
