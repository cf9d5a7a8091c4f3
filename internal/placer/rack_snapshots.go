package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

// rackSnapshot is what the scheduler knows of one rack from its owner's
// reports.
type rackSnapshot struct {
	share        cluster.Share
	term         term
	bookVersion  uint64
	tasksVersion uint64
	// recheck lists the attempts that the next sync asks for.
	recheck []TaskRef
	workers map[string]*workerSnapshot
	teams   map[string]teamUsage
	// reportedHomes holds the homes that have received all of their attempts on
	// the rack under this term.
	reportedHomes map[cluster.Share]bool
	complete      bool
	// local is set while this daemon owns the rack itself.
	local bool
}

type workerSnapshot struct {
	view workerView
	// inFlight is the sum of the placements in flight.
	inFlight cluster.Resources
	// backfillUntil is when the worker's nominated capacity is needed.
	backfillUntil time.Time
}

// refreshWorkers applies the list of workers: it removes workers that are gone,
// sums up the capacity and refreshes quotas.
func (sc *scheduler) refreshWorkers(now time.Time) {
	if now.Sub(sc.workersRefreshedAt) < housekeepingInterval {
		return
	}
	sc.workersRefreshedAt = now
	racks := make(map[cluster.Share]map[string]bool)
	var total cluster.Resources
	for _, vm := range sc.p.o.Members.VMs() {
		if vm.Role != cluster.RoleWorker {
			continue
		}
		share := cluster.RackShare(vm)
		if racks[share] == nil {
			racks[share] = make(map[string]bool)
		}
		racks[share][vm.Name] = true
		total = total.Add(vm.Capacity)
		sc.largestWorker.CPU = max(sc.largestWorker.CPU, vm.Capacity.CPU)
		sc.largestWorker.Memory = max(sc.largestWorker.Memory, vm.Capacity.Memory)
	}
	for share, listed := range racks {
		sc.rackFor(share).retainWorkers(sc, listed)
	}
	for share, r := range sc.racks {
		if racks[share] == nil {
			r.retainWorkers(sc, nil)
			delete(sc.racks, share)
		}
	}
	sc.refreshLocalRacks()
	if total != sc.totalCapacity {
		sc.totalCapacity = total
		sc.ledger.SetTotal(total)
	}
	sc.refreshQuotas()
	sc.countHomeDaemons()
}

// refreshLocalRacks updates which racks this daemon owns itself.
func (sc *scheduler) refreshLocalRacks() {
	for share, r := range sc.racks {
		_, local := sc.p.o.Owners.Lease(share)
		if local == r.local {
			continue
		}
		r.local = local
		for name, w := range r.workers {
			sc.localIndex.Remove(name)
			sc.updateNode(w)
		}
	}
}

func (sc *scheduler) rackFor(share cluster.Share) *rackSnapshot {
	r, ok := sc.racks[share]
	if !ok {
		r = &rackSnapshot{
			share: share, workers: make(map[string]*workerSnapshot), teams: make(map[string]teamUsage),
			reportedHomes: make(map[cluster.Share]bool),
		}
		sc.racks[share] = r
	}
	return r
}

func (r *rackSnapshot) retainWorkers(sc *scheduler, listed map[string]bool) {
	for name := range r.workers {
		if !listed[name] {
			delete(r.workers, name)
			delete(sc.backfillWorkers, name)
			sc.localIndex.Remove(name)
			sc.index.Remove(name)
		}
	}
}
