// Package logstandin implements the platform's log in memory, for tests and for
// development on one machine. It can be called directly or over HTTP, and it
// injects the faults that the platform's log may have.
package logstandin

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

// MaxPageBytes is the maximum data size of a page, in bytes. A page holds at
// least one record, even one that is larger.
const MaxPageBytes = 1 << 20

// Reasons of the errors that the log returns.
const (
	ReasonDown         verdict.Reason = "log_down"
	ReasonRefused      verdict.Reason = "log_refused"
	ReasonUnreachable  verdict.Reason = "log_unreachable"
	ReasonResponseLost verdict.Reason = "log_answer_lost"
	ReasonTimeout      verdict.Reason = "log_timeout"
)

// Counts are totals since the log was created.
type Counts struct {
	Appends   uint64
	Records   uint64
	Bytes     uint64
	Reads     uint64
	ReadBytes uint64
	Refused   uint64
}

// Log keeps records in memory. It is safe for concurrent use.
type Log struct {
	now func() time.Time

	mu        sync.Mutex
	records   []logclient.StoredRecord
	oldest    uint64
	retention int
	changed   chan struct{}
	faults    faults
	counts    Counts
}

// New returns an empty log that stamps records with the time of now.
func New(now func() time.Time) *Log {
	return &Log{now: now, changed: make(chan struct{})}
}

// Append implements logclient.Log.
func (l *Log) Append(ctx context.Context, credential logclient.Credential, entries [][]byte) (uint64, error) {
	f := l.takeAppendFaults()
	if err := l.before(ctx, f); err != nil {
		return 0, err
	}
	author, err := authorOf(credential)
	if err != nil {
		return 0, err
	}
	first := l.store(author, entries)
	if f.loseResponse {
		return 0, verdict.New(verdict.MayHaveRun, ReasonResponseLost, "answer lost after the append")
	}
	if err := sleep(ctx, f.after); err != nil {
		return 0, verdict.Wrap(err, verdict.MayHaveRun, ReasonTimeout)
	}
	return first, nil
}

func (l *Log) store(author string, entries [][]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.head()
	for i, data := range entries {
		l.records = append(l.records, logclient.StoredRecord{
			Offset: first + uint64(i), Author: author, Time: l.now(), Data: append([]byte(nil), data...),
		})
		l.counts.Bytes += uint64(len(data))
	}
	l.counts.Appends++
	l.counts.Records += uint64(len(entries))
	l.retain()
	l.wake()
	return first
}

func (l *Log) head() uint64 { return l.oldest + uint64(len(l.records)) }

func (l *Log) retain() {
	if l.retention <= 0 || len(l.records) <= l.retention {
		return
	}
	drop := len(l.records) - l.retention
	l.records = append([]logclient.StoredRecord(nil), l.records[drop:]...)
	l.oldest += uint64(drop)
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Read implements logclient.Log.
func (l *Log) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (logclient.Page, error) {
	f := l.readFaults()
	if err := l.before(ctx, f); err != nil {
		return logclient.Page{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, changed, err := l.page(from, limit)
		if err != nil {
			return logclient.Page{}, err
		}
		if len(page.Records) > 0 || from < page.Oldest || from > page.Head || wait <= 0 {
			if err := sleep(ctx, f.after); err != nil {
				return logclient.Page{}, verdict.Wrap(err, verdict.NotRun, ReasonTimeout)
			}
			return page, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-ctx.Done():
			return logclient.Page{}, verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonTimeout)
		}
	}
}

func (l *Log) page(from uint64, limit int) (logclient.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down {
		return logclient.Page{}, nil, verdict.New(verdict.NotRun, ReasonDown, "the log is down")
	}
	l.counts.Reads++
	page := logclient.Page{Oldest: l.oldest, Head: l.head()}
	if from < l.oldest || from >= l.head() {
		return page, l.changed, nil
	}
	bytes := 0
	for _, r := range l.records[from-l.oldest:] {
		if len(page.Records) >= limit || (bytes > 0 && bytes+len(r.Data) > MaxPageBytes) {
			break
		}
		bytes += len(r.Data)
		page.Records = append(page.Records, r)
	}
	l.counts.ReadBytes += uint64(bytes)
	return page, l.changed, nil
}

func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Bounds returns the oldest retained offset and the head, which is the offset of
// the next record.
func (l *Log) Bounds() (oldest, head uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.oldest, l.head()
}

// authorOf returns the author "team/name" of a credential "team/name:secret".
func authorOf(c logclient.Credential) (string, error) {
	author, secret, ok := strings.Cut(string(c), ":")
	team, name, named := strings.Cut(author, "/")
	if !ok || !named || secret == "" || team == "" || name == "" {
		return "", verdict.New(verdict.NotRun, logclient.ReasonBadCredential, "credential is not of the form team/name:secret")
	}
	return author, nil
}
