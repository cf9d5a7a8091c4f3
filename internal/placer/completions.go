package placer

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/record"
)

const (
	appendTimeout    = 10 * time.Second
	appendRetryDelay = time.Second
	maxAppendBatch   = 64
)

// completionWriter appends the results of jobs to the log in batches and
// repeats them until the append succeeds.
type completionWriter struct {
	scheduler  *scheduler
	pending    map[string]record.Record
	writing    bool
	nextAppend time.Time
}

func (w *completionWriter) init(sc *scheduler) {
	w.scheduler = sc
	w.pending = make(map[string]record.Record)
}

// finishJob queues a job's result for the log. The job is removed once the log
// shows it as ended.
func (sc *scheduler) finishJob(j *job, succeeded, failed int, reason string) {
	if j.finishing {
		return
	}
	j.finishing = true
	id := j.entry.ID
	sc.queue.Remove(id)
	sc.p.metrics.done.Inc()
	sc.p.o.Events.Log(events.JobDone, "job", id, "team", j.entry.Team, "succeeded", succeeded, "failed", failed, "reason", reason)
	sc.completions.pending[id] = record.Record{
		Key: "done/" + id, Kind: record.KindDone,
		Done: &record.Done{JobID: id, Succeeded: succeeded, Failed: failed, Reason: reason},
	}
}

func (w *completionWriter) remove(id string) { delete(w.pending, id) }

// flush appends the pending results of jobs whose home this daemon still is.
func (w *completionWriter) flush(now time.Time) {
	if w.writing || len(w.pending) == 0 || now.Before(w.nextAppend) {
		return
	}
	ids := make([]string, 0, len(w.pending))
	for id := range w.pending {
		if j, ok := w.scheduler.jobs[id]; ok && w.scheduler.mayAct(j.home) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	ids = ids[:min(len(ids), maxAppendBatch)]
	if len(ids) == 0 {
		return
	}
	records := make([]record.Record, len(ids))
	for i, id := range ids {
		records[i] = w.pending[id]
	}
	w.writing = true
	p := w.scheduler.p
	p.async(appendTimeout, func(ctx context.Context) {
		_, err := p.o.Appender.Append(ctx, p.o.SystemCredential, records...)
		w.scheduler.executor.post(func() { w.finishAppend(ids, err) })
	})
}

func (w *completionWriter) finishAppend(ids []string, err error) {
	w.writing = false
	if err != nil {
		w.nextAppend = w.scheduler.p.o.Now().Add(appendRetryDelay)
		return
	}
	for _, id := range ids {
		delete(w.pending, id)
	}
}
