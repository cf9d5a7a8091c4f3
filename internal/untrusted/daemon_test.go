package untrusted

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	// A change of the daemon must not leave an earlier result in the cache of go test.
	_ "github.com/currantwinch/currantwinch/internal/command"
	"github.com/currantwinch/currantwinch/platform/standin"
)

const (
	hostName     = "h.example"
	maxBodyBytes = 262144
	storeParts   = 4
	// patience limits the waits for readiness and for the answer to the ordinary request.
	// It only tells a hanging process from a slow one.
	patience = 60 * time.Second
)

// limits are the limits of the VM that the test's settings state.
type limits struct{ memoryMB, maxFDs int }

// process is a daemon that runs as a process of its own.
type process struct {
	t                     *testing.T
	limits                limits
	callers, ready, peers string
	pid                   int
	ended                 chan struct{}
	log                   string
}

// program is the path of the daemon's program. It is built once.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "untrusted")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "currantwinchd")
	build := exec.Command("go", "build", "-o", program, "./cmd/currantwinchd")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startProcess starts a daemon beside stand-ins of the platform and waits until it is ready.
func startProcess(t *testing.T, l limits) *process {
	t.Helper()
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String()
	}
	store := standin.NewStore(storeParts)
	storeAddress := serve(store)
	server := standin.NewServer("i-0", 30*time.Millisecond)
	store.Put("keyed.servers", 0, server.ID, fmt.Appendf(nil,
		`{"service":"pool","address":%q,"zone":"z","state":"ready","capacity":{"cpu":4000,"mem_mb":8000},"labels":["a","r1"],"born":%d}`, serve(server), server.Born()))
	store.Put("keyed.op", 0, "config", fmt.Appendf(nil,
		`{"version":1,"routes":[{"name":"r","host":%q,"path_prefix":"/q/","service":"pool","attempts":2,"stretch":2,"target_latency_ms":400}],"services":[{"name":"pool"}],"limits":{"max_body_bytes":%d}}`, hostName, maxBodyBytes))
	p := &process{t: t, limits: l, callers: freeAddress(t), ready: freeAddress(t), peers: freeAddress(t), ended: make(chan struct{})}
	p.start(storeAddress)
	p.await("ready", func() bool { return p.get(p.ready, "/ready") == http.StatusOK })
	return p
}

// start starts the process under the descriptor limit that its settings state.
func (p *process) start(store string) {
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
	dir := p.t.TempDir()
	settings := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.log = filepath.Join(dir, "daemon.log")
	log, err := os.Create(p.log)
	if err != nil {
		p.t.Fatal(err)
	}
	command := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" host --file "$1"`, p.limits.maxFDs), program, settings)
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.pid = command.Process.Pid
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-p.ended
	})
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// lives reports whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) await(what string, done func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(patience); !done(); time.Sleep(100 * time.Millisecond) {
		if !p.lives() || time.Now().After(deadline) {
			text, _ := os.ReadFile(p.log)
			p.t.Fatalf("not %s; the process lives: %t; its log ends with %s", what, p.lives(), text[max(0, len(text)-2000):])
		}
	}
}

var ordinary = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get returns the status of one call, or 0 if there is no answer.
func (p *process) get(address, path string) int {
	return do(http.MethodGet, address, path, "")
}

func do(method, address, path, body string) int {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = hostName
	response, err := ordinary.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
