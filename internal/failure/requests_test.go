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

// clientRequest is one request of a caller with all its attempts.
type clientRequest struct {
	caller   string
	kind     string
	key      string
	attempts []attempt
}

type attempt struct {
	start   time.Time
	daemon  int
	verdict verdict.Verdict
	reason  string
	end     time.Time
	// answered is set if a complete HTTP response with a valid verdict arrived.
	answered bool
	body     string
}

// lastAttempt returns the most recent attempt.
func (c *clientRequest) lastAttempt() attempt { return c.attempts[len(c.attempts)-1] }

// ran reports whether any attempt got the verdict that the request ran.
func (c *clientRequest) ran() bool {
	for _, a := range c.attempts {
		if a.answered && a.verdict == verdict.Ran {
			return true
		}
	}
	return false
}

// notRun reports whether every attempt got the verdict that it did not run.
func (c *clientRequest) notRun() bool {
	for _, a := range c.attempts {
		if !a.answered || a.verdict != verdict.NotRun {
			return false
		}
	}
	return true
}

const (
	attemptTimeout = 12 * time.Second
	maxAttempts    = 3
	retryDelay     = 400 * time.Millisecond
	// A caller whose outcome is unknown retries with its idempotency key for
	// longer than a takeover lasts.
	maxUnknownRetries = 6
	unknownRetryDelay = 1500 * time.Millisecond
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

// runLoad starts a request after each interval until ctx ends. It doesn't wait
// for the requests that are in progress.
func (sim *simulation) runLoad(ctx context.Context, gap func() time.Duration) {
	kinds := []string{"lookup", "check", "lookup", "review", "check", "lookup", "lookup"}
	for i := 0; ctx.Err() == nil; i++ {
		sim.mu.Lock()
		c := &clientRequest{caller: fmt.Sprintf("caller-%d", len(sim.requests)), kind: kinds[i%len(kinds)]}
		sim.requests = append(sim.requests, c)
		first := sim.rng.IntN(daemons)
		sim.mu.Unlock()
		sim.inFlight.Go(func() { sim.sendWithRetries(c, first) })
		sleep(ctx, gap())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendWithRetries sends one request and retries it through the next daemon as a
// caller would: after any attempt that was not run or got no response, and with
// its idempotency key if it may have run.
func (sim *simulation) sendWithRetries(c *clientRequest, daemon int) {
	if c.kind == "check" {
		c.key = sim.issueKey(daemon)
		if c.key == "" {
			return
		}
		sim.sendDuplicate(c, daemon)
	}
	for unknownRetries := 0; len(c.attempts) < maxAttempts+unknownRetries; {
		a := sim.attempt(c, daemon)
		c.attempts = append(c.attempts, a)
		if a.answered && a.verdict == verdict.Ran {
			return
		}
		unknown := !a.answered || a.verdict == verdict.MayHaveRun
		if unknown && a.answered && c.kind != "check" {
			return
		}
		delay := retryDelay
		if unknown && c.kind == "check" && unknownRetries < maxUnknownRetries {
			unknownRetries++
			delay = unknownRetryDelay
		}
		time.Sleep(delay)
		daemon = (daemon + 1) % daemons
	}
}

// sendDuplicate sends the same request and idempotency key through another
// daemon concurrently.
func (sim *simulation) sendDuplicate(c *clientRequest, daemon int) {
	duplicate := &clientRequest{caller: c.caller, kind: c.kind, key: c.key}
	sim.mu.Lock()
	sim.duplicates = append(sim.duplicates, duplicate)
	sim.mu.Unlock()
	sim.inFlight.Go(func() { duplicate.attempts = append(duplicate.attempts, sim.attempt(duplicate, (daemon+1)%daemons)) })
}

func (sim *simulation) post(daemon int, path string, headers map[string]string, body string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	address := sim.cell.CallerAddresses()[daemon]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := sim.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

func (sim *simulation) issueKey(daemon int) string {
	resp, data, err := sim.post(daemon, "/v1/keys?count=1&service=desk", nil, "")
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

func (sim *simulation) attempt(c *clientRequest, daemon int) attempt {
	a := attempt{start: time.Now(), daemon: daemon}
	headers := map[string]string{"Caller": c.caller}
	if c.key != "" {
		headers["Idempotency-Key"] = c.key
	}
	resp, data, err := sim.post(daemon, "/v1/services/desk/requests/"+c.kind, headers, "body of "+c.caller)
	a.end = time.Now()
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

// publication is an accepted revision of the document.
type publication struct {
	acceptedAt time.Time
	offset     uint64
	revision   uint64
}

const (
	publishInterval = 2500 * time.Millisecond
	submitInterval  = 4 * time.Second
)

// runOperator publishes a revision and submits jobs after each publishInterval
// until ctx ends.
func (sim *simulation) runOperator(ctx context.Context) {
	for ctx.Err() == nil {
		sim.operatorTurn++
		i := sim.operatorTurn
		sim.publish(ctx, i)
		sim.submit(ctx, fmt.Sprintf("desk/batch/%d", i), "batch")
		if i%2 == 0 {
			sim.submit(ctx, fmt.Sprintf("desk/gang/%d", i), "gang")
		}
		sleep(ctx, publishInterval)
	}
}

func (sim *simulation) publish(ctx context.Context, i int) {
	client := sim.operator(i)
	current, err := client.Document(ctx, "desk")
	if err != nil && current.Revision != 0 {
		return
	}
	at := time.Now()
	accepted, err := client.Publish(ctx, "desk", current.Revision, uuid.NewString(), []byte(documentText(i)))
	sim.recordDocumentOp(documentOp{baseRevision: current.Revision, start: at, accepted: accepted, err: err})
	if err != nil {
		sim.log.printf("publication %d failed: %v", i, err)
		return
	}
	sim.log.printf("publication %d accepted at offset %d", i, accepted.Offset)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.publications = append(sim.publications, publication{time.Now(), accepted.Offset, accepted.Revision})
}

func (sim *simulation) submit(ctx context.Context, id, workload string) {
	_, err := sim.operator(sim.randInt(daemons)).Submit(ctx, operatorapi.Submission{Service: "desk", Workload: workload, JobID: id})
	if err != nil {
		sim.log.printf("submission of job %s failed: %v", id, err)
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.jobs = append(sim.jobs, id)
}

func (sim *simulation) randInt(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.IntN(n)
}
