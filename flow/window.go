package flow

import "time"

const (
	// minWindow keeps some calls in flight, without which nothing would be
	// measured.
	minWindow = 8
	// initialWindow and maxWindow bound the calls in flight before the first
	// measurement and at any time.
	initialWindow = 64
	maxWindow     = 1024
	// minRound is the shortest time between two adjustments.
	minRound = 100 * time.Millisecond
	// minSamples is the least number of answers for an adjustment.
	minSamples = 8
	// targetDelay is the standing queueing delay that the window allows. The
	// messages of one piece of work follow each other, and each waits that long.
	// A processor that is given its share in slices of 100 ms adds longer delays
	// to some answers, but not to all of a round.
	targetDelay = 15 * time.Millisecond
	// maxDecrease is the least factor by which one adjustment lowers the
	// window; growthFactor and growthStep raise it.
	maxDecrease  = 0.5
	growthFactor = 1.1
	growthStep   = 1
	// silentShare: when at least this share of the receivers called within
	// silenceInterval are silent, the sender is taken to be overloaded.
	silentShare     = 0.5
	silenceInterval = 2 * time.Second
)

// Window is an adaptive limit on the calls in flight. It is lowered while even
// the fastest answers of a round were queued for longer than targetDelay, which
// a slow receiver cannot cause, and raised while it is what limits the calls.
type Window struct {
	limit    float64
	inFlight int
	round    round
	// receivers holds those that were called within silenceInterval.
	receivers map[string]contact
	// congested is set while the last adjustment lowered the window.
	congested bool
	delay     time.Duration
}

// round is what was seen since the last adjustment.
type round struct {
	began    time.Time
	answers  int
	minDelay time.Duration
	timeouts int
	// limited is set if a call had to wait for the window.
	limited bool
}

// contact is when a receiver last answered and last failed to.
type contact struct{ answered, timedOut time.Time }

// silent reports whether the newest outcome is a time-out.
func (c contact) silent() bool { return c.timedOut.After(c.answered) }

// NewWindow returns a Window of initialWindow calls.
func NewWindow(now time.Time) *Window {
	return &Window{limit: initialWindow, round: round{began: now}, receivers: make(map[string]contact)}
}

// Limit returns the number of calls that may be in flight.
func (w *Window) Limit() int { return int(w.limit) }

// InFlight returns the number of calls in flight.
func (w *Window) InFlight() int { return w.inFlight }

// Congested reports whether calls were last queued for too long.
func (w *Window) Congested() bool { return w.congested }

// Delay returns the queueing delay of the last round.
func (w *Window) Delay() time.Duration { return w.delay }

// Acquire takes the place of one call. It returns false if there is none.
func (w *Window) Acquire() bool {
	if w.inFlight >= w.Limit() {
		w.round.limited = true
		return false
	}
	w.inFlight++
	return true
}

// Release returns the place of one call.
func (w *Window) Release() { w.inFlight-- }

// ObserveAnswer records an answer with its queueing delay.
func (w *Window) ObserveAnswer(now time.Time, receiver string, delay time.Duration) {
	r := &w.round
	if r.answers == 0 || delay < r.minDelay {
		r.minDelay = delay
	}
	r.answers++
	c := w.receivers[receiver]
	c.answered = now
	w.receivers[receiver] = c
	w.adjust(now)
}

// ObserveTimeout records a call without an answer.
func (w *Window) ObserveTimeout(now time.Time, receiver string) {
	w.round.timeouts++
	c := w.receivers[receiver]
	c.timedOut = now
	w.receivers[receiver] = c
	w.adjust(now)
}

// Silent reports whether the receiver's newest outcome is a time-out.
func (w *Window) Silent(receiver string) bool { return w.receivers[receiver].silent() }

// adjust changes the limit once a round has lasted long enough and has enough
// outcomes.
func (w *Window) adjust(now time.Time) {
	r := &w.round
	if now.Sub(r.began) < minRound || r.answers+r.timeouts < minSamples {
		return
	}
	w.delay = r.minDelay
	switch {
	case w.mostSilent(now):
		w.lower(maxDecrease)
	case r.answers > 0 && r.minDelay > targetDelay:
		w.lower(max(float64(targetDelay)/float64(r.minDelay), maxDecrease))
	default:
		w.congested = false
		if r.limited {
			w.limit = min(w.limit*growthFactor+growthStep, maxWindow)
		}
	}
	*r = round{began: now}
}

func (w *Window) lower(factor float64) {
	w.congested = true
	w.limit = max(w.limit*factor, minWindow)
}

// mostSilent reports whether most receivers called of late did not answer, and
// drops those that were not called.
func (w *Window) mostSilent(now time.Time) bool {
	silent := 0
	for receiver, c := range w.receivers {
		switch {
		case now.Sub(c.answered) > silenceInterval && now.Sub(c.timedOut) > silenceInterval:
			delete(w.receivers, receiver)
		case c.silent():
			silent++
		}
	}
	return silent >= minSamples/2 && float64(silent) >= silentShare*float64(len(w.receivers))
}
