package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

// roomFactor is how many times the room that a wave needs must be free, so
// that the order of its tasks does not decide who gets room.
const roomFactor = 2

// wave is the tasks of this turn that are packed together.
type wave struct {
	pack    pipeline.Packing
	tasks   []*task
	demands []*pipeline.Demand
	sum     cluster.Resources
}

// joinsWave reports whether a job's next task may be packed with others: its
// class allows it and there is plenty of room.
func (h *homes) joinsWave(j *job) bool {
	if !j.health.HasNoFailures() || !h.pipe.PacksTogether(j.entry.Workload.Class) || len(h.wave.tasks) >= pipeline.MaxPackedTasks {
		return false
	}
	return h.index.HasCapacity(&j.demand, h.wave.sum.Add(j.demand.Resources), roomFactor)
}

// tryWave adds a job's next task to the wave. It counts for its team at once.
func (h *homes) tryWave(j *job, now time.Time) {
	t := h.nextAllowed(j, now)
	if t == nil {
		return
	}
	if !t.need.IsZero() {
		h.tryTask(j, now)
		return
	}
	t.inWave = true
	h.wave.tasks = append(h.wave.tasks, t)
	h.wave.demands = append(h.wave.demands, &j.demand)
	h.wave.sum = h.wave.sum.Add(j.demand.Resources)
	h.charge(j.entry.Team, j.demand.Resources)
	h.noteTaken(j.entry.Team, j.demand.Resources)
	h.enqueue(j, now)
}

// flushWave packs the wave and places what is left over one by one.
func (h *homes) flushWave(now time.Time) {
	w := &h.wave
	if len(w.tasks) == 0 {
		return
	}
	tasks := w.tasks
	h.p.metrics.decisions.Add(len(tasks))
	pipe, index := h.pipe, h.index
	if h.mine.HasCapacity(w.demands[0], w.sum, roomFactor) {
		pipe, index = h.minePipe, h.mine
	}
	pipe.Pack(&w.pack, w.demands)
	for i, worker := range w.pack.Workers {
		if worker != "" {
			index.Release(worker, w.demands[i].Resources)
		}
	}
	w.tasks, w.demands, w.sum = nil, w.demands[:0], cluster.Resources{}
	for i, t := range tasks {
		t.inWave = false
		h.charge(t.job.entry.Team, cluster.Resources{}.Sub(t.job.demand.Resources))
		if worker := w.pack.Workers[i]; worker != "" {
			t.score = 0
			h.reserve(t, pipeline.Choice{Worker: worker}, modeStart, now)
		}
		h.enqueue(t.job, now)
	}
	for i, t := range tasks {
		if w.pack.Workers[i] == "" && t.state == taskWaiting {
			h.tryTask(t.job, now)
		}
	}
}
