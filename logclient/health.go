package logclient

import "github.com/pkg/errors"

import "time"

// Health is the state of the log as one client sees it.
type Health uint8

// The states of the log.
const (
	// HealthUnknown holds until the first answer.
	HealthUnknown Health = iota
	// HealthFresh means that reads reach the head in time.
	HealthFresh
	// HealthSlow means that answers come, but late.
	HealthSlow
	// HealthDown means that no answer comes.
	HealthDown
	// HealthTruncated means that the log dropped records that were not read.
	HealthTruncated
)

// String returns the state's name.
func (h Health) String() string {
	return [...]string{"unknown", "fresh", "slow", "down", "truncated"}[h]
}

// MarshalText returns the state's name.
func (h Health) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// Limits of the health decision.
const (
	// SlowAfter is how late an answer may be before the log counts as slow.
	SlowAfter = time.Second
	// DownAfter is how long no answer may come before the log counts as down,
	// however many calls are still waiting.
	DownAfter = 12 * time.Second
	// DownFailures is how many reads must fail in a row before the log counts
	// as down ahead of DownAfter.
	DownFailures = 3
)

// HealthSignals is what one client has seen of the log. The zero value has seen
// nothing.
type HealthSignals struct {
	// StartedAt is when the client began to look.
	StartedAt time.Time
	// LastAnswer is when the last good answer came, and Late how much later
	// than the wait that was asked for.
	LastAnswer time.Time
	Lateness   time.Duration
	// Failures counts the failed reads since the last good answer.
	Failures int
	// Truncated is set while records are missing that were never read.
	Truncated bool
}

// WithAnswer returns the signs after a good answer.
func (s HealthSignals) WithAnswer(now time.Time, late time.Duration) HealthSignals {
	s.LastAnswer, s.Lateness, s.Failures = now, late, 0
	return s
}

// WithFailure returns the signs after a failed read.
func (s HealthSignals) WithFailure() HealthSignals {
	s.Failures++
	return s
}

// Health returns the log's health by the signs.
func (s HealthSignals) Health(now time.Time) Health {
	last := s.LastAnswer
	if last.IsZero() {
		last = s.StartedAt
	}
	quiet := now.Sub(last)
	switch {
	case s.Failures >= DownFailures || quiet > DownAfter:
		return HealthDown
	case s.Truncated:
		return HealthTruncated
	case s.LastAnswer.IsZero():
		return HealthUnknown
	case s.Lateness > SlowAfter || quiet > SlowAfter+MaxReadWait:
		return HealthSlow
	default:
		return HealthFresh
	}
}

// UnmarshalText reads a state's name.
func (h *Health) UnmarshalText(text []byte) error {
	for _, each := range []Health{HealthUnknown, HealthFresh, HealthSlow, HealthDown, HealthTruncated} {
		if each.String() == string(text) {
			*h = each
			return nil
		}
	}
	return errors.Errorf("unknown log health %q", text)
}
