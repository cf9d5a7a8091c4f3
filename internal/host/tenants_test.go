package host_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/host"
)

// logBuffer collects the log lines of several daemons.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// configureKeys publishes a version of the configuration with one tenant that has the keys.
func (s *deployment) configureKeys(version int, keys ...string) {
	s.store.Put("keyed.op", 0, "config", fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"r","host":"h.example","path_prefix":"/q/","service":"pool","attempts":2,"stretch":2,"target_latency_ms":4000}],
		"services":[{"name":"pool"}],"limits":{"max_body_bytes":10000},
		"tenants":[{"name":"a","api_keys":["%s"],"weight":50}]}`, version, strings.Join(keys, `","`)))
}

// callAs makes a call with a key and returns the status and the answer.
func (s *deployment) callAs(key, method, address, path, body string) (int, string) {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// Guards against a tenant whose work lies in the services of several owners and that can
// use its cap at one of them only: the owner that is not the first holder must get a part.
func TestHost_CapIsSharedBetweenTheOwnersOfTwoServices(t *testing.T) {
	const key = "gk-of-tenant-a"
	p := newPools(t, 200*time.Millisecond)
	p.store.Put("keyed.op", 0, "config", fmt.Appendf(nil, `{"version":9,"routes":[
		{"name":"r","host":"h.example","path_prefix":"/q/","service":"pool","attempts":2,"stretch":2,"target_latency_ms":4000},
		{"name":"w","host":"h.example","path_prefix":"/w/","service":"west","attempts":2,"stretch":2,"target_latency_ms":4000}],
		"services":[{"name":"pool"},{"name":"annex"},{"name":"other"},{"name":"west"}],"limits":{"max_body_bytes":10000},
		"tenants":[{"name":"a","api_keys":[%q],"weight":50,"cap":{"cpu":4000,"mem_mb":0,"gpu":0}}]}`, key))
	p.await("key in force", func() bool {
		status, _ := p.call("GET", p.daemons[0], "/q/", "")
		other, _ := p.call("GET", p.daemons[1], "/q/", "")
		return status == http.StatusUnauthorized && other == http.StatusUnauthorized
	})
	for round := range 2 {
		for i, path := range []string{"/q/", "/w/"} {
			submission := fmt.Sprintf("%016x", 16*round+i+1)
			if status, text := p.callAs(key, "POST", p.daemons[i], path+submission, twoSteps); status != http.StatusOK {
				t.Fatalf("submission to %s: %d %s", path, status, text)
			}
			p.await("completed: "+path, func() bool {
				_, text := p.callAs(key, "GET", p.daemons[i], path+submission, "")
				return strings.Contains(text, `"completed"`)
			})
		}
	}
	if status, text := p.callAs(key, "POST", p.daemons[0], "/w/00000000000000ee", `{"spec":"x","steps":[{"count":9,"cpu":1000,"mem_mb":1,"estimated_ms":10,"gang_scheduled":true}]}`); status != http.StatusBadRequest || !strings.Contains(text, "4000 millicores") {
		t.Errorf("gang of 9 cores under a cap of 4: %d %s, want 400 with the cap", status, text)
	}
	_, state := p.call("GET", p.ready, "/debug/state", "")
	_, metrics := p.call("GET", p.ready, "/metrics", "")
	if strings.Contains(state, key) || strings.Contains(metrics, key) {
		t.Error("the key is in the dump or in the metrics")
	}
}

// Guards against a daemon that keeps a removed key beyond the bound or takes an unknown one,
// directly or for another daemon, against accepted work that is lost with its key, and
// against a key in a log line, the dump, the metrics or an answer.
func TestHost_KeysComeAndGo(t *testing.T) {
	const (
		first  = "gk-first-of-tenant-a"
		second = "gk-second-of-tenant-a"
		never  = "gk-of-no-tenant"
		// configApply is the time after which no daemon may use the version before.
		configApply = 4 * time.Second
	)
	var log logBuffer
	s := newDeployment(t, 2)
	s.events = events.NewLogger(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	s.configureKeys(2, first)
	var daemons, ready, answers []string
	var hosts []*host.Host
	start := func() {
		h, address := s.start()
		hosts, daemons, ready = append(hosts, h), append(daemons, address), append(ready, s.ready)
	}
	start()
	start()
	call := func(key, method, address, path, body string) int {
		status, text := s.callAs(key, method, address, path, body)
		answers = append(answers, text)
		return status
	}
	awaitKey := func(key string, status int) {
		t.Helper()
		published := time.Now()
		for i, address := range daemons {
			for call(key, "GET", address, "/q/", "") != status {
				if time.Since(published) > configApply {
					t.Fatalf("daemon %d doesn't answer %d %v after the version", i, status, configApply)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	awaitKey(first, http.StatusOK)
	// Submissions of 16 IDs spread over the partitions, so that each daemon forwards some.
	accepted := func(i int) string { return fmt.Sprintf("/q/%016x", 0xc0+i) }
	for i := range 16 {
		if status := call(first, "POST", daemons[i%2], accepted(i), twoSteps); status != http.StatusOK {
			t.Fatalf("submission %d with the first key: %d, want 200", i, status)
		}
		if status := call(never, "POST", daemons[i%2], fmt.Sprintf("/q/%016x", 0xe0+i), twoSteps); status != http.StatusUnauthorized {
			t.Fatalf("submission %d with an unknown key: %d, want 401", i, status)
		}
	}

	s.configureKeys(3, second)
	awaitKey(first, http.StatusUnauthorized)
	awaitKey(second, http.StatusOK)
	// The owner of all partitions hands them over, and a daemon that has seen only the new
	// version joins.
	if err := hosts[0].Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	hosts, daemons, ready = hosts[1:], daemons[1:], ready[1:]
	start()
	for i := range 16 {
		s.await("answered after the handover: "+accepted(i), func() bool {
			return call(second, "GET", daemons[0], accepted(i), "") == http.StatusOK
		})
	}
	for i := range 16 {
		for _, address := range daemons {
			for _, method := range []string{"GET", "DELETE"} {
				if status := call(first, method, address, accepted(i), ""); status != http.StatusUnauthorized {
					t.Errorf("%s of submission %d with the removed key: %d, want 401", method, i, status)
				}
			}
			if status := call(first, "POST", address, fmt.Sprintf("/q/%016x", 0xf0+i), twoSteps); status != http.StatusUnauthorized {
				t.Errorf("submission with the removed key: %d, want 401", status)
			}
			if status := call(second, "GET", address, accepted(i), ""); status != http.StatusOK {
				t.Errorf("status of submission %d with the second key: %d, want 200", i, status)
			}
		}
	}
	for i := range 16 {
		if status := call(second, "GET", daemons[0], fmt.Sprintf("/q/%016x", 0xf0+i), ""); status != http.StatusGone {
			t.Errorf("submission %d that was refused with 401: status %d, want 410", i, status)
		}
	}

	s.configureKeys(4, second, first)
	awaitKey(first, http.StatusOK)
	for _, address := range ready {
		for _, path := range []string{"/debug/state", "/metrics"} {
			_, text := s.call("GET", address, path, "")
			answers = append(answers, text)
		}
	}
	for _, key := range []string{first, second, never} {
		if strings.Contains(log.String(), key) {
			t.Errorf("%s is in a log line", key)
		}
		if strings.Contains(strings.Join(answers, "\n"), key) {
			t.Errorf("%s is in an answer, the dump or the metrics", key)
		}
	}
	if log.String() == "" {
		t.Error("no log lines were collected")
	}
}
