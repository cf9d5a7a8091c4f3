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

// result is one request as its caller saw it.
type result struct {
	kind    string
	verdict verdict.Verdict
	reason  string
	backend string
	status  int
	body    string
	took    time.Duration
}

const (
	requestTimeout = 70 * time.Second
	callersCount   = 20
)

// send sends one request to the i-th daemon.
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
	began := time.Now()
	resp, err := x.client.Do(req)
	if err != nil {
		return result{kind: kind, reason: err.Error(), took: time.Since(began)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := result{
		kind: kind, status: resp.StatusCode, body: string(data), took: time.Since(began),
		reason: resp.Header.Get("Currantwinch-Reason"), backend: resp.Header.Get("Currantwinch-Backend"),
	}
	if err == nil {
		_ = r.verdict.UnmarshalText([]byte(resp.Header.Get("Currantwinch-Verdict")))
	}
	return r
}

// keys fetches idempotency keys from a daemon.
func (x *exercise) keys(n int) []string {
	url := fmt.Sprintf("http://%s/v1/keys?count=%d&service=workshop-desk", x.cell.CallerAddresses()[0], n)
	resp, err := x.client.Post(url, "", nil)
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
	x.title("requests through different daemons")
	keys := x.keys(2)
	x.check(len(keys) == 2, "%d idempotency keys issued", len(keys))
	if len(keys) < 2 {
		return
	}
	for i, r := range []struct{ kind, key string }{{"lookup", ""}, {"check", keys[0]}, {"review", ""}, {"lookup", ""}, {"check", keys[1]}} {
		body := fmt.Sprintf("request %d", i)
		got := x.send(2*i, "desk-0", r.kind, r.key, body)
		x.check(got.verdict == verdict.Ran && got.status == http.StatusOK, "%-6s daemon %d: %s by %s in %v %s",
			r.kind, 2*i%daemons+1, got.verdict, got.backend, got.took.Round(time.Millisecond), got.reason)
	}
}

// repeatBilled sends one billed request twice through two daemons.
func (x *exercise) repeatBilled() {
	x.title("a billed request is retried through another daemon")
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
	x.check(second.verdict == verdict.Ran && second.body == first.body, "the second answer is the first one, whole")
}

// loadShape is a load of quick and long requests.
type loadShape struct {
	length time.Duration
	// rate is in requests a second.
	rate float64
	// longShare is the part of requests that are long.
	longShare float64
	// crestFactor multiplies the rate in the middle third.
	crestFactor float64
}

var (
	crestLoad = loadShape{length: 9 * time.Second, rate: 300, longShare: 0.2, crestFactor: 3}
	leaveLoad = loadShape{length: 4 * time.Second, rate: 150, longShare: 0.1, crestFactor: 1}
)

const (
	leaveAfter = time.Second
	leaver     = daemons - 1
)

// load sends requests at a shape's rate and keeps what came back.
type load struct {
	x     *exercise
	shape loadShape
	wg    sync.WaitGroup
	mu    sync.Mutex
	seen  []result
}

func (x *exercise) newLoad(s loadShape) *load { return &load{x: x, shape: s} }

func (l *load) start() {
	l.wg.Go(func() {
		rng := rand.New(rand.NewPCG(l.x.o.Seed, 0))
		began := time.Now()
		for i := 0; time.Since(began) < l.shape.length && l.x.ctx.Err() == nil; i++ {
			kind := "lookup"
			if rng.Float64() < l.shape.longShare {
				kind = "review"
			}
			l.wg.Go(func() {
				l.add(l.x.send(i, fmt.Sprintf("desk-%d", i%callersCount), kind, "", fmt.Sprintf("load %d", i)))
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / l.rateAt(time.Since(began)) * float64(time.Second)))
		}
	})
}

func (l *load) rateAt(t time.Duration) float64 {
	third := l.shape.length / 3
	if t > third && t < 2*third {
		return l.shape.rate * l.shape.crestFactor
	}
	return l.shape.rate
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = append(l.seen, r)
}

func (l *load) wait() { l.wg.Wait() }

func (l *load) sent() int { return len(l.seen) }

func (l *load) count(match func(result) bool) int {
	n := 0
	for _, r := range l.seen {
		if match(r) {
			n++
		}
	}
	return n
}

// neverAccepted reports a request that no daemon took, because its listener
// was closed already.
func (r result) neverAccepted() bool {
	return r.status == 0 && strings.Contains(r.reason, "connection refused")
}

// cutOff counts requests that reached a daemon and got no whole answer.
func (l *load) cutOff() int {
	return l.count(func(r result) bool { return r.verdict == verdict.MayHaveRun && !r.neverAccepted() })
}

func (l *load) refused() int {
	return l.count(func(r result) bool { return r.verdict == verdict.NotRun || r.neverAccepted() })
}

// crest shows what a swing with long work does to quick requests.
func (x *exercise) crest() {
	s := crestLoad
	x.title(fmt.Sprintf("a crest: %.0f requests a second, %.0fx for %v, %.0f%% long", s.rate, s.crestFactor, s.length/3, 100*s.longShare))
	l := x.newLoad(s)
	l.start()
	l.wait()
	for _, kind := range []string{"lookup", "review"} {
		l.report(kind)
	}
}

func (l *load) report(kind string) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var ran, refused, other int
	for _, r := range l.seen {
		if r.kind != kind {
			continue
		}
		switch r.verdict {
		case verdict.Ran:
			ran++
			_ = h.RecordValue(r.took.Microseconds())
		case verdict.NotRun:
			refused++
		default:
			other++
		}
	}
	l.x.check(other == 0, "%-6s %4d ran, %3d refused as not run, %d unknown; p50 %v, p99 %v", kind, ran, refused, other,
		micros(h.ValueAtQuantile(50)), micros(h.ValueAtQuantile(99)))
}

func micros(us int64) time.Duration {
	return (time.Duration(us) * time.Microsecond).Round(time.Millisecond)
}
