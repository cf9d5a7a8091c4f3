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

// stuck is a reader of the log that takes nothing until it is freed.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestWriter_NeverBlocksAndCountsWhatItDropped(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
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
		t.Fatal("writing waits for the log's reader")
	}
	if w.Dropped() == 0 {
		t.Error("nothing dropped of 6000 lines that nobody read")
	}
	close(out.free)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.out.String(), "lines_dropped") {
		t.Error("the log does not say that lines were dropped")
	}
}

// The goroutine that writes may not have run between the last drop and the end.
func TestWriter_SaysAtTheEndWhatItDropped(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 40 {
		var out bytes.Buffer
		w := events.NewWriter(&out)
		for range 6000 {
			_, _ = io.WriteString(w, "line\n")
		}
		w.Close()
		if w.Dropped() > 0 && !strings.Contains(out.String(), "lines_dropped") {
			t.Fatalf("the log does not say that %d lines were dropped", w.Dropped())
		}
	}
}

func TestLogger_LimitsTheLinesOfAnEvent(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := events.NewLogger(slog.New(slog.NewTextHandler(&out, nil))).WithRateLimit(func() time.Time { return now })
	for range 2000 {
		log.Log(events.RunEnded, "task", "t")
	}
	log.Log(events.RunLost, "task", "t")
	if n := strings.Count(out.String(), "run_ended"); n > 500 {
		t.Errorf("%d lines of one event in a second", n)
	}
	if !strings.Contains(out.String(), "run_lost") {
		t.Error("one event's lines left out another's")
	}
	now = now.Add(time.Second)
	log.Log(events.RunEnded, "task", "t")
	if !strings.Contains(out.String(), "count=1500") {
		t.Error("the log does not say how many lines were left out")
	}
}
