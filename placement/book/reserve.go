package book

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// ErrAmount is returned for an amount that is negative or over MaxAmount.
var ErrAmount = errors.New("book: amount out of range")

// Reason says why a reservation was refused.
type Reason string

// The reasons.
const (
	UnknownWorker           Reason = "no_worker"
	Closed                  Reason = "closed"
	InsufficientCapacity    Reason = "no_room"
	AcceleratorKindMismatch Reason = "wrong_accelerator_kind"
	ReservedElsewhere       Reason = "on_other_worker"
	ReservationLost         Reason = "hold_lost"
	OtherAttemptActive      Reason = "other_attempt_counts"
)

// RefusedError says why a reservation was refused. Nothing has changed.
type RefusedError struct {
	Reason Reason
	// Detail is the worker's reason for being closed, if it is.
	Detail string
	// Free is what the worker has free.
	Free cluster.Resources
}

// Error names the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("book: refused: %s %s", e.Reason, e.Detail)
}

// Reserve counts e against its worker if there is room. Repeating it for the
// same attempt and worker has no further effect. Another attempt of the same
// task that still counts in this share refuses it. Where room lacks, holds of
// a higher rank that are not locked are displaced and returned. The error is
// ErrAmount or a RefusedError.
func (b *Book) Reserve(e Entry) (displaced []Entry, err error) {
	if !valid(e.Resources) {
		return nil, ErrAmount
	}
	if old, ok := b.entries[e.ID]; ok {
		return nil, b.repeated(old, e)
	}
	if b.tasks[task{e.ID.Job, e.ID.Index}] > 0 {
		return nil, &RefusedError{Reason: OtherAttemptActive}
	}
	a, ok := b.workers[e.Worker]
	if !ok {
		return nil, &RefusedError{Reason: UnknownWorker}
	}
	if err := b.mayTake(a, e); err != nil {
		return nil, err
	}
	if !e.Resources.Fits(a.room(e)) {
		displaced = b.displace(a, e)
		if displaced == nil {
			return nil, &RefusedError{Reason: InsufficientCapacity, Free: a.Free()}
		}
	}
	b.RemoveNomination(e.Worker, e.ID.Job, e.ID.Index)
	b.add(a, e)
	return displaced, nil
}

func (b *Book) repeated(old *Entry, e Entry) error {
	if old.Worker != e.Worker {
		return &RefusedError{Reason: ReservedElsewhere, Detail: old.Worker}
	}
	if old.State == Reserved {
		old.Expires = e.Expires
	}
	return nil
}

func (b *Book) mayTake(a *account, e Entry) error {
	if a.Closed != "" {
		return &RefusedError{Reason: Closed, Detail: a.Closed, Free: a.Free()}
	}
	if e.Resources.Accelerators > 0 && e.AcceleratorKind != "" && e.AcceleratorKind != a.AcceleratorKind {
		return &RefusedError{Reason: AcceleratorKindMismatch, Detail: a.AcceleratorKind}
	}
	return nil
}

// displace releases the fewest youngest holds that make room, or none.
func (b *Book) displace(a *account, e Entry) []Entry {
	var younger []Entry
	for _, o := range a.entries {
		if o.State == Reserved && !o.Locked && o.Rank > e.Rank && o.ID.Job != e.ID.Job {
			younger = append(younger, *o)
		}
	}
	sort.Slice(younger, func(i, j int) bool {
		if younger[i].Rank != younger[j].Rank {
			return younger[i].Rank > younger[j].Rank
		}
		return less(younger[i].ID, younger[j].ID)
	})
	free := a.room(e)
	for i, o := range younger {
		free = free.Add(o.Resources)
		if !e.Resources.Fits(free) {
			continue
		}
		for _, d := range younger[:i+1] {
			b.Release(d.ID)
		}
		return younger[:i+1]
	}
	return nil
}

// Lock makes a hold safe from displacement until expires. A hold that is gone
// is refused with HoldLost.
func (b *Book) Lock(id ID, now, expires time.Time) error {
	e, ok := b.entries[id]
	if !ok || (e.State == Reserved && !now.Before(e.Expires)) {
		return &RefusedError{Reason: ReservationLost}
	}
	e.Locked = true
	e.Expires = expires
	return nil
}

// Commit turns a hold that has not expired into a start. Repeating it has no
// further effect. A hold that is gone is refused with HoldLost.
func (b *Book) Commit(id ID, now time.Time) error {
	e, ok := b.entries[id]
	if !ok || (e.State == Reserved && !now.Before(e.Expires)) {
		return &RefusedError{Reason: ReservationLost}
	}
	if e.State == Reserved {
		b.SetState(id, Starting)
	}
	return nil
}

func less(a, b ID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	if a.Index != b.Index {
		return a.Index < b.Index
	}
	return a.Attempt < b.Attempt
}
