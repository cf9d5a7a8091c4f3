package events

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/ring"
)

const (
	// maxWaitingLines bounds the lines that wait to be written.
	maxWaitingLines = 4096
	// maxLinesPerSecond bounds the lines of one event.
	maxLinesPerSecond = 500
	// flushTimeout bounds the writing of what waits when the process ends.
	flushTimeout = 300 * time.Millisecond
)

// Writer hands lines to a goroutine that writes them. It never blocks: a line
// that finds no room is dropped and counted.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	done    chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: ring.New[[]byte]("log-lines", maxWaitingLines, ring.Reject), done: make(chan struct{}), closed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.Push(context.Background(), append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found no room.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits, for a short time at most.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.done) })
	select {
	case <-w.closed:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.closed)
	told := uint64(0)
	for {
		select {
		case line := <-w.lines.C():
			w.write(line)
		case <-w.done:
			w.rest()
			w.tell(told)
			return
		}
		told = w.tell(told)
	}
}

// tell writes how many lines were dropped beyond those told of, if any, and
// returns how many there are.
func (w *Writer) tell(told uint64) uint64 {
	dropped := w.dropped.Load()
	if dropped > told {
		w.write(fmt.Appendf(nil, `{"level":"WARN","msg":%q,"event":%d,"count":%d}`+"\n", LinesDropped.Name, LinesDropped.Number, dropped-told))
	}
	return dropped
}

func (w *Writer) rest() {
	for {
		select {
		case line := <-w.lines.C():
			w.write(line)
		default:
			return
		}
	}
}

// write has nowhere to report an error to: the log itself is lost.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }

// limiter bounds the lines of each event in each second.
type limiter struct {
	now  func() time.Time
	mu   sync.Mutex
	seen map[int]*second
}

// second counts one event's lines since a moment.
type second struct {
	began time.Time
	lines int
	left  int
}

// allow reports whether a line of the event may be written, and how many were
// left out in the second before.
func (l *limiter) allow(event int) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	s := l.seen[event]
	if s == nil {
		s = &second{began: now}
		l.seen[event] = s
	}
	if now.Sub(s.began) >= time.Second {
		leftOut = s.left
		*s = second{began: now}
	}
	if s.lines >= maxLinesPerSecond {
		s.left++
		return 0, false
	}
	s.lines++
	return leftOut, true
}

// WithRateLimit returns a Logger that writes at most so many lines of each event a
// second, and says how many it left out.
func (l *Logger) WithRateLimit(now func() time.Time) *Logger {
	return &Logger{log: l.log, limit: &limiter{now: now, seen: make(map[int]*second)}}
}
