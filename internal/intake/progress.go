package intake

import "time"

const (
	// rateWindow is half the time over which the present rate of a request is measured: the
	// current window and the one before it.
	rateWindow = 500 * time.Millisecond
	// stallGrace is the time without a byte after which a request has no present rate.
	stallGrace = 250 * time.Millisecond
)

// Progress measures how fast the client sends, or takes, a request or message.
type Progress struct {
	// Size is the length in bytes that is expected in the end.
	Size        int64
	received    int64
	began       time.Time
	windowBegan time.Time
	// current and previous count the bytes of the present window and of the one before.
	current, previous int64
	// last is when bytes came, or when the daemon began to read again.
	last time.Time
}

// NewProgress returns the progress of a request that begins now.
func NewProgress(size int64, now time.Time) Progress {
	return Progress{Size: size, began: now, windowBegan: now, last: now}
}

// Add records that n bytes have come.
func (p *Progress) Add(n int64, now time.Time) {
	p.roll(now)
	p.received += n
	p.current += n
	p.last = now
}

func (p *Progress) roll(now time.Time) {
	switch passed := now.Sub(p.windowBegan); {
	case passed < rateWindow:
	case passed < 2*rateWindow:
		p.previous, p.current, p.windowBegan = p.current, 0, p.windowBegan.Add(rateWindow)
	default:
		p.previous, p.current, p.windowBegan = 0, 0, now.Add(-rateWindow)
	}
}

// Resume excludes a time during which the daemon did not read.
func (p *Progress) Resume(waited time.Duration) {
	p.began, p.windowBegan, p.last = p.began.Add(waited), p.windowBegan.Add(waited), p.last.Add(waited)
}

// Age returns how long the client has had to send.
func (p *Progress) Age(now time.Time) time.Duration { return now.Sub(p.began) }

// Left returns how long the rest takes at the present rate, which counts as at least one
// byte a second.
func (p *Progress) Left(now time.Time) time.Duration {
	p.roll(now)
	elapsed := now.Sub(p.windowBegan)
	if p.windowBegan.After(p.began) {
		elapsed += rateWindow
	}
	rate := max(1, float64(p.current+p.previous)/max(elapsed.Seconds(), time.Millisecond.Seconds()))
	if now.Sub(p.last) >= stallGrace {
		rate = 1
	}
	return time.Duration(float64(max(1, p.Size-p.received)) / rate * float64(time.Second))
}
