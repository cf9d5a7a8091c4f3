package untrusted

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/platform/standin"
)

const (
	hostName     = "h.example"
	maxBodyBytes = 262144
	storeParts   = 4
)

// nextID gives each ordinary request an ID of its own.
var nextID atomic.Int64

// submissions are requests to the program for the users' platform. The number of bytes is that
// of the trial that ended a process.
var submissions = target{
	path:    func(number int) string { return fmt.Sprintf("/q/%016x", 0xc0000+number) },
	listing: "/q/", sent: 250_000, declared: 250_020, largest: maxBodyBytes,
}

// startHost starts `currantwinchd host` beside stand-ins of the platform.
func startHost(t *testing.T, l limits) *process { return startHostWith(t, l, "") }

// startTenants is startHost with two tenants: ordinary calls are those of one, and the target's
// requests have the key of the other.
func startTenants(t *testing.T, l limits) *process {
	p := startHostWith(t, l, `,"tenants":[{"name":"calm","api_keys":["calm-key"],"weight":20,"cap":{"cpu":4000,"mem_mb":8000,"gpu":0}},{"name":"crowd","api_keys":["crowd-key"],"weight":20,"cap":{"cpu":4000,"mem_mb":8000,"gpu":0}}]`)
	p.target.fields = []string{keyField("crowd-key")}
	p.call = func() int {
		return do(http.MethodPost, p.callers, fmt.Sprintf("/q/%016x", 0xd0000+nextID.Add(1)), standin.GangAfterStep, keyField("calm-key"))
	}
	return p
}

func keyField(key string) string { return "Authorization: Bearer " + key }

// startHostWith is startHost with more of the configuration.
func startHostWith(t *testing.T, l limits, configuration string) *process {
	t.Helper()
	store := standin.NewStore(storeParts)
	server := standin.NewServer("i-0", 30*time.Millisecond)
	store.Put("keyed.servers", 0, server.ID, fmt.Appendf(nil,
		`{"service":"pool","address":%q,"zone":"z","state":"ready","capacity":{"cpu":4000,"mem_mb":8000},"labels":["a","r1"],"born":%d}`, serve(t, server), server.Born()))
	store.Put("keyed.op", 0, "config", fmt.Appendf(nil,
		`{"version":1,"routes":[{"name":"r","host":%q,"path_prefix":"/q/","service":"pool","attempts":2,"stretch":2,"target_latency_ms":400}],"services":[{"name":"pool"}],"limits":{"max_body_bytes":%d}%s}`, hostName, maxBodyBytes, configuration))
	p := newProcess(t, l)
	p.readyPath, p.target = "/ready", submissions
	p.call = func() int {
		return do(http.MethodPost, p.callers, fmt.Sprintf("/q/%016x", 0xd0000+nextID.Add(1)), standin.GangAfterStep)
	}
	p.start("host", "--file", writeFile(t, "settings.json", p.hostSettings(serve(t, store))))
	p.awaitReady()
	return p
}

func (p *process) hostSettings(store string) []byte {
	p.t.Helper()
	_, port, _ := net.SplitHostPort(p.peers)
	number, err := strconv.Atoi(port)
	if err != nil {
		p.t.Fatal(err)
	}
	text, err := json.Marshal(map[string]any{
		"node_name": "n", "ip": "127.0.0.1", "zone": "z", "region": "r", "port_range": []int{number, number},
		"listen": map[string]string{"frontend": p.callers, "readiness": p.ready},
		"limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": p.limits.memoryMB, "max_fds": p.limits.maxFDs},
		"bounds": map[string]any{
			"reuse_after_s": 2, "drain_ms": 2500, "grace_s": 6, "max_hold_ms": 6000, "gang_timeout_ms": 3000, "status_s": 120,
		},
		"platform": map[string]any{"address": store, "parts": storeParts, "record_bytes": 262144, "min_ttl_ms": 1000},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	return text
}
