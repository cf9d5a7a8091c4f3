package book

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// ErrAmount is returned for an amount that is negative or greater than
// MaxAmount.
var ErrAmount = errors.New("book: amount out of range")

// Reason is a machine-readable reason for refusing a reservation.
type Reason string

// Reasons for refusing a reservation.
const (
	UnknownWorker           Reason = "no_worker"
	Closed                  Reason = "closed"
	InsufficientCapacity    Reason = "no_room"
	AcceleratorKindMismatch Reason = "wrong_accelerator_kind"
	ReservedElsewhere       Reason = "on_other_worker"
	ReservationLost         Reason = "hold_lost"
	OtherAttemptActive      Reason = "other_attempt_counts"
)

// RefusedError is returned for a refused reservation. The book is unchanged.
type RefusedError struct {
	Reason Reason
	// Detail is the reason why the worker is closed, its accelerator kind, or
	// the worker that holds the attempt, by Reason; otherwise empty.
	Detail string
	// Free is what the worker has free; it is set for Closed and
	// InsufficientCapacity.
	Free cluster.Resources
}

// Error names the reason and the detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("book: refused: %s %s", e.Reason, e.Detail)
}

// Reserve counts e against its worker if its resources are available there. It
// is idempotent: for the same attempt and worker, a repeated call only extends
// the expiry. It is refused while another attempt of the same task counts in
// this share. If capacity is insufficient, reservations of a higher rank that
// are not locked are displaced and returned. The error is ErrAmount or a
// RefusedError.
func (b *Book) Reserve(e Entry) (displaced []Entry, err error) {
	if !validAmount(e.Resources) {
		return nil, ErrAmount
	}
	if old, ok := b.entries[e.ID]; ok {
		return nil, b.repeatReserve(old, e)
	}
	if b.tasks[taskKey{e.ID.Job, e.ID.Index}] > 0 {
		return nil, &RefusedError{Reason: OtherAttemptActive}
	}
	a, ok := b.workers[e.Worker]
	if !ok {
		return nil, &RefusedError{Reason: UnknownWorker}
	}
	if err := b.checkWorker(a, e); err != nil {
		return nil, err
	}
	if !e.Resources.Fits(a.available(e)) {
		displaced = b.displace(a, e)
		if displaced == nil {
			return nil, &RefusedError{Reason: InsufficientCapacity, Free: a.Free()}
		}
	}
	b.RemoveNomination(e.Worker, e.ID.Job, e.ID.Index)
	b.add(a, e)
	return displaced, nil
}

func (b *Book) repeatReserve(old *Entry, e Entry) error {
	if old.Worker != e.Worker {
		return &RefusedError{Reason: ReservedElsewhere, Detail: old.Worker}
	}
	if old.State == Reserved {
		old.Expires = e.Expires
	}
	return nil
}

func (b *Book) checkWorker(a *account, e Entry) error {
	if a.Closed != "" {
		return &RefusedError{Reason: Closed, Detail: a.Closed, Free: a.Free()}
	}
	if e.Resources.Accelerators > 0 && e.AcceleratorKind != "" && e.AcceleratorKind != a.AcceleratorKind {
		return &RefusedError{Reason: AcceleratorKindMismatch, Detail: a.AcceleratorKind}
	}
	return nil
}

// displace releases the youngest reservations of other jobs, as few as suffice
// for e, and returns them. It releases none, and returns nil, if all of them do
// not suffice.
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
		return younger[i].ID.Less(younger[j].ID)
	})
	free := a.available(e)
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

// Lock protects a reservation from displacement and sets its expiry. It fails
// with ReservationLost if the reservation has expired or was displaced.
func (b *Book) Lock(id ID, now, expires time.Time) error {
	e, ok := b.entries[id]
	if !ok || (e.State == Reserved && !now.Before(e.Expires)) {
		return &RefusedError{Reason: ReservationLost}
	}
	e.Locked = true
	e.Expires = expires
	return nil
}

// Commit moves a reservation that has not expired to Starting. It is idempotent.
// It fails with ReservationLost if the reservation has expired or was displaced.
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
