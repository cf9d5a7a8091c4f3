package scheduler

import (
	"maps"
	"slices"

	"github.com/currantwinch/currantwinch/workload"
)

// A submission may have very many occurrences, most of them far off or over. Only those
// that are due and not done are built, so that memory grows with what runs and not with
// what was accepted. What was stored of an occurrence that is not built is kept as stored.

// occurrence is one execution of all steps.
type occurrence struct {
	job   *job
	index int
	steps []*step
	// open counts the steps that are not done.
	open int
	// due is set once the occurrence's start time has come.
	due bool
}

// build returns an occurrence, which it builds if it is not. It returns nil if there is no
// such occurrence, or if it is done.
func (j *job) build(index int) *occurrence {
	if o := j.occurrences[index]; o != nil {
		return o
	}
	if index < 0 || index >= j.sub.Occurrences() || j.done.Contains(index) {
		return nil
	}
	o := &occurrence{job: j, index: index, open: len(j.sub.Steps)}
	for i := range j.sub.Steps {
		spec := &j.sub.Steps[i]
		s := &step{occurrence: o, index: i, spec: spec, tasks: make([]task, spec.Count), attemptsPerServer: make(map[*server]int)}
		for n := range s.tasks {
			s.tasks[n].step = s
			s.tasks[n].index = n
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[index] = o
	o.restore(j.saved[index])
	delete(j.saved, index)
	o.skipRunsThrough(j.minRun)
	return o
}

// finished notes that all steps are done. Attempts that are being stopped hold on to the
// occurrence until they end.
func (o *occurrence) finished() {
	o.job.done = o.job.done.Add(o.index, o.index+1)
	delete(o.job.occurrences, o.index)
}

// open returns the number of occurrences that are not done.
func (j *job) open() int { return j.sub.Occurrences() - j.done.Count() }

// built returns the occurrences that are built, in order.
func (j *job) built() []*occurrence {
	out := make([]*occurrence, 0, len(j.occurrences))
	for _, index := range slices.Sorted(maps.Keys(j.occurrences)) {
		out = append(out, j.occurrences[index])
	}
	return out
}

// step returns a step of an occurrence that is built, or nil.
func (j *job) step(occurrence, index int) *step {
	o := j.occurrences[occurrence]
	if o == nil || index < 0 || index >= len(o.steps) {
		return nil
	}
	return o.steps[index]
}

// task returns the task with the given ID, or nil if it is done with its occurrence or
// does not exist. It builds the occurrence: a server has listed a run of it.
func (c *Core) task(j *job, id workload.TaskID) *task {
	if j.occurrences[id.Occurrence] == nil && c.build(j, id.Occurrence) == nil {
		return nil
	}
	s := j.step(id.Occurrence, id.Step)
	if s == nil || id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[id.Index]
}

// progress returns the state of the job's tasks that the next owner needs.
func (j *job) progress() workload.Progress {
	p := workload.Progress{Done: slices.Clone(j.done)}
	for _, o := range j.built() {
		for _, s := range o.steps {
			if s.done > 0 {
				p.Steps = append(p.Steps, workload.StepProgress{Occurrence: o.index, Step: s.index, Done: s.doneBits()})
			}
			p.Tasks = s.taskProgress(p.Tasks)
		}
	}
	for _, index := range slices.Sorted(maps.Keys(j.saved)) {
		p.Steps = append(p.Steps, j.saved[index].Steps...)
		p.Tasks = append(p.Tasks, j.saved[index].Tasks...)
	}
	return p
}

// restore applies stored progress. No occurrence that it names may have been built.
func (j *job) restore(p workload.Progress) {
	total := j.sub.Occurrences()
	for _, r := range p.Done {
		j.done = j.done.Add(max(r.From, 0), min(r.To, total))
	}
	for _, m := range p.Steps {
		j.save(m.Occurrence, func(kept *workload.Progress) { kept.Steps = append(kept.Steps, m) })
	}
	for _, m := range p.Tasks {
		j.save(m.Occurrence, func(kept *workload.Progress) { kept.Tasks = append(kept.Tasks, m) })
	}
	for index, kept := range j.saved {
		if j.allDone(kept) {
			// Earlier versions stored each step of an occurrence that was done.
			j.done = j.done.Add(index, index+1)
			delete(j.saved, index)
		}
	}
}

// save changes what is kept of an occurrence that is not built.
func (j *job) save(occurrence int, change func(kept *workload.Progress)) {
	if occurrence < 0 || occurrence >= j.sub.Occurrences() || j.done.Contains(occurrence) {
		return
	}
	if j.saved == nil {
		j.saved = make(map[int]workload.Progress)
	}
	kept := j.saved[occurrence]
	change(&kept)
	j.saved[occurrence] = kept
}

// allDone reports whether the stored progress of one occurrence has all tasks as done.
func (j *job) allDone(p workload.Progress) bool {
	done := make(map[int]int)
	for _, m := range p.Steps {
		if m.Step < 0 || m.Step >= len(j.sub.Steps) {
			continue
		}
		n := 0
		for i := range j.sub.Steps[m.Step].Count {
			if bitSet(m.Done, i) {
				n++
			}
		}
		done[m.Step] = n
	}
	for i := range j.sub.Steps {
		if done[i] < j.sub.Steps[i].Count {
			return false
		}
	}
	return true
}

func bitSet(bits []byte, i int) bool { return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

// restore applies the stored progress of the occurrence.
func (o *occurrence) restore(p workload.Progress) {
	for _, m := range p.Steps {
		if m.Step < 0 || m.Step >= len(o.steps) {
			continue
		}
		s := o.steps[m.Step]
		for i := range s.tasks {
			if bitSet(m.Done, i) {
				s.markDone(&s.tasks[i])
			}
		}
	}
	for _, m := range p.Tasks {
		if m.Step < 0 || m.Step >= len(o.steps) || m.Index < 0 || m.Index >= len(o.steps[m.Step].tasks) {
			continue
		}
		t := &o.steps[m.Step].tasks[m.Index]
		t.run, t.failedRuns, t.checkpoint, t.exposure = m.Run, m.FailedRuns, m.Checkpoint, m.Exposure
		if m.Crashes != nil {
			t.crashes = *m.Crashes
		}
	}
}

// skipRunsThrough makes the next runs of all tasks be numbered above n.
func (j *job) skipRunsThrough(n int) {
	j.minRun = max(j.minRun, n)
	for _, o := range j.occurrences {
		o.skipRunsThrough(n)
	}
}

func (o *occurrence) skipRunsThrough(n int) {
	for _, s := range o.steps {
		for i := range s.tasks {
			s.tasks[i].run = max(s.tasks[i].run, n)
		}
	}
}

// maxRun returns a run number that no run of the job so far exceeds.
func (j *job) maxRun() int {
	highest := j.minRun
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				highest = max(highest, s.tasks[i].run)
			}
		}
	}
	for _, kept := range j.saved {
		for _, m := range kept.Tasks {
			highest = max(highest, m.Run)
		}
	}
	return highest
}
