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
	// maxQueuedLines is the capacity of the queue of lines to be written.
	maxQueuedLines = 4096
	// maxLinesPerSecond limits the lines of each event.
	maxLinesPerSecond = 500
	// flushTimeout limits how long Close waits for queued lines to be written.
	flushTimeout = 300 * time.Millisecond
)

// Writer queues log lines for a goroutine that writes them. Write never blocks:
// if the queue is full, the line is dropped and counted.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	done    chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer that writes to out, and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: ring.New[[]byte]("log-lines", maxQueuedLines, ring.Reject), done: make(chan struct{}), closed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops it if the queue is full. It never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.Push(context.Background(), append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines. It returns after flushTimeout at the latest.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.done) })
	select {
	case <-w.closed:
	case <-time.After(flushTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.closed)
	reported := uint64(0)
	for {
		select {
		case line := <-w.lines.C():
			w.write(line)
		case <-w.done:
			w.drain()
			w.reportDropped(reported)
			return
		}
		reported = w.reportDropped(reported)
	}
}

// reportDropped logs how many lines were dropped beyond those already reported,
// if any, and returns the total number of dropped lines.
func (w *Writer) reportDropped(reported uint64) uint64 {
	dropped := w.dropped.Load()
	if dropped > reported {
		w.write(fmt.Appendf(nil, `{"level":"WARN","msg":%q,"event":%d,"count":%d}`+"\n", LinesDropped.Name, LinesDropped.Number, dropped-reported))
	}
	return dropped
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines.C():
			w.write(line)
		default:
			return
		}
	}
}

// write ignores errors, since there is no other place to report them.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }

// rateLimiter limits the lines of each event per second.
type rateLimiter struct {
	now     func() time.Time
	mu      sync.Mutex
	windows map[int]*window
}

// window counts the lines of one event in the second that begins at start.
type window struct {
	start      time.Time
	lines      int
	suppressed int
}

// allow reports whether a line of the event may be written, and how many lines
// were suppressed in the previous window.
func (r *rateLimiter) allow(event int) (suppressed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	w := r.windows[event]
	if w == nil {
		w = &window{start: now}
		r.windows[event] = w
	}
	if now.Sub(w.start) >= time.Second {
		suppressed = w.suppressed
		*w = window{start: now}
	}
	if w.lines >= maxLinesPerSecond {
		w.suppressed++
		return 0, false
	}
	w.lines++
	return suppressed, true
}

// WithRateLimit returns a Logger that writes at most maxLinesPerSecond lines of
// each event, and logs LinesSuppressed with the number of suppressed lines.
func (l *Logger) WithRateLimit(now func() time.Time) *Logger {
	return &Logger{log: l.log, limit: &rateLimiter{now: now, windows: make(map[int]*window)}}
}
