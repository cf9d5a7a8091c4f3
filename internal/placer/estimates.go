package placer

import (
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/placement/usage"
)

// maxEstimates bounds the number of workloads whose sizes and run times are
// estimated.
const maxEstimates = 1000

func usageKey(e roles.JobEntry) usage.Key {
	return usage.Key{Team: e.Team, Service: e.Service, Workload: e.Workload.Name}
}

// recordUsage adds an attempt's peak usage and run time to the estimates of its
// workload. Attempts that failed or were stopped are left out: a run that was
// cut short tells nothing about the run time.
func (sc *scheduler) recordUsage(t *task, s taskStatus) {
	if s.ExitCode == 0 && !s.Stopped {
		sc.estimates.Add(usageKey(t.job.entry), usage.Sample{Peak: s.Peak, RunTime: s.RunTime})
	}
}

// estimatedSize returns the resources that one task of a job is counted with.
func (sc *scheduler) estimatedSize(e roles.JobEntry) cluster.Resources {
	return sc.estimates.Size(usageKey(e), e.Workload.Resources, sc.largestWorker)
}

// raiseSize counts the task's next attempt with the peak usage of the last one,
// as far as the largest worker can hold it.
func (sc *scheduler) raiseSize(t *task, peak cluster.Resources) {
	size := t.size()
	t.raisedSize = cluster.Resources{
		CPU:          max(size.CPU, min(peak.CPU, sc.largestWorker.CPU)),
		Memory:       max(size.Memory, min(peak.Memory, sc.largestWorker.Memory)),
		Accelerators: size.Accelerators,
	}
}

// size returns the resources that the task's next attempt is counted with.
func (t *task) size() cluster.Resources {
	if t.raisedSize.IsZero() {
		return t.job.demand.Resources
	}
	return t.raisedSize
}
