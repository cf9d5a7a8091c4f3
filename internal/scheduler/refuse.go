package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// refuse decides whether a submission is turned away: it certainly never runs
// then, and its caller is told when to come back.
func (c *Core) refuse(sub *workload.Submission, behind time.Duration) (Reply, bool) {
	if c.config == nil {
		return Reply{Outcome: OutcomeRefused, Reason: "no_configuration", RetryAfterMS: 1000}, true
	}
	if _, ok := c.config.Queue(sub.Queue); !ok {
		return Reply{Outcome: OutcomeNotFound, Reason: "no_queue"}, true
	}
	if behind > storeSilence {
		after := min(max(behind, minStoreRetryAfter), maxStoreRetryAfter)
		return Reply{Outcome: OutcomeUnavailable, Reason: "store_down", RetryAfterMS: after.Milliseconds()}, true
	}
	return Reply{}, false
}
