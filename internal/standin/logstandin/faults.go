package logstandin

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

type faults struct {
	down   bool
	hang   bool
	before time.Duration
	after  time.Duration
	// Counters of appends still to be failed.
	refuse      int
	loseAnswers int
	loseCalls   int
}

// call is what befalls one call.
type call struct {
	down       bool
	hang       bool
	refuse     bool
	loseCall   bool
	loseAnswer bool
	before     time.Duration
	after      time.Duration
}

// SetDown makes every call fail at once, and ends those that wait.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.down = down
	l.wake()
}

// SetHang makes calls wait until their contexts end, without effect.
func (l *Log) SetHang(hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.hang = hang
}

// SetDelay makes calls wait before and after their effect.
func (l *Log) SetDelay(before, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.before, l.faults.after = before, after
}

// RefuseAppends makes the next n appends fail, certainly without effect.
func (l *Log) RefuseAppends(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.refuse = n
}

// LoseResponses makes the next n appends take effect and then fail.
func (l *Log) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.loseAnswers = n
}

// LoseRequests makes the next n appends fail without effect, in a way that the
// appender cannot tell from a lost answer.
func (l *Log) LoseRequests(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.loseCalls = n
}

// SetRetention keeps only the newest n records; zero keeps all.
func (l *Log) SetRetention(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = n
	l.retain()
}

// TruncateTail drops the newest n records, as no log should.
func (l *Log) TruncateTail(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:max(0, len(l.records)-n)]
	l.wake()
}

func (l *Log) readFaults() call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commonFaults()
}

func (l *Log) takeAppendFaults() call {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.commonFaults()
	if c.down {
		return c
	}
	c.refuse = takeOne(&l.faults.refuse)
	c.loseCall = !c.refuse && takeOne(&l.faults.loseCalls)
	c.loseAnswer = !c.refuse && !c.loseCall && takeOne(&l.faults.loseAnswers)
	if c.refuse {
		l.counts.Refused++
	}
	return c
}

func (l *Log) commonFaults() call {
	f := l.faults
	return call{down: f.down, hang: f.hang, before: f.before, after: f.after}
}

func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// before applies the faults that come ahead of a call's effect.
func (l *Log) before(ctx context.Context, c call) error {
	if c.down {
		return verdict.New(verdict.NotRun, ReasonDown, "the log is down")
	}
	if c.refuse {
		return verdict.New(verdict.NotRun, ReasonRefused, "the log refused")
	}
	if c.loseCall {
		return verdict.New(verdict.MayHaveRun, ReasonResponseLost, "connection lost")
	}
	if c.hang {
		<-ctx.Done()
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, ReasonTimeout)
	}
	return verdict.Wrap(sleep(ctx, c.before), verdict.MayHaveRun, ReasonTimeout)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var _ logclient.Log = (*Log)(nil)
