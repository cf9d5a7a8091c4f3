package contracttest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
)

// CallerPlatform is a daemon with the HTTP interface for callers. It serves the
// service "desk" with the kinds "peek", which is repeatable, and "check", which
// is not and therefore needs an idempotency key. Request bodies are limited to
// 1 KiB, and a response returns the body of its request.
type CallerPlatform struct {
	Caller http.RoundTripper
	// Runs returns the number of requests that backend servers have run.
	Runs func() int
}

// callerCase is one request of a caller and the expected response.
type callerCase struct {
	name, method, path, body string
	header                   map[string]string
	status                   int
	reason                   string
	runs                     int
}

func callerCases() []callerCase {
	const base = "/v1/services/desk/requests/"
	from := func(more ...string) map[string]string {
		h := map[string]string{"Caller": "ann"}
		for i := 0; i+1 < len(more); i += 2 {
			h[more[i]] = more[i+1]
		}
		return h
	}
	return []callerCase{
		{name: "answer", path: base + "peek", body: "hello", header: from(), status: 200, runs: 1},
		{name: "empty body", path: base + "peek", header: from(), status: 200, runs: 1},
		{name: "largest body", path: base + "peek", body: strings.Repeat("x", 1<<10), header: from(), status: 200, runs: 1},
		{name: "larger body", path: base + "peek", body: strings.Repeat("x", 1<<10+1), header: from(), status: 413, reason: "body_too_large"},
		{name: "unknown service", path: "/v1/services/none/requests/peek", header: from(), status: 404, reason: "service_unknown"},
		{name: "unknown kind", path: base + "none", header: from(), status: 404, reason: "kind_unknown"},
		{name: "unknown path", path: "/v2", header: from(), status: 404, reason: "not_found"},
		{name: "wrong method", method: http.MethodPut, path: base + "peek", header: from(), status: 405, reason: "method_not_allowed"},
		{name: "no caller", path: base + "peek", status: 400, reason: "caller_required"},
		{name: "long caller", path: base + "peek", header: map[string]string{"Caller": strings.Repeat("a", 300)}, status: 400, reason: "header_too_long"},
		{name: "no key", path: base + "check", header: from(), status: 400, reason: "key_required"},
		{name: "made-up key", path: base + "check", header: from("Idempotency-Key", "mine"), status: 400, reason: "key_invalid"},
		{name: "long key", path: base + "check", header: from("Idempotency-Key", strings.Repeat("k", 300)), status: 400, reason: "header_too_long"},
		{name: "bad deadline", path: base + "peek", header: from("Request-Deadline", "soon"), status: 400, reason: "deadline_invalid"},
		{name: "negative deadline", path: base + "peek", header: from("Request-Deadline", "-1s"), status: 400, reason: "deadline_invalid"},
		{name: "no keys at all", path: "/v1/keys?count=0", status: 400, reason: "count_invalid"},
		{name: "too many keys", path: "/v1/keys?count=1000000", status: 400, reason: "count_invalid"},
	}
}

// Callers checks a daemon's HTTP interface for callers. The platform must be
// ready to serve requests.
func Callers(t *testing.T, p CallerPlatform) {
	for _, c := range callerCases() {
		callerOnce(t, p, c)
	}
	callerKey(t, p)
	health := callerDo(t, p, callerCase{method: http.MethodGet, path: "/v1/health"})
	if health.status != http.StatusOK {
		t.Errorf("health: got %d", health.status)
	}
}

func callerOnce(t *testing.T, p CallerPlatform, c callerCase) {
	t.Helper()
	before := p.Runs()
	got := callerDo(t, p, c)
	if got.status != c.status || got.header.Get("Currantwinch-Reason") != c.reason {
		t.Errorf("%s: got %d %s, want %d %q", c.name, got.status, got.body, c.status, c.reason)
	}
	want := "ran"
	if c.status >= 400 {
		want = "not_run"
		if got.message.Verdict != want || got.message.Reason != c.reason {
			t.Errorf("%s: got body %s", c.name, got.body)
		}
	} else if got.body != c.body {
		t.Errorf("%s: got the response %q, want %q", c.name, got.body, c.body)
	}
	if got.header.Get("Currantwinch-Verdict") != want {
		t.Errorf("%s: got verdict %q, want %q", c.name, got.header.Get("Currantwinch-Verdict"), want)
	}
	if runs := p.Runs() - before; runs != c.runs {
		t.Errorf("%s: ran %d times, want %d", c.name, runs, c.runs)
	}
}

// callerKey sends the same request twice with one idempotency key: the second
// must return the stored response without another run.
func callerKey(t *testing.T, p CallerPlatform) {
	t.Helper()
	var issued struct{ Keys []string }
	keys := callerDo(t, p, callerCase{path: "/v1/keys?count=3"})
	if err := json.Unmarshal([]byte(keys.body), &issued); err != nil || len(issued.Keys) != 3 {
		t.Fatalf("keys: got %d %s", keys.status, keys.body)
	}
	for i := range 2 {
		callerOnce(t, p, callerCase{
			name: "check under a key", path: "/v1/services/desk/requests/check", body: "book", status: 200, runs: 1 - i,
			header: map[string]string{"Caller": "ann", "Idempotency-Key": issued.Keys[0]},
		})
	}
}

type callerReply struct {
	status  int
	header  http.Header
	body    string
	message struct{ Verdict, Reason string }
}

func callerDo(t *testing.T, p CallerPlatform, c callerCase) callerReply {
	t.Helper()
	method := c.method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://daemon:80"+c.path, bytes.NewBufferString(c.body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	response, err := p.Caller.RoundTrip(r)
	if err != nil {
		t.Fatalf("%s: %v", c.name, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("%s: %v", c.name, err)
	}
	reply := callerReply{status: response.StatusCode, header: response.Header, body: string(body)}
	_ = json.Unmarshal(body, &reply.message)
	return reply
}
