package relay

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// routeTTL is how long a measured route is trusted. A daemon that was
	// isolated may be back in about this time.
	routeTTL = 5 * time.Second
	// maxContactCalls limits the daemons that are asked at once.
	maxContactCalls = 16
)

// rank orders the daemons to ask, the best first.
type rank int

const (
	rankReachesStore rank = iota
	rankUnknown
	rankNoStore
	rankFailed
)

// route is what is known of calls through a daemon.
type route struct {
	rank rank
	// took is the round-trip time of the last contact call.
	took time.Duration
	at   time.Time
}

// contactReply is a daemon's answer to a contact call.
type contactReply struct {
	// Store is set if the store answers that daemon.
	Store bool `json:"store"`
}

// contactDaemons makes contact calls to other daemons to find the nearest one that the
// store answers. It asks up to maxContactCalls at once, and in a larger fleet the
// next ones each time.
func (r *Relay) contactDaemons(ctx context.Context) {
	names := r.otherDaemons()
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	n := min(maxContactCalls, len(names))
	done := make(chan struct{}, n)
	for i := range n {
		name := names[(r.contactOffset+i)%len(names)]
		go func() {
			r.probePeer(ctx, name)
			done <- struct{}{}
		}()
	}
	r.contactOffset += n
	for range n {
		<-done
	}
}

// probePeer makes a contact call to one daemon and records its route.
func (r *Relay) probePeer(ctx context.Context, name string) {
	began := r.now()
	var answer contactReply
	if err := r.peers.Call(ctx, name, methodContact, emptyMessage{}, &answer); err != nil {
		r.setRoute(name, route{rank: rankFailed})
		return
	}
	found := rankNoStore
	if answer.Store {
		found = rankReachesStore
	}
	r.setLastContact()
	r.setRoute(name, route{rank: found, took: r.now().Sub(began)})
}

func (r *Relay) setRoute(name string, w route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.at = r.now()
	r.routes[name] = w
}

// selectPeers returns the daemons to ask in turn, the nearest that reaches the
// store first. It leaves out daemons that are known not to reach the store or
// to have failed. Bulk calls go to the second nearest first: calls to one daemon
// share a connection, on which a list of all servers would delay an append.
func (r *Relay) selectPeers(names []string, bulk bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	known := func(name string) route {
		if w, ok := r.routes[name]; ok && now.Sub(w.at) <= routeTTL {
			return w
		}
		return route{rank: rankUnknown}
	}
	var out []string
	for _, name := range names {
		if known(name).rank <= rankUnknown {
			out = append(out, name)
		}
	}
	slices.SortStableFunc(out, func(x, y string) int {
		a, b := known(x), known(y)
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.took, b.took))
	})
	out = out[:min(maxRelays, len(out))]
	if bulk && len(out) == maxRelays && known(out[1]).rank == rankReachesStore {
		out[0], out[1] = out[1], out[0]
	}
	return out
}
