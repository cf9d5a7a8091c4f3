package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/currantwinch/currantwinch/verdict"
)

// result is the outcome of one request as its caller received it.
type result struct {
	kind    string
	verdict verdict.Verdict
	reason  string
	backend string
	status  int
	body    string
	latency time.Duration
}

const (
	requestTimeout = 70 * time.Second
	callerCount    = 20
)

// send sends one request to the i-th daemon, modulo the number of daemons.
func (x *exercise) send(i int, caller, kind, key, body string) result {
	callers := x.cell.CallerAddresses()
	url := "http://" + callers[i%len(callers)] + "/v1/services/workshop-desk/requests/" + kind
	ctx, cancel := context.WithTimeout(x.ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return result{kind: kind, verdict: verdict.NotRun, reason: err.Error()}
	}
	req.Header.Set("Caller", caller)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	resp, err := x.httpClient.Do(req)
	if err != nil {
		return result{kind: kind, reason: err.Error(), latency: time.Since(start)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := result{
		kind: kind, status: resp.StatusCode, body: string(data), latency: time.Since(start),
		reason: resp.Header.Get("Currantwinch-Reason"), backend: resp.Header.Get("Currantwinch-Backend"),
	}
	if err == nil {
		_ = r.verdict.UnmarshalText([]byte(resp.Header.Get("Currantwinch-Verdict")))
	}
	return r
}

// keys requests n idempotency keys from the first daemon.
func (x *exercise) keys(n int) []string {
	url := fmt.Sprintf("http://%s/v1/keys?count=%d&service=workshop-desk", x.cell.CallerAddresses()[0], n)
	resp, err := x.httpClient.Post(url, "", nil)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Keys []string `json:"keys"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Keys
}

func (x *exercise) sendRequests() {
	x.heading("requests through different daemons")
	keys := x.keys(2)
	x.check(len(keys) == 2, "%d idempotency keys issued", len(keys))
	if len(keys) < 2 {
		return
	}
	for i, r := range []struct{ kind, key string }{{"lookup", ""}, {"check", keys[0]}, {"review", ""}, {"lookup", ""}, {"check", keys[1]}} {
		body := fmt.Sprintf("request %d", i)
		got := x.send(2*i, "desk-0", r.kind, r.key, body)
		x.check(got.verdict == verdict.Ran && got.status == http.StatusOK, "%-6s daemon %d: %s by %s in %v %s",
			r.kind, 2*i%daemons+1, got.verdict, got.backend, got.latency.Round(time.Millisecond), got.reason)
	}
}

// retryBilled sends a billed request through two daemons with the same idempotency
// key and checks that it runs once.
func (x *exercise) retryBilled() {
	x.heading("a billed request is retried through another daemon")
	keys := x.keys(1)
	if len(keys) != 1 {
		x.check(false, "no key was issued")
		return
	}
	first := x.send(0, "desk-0", "check", keys[0], "bill me")
	second := x.send(4, "desk-0", "check", keys[0], "bill me")
	runs := 0
	for _, b := range x.cell.Backends {
		for _, r := range b.Runs() {
			if r.Key == keys[0] {
				runs++
			}
		}
	}
	x.check(runs == 1 && first.verdict == verdict.Ran, "first %s, second %s, ran %d time", first.verdict, second.verdict, runs)
	x.check(second.verdict == verdict.Ran && second.body == first.body, "the second response equals the first")
}

// loadProfile describes a load of short and long requests.
type loadProfile struct {
	duration time.Duration
	// rate is in requests per second.
	rate float64
	// longFraction is the fraction of requests that are long.
	longFraction float64
	// peakFactor multiplies the rate in the middle third of the duration.
	peakFactor float64
}

var (
	peakLoad = loadProfile{duration: 9 * time.Second, rate: 300, longFraction: 0.2, peakFactor: 3}
	stopLoad = loadProfile{duration: 4 * time.Second, rate: 150, longFraction: 0.1, peakFactor: 1}
)

const (
	stopDelay     = time.Second
	stoppedDaemon = daemons - 1
)

// load sends requests at the rate of its profile and collects the results.
type load struct {
	exercise *exercise
	profile  loadProfile
	wg       sync.WaitGroup
	mu       sync.Mutex
	results  []result
}

func (x *exercise) newLoad(s loadProfile) *load { return &load{exercise: x, profile: s} }

func (l *load) start() {
	l.wg.Go(func() {
		rng := rand.New(rand.NewPCG(l.exercise.options.Seed, 0))
		start := time.Now()
		for i := 0; time.Since(start) < l.profile.duration && l.exercise.ctx.Err() == nil; i++ {
			kind := "lookup"
			if rng.Float64() < l.profile.longFraction {
				kind = "review"
			}
			l.wg.Go(func() {
				l.add(l.exercise.send(i, fmt.Sprintf("desk-%d", i%callerCount), kind, "", fmt.Sprintf("load %d", i)))
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / l.rateAt(time.Since(start)) * float64(time.Second)))
		}
	})
}

func (l *load) rateAt(t time.Duration) float64 {
	third := l.profile.duration / 3
	if t > third && t < 2*third {
		return l.profile.rate * l.profile.peakFactor
	}
	return l.profile.rate
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

func (l *load) wait() { l.wg.Wait() }

func (l *load) sent() int { return len(l.results) }

func (l *load) count(match func(result) bool) int {
	n := 0
	for _, r := range l.results {
		if match(r) {
			n++
		}
	}
	return n
}

// connectionRefused reports whether no daemon accepted the request, since its
// listener was already closed.
func (r result) connectionRefused() bool {
	return r.status == 0 && strings.Contains(r.reason, "connection refused")
}

// interrupted returns the number of requests that reached a daemon and got no
// complete response.
func (l *load) interrupted() int {
	return l.count(func(r result) bool { return r.verdict == verdict.MayHaveRun && !r.connectionRefused() })
}

func (l *load) refused() int {
	return l.count(func(r result) bool { return r.verdict == verdict.NotRun || r.connectionRefused() })
}

// loadPeak sends a load peak with long requests and prints the latencies of short
// and long requests.
func (x *exercise) loadPeak() {
	s := peakLoad
	x.heading(fmt.Sprintf("load peak: %.0f requests per second, %.0fx for %v, %.0f%% long", s.rate, s.peakFactor, s.duration/3, 100*s.longFraction))
	l := x.newLoad(s)
	l.start()
	l.wait()
	for _, kind := range []string{"lookup", "review"} {
		l.report(kind)
	}
}

func (l *load) report(kind string) {
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var ran, refused, other int
	for _, r := range l.results {
		if r.kind != kind {
			continue
		}
		switch r.verdict {
		case verdict.Ran:
			ran++
			_ = latencies.RecordValue(r.latency.Microseconds())
		case verdict.NotRun:
			refused++
		default:
			other++
		}
	}
	l.exercise.check(other == 0, "%-6s %4d ran, %3d refused as not run, %d unknown; p50 %v, p99 %v", kind, ran, refused, other,
		microseconds(latencies.ValueAtQuantile(50)), microseconds(latencies.ValueAtQuantile(99)))
}

func microseconds(us int64) time.Duration {
	return (time.Duration(us) * time.Microsecond).Round(time.Millisecond)
}
