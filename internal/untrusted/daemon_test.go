package untrusted

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	// A change of the daemon must not leave an earlier result in the cache of go test.
	_ "github.com/currantwinch/currantwinch/internal/command"
)

// patience limits the waits for readiness and for the answer to the ordinary request. It only
// tells a hanging process from a slow one.
const patience = 60 * time.Second

// limits are the limits of the VM that the test's settings state.
type limits struct{ memoryMB, maxFDs int }

// process is a daemon that runs as a process of its own.
type process struct {
	t      *testing.T
	limits limits
	// callers, ready and peers are the addresses of the listeners, and readyPath that of the
	// readiness probe at the second one.
	callers, ready, readyPath, peers string
	// target is what callers' clients send to, and call sends one ordinary call.
	target target
	call   func() int
	pid    int
	ended  chan struct{}
	// exit is the error of the process's end; it is valid once ended is closed.
	exit error
	log  string
	// arguments are those of the program.
	arguments []string
}

// starter starts one of the daemon's programs on a VM with the given limits, beside
// stand-ins of what it needs, and returns once it is ready.
type starter func(*testing.T, limits) *process

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

// newProcess returns a process with free addresses that is not started.
func newProcess(t *testing.T, l limits) *process {
	return &process{t: t, limits: l, callers: freeAddress(t), ready: freeAddress(t), peers: freeAddress(t)}
}

// start starts the program with arguments under the descriptor limit that its settings state.
func (p *process) start(arguments ...string) {
	p.t.Helper()
	p.arguments = arguments
	p.log = filepath.Join(p.t.TempDir(), "daemon.log")
	log, err := os.Create(p.log)
	if err != nil {
		p.t.Fatal(err)
	}
	shell := []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.limits.maxFDs), program}
	command := exec.Command("sh", append(shell, arguments...)...)
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.pid = command.Process.Pid
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		p.exit = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	p.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-ended
	})
}

// writeFile writes a file of the test and returns its path.
func writeFile(t *testing.T, name string, text []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// serve serves a stand-in on a loopback address until the test ends.
func serve(t *testing.T, h http.Handler) (address string) {
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
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

// awaitReady waits until the readiness probe succeeds.
func (p *process) awaitReady() {
	p.t.Helper()
	p.await("ready", func() bool { return do(http.MethodGet, p.ready, p.readyPath, "") == http.StatusOK })
}

// do returns the status of one call, or 0 if there is no answer. Each field is "Name: value".
func do(method, address, path, body string, fields ...string) int {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = hostName
	for _, field := range fields {
		name, value, _ := strings.Cut(field, ": ")
		r.Header.Set(name, value)
	}
	response, err := ordinary.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
