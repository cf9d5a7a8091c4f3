package gateway

import (
	"maps"
	"slices"
	"strings"

	"github.com/currantwinch/currantwinch/credit"
	"github.com/currantwinch/currantwinch/ring"
)

// Dump is the gateway's part of the daemon's state dump.
type Dump struct {
	Phase string       `json:"phase"`
	Rings []ring.Stats `json:"rings"`
	// Keys lists the key shares whose tables this daemon holds.
	Keys []KeyDump `json:"keys"`
	// Leases holds, by backend share and pool, the slots leased by this daemon
	// as the owner of the share.
	Leases map[string][]credit.BackendLeases `json:"lent"`
	// Leaving names backend servers that get no new work. Unconfirmed names
	// those that may still run requests that no caller waits for, and those
	// that refused their last connection.
	Leaving            []string `json:"leaving"`
	Unconfirmed        []string `json:"doubtful"`
	PendingSettlements int      `json:"unsettled"`
	PendingBills       int      `json:"bills"`
}

// KeyDump is the state of the table of one key share.
type KeyDump struct {
	Share   string `json:"share"`
	Epoch   uint64 `json:"epoch"`
	Keys    int    `json:"keys"`
	Running int    `json:"running"`
}

// Dump returns the gateway's state without request bodies.
func (g *Gateway) Dump() any {
	return Dump{
		Phase: [...]string{"starting", "serving", "stopping"}[g.phase.Load()],
		Rings: []ring.Stats{g.dispatcher.arrivals.Stats(), g.dispatcher.events.Stats()},
		Keys:  g.keys.dump(), Leases: g.slotOwner.leases(),
		Leaving: g.registry.leavingNames(), Unconfirmed: g.dispatcher.unconfirmedBackends(),
		PendingSettlements: g.settler.pendingCount(), PendingBills: g.bills.pendingCount(),
	}
}

func (k *keyOwner) dump() []KeyDump {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []KeyDump
	for share, t := range k.tables {
		all = append(all, KeyDump{Share: share.String(), Epoch: t.Epoch(), Keys: t.Len(), Running: t.Running()})
	}
	slices.SortFunc(all, func(a, b KeyDump) int { return strings.Compare(a.Share, b.Share) })
	return all
}

func (r *backendRegistry) leavingNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.leaving))
}
