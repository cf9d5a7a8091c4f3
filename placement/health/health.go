// Package health tells workers on which every task fails from jobs that fail on
// every worker. A failure is evidence against both the worker and the job. It
// counts against the worker if several jobs fail there, and against the job if
// it fails on several workers.
//
// The owner of a rack judges the rack's workers, and the home of a job judges
// the job. Each sends its suspicion to the other, so that neither is blamed for
// the other's fault.
//
// Callers pass in the current time. The types are not safe for concurrent use.
package health

import (
	"sort"
	"time"
)

const (
	// MaxEvidence is certainty, in thousandths.
	MaxEvidence = int64(1000)
	// quarantineThreshold is the evidence at which a worker is quarantined:
	// three failures with no other explanation.
	quarantineThreshold = 3 * MaxEvidence
	// poisonWorkers is the number of workers on which a job must have failed,
	// without a success anywhere, to count as a poison job.
	poisonWorkers = 3
	// failureRetention is how long a failure counts.
	failureRetention = 10 * time.Minute

	// The first quarantine lasts minQuarantine. Without a success, each
	// following one lasts twice as long as the one before, up to maxQuarantine.
	minQuarantine = time.Minute
	maxQuarantine = time.Hour
)

type failure struct {
	job    string
	weight int64
	at     time.Time
}

// Worker is the evidence against one worker. The zero value has none.
type Worker struct {
	failures         []failure
	quarantinedUntil time.Time
	quarantines      int
	onProbation      bool
}

// RecordFailure counts the failure of a task. The suspicion is the evidence
// against the job, from 0 to MaxEvidence, and reduces the weight of the failure.
// Each failure of a job that has run elsewhere counts; of any other job, only
// the first one does.
func (w *Worker) RecordFailure(job string, suspicion int64, hasRun bool, now time.Time) {
	w.expire(now)
	weight := max(MaxEvidence-suspicion, 0)
	if !hasRun && w.hasFailureOf(job) {
		return
	}
	w.failures = append(w.failures, failure{job, weight, now})
	if w.onProbation || w.evidence() >= quarantineThreshold {
		w.quarantine(now)
	}
}

// RecordSuccess clears the evidence and ends a quarantine: the worker can run
// tasks.
func (w *Worker) RecordSuccess() {
	w.failures = w.failures[:0]
	w.quarantines, w.onProbation = 0, false
	w.quarantinedUntil = time.Time{}
}

// ForgetJob removes the failures of a job that was found to fail on every
// worker.
func (w *Worker) ForgetJob(job string) {
	kept := w.failures[:0]
	for _, f := range w.failures {
		if f.job != job {
			kept = append(kept, f)
		}
	}
	if len(kept) == len(w.failures) {
		return
	}
	w.failures = kept
	if w.evidence() < quarantineThreshold && !w.quarantinedUntil.IsZero() {
		w.quarantinedUntil, w.quarantines, w.onProbation = time.Time{}, 0, false
	}
}

// Quarantined reports whether the worker accepts no tasks at now.
func (w *Worker) Quarantined(now time.Time) bool { return now.Before(w.quarantinedUntil) }

// OnProbation reports whether the worker's quarantine has ended but no task has
// succeeded since. Such a worker may run one task at a time.
func (w *Worker) OnProbation(now time.Time) bool {
	if w.quarantines > 0 && !w.Quarantined(now) {
		w.onProbation = true
	}
	return w.onProbation
}

// Suspicion returns the evidence against the worker, from 0 to MaxEvidence.
func (w *Worker) Suspicion(now time.Time) int64 {
	if w.quarantines > 0 {
		return MaxEvidence
	}
	w.expire(now)
	return min(w.evidence()*MaxEvidence/quarantineThreshold, MaxEvidence)
}

func (w *Worker) quarantine(now time.Time) {
	w.quarantinedUntil = now.Add(min(minQuarantine<<min(w.quarantines, 16), maxQuarantine))
	w.quarantines++
	w.onProbation = false
}

func (w *Worker) hasFailureOf(job string) bool {
	for _, f := range w.failures {
		if f.job == job {
			return true
		}
	}
	return false
}

func (w *Worker) evidence() int64 {
	sum := int64(0)
	for _, f := range w.failures {
		sum += f.weight
	}
	return sum
}

func (w *Worker) expire(now time.Time) {
	kept := w.failures[:0]
	for _, f := range w.failures {
		if now.Sub(f.at) < failureRetention {
			kept = append(kept, f)
		}
	}
	w.failures = kept
}

// Job is the evidence against one job. The zero value has none.
type Job struct {
	failures map[string]int
	hasRun   bool
}

// RecordFailure counts a failure of one of the job's tasks on a worker.
func (j *Job) RecordFailure(worker string) {
	if j.failures == nil {
		j.failures = make(map[string]int)
	}
	j.failures[worker]++
}

// RecordSuccess records that one of the job's tasks succeeded or ran for long.
func (j *Job) RecordSuccess() { j.hasRun = true }

// ForgetWorker removes the failures on a worker that was quarantined.
func (j *Job) ForgetWorker(worker string) { delete(j.failures, worker) }

// HasRun reports whether a task of the job has succeeded or run for long on some
// worker.
func (j *Job) HasRun() bool { return j.hasRun }

// Poison reports whether the job fails on every worker where it is started.
func (j *Job) Poison() bool { return !j.hasRun && len(j.failures) >= poisonWorkers }

// Suspicion returns the evidence against the job, from 0 to MaxEvidence.
func (j *Job) Suspicion() int64 {
	if j.hasRun {
		return 0
	}
	return min(int64(len(j.failures))*MaxEvidence/poisonWorkers, MaxEvidence)
}

// Avoids reports whether the job should avoid the worker, because two of its
// tasks failed there.
func (j *Job) Avoids(worker string) bool { return j.failures[worker] >= 2 }

// HasNoFailures reports whether no failure of the job is recorded.
func (j *Job) HasNoFailures() bool { return len(j.failures) == 0 }

// AvoidedWorkers returns the workers that the job should avoid, sorted by name.
func (j *Job) AvoidedWorkers() []string {
	var out []string
	for w := range j.failures {
		if j.Avoids(w) {
			out = append(out, w)
		}
	}
	sort.Strings(out)
	return out
}
