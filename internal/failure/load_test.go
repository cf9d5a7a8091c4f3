package failure_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/google/uuid"
)

func newTextLogger(out io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{
		Level: slog.LevelInfo,
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey || a.Key == "event" {
				return slog.Attr{}
			}
			return a
		},
	}))
}

// call is one request with all its attempts, as its caller saw it.
type call struct {
	caller   string
	kind     string
	key      string
	attempts []attempt
}

type attempt struct {
	at      time.Time
	daemon  int
	verdict verdict.Verdict
	reason  string
	ended   time.Time
	// answered is set where an HTTP answer came, whole.
	answered bool
	body     string
}

// last is what the caller knows in the end.
func (c *call) last() attempt { return c.attempts[len(c.attempts)-1] }

// ran reports whether any attempt was answered as run.
func (c *call) ran() bool {
	for _, a := range c.attempts {
		if a.answered && a.verdict == verdict.Ran {
			return true
		}
	}
	return false
}

// notRun reports whether every attempt was answered as not run.
func (c *call) notRun() bool {
	for _, a := range c.attempts {
		if !a.answered || a.verdict != verdict.NotRun {
			return false
		}
	}
	return true
}

const (
	attemptLimit = 12 * time.Second
	maxAttempts  = 3
	retryGap     = 400 * time.Millisecond
	// A caller in doubt asks again with its key for longer than a takeover
	// lasts.
	maxDoubts = 6
	doubtGap  = 1500 * time.Millisecond
)

var documentText = func(revision int) string {
	return fmt.Sprintf(`{"format": 1, "service": "desk", "team": "desk",
 "requests": {"pool": "pool", "maxQueued": %d, "kinds": [
  {"name": "lookup", "repeatable": true, "deadline": "4s"},
  {"name": "scan", "repeatable": true, "deadline": "4s"},
  {"name": "review", "repeatable": true, "deadline": "10s"},
  {"name": "check", "repeatable": false, "billed": true, "deadline": "4s"}
 ]},
 "workloads": [
  {"name": "index", "class": "service", "count": 3, "resources": {"cpu": "1", "memory": "1GiB"}, "spread": "failureDomain"},
  {"name": "batch", "class": "batch", "count": 12, "runTime": "4s", "resources": {"cpu": "1500m", "memory": "2GiB"}, "maxAttempts": 20},
  {"name": "gang", "class": "gang", "count": 3, "runTime": "4s", "resources": {"cpu": "2", "memory": "2GiB"}, "maxAttempts": 20},
  {"name": "slow", "class": "batch", "count": 12, "runTime": "12s", "resources": {"cpu": "1500m", "memory": "2GiB"}, "maxAttempts": 20}
 ]}`, 1000+revision)
}

// runLoad sends requests, publishes revisions and submits jobs until ctx ends.
func (w *world) runLoad(ctx context.Context, gap func() time.Duration) {
	kinds := []string{"lookup", "check", "lookup", "review", "check", "lookup", "lookup"}
	for i := 0; ctx.Err() == nil; i++ {
		w.mu.Lock()
		c := &call{caller: fmt.Sprintf("caller-%d", len(w.calls)), kind: kinds[i%len(kinds)]}
		w.calls = append(w.calls, c)
		first := w.rng.IntN(daemons)
		w.mu.Unlock()
		w.callers.Go(func() { w.makeCall(c, first) })
		sleep(ctx, gap())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// makeCall sends one request and retries it through another daemon as a caller
// would: always when it was not run, and with its key when it may have run.
func (w *world) makeCall(c *call, daemon int) {
	if c.kind == "check" {
		c.key = w.issueKey(daemon)
		if c.key == "" {
			return
		}
		w.sendTwin(c, daemon)
	}
	for doubts := 0; len(c.attempts) < maxAttempts+doubts; {
		a := w.attempt(c, daemon)
		c.attempts = append(c.attempts, a)
		if a.answered && a.verdict == verdict.Ran {
			return
		}
		inDoubt := !a.answered || a.verdict == verdict.MayHaveRun
		if inDoubt && a.answered && c.kind != "check" {
			return
		}
		gap := retryGap
		if inDoubt && c.kind == "check" && doubts < maxDoubts {
			doubts++
			gap = doubtGap
		}
		time.Sleep(gap)
		daemon = (daemon + 1) % daemons
	}
}

// sendTwin sends a request with its key through another daemon as well.
func (w *world) sendTwin(c *call, daemon int) {
	twin := &call{caller: c.caller, kind: c.kind, key: c.key}
	w.mu.Lock()
	w.twins = append(w.twins, twin)
	w.mu.Unlock()
	w.callers.Go(func() { twin.attempts = append(twin.attempts, w.attempt(twin, (daemon+1)%daemons)) })
}

func (w *world) post(daemon int, path string, headers map[string]string, body string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
	defer cancel()
	address := w.cell.CallerAddresses()[daemon]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

func (w *world) issueKey(daemon int) string {
	resp, data, err := w.post(daemon, "/v1/keys?count=1&service=desk", nil, "")
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	var answer struct {
		Keys []string `json:"keys"`
	}
	if json.Unmarshal(data, &answer) != nil || len(answer.Keys) == 0 {
		return ""
	}
	return answer.Keys[0]
}

func (w *world) attempt(c *call, daemon int) attempt {
	a := attempt{at: time.Now(), daemon: daemon}
	headers := map[string]string{"Caller": c.caller}
	if c.key != "" {
		headers["Idempotency-Key"] = c.key
	}
	resp, data, err := w.post(daemon, "/v1/services/desk/requests/"+c.kind, headers, "body of "+c.caller)
	a.ended = time.Now()
	if err != nil {
		a.reason = err.Error()
		return a
	}
	a.answered, a.body, a.reason = true, string(data), resp.Header.Get("Currantwinch-Reason")
	if err := a.verdict.UnmarshalText([]byte(resp.Header.Get("Currantwinch-Verdict"))); err != nil {
		a.answered = false
	}
	return a
}

// publication is a document that was accepted.
type publication struct {
	at       time.Time
	offset   uint64
	revision uint64
}

const (
	publishGap = 2500 * time.Millisecond
	submitGap  = 4 * time.Second
)

// runOperator publishes revision after revision and submits jobs.
func (w *world) runOperator(ctx context.Context) {
	for ctx.Err() == nil {
		w.turn++
		i := w.turn
		w.publish(ctx, i)
		w.submit(ctx, fmt.Sprintf("desk/batch/%d", i), "batch")
		if i%2 == 0 {
			w.submit(ctx, fmt.Sprintf("desk/gang/%d", i), "gang")
		}
		sleep(ctx, publishGap)
	}
}

func (w *world) publish(ctx context.Context, i int) {
	client := w.operator(i)
	current, err := client.Document(ctx, "desk")
	if err != nil && current.Revision != 0 {
		return
	}
	at := time.Now()
	accepted, err := client.Publish(ctx, "desk", current.Revision, uuid.NewString(), []byte(documentText(i)))
	w.noteChange(change{base: current.Revision, at: at, accepted: accepted, err: err})
	if err != nil {
		w.log.add("publication %d: %v", i, err)
		return
	}
	w.log.add("publication %d accepted at offset %d", i, accepted.Offset)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pubs = append(w.pubs, publication{time.Now(), accepted.Offset, accepted.Revision})
}

func (w *world) submit(ctx context.Context, id, workload string) {
	_, err := w.operator(w.dice(daemons)).Submit(ctx, operatorapi.Submission{Service: "desk", Workload: workload, JobID: id})
	if err != nil {
		w.log.add("submission %s: %v", id, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs = append(w.jobs, id)
}

func (w *world) dice(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}
