package gateway_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/verdict"
)

// verdictRow is one point at which a request can fail. The table in
// docs/design/verdicts.md has the same rows.
type verdictRow struct {
	point   string
	verdict string
	reason  string
	// runs is the number of runs on backend servers.
	runs int
	// faults holds the faults of backend servers, by attempt.
	faults  []backendstandin.Fault
	options func(o *rigOptions)
	// send provokes the failure and returns the response; nil sends a check with a
	// new key.
	send func(r *rig, ctx context.Context) callerResponse
}

func sendCheck(r *rig, ctx context.Context, header ...string) callerResponse {
	return r.daemons[0].send(ctx, "check", "book", append([]string{"Idempotency-Key", r.issueKeyOf(0)}, header...)...)
}

// issueKeyOf returns a new key of a share that the daemon owns.
func (r *rig) issueKeyOf(daemon int) string { return r.daemons[daemon].issueKey() }

// checkWithRemoteKey sends a check to daemon 0 with a key that daemon 1 owns.
func checkWithRemoteKey(r *rig, ctx context.Context, before func(key string), header ...string) callerResponse {
	key := r.issueKeyOf(1)
	before(key)
	return r.daemons[0].send(ctx, "check", "book", append([]string{"Idempotency-Key", key}, header...)...)
}

func repeatCheck(r *rig, ctx context.Context, between func(key string)) callerResponse {
	key := r.issueKeyOf(0)
	r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", key)
	between(key)
	return r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", key)
}

func kindOf(d *document.Document, name string) *document.RequestKind {
	for i := range d.Requests.Kinds {
		if d.Requests.Kinds[i].Name == name {
			return &d.Requests.Kinds[i]
		}
	}
	return nil
}

func withDocument(change func(*document.Document)) func(o *rigOptions) {
	return func(o *rigOptions) { o.change = change }
}

func withSlowRuns(o *rigOptions) { o.runTime = runFor(10 * time.Second) }

// withOneDaemon makes a cluster of one daemon, which holds all slots.
func withOneDaemon(o *rigOptions) { o.daemons = 1 }

// withOneSlowDaemon makes a cluster of one daemon whose requests run for 10 s.
func withOneSlowDaemon(o *rigOptions) {
	withSlowRuns(o)
	withOneDaemon(o)
}

func faultSequence(f ...backendstandin.Fault) []backendstandin.Fault { return f }

// withLoad starts n concurrent requests before it calls then, and cancels them
// afterwards.
func withLoad(n int, then func(r *rig, ctx context.Context) callerResponse) func(r *rig, ctx context.Context) callerResponse {
	return func(r *rig, ctx context.Context) callerResponse {
		ctx, cancel := context.WithCancel(ctx)
		var calls sync.WaitGroup
		for range n {
			calls.Go(func() { r.daemons[0].send(ctx, "peek", "crowd") })
		}
		time.Sleep(100 * time.Millisecond)
		p := then(r, ctx)
		cancel()
		calls.Wait()
		return p
	}
}

func verdictRows() []verdictRow {
	const mayHaveRun, notRun, ran = "may_have_run", "not_run", "ran"
	plain := func(r *rig, ctx context.Context) callerResponse { return sendCheck(r, ctx) }
	return []verdictRow{
		{point: "no failure", verdict: ran, runs: 1},
		{point: "daemon is stopping", verdict: notRun, reason: "daemon_stopping", send: func(r *rig, ctx context.Context) callerResponse {
			key := r.issueKeyOf(0)
			_ = r.daemons[0].Stop(ctx)
			r.reassignShares(0)
			return r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", key)
		}},
		{point: "daemon is stopping, key ran before", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			return repeatCheck(r, ctx, func(string) {
				_ = r.daemons[0].Stop(ctx)
				r.reassignShares(0)
			})
		}},
		{point: "daemon holds all the calls it can", verdict: notRun, reason: "too_many_calls",
			options: func(o *rigOptions) {
				withOneSlowDaemon(o)
				o.maxCalls = 10
			},
			send: func(r *rig, ctx context.Context) callerResponse {
				key := r.issueKeyOf(0)
				return withLoad(10, func(r *rig, ctx context.Context) callerResponse {
					return r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", key)
				})(r, ctx)
			}},
		{point: "caller sends too fast", verdict: notRun, reason: "rate_limited", runs: 1,
			options: withDocument(func(d *document.Document) { d.Requests.CallerRate, d.Requests.CallerBurst = 0.1, 1 }),
			send: func(r *rig, ctx context.Context) callerResponse {
				sendCheck(r, ctx)
				return sendCheck(r, ctx)
			}},
		{point: "pool has no backend server", verdict: notRun, reason: "no_slot",
			options: withDocument(func(d *document.Document) { d.Requests.Pool = "none" })},
		{point: "queue of the service is full", verdict: notRun, reason: "queue_full",
			options: func(o *rigOptions) {
				withOneSlowDaemon(o)
				o.change = func(d *document.Document) { d.Requests.MaxQueued = 2 }
			},
			send: withLoad(14, plain)},
		{point: "deadline cannot be met", verdict: notRun, reason: "deadline_too_close", send: func(r *rig, ctx context.Context) callerResponse {
			return sendCheck(r, ctx, "Request-Deadline", "5ms")
		}},
		{point: "queue is longer than the time left", verdict: notRun, reason: "overloaded",
			options: func(o *rigOptions) {
				withOneSlowDaemon(o)
				o.change = func(d *document.Document) {
					kindOf(d, "check").DeclaredRunTime = document.Duration(80 * time.Millisecond)
					kindOf(d, "peek").DeclaredRunTime = document.Duration(80 * time.Millisecond)
				}
			},
			send: withLoad(100, plain)},
		{point: "no slot before the deadline", verdict: notRun, reason: "deadline", options: withOneSlowDaemon, send: withLoad(10, plain)},
		{point: "caller has gone before the start", verdict: notRun, reason: "caller_gone", options: withOneSlowDaemon,
			send: withLoad(10, func(r *rig, ctx context.Context) callerResponse {
				ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
				defer cancel()
				return sendCheck(r, ctx)
			})},
		{point: "caller has gone after the start", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			key := r.issueKeyOf(0)
			gone, cancel := context.WithTimeout(ctx, 5*time.Millisecond)
			defer cancel()
			r.daemons[0].send(gone, "check", "book", "Idempotency-Key", key)
			return r.daemons[1].send(ctx, "check", "book", "Idempotency-Key", key)
		}},
		{point: "key was not issued", verdict: notRun, reason: "key_invalid", send: func(r *rig, ctx context.Context) callerResponse {
			return r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", "mine")
		}},
		{point: "key belongs to another request", verdict: notRun, reason: "key_reused", runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			key := r.issueKeyOf(0)
			r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", key)
			return r.daemons[1].send(ctx, "check", "other", "Idempotency-Key", key)
		}},
		{point: "key ran before", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			return repeatCheck(r, ctx, func(string) {})
		}},
		{point: "key is from an earlier epoch", verdict: mayHaveRun, reason: "key_from_earlier_epoch", send: func(r *rig, ctx context.Context) callerResponse {
			key := r.issueKeyOf(0)
			r.kill(0)
			r.setOwner(cluster.KeyShare(key), 1)
			return r.daemons[1].send(ctx, "check", "book", "Idempotency-Key", key)
		}},
		{point: "key ran in an earlier epoch", verdict: mayHaveRun, reason: "key_from_earlier_epoch", runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			key := r.issueKeyOf(0)
			r.daemons[1].send(ctx, "check", "book", "Idempotency-Key", key)
			r.kill(0)
			r.setOwner(cluster.KeyShare(key), 1)
			return r.daemons[1].send(ctx, "check", "book", "Idempotency-Key", key)
		}},
		{point: "key's owner renewed its claim, key ran before", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			return repeatCheck(r, ctx, func(key string) { r.setOwner(cluster.KeyShare(key), 0) })
		}},
		{point: "key's owner renewed its claim and handed over, key ran before", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			return repeatCheck(r, ctx, func(key string) {
				r.setOwner(cluster.KeyShare(key), 0)
				time.Sleep(2 * time.Second)
				r.setOwner(cluster.KeyShare(key), 1)
				time.Sleep(time.Second)
			})
		}},
		{point: "key's owner handed over, key ran before", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			return repeatCheck(r, ctx, func(key string) {
				r.setOwner(cluster.KeyShare(key), 1)
				time.Sleep(2 * time.Second)
			})
		}},
		{point: "key has expired", verdict: mayHaveRun, reason: "key_expired", runs: 1,
			options: func(o *rigOptions) { o.keys.GenerationPeriod, o.keys.ValidityWindow = time.Second, 10*time.Second },
			send: func(r *rig, ctx context.Context) callerResponse {
				return repeatCheck(r, ctx, func(string) { time.Sleep(30 * time.Second) })
			}},
		{point: "key's owner cannot be reached", verdict: mayHaveRun, reason: "key_owner_unreachable", send: func(r *rig, ctx context.Context) callerResponse {
			return checkWithRemoteKey(r, ctx, func(string) { r.kill(1) })
		}},
		{point: "key's owner cannot be reached, first attempt", verdict: notRun, reason: "key_owner_unreachable", send: func(r *rig, ctx context.Context) callerResponse {
			return checkWithRemoteKey(r, ctx, func(string) { r.kill(1) }, "Request-Attempt", "1")
		}},
		{point: "key's owner dies while the request runs", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			return checkWithRemoteKey(r, ctx, func(string) {
				go func() { time.Sleep(30 * time.Millisecond); r.kill(1) }()
			})
		}},
		{point: "caller has gone while the key's owner was asked", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			r.mu.Lock()
			r.loseResponses = func() bool { return true }
			r.mu.Unlock()
			gone, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			key := r.issueKeyOf(1)
			r.daemons[0].send(gone, "check", "book", "Idempotency-Key", key)
			r.heal()
			time.Sleep(2 * time.Second)
			return r.daemons[1].send(ctx, "check", "book", "Idempotency-Key", key)
		}},
		{point: "key is in progress until the deadline", verdict: mayHaveRun, reason: "in_progress", runs: 1, options: withSlowRuns,
			send: func(r *rig, ctx context.Context) callerResponse {
				key := r.issueKeyOf(0)
				go r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", key)
				time.Sleep(100 * time.Millisecond)
				return r.daemons[1].send(ctx, "check", "book", "Idempotency-Key", key, "Request-Deadline", "1s")
			}},
		{point: "outcome was lost", verdict: mayHaveRun, reason: "outcome_lost", faults: faultSequence(backendstandin.FaultResetBefore),
			send: func(r *rig, ctx context.Context) callerResponse { return repeatCheck(r, ctx, func(string) {}) }},
		{point: "entry daemon died while the request ran", verdict: mayHaveRun, reason: "outcome_lost", runs: 1,
			send: func(r *rig, ctx context.Context) callerResponse {
				key := r.issueKeyOf(1)
				go r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", key)
				time.Sleep(30 * time.Millisecond)
				r.kill(0)
				time.Sleep(10 * time.Second)
				return r.daemons[1].send(ctx, "check", "book", "Idempotency-Key", key)
			}},
		{point: "outcome is no longer kept", verdict: mayHaveRun, reason: "outcome_forgotten", runs: 1,
			options: func(o *rigOptions) { o.keys.MaxOutcomeBytes = 1 },
			send:    func(r *rig, ctx context.Context) callerResponse { return repeatCheck(r, ctx, func(string) {}) }},
		{point: "key's owner remembers all it can", verdict: notRun, reason: "keys_full", runs: 1,
			options: func(o *rigOptions) { o.keys.MaxKeys = 1 },
			send: func(r *rig, ctx context.Context) callerResponse {
				first := r.issueKeyOf(0)
				r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", first)
				for {
					if key := r.issueKeyOf(0); cluster.KeyShare(key) == cluster.KeyShare(first) {
						return r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", key)
					}
				}
			}},
		{point: "backend server cannot be reached", verdict: notRun, reason: "backend_unreachable",
			options: func(o *rigOptions) { o.backends = 1 }, send: func(r *rig, ctx context.Context) callerResponse {
				for _, server := range r.backends {
					server.SetUnreachable(true)
				}
				return sendCheck(r, ctx)
			}},
		{point: "backend server cannot be reached, another can", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			for _, vm := range r.vms[1:] {
				r.backends[vm.Name].SetUnreachable(true)
			}
			return sendCheck(r, ctx)
		}},
		{point: "right to the slot ended before the first byte", verdict: ran, runs: 1, options: withExpiredLease},
		{point: "backend server is leaving", verdict: ran, runs: 1, options: withOneDaemon, faults: faultSequence(backendstandin.FaultDecline)},
		{point: "every backend server is leaving", verdict: notRun, reason: "backend_leaving", options: withOneDaemon,
			faults: faultSequence(backendstandin.FaultDecline, backendstandin.FaultDecline, backendstandin.FaultDecline)},
		{point: "backend server hangs", verdict: mayHaveRun, reason: "no_answer", faults: faultSequence(backendstandin.FaultHang)},
		{point: "backend server is too slow", verdict: mayHaveRun, reason: "no_answer", runs: 1, options: withSlowRuns},
		{point: "connection breaks before the run", verdict: mayHaveRun, reason: "cut_off", faults: faultSequence(backendstandin.FaultResetBefore)},
		{point: "connection breaks during the run", verdict: mayHaveRun, reason: "cut_off", runs: 1, faults: faultSequence(backendstandin.FaultResetDuring)},
		{point: "connection breaks after the run", verdict: mayHaveRun, reason: "cut_off", runs: 1, faults: faultSequence(backendstandin.FaultResetAfter)},
		{point: "answer is cut", verdict: mayHaveRun, reason: "answer_cut", runs: 1, faults: faultSequence(backendstandin.FaultTruncated)},
		{point: "answer is too large", verdict: mayHaveRun, reason: "answer_oversized", runs: 1, faults: faultSequence(backendstandin.FaultOversized)},
		{point: "answer is another request's", verdict: mayHaveRun, reason: "answer_crossed", runs: 1, faults: faultSequence(backendstandin.FaultMismatched)},
		{point: "answer is an application's error", verdict: ran, runs: 1, faults: faultSequence(backendstandin.FaultError)},
		{point: "repeatable request breaks, then runs", verdict: ran, runs: 2, faults: faultSequence(backendstandin.FaultResetAfter),
			send: func(r *rig, ctx context.Context) callerResponse { return r.daemons[0].send(ctx, "peek", "look") }},
		{point: "repeatable request breaks, then is declined", verdict: mayHaveRun, reason: "backend_leaving", runs: 1, options: withOneDaemon,
			faults: faultSequence(backendstandin.FaultResetAfter, backendstandin.FaultDecline, backendstandin.FaultDecline),
			send:   func(r *rig, ctx context.Context) callerResponse { return r.daemons[0].send(ctx, "peek", "look") }},
		{point: "log is down after the run", verdict: ran, runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
			r.setLog(verdict.New(verdict.NotRun, "log_down", "down"))
			return sendCheck(r, ctx)
		}},
		{point: "log is down, no more bills can be kept", verdict: notRun, reason: "bills_full", options: func(o *rigOptions) { o.maxBills = 1 },
			runs: 1, send: func(r *rig, ctx context.Context) callerResponse {
				r.setLog(verdict.New(verdict.NotRun, "log_down", "down"))
				sendCheck(r, ctx)
				return sendCheck(r, ctx)
			}},
		{point: "a duty of the daemon failed", verdict: notRun, reason: "daemon_stopping", send: func(r *rig, ctx context.Context) callerResponse {
			key := r.issueKeyOf(0)
			_ = r.daemons[0].duties.Stop(ctx)
			return r.daemons[0].send(ctx, "check", "book", "Idempotency-Key", key)
		}},
	}
}

// withExpiredLease makes the lease of the first attempt's slot end before it is sent.
func withExpiredLease(o *rigOptions) {
	o.wrap = func(b gateway.Backends) gateway.Backends { return &expiredLeaseBackends{Backends: b} }
}

type expiredLeaseBackends struct {
	gateway.Backends
	once sync.Once
}

func (b *expiredLeaseBackends) Send(ctx context.Context, vm cluster.VM, r gateway.Request) (gateway.Response, error) {
	b.once.Do(func() { r.SendBefore = time.Now() })
	return b.Backends.Send(ctx, vm, r)
}

func TestVerdicts_EveryPoint(t *testing.T) {
	for _, row := range verdictRows() {
		t.Run(row.point, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runVerdictCase(t, row) })
		})
	}
}

func runVerdictCase(t *testing.T, row verdictRow) {
	attempts := 0
	var mu sync.Mutex
	o := rigOptions{daemons: 3, backends: 3, slots: 2, runTime: runFor(10 * time.Millisecond), keys: idempotency.DefaultConfig()}
	o.fault = func(_ string, q gateway.Request) backendstandin.Fault {
		mu.Lock()
		defer mu.Unlock()
		attempts++
		if attempts > len(row.faults) {
			return backendstandin.FaultNone
		}
		return row.faults[attempts-1]
	}
	if row.options != nil {
		row.options(&o)
	}
	r := newRig(t, o)
	defer r.close()
	waitForBackends()
	send := row.send
	if send == nil {
		send = func(r *rig, ctx context.Context) callerResponse { return sendCheck(r, ctx) }
	}
	p := send(r, t.Context())
	if p.verdict() != row.verdict || p.reason() != row.reason {
		t.Errorf("got %s %s (%s), want %s %s", p.verdict(), p.reason(), p.body, row.verdict, row.reason)
	}
	if p.verdict() == "not_run" && p.status < 400 || p.verdict() != "ran" && !strings.Contains(p.body, row.reason) {
		t.Errorf("got status %d, body %s", p.status, p.body)
	}
	time.Sleep(time.Second)
	runs := 0
	for _, run := range r.runs() {
		if run.Kind != "peek" || strings.Contains(row.point, "repeatable") {
			runs++
		}
	}
	if runs != row.runs {
		t.Errorf("got %d runs, want %d: %+v", runs, row.runs, r.runs())
	}
	r.checkSlots()
}

// TestVerdicts_Documented compares the table in docs/design/verdicts.md with
// verdictRows.
func TestVerdicts_Documented(t *testing.T) {
	page, err := os.ReadFile("../../docs/design/verdicts.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range verdictRows() {
		line := fmt.Sprintf("| %s | %s | %s |", row.point, row.verdict, row.reason)
		if !strings.Contains(string(page), strings.ReplaceAll(line, "|  |", "| |")) {
			t.Errorf("the page lacks the row: %s", line)
		}
	}
	if got, want := strings.Count(string(page), "\n| ")-2, len(verdictRows()); got != want {
		t.Errorf("the page has %d rows, want %d", got, want)
	}
}
