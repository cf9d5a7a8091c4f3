// Package credit lends the slots of backend servers to daemons. The owner of a
// share of backend servers runs an Owner; every daemon runs one Holder, which
// asks the owners for slots by its demand and uses what they grant.
//
// Slots are never lent twice: what was granted counts until its holder reports
// otherwise, or until its term has ended and the backend server has shown that
// nothing started under it still runs. Clocks need to agree on rates only: a
// holder counts the term from before it asked, an owner from after it answered.
//
// Owner and Holder are not safe for concurrent use, do no I/O and read no
// clock.
package credit

import "time"

// Demand is how many slots a daemon can use, those already in use included.
type Demand struct {
	Short int `json:"short"`
	Long  int `json:"long"`
}

// Total returns the demand of both classes.
func (d Demand) Total() int { return d.Short + d.Long }

// HeldSlots is what a holder counts as its own at one backend server.
type HeldSlots struct {
	Backend string `json:"backend"`
	// Slots may still be used or are in use, whichever is more.
	Slots int `json:"slots"`
}

// Request goes from a holder to the owner of a share.
type Request struct {
	Share       string `json:"share"`
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Region      string `json:"region"`
	// Sequence rises with each ask of a holder to a share. The holder takes
	// no answer to an earlier one once it has sent a later one.
	Sequence uint64 `json:"sequence"`
	Demand   Demand `json:"demand"`
	// NoLocalSlots is set while the holder's own region has no slots at all. Its
	// demand then counts as that of the share's own region.
	NoLocalSlots bool `json:"homeless,omitempty"`
	// Held is all that the holder has of the share.
	Held []HeldSlots `json:"holds,omitempty"`
}

// Grant is the number of slots of one backend server that a holder may use
// from now on, in place of any number before.
type Grant struct {
	Backend string `json:"backend"`
	Slots   int    `json:"slots"`
}

// Response goes from the owner of a share to a holder. Backend servers that it
// does not list are not to be used any more.
type Response struct {
	Share    string `json:"share"`
	Sequence uint64 `json:"sequence"`
	// Term is how long the grants may be used, from when the ask was sent.
	Term   time.Duration `json:"termNanoseconds"`
	Grants []Grant       `json:"grants,omitempty"`
	// Slots is the size of the share as the owner knows it.
	Slots int `json:"slots"`
}

// RefreshSignal goes from the owner of a share to a holder that should ask again now:
// its slots are wanted elsewhere, or there are slots for it.
type RefreshSignal struct {
	Share string `json:"share"`
}

// Backend is a backend server of a share.
type Backend struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// Leaving is set once it must get no new work.
	Leaving bool `json:"leaving,omitempty"`
}
