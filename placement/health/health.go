// Package health tells a worker that fails everything it starts from a job
// that fails wherever it is started. A failure is evidence against both; what
// decides is whether the worker fails several jobs, and whether the job fails
// on several workers. The owner of the rack judges workers, the job's home
// judges jobs, and each passes on its doubts, so that neither condemns the
// one for the other's fault.
//
// Times are passed in. Nothing here is safe for concurrent use.
package health

import (
	"sort"
	"time"
)

const (
	// MaxEvidence is certainty, in thousandths.
	MaxEvidence = int64(1000)
	// asideAt is the evidence at which a worker is put aside: three failures
	// that nothing else explains.
	asideAt = 3 * MaxEvidence
	// poisonAt is on how many workers a job must have failed, and nowhere
	// have run, to be held back.
	poisonAt = 3
	// forgetAfter is how long a failure counts.
	forgetAfter = 10 * time.Minute

	firstAside = time.Minute
	maxAside   = time.Hour
)

type failure struct {
	job    string
	weight int64
	at     time.Time
}

// Worker is the evidence against one worker. The zero value is a worker that
// nothing is known of.
type Worker struct {
	failures []failure
	until    time.Time
	strikes  int
	probing  bool
}

// RecordFailure counts a task's failure. Doubt is the evidence against the job, from
// 0 to Full. A job that is proven, that is, runs elsewhere, counts with each
// failure; any other counts once.
func (w *Worker) RecordFailure(job string, doubt int64, proven bool, now time.Time) {
	w.expire(now)
	weight := max(MaxEvidence-doubt, 0)
	if !proven && w.has(job) {
		return
	}
	w.failures = append(w.failures, failure{job, weight, now})
	if w.probing || w.evidence() >= asideAt {
		w.putAside(now)
	}
}

// RecordSuccess clears the evidence: the worker can run work.
func (w *Worker) RecordSuccess() {
	w.failures = w.failures[:0]
	w.strikes, w.probing = 0, false
	w.until = time.Time{}
}

// ForgetJob forgets the failures of a job that was found to fail everywhere.
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
	if w.evidence() < asideAt && !w.until.IsZero() {
		w.until, w.strikes, w.probing = time.Time{}, 0, false
	}
}

// Quarantined reports whether the worker is put aside.
func (w *Worker) Quarantined(now time.Time) bool { return now.Before(w.until) }

// OnProbation reports whether the worker is on trial: it was put aside and may
// run one task at a time until one has succeeded.
func (w *Worker) OnProbation(now time.Time) bool {
	if w.strikes > 0 && !w.Quarantined(now) {
		w.probing = true
	}
	return w.probing
}

// Suspicion is the evidence against the worker, from 0 to Full.
func (w *Worker) Suspicion(now time.Time) int64 {
	if w.strikes > 0 {
		return MaxEvidence
	}
	w.expire(now)
	return min(w.evidence()*MaxEvidence/asideAt, MaxEvidence)
}

func (w *Worker) putAside(now time.Time) {
	w.until = now.Add(min(firstAside<<min(w.strikes, 16), maxAside))
	w.strikes++
	w.probing = false
}

func (w *Worker) has(job string) bool {
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
		if now.Sub(f.at) < forgetAfter {
			kept = append(kept, f)
		}
	}
	w.failures = kept
}

// Job is the evidence against one job. The zero value is a job that nothing
// is known of.
type Job struct {
	failed map[string]int
	proven bool
}

// RecordFailure counts a failure of one of the job's tasks on a worker.
func (j *Job) RecordFailure(worker string) {
	if j.failed == nil {
		j.failed = make(map[string]int)
	}
	j.failed[worker]++
}

// RecordSuccess notes that one of the job's tasks succeeded or ran for long.
func (j *Job) RecordSuccess() { j.proven = true }

// ForgetWorker forgets the failures on a worker that was put aside.
func (j *Job) ForgetWorker(worker string) { delete(j.failed, worker) }

// HasRun reports whether the job is known to run somewhere.
func (j *Job) HasRun() bool { return j.proven }

// Poison reports whether the job fails wherever it is started.
func (j *Job) Poison() bool { return !j.proven && len(j.failed) >= poisonAt }

// Suspicion is the evidence against the job, from 0 to Full.
func (j *Job) Suspicion() int64 {
	if j.proven {
		return 0
	}
	return min(int64(len(j.failed))*MaxEvidence/poisonAt, MaxEvidence)
}

// Avoids reports whether the job does better elsewhere: it failed twice on
// the worker.
func (j *Job) Avoids(worker string) bool { return j.failed[worker] >= 2 }

// HasNoFailures reports whether nothing speaks against the job.
func (j *Job) HasNoFailures() bool { return len(j.failed) == 0 }

// AvoidedWorkers lists the workers that the job does better without, in order.
func (j *Job) AvoidedWorkers() []string {
	var out []string
	for w := range j.failed {
		if j.Avoids(w) {
			out = append(out, w)
		}
	}
	sort.Strings(out)
	return out
}
