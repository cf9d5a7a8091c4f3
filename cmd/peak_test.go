package cmd_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
)

var (
	peak         = flag.Bool("peak", false, "measure daemons that run as separate processes at peak load, in a cell of the size that the -rest flags give")
	peakDuration = flag.Duration("peak.for", 30*time.Second, "length of the peak load")
	peakStarts   = flag.Int("peak.starts", 230, "task starts per second")
	peakRequests = flag.Int("peak.requests", 900, "requests per second")
)

// The work of the peak load. Each job starts burstTasks tasks.
const (
	burstWorkload   = "burst"
	burstTasks      = 10
	burstRunTime    = 10 * time.Second
	requestRunTime  = 50 * time.Millisecond
	peakConcurrency = 64
)

// TestPeak_NineProcesses logs the usage of a daemon while jobs are submitted and
// requests are sent at the design's peak rates. It checks no bounds.
func TestPeak_NineProcesses(t *testing.T) {
	if !*peak {
		t.Skip("run with -peak")
	}
	r := startProcessCell(t)
	text := fmt.Sprintf(`{"format": 1, "service": "peak", "team": "peak",
 "requests": {"pool": "pool", "kinds": [{"name": "lookup", "repeatable": true, "deadline": "2s", "declaredRunTime": "50ms"}]},
 "workloads": [{"name": %q, "class": "batch", "start": "submitted", "count": %d, "runTime": "10s", "resources": {"cpu": "1", "memory": "1GiB"}}]}`,
		burstWorkload, burstTasks)
	r.client.Credential = "peak/ann:secret"
	publishWithRetry(t, r.client, "peak", text)
	time.Sleep(*idleSettle)
	load := &loadGenerator{cell: r, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: peakConcurrency}}}
	before := r.taskStarts()
	r.logUsage(t, *peakDuration, func() { load.run(*peakDuration) })
	t.Logf("%.0f starts/s; %d of %d jobs refused; %d requests answered, %d failed",
		float64(r.taskStarts()-before)/peakDuration.Seconds(), load.refused.Load(), load.jobs.Load(), load.answered.Load(), load.failed.Load())
}

// taskStarts returns the number of task starts that workers have accepted.
func (r *processCell) taskStarts() int {
	n := 0
	for _, e := range r.cell.Workers.Events() {
		if e.Kind == workerstandin.EventStart {
			n++
		}
	}
	return n
}

// loadGenerator submits jobs and sends requests at fixed rates, with at most
// peakConcurrency of each in progress.
type loadGenerator struct {
	cell *processCell
	http *http.Client

	jobs, refused, answered, failed atomic.Int64
}

func (l *loadGenerator) run(length time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { callAtRate(ctx, *peakStarts/burstTasks, l.submit) })
	wg.Go(func() { callAtRate(ctx, *peakRequests, l.request) })
	wg.Wait()
}

// callAtRate calls f rate times per second until ctx ends. When peakConcurrency
// calls are in progress, the next call waits for one to end.
func callAtRate(ctx context.Context, rate int, f func(i int)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, peakConcurrency)
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		slots <- struct{}{}
		wg.Go(func() {
			f(i)
			<-slots
		})
	}
}

func (l *loadGenerator) submit(i int) {
	l.jobs.Add(1)
	client := &operatorapi.Client{
		Addresses: []string{l.cell.operators[i%len(l.cell.operators)]}, Scheme: "http", HTTP: l.http, Credential: "peak/ann:secret",
	}
	_, err := client.Submit(context.Background(), operatorapi.Submission{Service: "peak", Workload: burstWorkload, JobID: fmt.Sprintf("burst-%d", i)})
	if err != nil {
		l.refused.Add(1)
	}
}

func (l *loadGenerator) request(i int) {
	url := "http://" + l.cell.callers[i%len(l.cell.callers)] + "/v1/services/peak/requests/lookup"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		l.failed.Add(1)
		return
	}
	req.Header.Set("Caller", fmt.Sprintf("caller-%d", i%20))
	resp, err := l.http.Do(req)
	if err != nil {
		l.failed.Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		l.answered.Add(1)
	} else {
		l.failed.Add(1)
	}
}
