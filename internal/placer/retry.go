package placer

import "time"

const (
	// minRetryDelay is how long a task waits after two attempts in a row that
	// were never seen running. The delay doubles with each further attempt, up
	// to maxRetryDelay, so that an outdated view of the workers does not cause
	// a storm of requests.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = time.Second
)

// retryDelay returns how long a task waits after a number of attempts in a row
// that were never seen running. Only the first is retried at once, which keeps
// a chain of retries from looping without time passing.
func retryDelay(retries int) time.Duration {
	if retries <= 1 {
		return 0
	}
	const doublings = 10
	return min(minRetryDelay<<min(retries-2, doublings), maxRetryDelay)
}

// requeueTask schedules a waiting task's next attempt. Every failed attempt
// goes through it, so that retryDelay always applies.
func (sc *scheduler) requeueTask(t *task, delay time.Duration, now time.Time) {
	t.retries++
	t.notBefore = now.Add(max(delay, retryDelay(t.retries)))
	sc.updateQueue(t.job, now)
}
