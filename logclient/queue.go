package logclient

import (
	"time"

	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// pendingAppend holds the records of one call of Append. They are appended
// together.
type pendingAppend struct {
	credential Credential
	keys       []string
	data       [][]byte
	bytes      int
	urgent     bool
	// due is when the append need no longer wait for others to share its
	// batch.
	due time.Time
	// attemptInFlight is set while an attempt is in flight, and outcomeUnknown
	// once an attempt has ended that may have reached the log.
	attemptInFlight bool
	outcomeUnknown  bool
	attempts        int
	// done is closed once the outcome is set.
	done     chan struct{}
	finished bool
	offset   uint64
	err      error
}

// verdict returns what is known of an append that no attempt has confirmed.
func (u *pendingAppend) verdict() verdict.Verdict {
	if u.attemptInFlight || u.outcomeUnknown {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func (u *pendingAppend) finish(offset uint64, err error) {
	if u.finished {
		return
	}
	u.finished, u.offset, u.err = true, offset, err
	close(u.done)
}

// credentialQueue holds the appends of one credential, oldest first.
type credentialQueue struct {
	appends []*pendingAppend
	due     time.Time
	bytes   int
	urgent  int
}

// queue holds the appends that wait to be sent.
type queue struct {
	byCredential map[Credential]*credentialQueue
	appends      int
	bytes        int
}

func (q *queue) push(u *pendingAppend) {
	l := q.byCredential[u.credential]
	if l == nil {
		l = &credentialQueue{due: u.due}
		q.byCredential[u.credential] = l
	}
	l.appends = append(l.appends, u)
	l.bytes += u.bytes
	if u.urgent {
		l.urgent++
	}
	if u.due.Before(l.due) {
		l.due = u.due
	}
	q.appends++
	q.bytes += u.bytes
}

// next returns the credential whose appends to send next and when they are
// due: an urgent append that is already due goes first, then the one that is
// due first.
func (q *queue) next(maxBytes int, now time.Time) (best Credential, due time.Time, urgent, found bool) {
	for credential, l := range q.byCredential {
		at := l.due
		if l.bytes >= maxBytes && at.After(now) {
			at = now
		}
		first := l.urgent > 0 && !at.After(now)
		switch {
		case !found, first && !urgent:
		case urgent && !first:
			continue
		case at.After(due), at.Equal(due) && credential > best:
			continue
		}
		best, due, urgent, found = credential, at, first, true
	}
	return best, due, urgent, found
}

// take removes the oldest appends of a credential that fit into one batch.
func (q *queue) take(credential Credential, maxBytes, maxRecords int) []*pendingAppend {
	l := q.byCredential[credential]
	var batch []*pendingAppend
	bytes, records := 0, 0
	remaining := l.appends
	for len(remaining) > 0 {
		u := remaining[0]
		full := bytes+u.bytes > maxBytes || records+len(u.data) > maxRecords
		if full && len(batch) > 0 {
			break
		}
		remaining = remaining[1:]
		q.remove(l, u)
		if u.finished {
			continue
		}
		batch = append(batch, u)
		bytes += u.bytes
		records += len(u.data)
	}
	q.setRemaining(credential, l, remaining)
	return batch
}

func (q *queue) remove(l *credentialQueue, u *pendingAppend) {
	l.bytes -= u.bytes
	if u.urgent {
		l.urgent--
	}
	q.appends--
	q.bytes -= u.bytes
}

func (q *queue) setRemaining(credential Credential, l *credentialQueue, rest []*pendingAppend) {
	if len(rest) == 0 {
		delete(q.byCredential, credential)
		return
	}
	l.appends = append([]*pendingAppend(nil), rest...)
	l.due = rest[0].due
	for _, u := range rest {
		if u.due.Before(l.due) {
			l.due = u.due
		}
	}
}

// removeIf removes every append for which drop returns true.
func (q *queue) removeIf(drop func(*pendingAppend) bool) {
	for credential, l := range q.byCredential {
		var rest []*pendingAppend
		for _, u := range l.appends {
			if drop(u) {
				q.remove(l, u)
				continue
			}
			rest = append(rest, u)
		}
		q.setRemaining(credential, l, rest)
	}
}

func shortestLinger(records []record.Record, linger func(record.Kind) time.Duration) time.Duration {
	shortest := linger(records[0].Kind)
	for _, r := range records[1:] {
		shortest = min(shortest, linger(r.Kind))
	}
	return shortest
}
