package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/queue"
	"github.com/currantwinch/currantwinch/placement/quota"
	"pgregory.net/rapid"
)

var now = time.Unix(0, 0)

func cpu(n int64) cluster.Resources { return cluster.Resources{CPU: n} }

func newQueue() (*queue.Queue, *quota.Ledger) {
	l := quota.NewLedger(cluster.Resources{CPU: 1000, Memory: 1000, Accelerators: 10})
	return queue.New(l), l
}

func job(id, team string, p document.Priority, order uint64, size int64, tasks int) queue.Job {
	return queue.Job{ID: id, Team: team, Priority: p, AcceptedOffset: order, Tasks: tasks, Shape: queue.Shape{Resources: cpu(size)}}
}

func removeAll(q *queue.Queue) (ids string) {
	for {
		j, ok := q.Next()
		if !ok {
			return ids
		}
		ids += j.ID
		q.Remove(j.ID)
	}
}

func TestNext_Order(t *testing.T) {
	q, l := newQueue()
	l.SetUsed("a", cpu(500))
	q.Put(job("1", "a", document.PriorityNormal, 1, 1, 1), now)
	q.Put(job("2", "b", document.PriorityNormal, 9, 1, 1), now)
	q.Put(job("3", "a", document.PriorityUrgent, 8, 1, 1), now)
	q.Put(job("4", "a", document.PriorityHigh, 7, 1, 1), now)
	q.Put(job("5", "b", document.PriorityNormal, 2, 1, 1), now)
	q.Put(job("6", "b", document.PriorityLow, 1, 1, 1), now)
	if got := removeAll(q); got != "345216" {
		t.Errorf("order %s", got)
	}
}

func TestUpdateRank_ReordersTeams(t *testing.T) {
	q, l := newQueue()
	q.Put(job("a", "a", document.PriorityNormal, 1, 1, 1), now)
	q.Put(job("b", "b", document.PriorityNormal, 2, 1, 1), now)
	l.Charge("a", cpu(10))
	q.UpdateRank("a")
	if got := removeAll(q); got != "ba" {
		t.Errorf("order %s", got)
	}
}

func TestBlock_UnblockedByMatchingChange(t *testing.T) {
	cases := []struct {
		name   string
		reason queue.Reason
		wake   func(q *queue.Queue)
		want   string
	}{
		{"capacity for no task", queue.InsufficientCapacity, func(q *queue.Queue) { q.WakeForCapacity(cpu(9), "", "") }, ""},
		{"capacity for one task", queue.InsufficientCapacity, func(q *queue.Queue) { q.WakeForCapacity(cpu(19), "", "") }, "a"},
		{"capacity for three tasks", queue.InsufficientCapacity, func(q *queue.Queue) { q.WakeForCapacity(cpu(30), "", "") }, "ab"},
		{"limit of another team", queue.OverLimit, func(q *queue.Queue) { q.WakeTeam("y") }, ""},
		{"limit", queue.OverLimit, func(q *queue.Queue) { q.WakeTeam("x") }, "ab"},
		{"capacity does not lift a limit", queue.OverLimit, func(q *queue.Queue) { q.WakeForCapacity(cpu(100), "", "") }, ""},
		{"too early", queue.Deferred, func(q *queue.Queue) { q.WakeDue(now.Add(time.Second - 1)) }, ""},
		{"due", queue.Deferred, func(q *queue.Queue) { q.WakeDue(now.Add(time.Second)) }, "ab"},
	}
	for _, c := range cases {
		q, _ := newQueue()
		q.Put(job("b", "x", document.PriorityNormal, 2, 10, 2), now)
		q.Put(job("a", "x", document.PriorityNormal, 1, 10, 2), now)
		for _, id := range []string{"a", "b"} {
			q.Block(id, c.reason, now, now.Add(time.Second))
		}
		c.wake(q)
		if got := removeAll(q); got != c.want {
			t.Errorf("%s: ready %q, want %q", c.name, got, c.want)
		}
	}
}

// After random calls of Put, Block, the Wake methods and Remove, every job is in
// exactly one list and none is lost.
func TestQueue_LosesNoJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, l := newQueue()
		want := make(map[string]bool)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.StringMatching("[a-h]").Draw(t, "id")
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				j := job(id, fmt.Sprint(id[0]%3), document.PriorityNormal, uint64(id[0]), int64(id[0]%4), 1)
				q.Put(j, now)
				want[id] = true
			case 2:
				q.Remove(id)
				delete(want, id)
			case 3:
				r := rapid.SampledFrom([]queue.Reason{queue.InsufficientCapacity, queue.OverLimit, queue.Deferred}).Draw(t, "reason")
				q.Block(id, r, now, now)
			case 4:
				q.WakeForCapacity(cpu(int64(id[0]%5)), "", "")
				l.Charge(fmt.Sprint(id[0]%3), cpu(1))
				q.UpdateRank(fmt.Sprint(id[0] % 3))
			case 5:
				q.WakeTeam(fmt.Sprint(id[0] % 3))
			}
			if c := q.Counts(); q.Len() != len(want) || c.Ready < 0 {
				t.Fatalf("%d jobs, want %d, counts %+v", q.Len(), len(want), c)
			}
		}
		for id := range want {
			q.WakeJob(id)
		}
		q.WakeDue(now)
		if got := removeAll(q); len(got) != len(want) {
			t.Fatalf("removed %q, want %v", got, want)
		}
	})
}

// WakeJob must not unblock a deferred job: that would retry it before its time.
func TestWakeJob_KeepsDeferred(t *testing.T) {
	for reason, want := range map[queue.Reason]bool{queue.InsufficientCapacity: true, queue.OverLimit: true, queue.Deferred: false} {
		q, _ := newQueue()
		q.Put(job("a", "t", document.PriorityNormal, 1, 1, 1), now)
		q.Block("a", reason, now, now.Add(time.Second))
		q.WakeJob("a")
		if _, ok := q.Next(); ok != want {
			t.Errorf("%v: ready is %v", reason, ok)
		}
	}
}

func Example() {
	q, _ := newQueue()
	q.Put(job("report", "a", document.PriorityNormal, 1, 100, 1), now)
	q.Put(job("repair", "b", document.PriorityUrgent, 2, 100, 1), now)
	j, _ := q.Next()
	fmt.Println(j.ID)
	// Output: repair
}

// BenchmarkCancelWave removes jobs from a long queue; the cost of one must not
// grow with the length.
func BenchmarkCancelWave(b *testing.B) {
	for _, waiting := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			q, _ := newQueue()
			next := 0
			put := func() {
				q.Put(job(fmt.Sprint(next), fmt.Sprint(next%110), document.PriorityNormal, uint64(next), int64(next%50), 1), now)
				next++
			}
			for range waiting {
				put()
			}
			for i := range b.N {
				q.Remove(fmt.Sprint(i))
				put()
			}
		})
	}
}
