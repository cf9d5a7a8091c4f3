package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// checkAdmission decides whether a submission is refused. A refused submission
// never runs, and its caller is told when to retry.
func (c *Core) checkAdmission(sub *workload.Submission, storeDelay time.Duration) (Reply, bool) {
	if c.config == nil {
		return Reply{Outcome: OutcomeRefused, Reason: "no_configuration", RetryAfterMS: 1000}, true
	}
	if _, ok := c.config.Queue(sub.Queue); !ok {
		return Reply{Outcome: OutcomeNotFound, Reason: "no_queue"}, true
	}
	if storeDelay > maxStoreDelay {
		after := min(max(storeDelay, minStoreRetryAfter), maxStoreRetryAfter)
		return Reply{Outcome: OutcomeUnavailable, Reason: "store_down", RetryAfterMS: after.Milliseconds()}, true
	}
	return Reply{}, false
}
