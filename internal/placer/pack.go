package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

// packHeadroom is the ratio of free to needed capacity above which tasks are
// packed together. With that much free capacity, the order of the tasks does
// not decide which of them is placed.
const packHeadroom = 2

// packGroup holds the tasks of this turn that are packed together.
type packGroup struct {
	result  pipeline.Packing
	tasks   []*task
	demands []*pipeline.Demand
	sum     cluster.Resources
}

// canPack reports whether a job's next task may be packed with others: the
// policy of its class allows it, the job has no failures, the group is not full,
// and the free capacity is above packHeadroom.
func (sc *scheduler) canPack(j *job) bool {
	if !j.health.HasNoFailures() || !sc.pipe.PacksTogether(j.entry.Workload.Class) || len(sc.pack.tasks) >= pipeline.MaxPackedTasks {
		return false
	}
	return sc.index.HasCapacity(&j.demand, sc.pack.sum.Add(j.demand.Resources), packHeadroom)
}

// addToPack adds a job's next task to the pack group. The task is charged to
// its team at once.
func (sc *scheduler) addToPack(j *job, now time.Time) {
	t := sc.nextAllowedTask(j, now)
	if t == nil {
		return
	}
	if !t.raisedSize.IsZero() {
		sc.placeTask(j, now)
		return
	}
	t.inPack = true
	sc.pack.tasks = append(sc.pack.tasks, t)
	sc.pack.demands = append(sc.pack.demands, &j.demand)
	sc.pack.sum = sc.pack.sum.Add(j.demand.Resources)
	sc.chargeTeam(j.entry.Team, j.demand.Resources)
	sc.recordGrant(j.entry.Team, j.demand.Resources)
	sc.updateQueue(j, now)
}

// placePack packs the group and places the tasks that did not fit one at a
// time.
func (sc *scheduler) placePack(now time.Time) {
	pg := &sc.pack
	if len(pg.tasks) == 0 {
		return
	}
	tasks := pg.tasks
	sc.p.metrics.decisions.Add(len(tasks))
	pipe, index := sc.pipe, sc.index
	if sc.localIndex.HasCapacity(pg.demands[0], pg.sum, packHeadroom) {
		pipe, index = sc.localPipe, sc.localIndex
	}
	pipe.Pack(&pg.result, pg.demands)
	for i, worker := range pg.result.Workers {
		if worker != "" {
			index.Release(worker, pg.demands[i].Resources)
		}
	}
	pg.tasks, pg.demands, pg.sum = nil, pg.demands[:0], cluster.Resources{}
	for i, t := range tasks {
		t.inPack = false
		sc.chargeTeam(t.job.entry.Team, cluster.Resources{}.Sub(t.job.demand.Resources))
		if worker := pg.result.Workers[i]; worker != "" {
			t.score = 0
			sc.startPlacement(t, pipeline.Choice{Worker: worker}, modeStart, now)
		}
		sc.updateQueue(t.job, now)
	}
	for i, t := range tasks {
		if pg.result.Workers[i] == "" && t.state == taskWaiting {
			sc.placeTask(t.job, now)
		}
	}
}
