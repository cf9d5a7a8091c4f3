package routing

import (
	"strings"

	"github.com/currantwinch/currantwinch/workload"
)

// Address returns what identifies the queue to its callers.
func (q *Queue) Address() workload.QueueAddress {
	return workload.QueueAddress(strings.ToLower(q.Host) + q.PathPrefix)
}

// hasAddress compares without building the queue's address.
func (q *Queue) hasAddress(a workload.QueueAddress) bool {
	prefix, ok := strings.CutSuffix(string(a), q.PathPrefix)
	return ok && strings.EqualFold(prefix, q.Host)
}

// QueueAt returns the queue with an address. It returns false for the empty address.
func (c *Configuration) QueueAt(a workload.QueueAddress) (*Queue, bool) {
	if c == nil || a == "" {
		return nil, false
	}
	for i := range c.Queues {
		if c.Queues[i].hasAddress(a) {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

// Settings returns the settings that are stored with the queue's submissions.
func (q *Queue) Settings() workload.QueueSettings {
	return workload.QueueSettings{
		Priority: q.Priority, MaxFailedRuns: q.MaxFailedRuns, Stretch: q.Stretch, TargetLatency: q.TargetLatency, Policy: q.Policy,
	}
}

// Apply replaces the settings by those that were stored with a submission.
func (q *Queue) Apply(s workload.QueueSettings) {
	q.Priority, q.MaxFailedRuns, q.Policy = s.Priority, s.MaxFailedRuns, s.Policy
	q.Stretch, q.TargetLatency = s.Stretch, s.TargetLatency
}
