// Package credit leases the slots of backend servers to daemons. The daemon that
// owns a share of backend servers runs an Owner for it. Every daemon runs a Holder,
// which requests slots from the owners according to its demand and uses those that
// they grant. The caller carries requests, responses and refresh signals between
// them.
//
// A slot is never leased twice. A granted slot counts as leased until its holder
// reports that it has returned it, or until the lease has expired and the backend
// server's status has shown that no request started under it still runs, or no such
// request can still run. Clocks need to agree only on their rates: a holder counts
// the term from when it sent the request, an owner from when it responds.
//
// Owner and Holder are not safe for concurrent use, do no I/O and read no
// clock.
package credit

import "time"

// Demand is the number of slots that a daemon can use for short and for long work,
// including those in use.
type Demand struct {
	Short int `json:"short"`
	Long  int `json:"long"`
}

// Total returns the demand of both classes.
func (d Demand) Total() int { return d.Short + d.Long }

// HeldSlots is the number of slots of one backend server that a holder holds.
type HeldSlots struct {
	Backend string `json:"backend"`
	// Slots is the number granted or in use, whichever is more.
	Slots int `json:"slots"`
}

// Request is a holder's request for slots to the owner of a share.
type Request struct {
	Share       string `json:"share"`
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Region      string `json:"region"`
	// Sequence increases with each request of a holder to a share. The holder
	// ignores the response to any but its latest request.
	Sequence uint64 `json:"sequence"`
	Demand   Demand `json:"demand"`
	// NoLocalSlots is set while the holder's own region has no slots. Its demand
	// then counts as that of the share's own region.
	NoLocalSlots bool `json:"homeless,omitempty"`
	// Held lists all slots of the share that the holder holds.
	Held []HeldSlots `json:"holds,omitempty"`
}

// Grant is the number of slots of one backend server that a holder may use. It
// replaces any earlier grant.
type Grant struct {
	Backend string `json:"backend"`
	Slots   int    `json:"slots"`
}

// Response is the owner's response to a Request. The holder must start no more
// requests on backend servers that it does not list.
type Response struct {
	Share    string `json:"share"`
	Sequence uint64 `json:"sequence"`
	// Term is how long the grants may be used, from when the request was sent.
	Term   time.Duration `json:"termNanoseconds"`
	Grants []Grant       `json:"grants,omitempty"`
	// Slots is the number of slots of the share's backend servers that are not
	// leaving.
	Slots int `json:"slots"`
}

// RefreshSignal tells a holder to send a new request to the owner of a share at
// once, because other holders need its slots or slots have become free for it.
type RefreshSignal struct {
	Share string `json:"share"`
}

// Backend is a backend server of a share.
type Backend struct {
	Name  string `json:"name"`
	Slots int    `json:"slots"`
	// Leaving is set once the server must get no new work.
	Leaving bool `json:"leaving,omitempty"`
}
