package contracttest

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/verdict"
)

// OperatorPlatform is a new daemon with the HTTP interface for operators, and
// control over the log behind it.
type OperatorPlatform struct {
	Operator http.RoundTripper
	// LoseResponses makes the log take the next n appends and lose the answers.
	LoseResponses func(n int)
	// SetDown makes all calls to the log fail, or ends that.
	SetDown func(down bool)
}

const (
	operatorDesk    = `{"format": 1, "service": "desk", "team": "desk", "requests": {"pool": "p", "kinds": [{"name": "peek", "repeatable": true, "deadline": "5s"}]}}`
	operatorTimeout = 20 * time.Second
)

// operatorCase is one request of an operator. Before it, revision 1 of the
// document "desk" is published.
type operatorCase struct {
	name, method, path, body string
	credential               string
	status                   int
	reason                   verdict.Reason
	// revision is the revision of "desk" in force afterwards.
	revision uint64
}

func operatorCases() []operatorCase {
	const desk = "/v1/documents/desk"
	put := func(name, path, body, credential string, status int, reason verdict.Reason, revision uint64) operatorCase {
		return operatorCase{name, http.MethodPut, path, body, credential, status, reason, revision}
	}
	get := func(name, path string, status int, reason verdict.Reason) operatorCase {
		return operatorCase{name, http.MethodGet, path, "", "", status, reason, 1}
	}
	return []operatorCase{
		put("next revision", desk+"?base=1", operatorDesk, "desk/bob:secret", 200, "", 2),
		put("not JSON", desk+"?base=1", "{", "desk/bob:secret", 400, "bad_document", 1),
		put("unknown key", desk+"?base=1", strings.Replace(operatorDesk, "team", "teem", 1), "desk/bob:secret", 400, "bad_document", 1),
		put("truncated", desk+"?base=1", operatorDesk[:40], "desk/bob:secret", 400, "bad_document", 1),
		put("oversized", desk+"?base=1", operatorDesk+strings.Repeat(" ", 1<<20), "desk/bob:secret", 400, "bad_request", 1),
		put("another service", "/v1/documents/shop?base=0", operatorDesk, "desk/bob:secret", 400, "bad_request", 1),
		put("no base", desk, operatorDesk, "desk/bob:secret", 400, "bad_request", 1),
		put("lost race", desk+"?base=0", operatorDesk, "desk/bob:secret", 409, "conflict", 1),
		put("base of the future", desk+"?base=9", operatorDesk, "desk/bob:secret", 409, "conflict", 1),
		put("another team", desk+"?base=1", operatorDesk, "shop/eve:secret", 403, "refused", 1),
		get("no such service", "/v1/documents/none", 404, "unknown_name"),
		get("no such route", "/v2", 404, "no_route"),
		get("offset of the far future", "/v1/inforce/1?wait=soon", 400, "bad_request"),
		{"wrong method", http.MethodPost, desk, "", "", 404, "no_route", 1},
		{"job of no service", http.MethodPost, "/v1/jobs", `{"service": "none", "workload": "w"}`, "desk/bob:secret", 404, "unknown_name", 1},
		{"job with an unknown key", http.MethodPost, "/v1/jobs", `{"servce": "desk"}`, "desk/bob:secret", 400, "bad_request", 1},
		{"job of no workload", http.MethodPost, "/v1/jobs", `{"service": "desk", "workload": "none"}`, "desk/bob:secret", 403, "refused", 1},
		{"cancel of no job", http.MethodDelete, "/v1/jobs?id=none", "", "desk/bob:secret", 403, "refused", 1},
	}
}

// Operators checks a daemon's HTTP interface for operators. It may run in real
// or in virtual time.
func Operators(t *testing.T, newPlatform func(t *testing.T) OperatorPlatform) {
	for _, c := range operatorCases() {
		operatorOnce(t, newPlatform(t), c)
	}
	operatorDuplicate(t, newPlatform(t))
	operatorConcurrent(t, newPlatform(t))
	operatorLostResponse(t, newPlatform(t))
	operatorLogDown(t, newPlatform(t))
}

func (p OperatorPlatform) client() *operatorapi.Client {
	return &operatorapi.Client{
		Addresses: []string{"entry:2"}, Scheme: "http", Credential: "desk/ann:secret",
		HTTP: &http.Client{Transport: p.Operator},
	}
}

func (p OperatorPlatform) publish(t *testing.T, base uint64, key string) (operatorapi.Accepted, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), operatorTimeout)
	defer cancel()
	return p.client().Publish(ctx, "desk", base, key, []byte(operatorDesk))
}

func (p OperatorPlatform) publishFirst(t *testing.T) {
	t.Helper()
	if _, err := p.publish(t, 0, "first"); err != nil {
		t.Fatalf("first revision: %v", err)
	}
}

func (p OperatorPlatform) revision(t *testing.T) uint64 {
	t.Helper()
	d, err := p.client().Document(t.Context(), "desk")
	if err != nil {
		t.Errorf("document: %v", err)
	}
	return d.Revision
}

func operatorOnce(t *testing.T, p OperatorPlatform, c operatorCase) {
	t.Helper()
	p.publishFirst(t)
	r, err := http.NewRequestWithContext(t.Context(), c.method, "http://entry:2"+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(operatorapi.HeaderAuthorization, "Bearer "+c.credential)
	response, err := p.Operator.RoundTrip(r)
	if err != nil {
		t.Fatalf("%s: %v", c.name, err)
	}
	failure := readFailure(t, response)
	if response.StatusCode != c.status || failure.Reason != c.reason {
		t.Errorf("%s: got %d %+v, want %d %q", c.name, response.StatusCode, failure, c.status, c.reason)
	}
	if c.status != http.StatusOK && failure.Verdict != verdict.NotRun {
		t.Errorf("%s: got verdict %v", c.name, failure.Verdict)
	}
	if got := p.revision(t); got != c.revision {
		t.Errorf("%s: revision %d in force, want %d", c.name, got, c.revision)
	}
}

// operatorDuplicate publishes the same change twice with one key: it must take
// effect once.
func operatorDuplicate(t *testing.T, p OperatorPlatform) {
	first, err := p.publish(t, 0, "key")
	if err != nil {
		t.Fatal(err)
	}
	second, err := p.publish(t, 0, "key")
	if err != nil || first.Offset != second.Offset || p.revision(t) != 1 {
		t.Errorf("duplicate: got %+v and %+v, %v", first, second, err)
	}
}

// operatorConcurrent publishes two changes on the same base revision: exactly
// one must be accepted and the other must report the conflict.
func operatorConcurrent(t *testing.T, p OperatorPlatform) {
	p.publishFirst(t)
	results := make(chan error, 2)
	for _, key := range []string{"a", "b"} {
		go func() { _, err := p.publish(t, 1, key); results <- err }()
	}
	won, lost := 0, 0
	for range 2 {
		err := <-results
		var failure *operatorapi.Error
		switch {
		case err == nil:
			won++
		case errors.As(err, &failure) && failure.Reason == "conflict" && failure.CurrentPublication != nil && failure.CurrentPublication.Revision == 2:
			lost++
		default:
			t.Errorf("concurrent changes: %v", err)
		}
	}
	if won != 1 || lost != 1 || p.revision(t) != 2 {
		t.Errorf("concurrent changes: %d accepted, %d conflicts, want 1 of each", won, lost)
	}
}

// operatorLostResponse loses the responses to two appends after they took
// effect: the change must be accepted exactly once.
func operatorLostResponse(t *testing.T, p OperatorPlatform) {
	p.publishFirst(t)
	p.LoseResponses(2)
	accepted, err := p.publish(t, 1, "lost")
	if err != nil || accepted.Revision != 2 || p.revision(t) != 2 {
		t.Errorf("response lost: got %+v, %v", accepted, err)
	}
}

// operatorLogDown publishes while the log is down. The change must be refused,
// and the outcome stored for its key must say whether it took effect.
func operatorLogDown(t *testing.T, p OperatorPlatform) {
	p.publishFirst(t)
	p.SetDown(true)
	_, err := p.publish(t, 1, "down")
	p.SetDown(false)
	var failure *operatorapi.Error
	if !errors.As(err, &failure) || failure.Verdict == verdict.Ran {
		t.Fatalf("log down: got %v", err)
	}
	time.Sleep(operatorTimeout)
	outcome, err := p.client().Outcome(t.Context(), "document/down")
	if err != nil {
		t.Errorf("outcome: %v", err)
	}
	took := p.revision(t) == 2
	if outcome.Known != took || took && failure.Verdict == verdict.NotRun {
		t.Errorf("log down: got verdict %v, outcome %+v, took effect %v", failure.Verdict, outcome, took)
	}
}

func readFailure(t *testing.T, response *http.Response) (f operatorapi.Failure) {
	t.Helper()
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		return f
	}
	if err := json.NewDecoder(response.Body).Decode(&f); err != nil {
		t.Errorf("decode failure: %v", err)
	}
	return f
}
