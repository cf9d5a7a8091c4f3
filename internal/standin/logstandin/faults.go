package logstandin

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

// faults are the faults that are set on a log.
type faults struct {
	down   bool
	hang   bool
	before time.Duration
	after  time.Duration
	// Numbers of appends still to fail in each way.
	refuse        int
	loseResponses int
	loseRequests  int
}

// callFaults holds the faults that apply to one callFaults.
type callFaults struct {
	down         bool
	hang         bool
	refuse       bool
	loseRequest  bool
	loseResponse bool
	before       time.Duration
	after        time.Duration
}

// SetDown makes every call fail immediately, reads that wait for records
// included, or ends that.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.down = down
	l.wake()
}

// SetHang makes calls block without effect until their contexts end.
func (l *Log) SetHang(hang bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.hang = hang
}

// SetDelay delays calls before and after their effect.
func (l *Log) SetDelay(before, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.before, l.faults.after = before, after
}

// RefuseAppends makes the next n appends fail with verdict.NotRun.
func (l *Log) RefuseAppends(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.refuse = n
}

// LoseResponses makes the next n appends take effect and then fail with
// verdict.MayHaveRun.
func (l *Log) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.loseResponses = n
}

// LoseRequests makes the next n appends fail without effect, with the same
// error as a lost response, so that the client cannot distinguish them.
func (l *Log) LoseRequests(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.loseRequests = n
}

// SetRetention keeps only the latest n records; zero keeps all.
func (l *Log) SetRetention(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = n
	l.retain()
}

// TruncateTail drops the latest n records. It simulates data loss in the
// platform's log, which breaks the log's contract.
func (l *Log) TruncateTail(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:max(0, len(l.records)-n)]
	l.wake()
}

func (l *Log) readFaults() callFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commonFaults()
}

func (l *Log) takeAppendFaults() callFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.commonFaults()
	if c.down {
		return c
	}
	c.refuse = consumeOne(&l.faults.refuse)
	c.loseRequest = !c.refuse && consumeOne(&l.faults.loseRequests)
	c.loseResponse = !c.refuse && !c.loseRequest && consumeOne(&l.faults.loseResponses)
	if c.refuse {
		l.counts.Refused++
	}
	return c
}

func (l *Log) commonFaults() callFaults {
	f := l.faults
	return callFaults{down: f.down, hang: f.hang, before: f.before, after: f.after}
}

func consumeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// before applies the faults that precede a call's effect.
func (l *Log) before(ctx context.Context, c callFaults) error {
	if c.down {
		return verdict.New(verdict.NotRun, ReasonDown, "the log is down")
	}
	if c.refuse {
		return verdict.New(verdict.NotRun, ReasonRefused, "the log refused")
	}
	if c.loseRequest {
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
