package host_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

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
