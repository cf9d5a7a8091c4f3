package placer

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/queue"
)

// statusTimeout bounds how long a status query waits for a busy duty.
const statusTimeout = time.Second

// Status holds the jobs whose home is this daemon and all workers.
type Status struct {
	Jobs    []JobStatus    `json:"jobs"`
	Workers []WorkerStatus `json:"workers"`
	Queue   queue.Counts   `json:"queue"`
	Homes   []HomeStatus   `json:"homes"`
}

// JobStatus is the status of one job.
type JobStatus struct {
	ID       string            `json:"id"`
	Service  string            `json:"service"`
	Team     string            `json:"team"`
	Workload string            `json:"workload"`
	Class    document.Class    `json:"class"`
	Priority document.Priority `json:"priority,omitempty"`
	// Tasks counts the job's tasks by state.
	Tasks map[string]int `json:"tasks"`
	// Unschedulable is the constraint that no set of workers can meet, if any.
	Unschedulable string `json:"never,omitempty"`
}

// WorkerStatus is the status of one worker as last reported by its rack's
// owner.
type WorkerStatus struct {
	Name            string            `json:"name"`
	Location        cluster.Location  `json:"location"`
	Capacity        cluster.Resources `json:"capacity"`
	Used            cluster.Resources `json:"used"`
	AcceleratorKind string            `json:"acceleratorKind,omitempty"`
	// State is "open", or the reason for which the worker accepts no new
	// attempts.
	State string `json:"state"`
	Tasks int    `json:"tasks"`
	// Suspicion is the evidence against the worker in thousandths.
	Suspicion int64 `json:"suspicion,omitempty"`
}

// HomeStatus is the status of one key share that this daemon owns.
type HomeStatus struct {
	Share cluster.Share `json:"share"`
	Epoch uint64        `json:"epoch"`
	// Recovered is set once every rack has reported the home's attempts.
	Recovered bool `json:"collected"`
	// PendingRacks lists the racks that have not reported yet.
	PendingRacks []string `json:"unread,omitempty"`
}

// Status returns the jobs of this daemon's homes and all workers. It is empty
// if placement does not run or does not answer within statusTimeout.
func (p *Placer) Status() Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, _ := query(ctx, p.scheduler.executor, p.scheduler.status)
	return s
}

func (sc *scheduler) status() Status {
	s := Status{Jobs: []JobStatus{}, Workers: []WorkerStatus{}, Homes: []HomeStatus{}, Queue: sc.queue.Counts()}
	for _, j := range sc.jobs {
		s.Jobs = append(s.Jobs, j.status())
	}
	sort.Slice(s.Jobs, func(i, k int) bool { return s.Jobs[i].ID < s.Jobs[k].ID })
	for _, r := range sc.racks {
		for _, w := range r.workers {
			s.Workers = append(s.Workers, w.status())
		}
	}
	sort.Slice(s.Workers, func(i, k int) bool { return s.Workers[i].Name < s.Workers[k].Name })
	for _, hm := range sc.homes {
		s.Homes = append(s.Homes, sc.homeStatus(hm))
	}
	sort.Slice(s.Homes, func(i, k int) bool { return s.Homes[i].Share.Name < s.Homes[k].Share.Name })
	return s
}

func (j *job) status() JobStatus {
	w := j.entry.Workload
	s := JobStatus{
		ID: j.entry.ID, Service: j.entry.Service, Team: j.entry.Team, Workload: w.Name,
		Class: w.Class, Priority: w.Priority, Tasks: make(map[string]int), Unschedulable: j.unschedulable,
	}
	for _, t := range j.tasks {
		s.Tasks[string(t.state)]++
	}
	return s
}

func (w *workerSnapshot) status() WorkerStatus {
	v := w.view
	state := v.Closed
	if state == "" {
		state = "open"
	}
	return WorkerStatus{
		Name: v.Name, Location: v.Location, Capacity: v.Capacity, Used: v.Used,
		AcceleratorKind: v.AcceleratorKind, State: state, Tasks: v.Tasks, Suspicion: v.Suspicion,
	}
}

func (sc *scheduler) homeStatus(hm *home) HomeStatus {
	s := HomeStatus{Share: hm.share, Epoch: hm.term.Epoch, Recovered: hm.recovered}
	for share := range sc.racks {
		if !hm.completeRacks[share] {
			s.PendingRacks = append(s.PendingRacks, share.Name)
		}
	}
	sort.Strings(s.PendingRacks)
	return s
}

// Dump is the placement section of the state dump.
type Dump struct {
	Racks  []RackDump `json:"racks"`
	Status Status     `json:"status"`
}

// RackDump summarises one rack that this daemon owns.
type RackDump struct {
	Share    cluster.Share `json:"share"`
	Epoch    uint64        `json:"epoch"`
	Complete bool          `json:"complete"`
	Workers  int           `json:"workers"`
	Entries  int           `json:"entries"`
	Attempts int           `json:"attempts"`
	// Inconsistency describes the first wrong sum of the rack's allocations, if
	// any.
	Inconsistency string `json:"fault,omitempty"`
}

// maxDumpEntries bounds the jobs and workers of a dump, each.
const maxDumpEntries = 200

// Dump returns the sizes of this daemon's racks and a status of at most
// maxDumpEntries jobs and workers each.
func (p *Placer) Dump() any {
	d := Dump{Status: p.Status()}
	d.Status.Jobs = d.Status.Jobs[:min(len(d.Status.Jobs), maxDumpEntries)]
	d.Status.Workers = d.Status.Workers[:min(len(d.Status.Workers), maxDumpEntries)]
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	d.Racks, _ = query(ctx, p.allocator.executor, p.allocator.dump)
	return d
}

func (al *allocator) dump() []RackDump {
	out := make([]RackDump, 0, len(al.racks))
	for _, r := range al.racks {
		d := RackDump{
			Share: r.share, Epoch: r.term.Epoch, Complete: r.complete, Workers: len(r.workers),
			Entries: r.book.Len(), Attempts: len(r.attempts),
		}
		if err := r.book.Check(); err != nil {
			d.Inconsistency = err.Error()
		}
		out = append(out, d)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Share.Name < out[k].Share.Name })
	return out
}
