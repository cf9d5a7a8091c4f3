package failure_test

import (
	"context"
	"flag"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var soak = flag.Duration("soak", 0, "how long to break something every few seconds")

// noGrowth is the promise that faults leave nothing behind.
const noGrowth = "after faults, nothing has grown"

const (
	soakWarm  = 10 * time.Second
	soakFault = 2 * time.Second
	soakGap   = 2 * time.Second
	soakQuiet = 45 * time.Second
	// heapLimit is what the targets allow a daemon.
	heapLimit = 32 << 20
	// slack is the part by which counts of two quiet moments may differ, since
	// polls and idle connections come and go.
	slack = 0.1
)

// soakFaults follow each other in a soak, over and over.
var soakFaults = []string{
	"daemon crash", "region link cut both ways", "log down", "worker reboots", "backend server hangs",
	"daemon restart", "worker unreachable", "log answers lost", "daemon paused for longer than its right",
	"VM list hides a daemon", "backend server loses answers", "daemon cut off from daemons and log",
	"operators race", "rack unreachable",
}

// size is what a cell takes up at one moment.
type size struct {
	goroutines  int
	connections int
	daemons     int
	openJobs    int
	heapBytes   uint64
}

// TestSoak breaks something every few seconds and compares what the cell takes
// up in a quiet moment before and after.
func TestSoak(t *testing.T) {
	if *soak == 0 {
		t.Skip("run with -soak 2m")
	}
	synctest.Test(t, func(t *testing.T) { runSoak(t, uint64(*first)) })
}

func runSoak(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	defer w.close()
	w.start()
	w.publish(t.Context(), 0)
	w.loadUntilQuiet(soakWarm, func(context.Context) {})
	before := w.size()
	w.loadUntilQuiet(*soak, w.breakOften)
	w.probe()
	after := w.size()
	t.Logf("before %+v, after %+v", before, after)
	found := append(w.breaches(), grown(before, after)...)
	for i := range daemons {
		w.stop(i)
	}
	w.report(seed, found)
}

// loadUntilQuiet sends load for a time beside f, and waits until all is settled.
func (w *world) loadUntilQuiet(d time.Duration, f func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var load sync.WaitGroup
	load.Go(func() { w.runLoad(ctx, func() time.Duration { return callGap }) })
	load.Go(func() { w.runOperator(ctx) })
	f(ctx)
	load.Wait()
	w.callers.Wait()
	time.Sleep(soakQuiet)
}

// breakOften begins and ends one fault after the other until ctx ends.
func (w *world) breakOften(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		f := faultNamed(w.t, soakFaults[i%len(soakFaults)])
		w.log.add("fault begins: %s", f.name)
		f.begin(w)
		time.Sleep(soakFault)
		f.end(w)
		w.startAll()
		w.log.add("fault ends: %s", f.name)
		time.Sleep(soakGap)
	}
}

func (w *world) size() size {
	w.http.CloseIdleConnections()
	synctest.Wait()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s := size{goroutines: runtime.NumGoroutine(), connections: w.net.OpenConnections(), heapBytes: memory.HeapAlloc}
	view := w.anyView()
	if view == nil {
		return s
	}
	s.daemons = len(view.Daemons())
	for _, id := range w.jobs {
		if job, ok := view.Job(id); ok && job.Done == nil {
			s.openJobs++
		}
	}
	return s
}

func grown(before, after size) []breach {
	var out []breach
	check := func(what string, a, b int) {
		if float64(b) > float64(a)*(1+slack) {
			out = append(out, breach{noGrowth, what})
		}
	}
	check("goroutines", before.goroutines, after.goroutines)
	check("connections", before.connections, after.connections)
	check("daemons", before.daemons, after.daemons)
	check("open jobs", before.openJobs, after.openJobs)
	if after.heapBytes > daemons*heapLimit {
		out = append(out, breach{noGrowth, "heap"})
	}
	return out
}
