package entry

import "time"

// backoffs holds the daemons that failed to answer, which get no calls for a
// while if there are others. The time doubles with each further failure, up to
// maxBackoff.
type backoffs map[string]backoff

// backoff is the time until which a daemon gets no calls, and its length.
type backoff struct {
	until time.Time
	last  time.Duration
}

// active reports whether a daemon backs off now.
func (b backoffs) active(name string, now time.Time) bool { return now.Before(b[name].until) }

// record records the outcome of a call to a daemon.
func (b backoffs) record(name string, now time.Time, err error) {
	if err == nil {
		delete(b, name)
		return
	}
	if b.active(name, now) {
		// Concurrent calls failed for the same reason; count them once.
		return
	}
	last := min(max(2*b[name].last, minBackoff), maxBackoff)
	b[name] = backoff{now.Add(last), last}
}
