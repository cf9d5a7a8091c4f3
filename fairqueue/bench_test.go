package fairqueue_test

import (
	"container/list"
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
)

// newCycle returns a function that pushes, pops and ends one request among many
// waiting ones.
func newCycle(waiting, callers int) func() {
	q := fairqueue.New[int](fairqueue.Options{MaxQueued: 1 << 20, MinPerCaller: 1 << 20})
	names := make([]string, callers)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	i := 0
	now := start
	push := func() {
		now = now.Add(time.Microsecond)
		i++
		_, _ = q.Push(fairqueue.Request{
			Team:        names[i%5],
			Caller:      names[i%callers],
			Class:       estimate.Class(i % 2),
			Cost:        time.Millisecond,
			LatestStart: now.Add(time.Minute),
		}, i, now)
	}
	for range waiting {
		push()
	}
	return func() {
		push()
		item, _ := q.Pop(fairqueue.Slots{Free: 1, Total: 2, LongMinimum: i % 2}, now)
		q.Done(item.Handle, 2*time.Millisecond)
	}
}

func TestQueue_NoAllocationsInSteadyState(t *testing.T) {
	step := newCycle(1000, 100)
	for range 10000 {
		step()
	}
	if n := testing.AllocsPerRun(10000, step); n != 0 {
		t.Errorf("%v allocations per request, want 0", n)
	}
}

func BenchmarkQueue_Cycle(b *testing.B) {
	for _, waiting := range []int{100, 10000, 100000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			step := newCycle(waiting, 100)
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
	b.Run("baseline list", func(b *testing.B) {
		l := list.New()
		for i := range 10000 {
			l.PushBack(i)
		}
		b.ReportAllocs()
		for b.Loop() {
			l.PushBack(1)
			l.Remove(l.Front())
		}
	})
}
