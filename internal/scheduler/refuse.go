package scheduler

import "github.com/currantwinch/currantwinch/workload"

// refuse decides whether a submission is turned away: it certainly never runs
// then, and its caller is told when to come back.
func (c *Core) refuse(sub *workload.Submission, storable bool) (Reply, bool) {
	if c.config == nil {
		return Reply{Outcome: OutcomeRefused, Reason: "no_configuration", RetryAfterMS: 1000}, true
	}
	if _, ok := c.config.Queue(sub.Queue); !ok {
		return Reply{Outcome: OutcomeUnknown, Reason: "no_queue"}, true
	}
	if !storable {
		return Reply{Outcome: OutcomeUnavailable, Reason: "store_down", RetryAfterMS: storeRetryAfterMS}, true
	}
	return Reply{}, false
}
