package gateway

import (
	"maps"
	"slices"
	"strings"

	"github.com/currantwinch/currantwinch/credit"
	"github.com/currantwinch/currantwinch/ring"
)

// Dump is the request path's state for the state dump.
type Dump struct {
	Phase string       `json:"phase"`
	Rings []ring.Stats `json:"rings"`
	// Keys lists the key shares held here.
	Keys []KeyDump `json:"keys"`
	// Lent is what is lent of the backend shares owned here.
	Lent map[string][]credit.BackendLeases `json:"lent"`
	// Leaving names backend servers that get no new work, and Doubtful those
	// that may run requests that nobody waits for.
	Leaving   []string `json:"leaving"`
	Doubtful  []string `json:"doubtful"`
	Unsettled int      `json:"unsettled"`
	Bills     int      `json:"bills"`
}

// KeyDump is the state of one key share.
type KeyDump struct {
	Share   string `json:"share"`
	Epoch   uint64 `json:"epoch"`
	Keys    int    `json:"keys"`
	Running int    `json:"running"`
}

// Dump returns the request path's state, without request bodies.
func (g *Gateway) Dump() any {
	return Dump{
		Phase: [...]string{"starting", "serving", "stopping"}[g.phase.Load()],
		Rings: []ring.Stats{g.loop.arrivals.Stats(), g.loop.events.Stats()},
		Keys:  g.keys.dump(), Lent: g.lender.lendings(),
		Leaving: g.watch.leavingNames(), Doubtful: g.loop.doubtful(),
		Unsettled: g.settler.depth(), Bills: g.bills.depth(),
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

func (w *backendWatch) leavingNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.leaving))
}
