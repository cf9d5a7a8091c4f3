package events_test

import (
	"bytes"
	"io"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
)

// blockedWriter is a log output whose Write blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestWriter_DropsAndCountsLinesWhenFull(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := events.NewWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 6000 {
			_, _ = io.WriteString(w, "line\n")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked on the log output for 5 s")
	}
	if w.Dropped() == 0 {
		t.Error("no line dropped of 6000, which exceed the queue of a blocked output")
	}
	close(out.unblock)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.out.String(), "lines_dropped") {
		t.Error("no lines_dropped event in the log")
	}
}

// The writing goroutine may not run between the last dropped line and Close, so
// Close must log the number of dropped lines.
func TestWriter_ReportsDroppedLinesOnClose(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 40 {
		var out bytes.Buffer
		w := events.NewWriter(&out)
		for range 6000 {
			_, _ = io.WriteString(w, "line\n")
		}
		w.Close()
		if w.Dropped() > 0 && !strings.Contains(out.String(), "lines_dropped") {
			t.Fatalf("%d lines were dropped, but the log has no lines_dropped event", w.Dropped())
		}
	}
}

func TestLogger_LimitsRatePerEvent(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := events.NewLogger(slog.New(slog.NewTextHandler(&out, nil))).WithRateLimit(func() time.Time { return now })
	for range 2000 {
		log.Log(events.RunEnded, "task", "t")
	}
	log.Log(events.RunLost, "task", "t")
	if n := strings.Count(out.String(), "run_ended"); n > 500 {
		t.Errorf("%d lines of one event in a second, want at most 500", n)
	}
	if !strings.Contains(out.String(), "run_lost") {
		t.Error("the limit of one event suppressed another event")
	}
	now = now.Add(time.Second)
	log.Log(events.RunEnded, "task", "t")
	if !strings.Contains(out.String(), "count=1500") {
		t.Error("the log lacks count=1500 suppressed lines")
	}
}
