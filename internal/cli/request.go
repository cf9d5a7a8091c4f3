package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// Headers of the protocol between callers and daemons.
const (
	headerCaller   = "Caller"
	headerKey      = "Idempotency-Key"
	headerDeadline = "Request-Deadline"
	headerVerdict  = "Currantwinch-Verdict"
	headerReason   = "Currantwinch-Reason"
	headerBackend  = "Currantwinch-Backend"
)

// maxResponseBytes is the maximum size of a response body that the command reads.
const maxResponseBytes = 16 << 20

type requestCommand struct {
	Service  string        `arg:"" help:"Service to ask."`
	Kind     string        `arg:"" help:"Kind of request."`
	Data     string        `short:"d" help:"Request body, or @FILE."`
	Caller   string        `default:"operator" help:"Caller identity."`
	Key      string        `help:"Idempotency key; one is fetched by default."`
	Deadline time.Duration `help:"Longest time to the answer."`
}

// Help shows an example.
func (requestCommand) Help() string {
	return "Example: currantwinch request reviews check -d '{\"part\":7}' --caller desk-4"
}

// outcome is the printed result of a request.
type outcome struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  string          `json:"reason,omitempty"`
	Status  int             `json:"status,omitempty"`
	Backend string          `json:"backend,omitempty"`
	Key     string          `json:"key,omitempty"`
	Body    string          `json:"body,omitempty"`
}

// Run sends the request to the first daemon that can be reached. It tries the next
// address only if the verdict is NotRun and no response was received.
func (c *requestCommand) Run(e *env) error {
	body, err := c.body()
	if err != nil {
		return asUsage(err, "request body")
	}
	key := c.Key
	if key == "" {
		if key, err = e.issueKey(c.Service); err != nil {
			return err
		}
	}
	var out outcome
	for _, address := range e.globals.Callers {
		out, err = c.send(e, address, key, body)
		if err == nil || verdict.Of(err) != verdict.NotRun || out.Status != 0 {
			break
		}
	}
	t := &table{head: []string{"VERDICT", "REASON", "STATUS", "BACKEND", "KEY"}}
	t.add(out.Verdict, out.Reason, out.Status, out.Backend, out.Key)
	if perr := e.print(out, t); perr != nil {
		return perr
	}
	if err == nil && e.globals.Output == "table" {
		fmt.Fprintln(e.out, out.Body)
	}
	return err
}

func (c *requestCommand) body() ([]byte, error) {
	if len(c.Data) > 0 && c.Data[0] == '@' {
		return os.ReadFile(c.Data[1:])
	}
	return []byte(c.Data), nil
}

func (c *requestCommand) send(e *env, address, key string, body []byte) (outcome, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := fmt.Sprintf("%s://%s/v1/services/%s/requests/%s", e.scheme, address, url.PathEscape(c.Service), url.PathEscape(c.Kind))
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(e.ctx, trace), http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return outcome{}, asUsage(err, "request")
	}
	req.Header.Set(headerCaller, c.Caller)
	req.Header.Set(headerKey, key)
	if c.Deadline > 0 {
		req.Header.Set(headerDeadline, c.Deadline.String())
	}
	resp, err := e.http.Do(req)
	if err != nil {
		v := verdict.NotRun
		if connected.Load() {
			v = verdict.MayHaveRun
		}
		return outcome{Verdict: v, Reason: "transport", Key: key}, verdict.Wrap(err, v, "transport")
	}
	defer resp.Body.Close()
	return readOutcome(resp, key)
}

func readOutcome(resp *http.Response, key string) (outcome, error) {
	out := outcome{Status: resp.StatusCode, Reason: resp.Header.Get(headerReason), Backend: resp.Header.Get(headerBackend), Key: key}
	if err := out.Verdict.UnmarshalText([]byte(resp.Header.Get(headerVerdict))); err != nil {
		return out, verdict.Wrap(err, verdict.MayHaveRun, "malformed")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return out, verdict.Wrap(err, out.Verdict, "half_answer")
	}
	out.Body = string(data)
	if out.Verdict != verdict.Ran {
		return out, verdict.New(out.Verdict, verdict.Reason(out.Reason), "the daemon answered %d", resp.StatusCode)
	}
	return out, nil
}

// issueKey requests an idempotency key from each daemon in order until one issues
// it.
func (e *env) issueKey(service string) (string, error) {
	var last error = errors.New("no caller address is given")
	for _, address := range e.globals.Callers {
		key, err := e.issueKeyFrom(address, service)
		if err == nil {
			return key, nil
		}
		last = err
	}
	return "", verdict.Wrap(last, verdict.NotRun, "no_key")
}

func (e *env) issueKeyFrom(address, service string) (string, error) {
	target := e.scheme + "://" + address + "/v1/keys?count=1&service=" + url.QueryEscape(service)
	req, err := http.NewRequestWithContext(e.ctx, http.MethodPost, target, nil)
	if err != nil {
		return "", err
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var answer struct {
		Keys []string `json:"keys"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&answer); err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK || len(answer.Keys) == 0 {
		return "", errors.Errorf("%s gave no key: status %d", address, resp.StatusCode)
	}
	return answer.Keys[0], nil
}
