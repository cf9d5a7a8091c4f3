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
	peak         = flag.Bool("peak", false, "measure nine daemons at the peak as processes of their own, at the size of -rest's flags")
	peakFor      = flag.Duration("peak.for", 30*time.Second, "how long the peak lasts")
	peakStarts   = flag.Int("peak.starts", 230, "task starts a second")
	peakRequests = flag.Int("peak.requests", 900, "requests a second")
)

// What the peak is made of. A job starts burstTasks tasks.
const (
	burstWorkload  = "burst"
	burstTasks     = 10
	burstRunTime   = 10 * time.Second
	requestRunTime = 50 * time.Millisecond
	peakLanes      = 64
)

// TestPeak_NineProcesses prints what a daemon takes while tasks are submitted
// and requests are sent at the design's peak rates. It passes no verdict.
func TestPeak_NineProcesses(t *testing.T) {
	if !*peak {
		t.Skip("run with -peak")
	}
	r := startRest(t)
	text := fmt.Sprintf(`{"format": 1, "service": "crest", "team": "crest",
 "requests": {"pool": "pool", "kinds": [{"name": "lookup", "repeatable": true, "deadline": "2s", "declaredRunTime": "50ms"}]},
 "workloads": [{"name": %q, "class": "batch", "start": "submitted", "count": %d, "runTime": "10s", "resources": {"cpu": "1", "memory": "1GiB"}}]}`,
		burstWorkload, burstTasks)
	r.client.Credential = "crest/ann:secret"
	publishOne(t, r.client, "crest", text)
	time.Sleep(*restSettle)
	load := &peakLoad{run: r, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: peakLanes}}}
	before := r.starts()
	r.sample(t, *peakFor, func() { load.drive(*peakFor) })
	t.Logf("%.0f starts/s; %d of %d jobs refused; %d requests answered, %d not",
		float64(r.starts()-before)/peakFor.Seconds(), load.refused.Load(), load.jobs.Load(), load.answered.Load(), load.failed.Load())
}

// starts counts the task starts that workers took so far.
func (r *restRun) starts() int {
	n := 0
	for _, e := range r.cell.Workers.Events() {
		if e.Kind == workerstandin.EventStart {
			n++
		}
	}
	return n
}

// peakLoad sends at fixed rates, each from a number of lanes.
type peakLoad struct {
	run  *restRun
	http *http.Client

	jobs, refused, answered, failed atomic.Int64
}

func (l *peakLoad) drive(length time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { lanes(ctx, *peakStarts/burstTasks, l.submit) })
	wg.Go(func() { lanes(ctx, *peakRequests, l.request) })
	wg.Wait()
}

// lanes calls f at a rate a second until ctx ends. Calls that find all lanes
// busy wait for one.
func lanes(ctx context.Context, rate int, f func(i int)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	free := make(chan struct{}, peakLanes)
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		free <- struct{}{}
		wg.Go(func() {
			f(i)
			<-free
		})
	}
}

func (l *peakLoad) submit(i int) {
	l.jobs.Add(1)
	client := &operatorapi.Client{
		Addresses: []string{l.run.operators[i%len(l.run.operators)]}, Scheme: "http", HTTP: l.http, Credential: "crest/ann:secret",
	}
	_, err := client.Submit(context.Background(), operatorapi.Submission{Service: "crest", Workload: burstWorkload, JobID: fmt.Sprintf("burst-%d", i)})
	if err != nil {
		l.refused.Add(1)
	}
}

func (l *peakLoad) request(i int) {
	url := "http://" + l.run.callers[i%len(l.run.callers)] + "/v1/services/crest/requests/lookup"
	q, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		l.failed.Add(1)
		return
	}
	q.Header.Set("Caller", fmt.Sprintf("caller-%d", i%20))
	answer, err := l.http.Do(q)
	if err != nil {
		l.failed.Add(1)
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	if answer.StatusCode == http.StatusOK {
		l.answered.Add(1)
	} else {
		l.failed.Add(1)
	}
}
