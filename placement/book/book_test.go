package book_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/placement/book"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func amount(cpu, memory, acc int64) cluster.Resources {
	return cluster.Resources{CPU: cpu, Memory: memory, Accelerators: acc}
}

func newBook(t interface{ Fatal(...any) }, workers int, capacity cluster.Resources, kind string) *book.Book {
	b := book.New()
	for i := range workers {
		if err := b.PutWorker(fmt.Sprint("w", i), cluster.Location{}, capacity, kind); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func reasonOf(err error) book.Reason {
	var r *book.RefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

func TestReserve_Cases(t *testing.T) {
	on := func(job, worker string, r cluster.Resources) book.Entry {
		return book.Entry{ID: book.ID{Job: job}, Worker: worker, Resources: r, Expires: start.Add(time.Second)}
	}
	otherKind := on("k", "w0", amount(1, 1, 1))
	otherKind.AcceleratorKind = "b"
	cases := []struct {
		name  string
		entry book.Entry
		want  book.Reason
		err   error
	}{
		{"fits exactly", on("a", "w0", amount(10, 10, 1)), "", nil},
		{"repeat", on("have", "w1", amount(6, 6, 0)), "", nil},
		{"repeat elsewhere", on("have", "w0", amount(6, 6, 0)), book.ReservedElsewhere, nil},
		{"other attempt counts", book.Entry{ID: book.ID{Job: "have", Attempt: 1}, Worker: "w0"}, book.OtherAttemptActive, nil},
		{"one resource insufficient", on("a", "w1", amount(4, 5, 0)), book.InsufficientCapacity, nil},
		{"unknown worker", on("a", "w9", amount(1, 1, 0)), book.UnknownWorker, nil},
		{"closed", on("a", "w2", amount(1, 1, 0)), book.Closed, nil},
		{"kind", otherKind, book.AcceleratorKindMismatch, nil},
		{"negative", on("a", "w0", amount(-1, 0, 0)), "", book.ErrAmount},
		{"huge", on("a", "w0", amount(book.MaxAmount+1, 0, 0)), "", book.ErrAmount},
	}
	for _, c := range cases {
		b := newBook(t, 3, amount(10, 10, 1), "a")
		b.Close("w2", "drained")
		if _, err := b.Reserve(on("have", "w1", amount(6, 6, 0))); err != nil {
			t.Fatal(err)
		}
		_, err := b.Reserve(c.entry)
		if reasonOf(err) != c.want || (c.err != nil) != errors.Is(err, book.ErrAmount) {
			t.Errorf("%s: got %v, want %q %v", c.name, err, c.want, c.err)
		}
	}
}

func TestReserve_OlderDisplacesUnlockedYounger(t *testing.T) {
	for _, locked := range []bool{false, true} {
		b := newBook(t, 1, amount(10, 10, 0), "")
		younger := book.Entry{ID: book.ID{Job: "young"}, Worker: "w0", Resources: amount(8, 8, 0), Rank: 9, Expires: start.Add(time.Second)}
		older := book.Entry{ID: book.ID{Job: "old"}, Worker: "w0", Resources: amount(8, 8, 0), Rank: 2, Expires: start.Add(time.Second)}
		if _, err := b.Reserve(younger); err != nil {
			t.Fatal(err)
		}
		if locked {
			if err := b.Lock(younger.ID, start, start.Add(time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		displaced, err := b.Reserve(older)
		if (err == nil) == locked || (len(displaced) == 1) == locked {
			t.Errorf("locked %v: displaced %v, err %v", locked, displaced, err)
		}
		if _, err := b.Reserve(book.Entry{ID: book.ID{Job: "third"}, Worker: "w0", Resources: amount(8, 8, 0), Rank: 10}); err == nil {
			t.Error("a younger reservation displaced an older one")
		}
	}
}

func TestNominate_KeepsCapacityForOneTask(t *testing.T) {
	b := newBook(t, 1, amount(10, 10, 0), "")
	nominated := book.Entry{ID: book.ID{Job: "promised"}, Worker: "w0", Resources: amount(6, 6, 0)}
	if err := b.Nominate(book.Nomination{Worker: "w0", Job: "promised", Team: "t", Resources: nominated.Resources, ExpectedStart: start.Add(time.Minute)}); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Reserve(book.Entry{ID: book.ID{Job: "other"}, Worker: "w0", Resources: amount(5, 5, 0)}); reasonOf(err) != book.InsufficientCapacity {
		t.Errorf("another task reserved nominated capacity: %v", err)
	}
	for ends, want := range map[time.Duration]bool{time.Minute: true, time.Minute + 1: false} {
		short := book.Entry{ID: book.ID{Job: "short"}, Worker: "w0", Resources: amount(5, 5, 0), Ends: start.Add(ends)}
		_, err := b.Reserve(short)
		if b.Release(short.ID); (err == nil) != want {
			t.Errorf("task of %v backfilled into capacity nominated for a minute from now: %v", ends, err)
		}
	}
	if _, err := b.Reserve(nominated); err != nil {
		t.Errorf("nominated task: %v", err)
	}
	if w, _ := b.Worker("w0"); w.Free() != amount(4, 4, 0) {
		t.Errorf("free %+v after the nominated task was placed", w.Free())
	}
}

func TestCommit_ExpiredReservationIsLost(t *testing.T) {
	b := newBook(t, 1, amount(10, 10, 0), "")
	e := book.Entry{ID: book.ID{Job: "a"}, Worker: "w0", Resources: amount(1, 1, 0), Expires: start.Add(time.Second)}
	if _, err := b.Reserve(e); err != nil {
		t.Fatal(err)
	}
	if err := b.Commit(e.ID, start.Add(time.Second)); reasonOf(err) != book.ReservationLost {
		t.Errorf("commit of an expired reservation: %v", err)
	}
	if out := b.ExpireReservations(start.Add(time.Second)); len(out) != 1 || b.Len() != 0 {
		t.Errorf("expired %v", out)
	}
}

// Runs random operations in random order: all sums equal those of their entries,
// and only Adopt can overcommit a worker.
func TestBook_SumsMatchEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := amount(100, 100, 4)
		b := newBook(t, 3, capacity, "a")
		now := start
		id := rapid.Custom(func(t *rapid.T) book.ID {
			return book.ID{Job: rapid.StringMatching("[a-e]").Draw(t, "job"), Index: rapid.IntRange(0, 3).Draw(t, "index")}
		})
		entry := func(t *rapid.T) book.Entry {
			return book.Entry{
				ID: id.Draw(t, "id"), Worker: fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")),
				Resources: amount(rapid.Int64Range(0, 60).Draw(t, "cpu"), rapid.Int64Range(0, 60).Draw(t, "mem"), rapid.Int64Range(0, 3).Draw(t, "acc")),
				Team:      rapid.StringMatching("[xy]").Draw(t, "team"), Rank: rapid.Uint64Range(1, 5).Draw(t, "rank"),
				Expires: now.Add(time.Second),
			}
		}
		adopted := false
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) { _, _ = b.Reserve(entry(t)) },
			"adopt": func(t *rapid.T) {
				e := entry(t)
				e.State = book.Running
				adopted = adopted || b.Adopt(e) == nil
			},
			"commit":  func(t *rapid.T) { _ = b.Commit(id.Draw(t, "id"), now) },
			"lock":    func(t *rapid.T) { _ = b.Lock(id.Draw(t, "id"), now, now.Add(time.Second)) },
			"state":   func(t *rapid.T) { b.SetState(id.Draw(t, "id"), book.State(rapid.IntRange(1, 4).Draw(t, "s"))) },
			"release": func(t *rapid.T) { b.Release(id.Draw(t, "id")) },
			"resize":  func(t *rapid.T) { b.Resize(id.Draw(t, "id"), entry(t).Resources) },
			"earmark": func(t *rapid.T) {
				e := entry(t)
				_ = b.Nominate(book.Nomination{Worker: e.Worker, Job: e.ID.Job, Index: e.ID.Index, Team: e.Team, Resources: e.Resources, Expires: e.Expires})
			},
			"unmark": func(t *rapid.T) {
				b.RemoveNomination(fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")), id.Draw(t, "id").Job, 0)
			},
			"expire": func(t *rapid.T) {
				now = now.Add(700 * time.Millisecond)
				b.ExpireReservations(now)
				b.ExpireNominations(now)
			},
			"": func(t *rapid.T) {
				if err := b.Check(); err != nil {
					t.Fatal(err)
				}
				for _, w := range b.Workers(0) {
					if w.Overcommitted() && !adopted {
						t.Fatalf("worker %s is overcommitted: %+v in use", w.Name, w.Used)
					}
				}
			},
		})
	})
}

func Example() {
	b := book.New()
	_ = b.PutWorker("w0", cluster.Location{Rack: "r1"}, amount(4000, 8<<30, 0), "")
	_, err := b.Reserve(book.Entry{ID: book.ID{Job: "j"}, Worker: "w0", Resources: amount(3000, 1<<30, 0), Expires: start.Add(time.Second)})
	fmt.Println(err, b.Commit(book.ID{Job: "j"}, start))
	_, err = b.Reserve(book.Entry{ID: book.ID{Job: "k"}, Worker: "w0", Resources: amount(2000, 1<<30, 0)})
	fmt.Println(err)
	// Output:
	// <nil> <nil>
	// book: refused: no_room
}
