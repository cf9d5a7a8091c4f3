// Package flow keeps a process that calls many receivers from overloading its
// own link or processor. It decides which queued call is sent next and how many
// calls are in flight, and it learns from the answers how long to wait for one.
//
// An overloaded sender that waits a fixed time and sends again keeps itself
// overloaded: its answers arrive after the time-out, and every resend adds to
// the queue on the link. Queue prevents this in three ways. The number of calls
// in flight follows the measured queueing delay, so that calls wait in the
// Queue, where they can be ordered, dropped and taken back. The time-out follows
// the measured round trip. Resends are a bounded fraction of all calls.
//
// The types are not safe for concurrent use and read no clock.
package flow

import "time"

// Class is the kind of a call. Calls of a lower class are sent first.
type Class uint8

// The classes.
const (
	// ClassRenewal holds calls that keep running work alive.
	ClassRenewal Class = iota
	// ClassStop holds calls that free capacity.
	ClassStop
	// ClassStart holds calls that begin new work.
	ClassStart

	classes = 3
)

// Call is a call that waits to be sent.
type Call[T any] struct {
	Class Class
	// Receiver identifies who is called.
	Receiver string
	// Held is set if the receiver holds its answer back until there is news.
	// Such a call is not counted against the window, and its round trip says
	// nothing of the load.
	Held bool
	// Attempt is 0 for the first copy of a call and rises with each resend.
	Attempt int
	// NotBefore is the earliest time to send the call. Zero means at once.
	NotBefore time.Time
	// Expires is when sending the call becomes useless. Zero means never.
	Expires time.Time
	Value   T

	queuedAt time.Time
}
