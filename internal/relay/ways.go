package relay

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// wayKept is how long a measured way is trusted: in about this time a daemon
	// that was cut off may be back.
	wayKept = 5 * time.Second
	// maxSurveyed bounds the daemons that are asked at once.
	maxSurveyed = 16
)

// rank orders daemons to ask, the best first.
type rank int

const (
	rankReaches rank = iota
	rankUnknown
	rankNoStore
	rankFailed
)

// way is what is known of a daemon to make calls through.
type way struct {
	rank rank
	// took is how long a sign of life took.
	took time.Duration
	at   time.Time
}

// contactAnswer is a daemon's sign of life.
type contactAnswer struct {
	// Store says that the store answers that daemon.
	Store bool `json:"store"`
}

// survey asks daemons for a sign of life, to find the nearest that the store
// answers: all of a small fleet, others each time of a large one.
func (r *Relay) survey(ctx context.Context) {
	names := r.daemons()
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	n := min(maxSurveyed, len(names))
	done := make(chan struct{}, n)
	for i := range n {
		name := names[(r.asked+i)%len(names)]
		go func() {
			r.signOfLife(ctx, name)
			done <- struct{}{}
		}()
	}
	r.asked += n
	for range n {
		<-done
	}
}

// signOfLife asks one daemon and takes in its answer.
func (r *Relay) signOfLife(ctx context.Context, name string) {
	began := r.now()
	var answer contactAnswer
	if err := r.peers.Call(ctx, name, methodContact, nothing{}, &answer); err != nil {
		r.learnWay(name, way{rank: rankFailed})
		return
	}
	found := rankNoStore
	if answer.Store {
		found = rankReaches
	}
	r.hear()
	r.learnWay(name, way{rank: found, took: r.now().Sub(began)})
}

func (r *Relay) learnWay(name string, w way) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.at = r.now()
	r.ways[name] = w
}

// choose returns the daemons to ask in turn, the nearest that reaches the store
// first. None is worth asking of which it is known that the store does not
// answer it either.
func (r *Relay) choose(names []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	known := func(name string) way {
		if w, ok := r.ways[name]; ok && now.Sub(w.at) <= wayKept {
			return w
		}
		return way{rank: rankUnknown}
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
	return out[:min(maxRelays, len(out))]
}
