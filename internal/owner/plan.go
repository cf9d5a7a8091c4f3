package owner

import (
	"strconv"
	"strings"
	"sync"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/ownership"
)

// planCache caches the newest plan with its inputs, so that planning costs
// little while nothing changes.
type planCache struct {
	mu     sync.Mutex
	inputs planInputs
	plan   plan
}

// plan assigns the cell's shares to daemons.
type plan struct {
	moves []ownership.Move
	// wanted holds the shares that this daemon should own but has no claim on
	// under its incarnation.
	wanted map[cluster.Share]bool
}

// planInputs identifies everything that a plan depends on.
type planInputs struct {
	view roles.View
	// vms and count identify the platform's list, which is replaced as a whole
	// and never changed in place.
	vms   *cluster.VM
	count int
	// live encodes the live daemons, which of them are leaving, and which have
	// reached their stable uptime.
	live string
}

// plan returns the plan for the current inputs. The caller must not change it.
func (w *Owner) plan(view roles.View, joined daemonIndex) plan {
	live := w.Live()
	from := w.planInputs(view, live)
	w.planCache.mu.Lock()
	defer w.planCache.mu.Unlock()
	if w.planCache.inputs != from {
		w.planCache.inputs = from
		w.planCache.plan = w.newPlan(view, live, joined)
	}
	return w.planCache.plan
}

func (w *Owner) newPlan(view roles.View, live []roles.Member, joined daemonIndex) plan {
	placements := w.assignments(view, live)
	p := plan{
		moves:  ownership.Plan(placements, w.candidates(live, joined, placements)),
		wanted: make(map[cluster.Share]bool),
	}
	want := func(share cluster.Share) {
		if e := entry(view, share); e.Holder != w.o.Self.Incarnation || e.Released {
			p.wanted[share] = true
		}
	}
	for _, m := range p.moves {
		if m.To == w.o.Self.Name && m.From == "" {
			want(m.Share)
		}
	}
	for _, at := range placements {
		if at.Owner == w.o.Self.Name {
			want(at.Share)
		}
	}
	return p
}

func (w *Owner) planInputs(view roles.View, live []roles.Member) planInputs {
	from := planInputs{view: view}
	now := w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if from.count = len(w.vms); from.count > 0 {
		from.vms = &w.vms[0]
	}
	var b strings.Builder
	for _, m := range live {
		b.WriteString(m.Daemon.Name)
		b.WriteString(strconv.FormatBool(m.Leaving))
		b.WriteString(strconv.FormatBool(w.stableLocked(m.Daemon.Name, now)))
	}
	from.live = b.String()
	return from
}
