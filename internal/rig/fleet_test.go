package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/shard"
)

const (
	zoneName = "dakar-plateau"
	hostName = "nony24.example"
	// services is the number of services; each has its own queue and servers.
	services = 3
	// serversPerService is the number of servers of a service, in two racks.
	serversPerService = 4
	// maxLease is the longest lease of a run in outages, and restartMaxLease where servers
	// restart, which is longer than owners send.
	maxLease        = 4 * time.Second
	restartMaxLease = 10 * time.Second
	// readyTimeout limits the wait for the daemons to be ready.
	readyTimeout = 30 * time.Second
	// callTimeout limits a caller's call.
	callTimeout = 2 * time.Second
)

func serviceName(i int) string { return fmt.Sprintf("pool%d", i) }

// fleet is a running installation: daemons as processes, and stand-ins for the store, the
// backend servers and the callers.
type fleet struct {
	t       testing.TB
	net     *network
	ledger  *ledger
	store   *store
	servers []*server
	daemons []*daemon
	// between holds, by two daemons, the path from the first to the second; both orders
	// name one path, whose way forth starts at the lower number.
	between [][]*path
	client  *http.Client
	// maxLease is the longest lease that servers grant.
	maxLease time.Duration
	// finish is as in series, and version that of the configuration.
	finish  time.Duration
	version int
	// serverCPU and configApply are as in series.
	serverCPU   int
	configApply time.Duration
	// versions records what callers see of the versions.
	versions *versionLog

	mu sync.Mutex
	// answered are the submissions that were accepted.
	answered []submission
}

// submission is a submission as its caller sent it.
type submission struct {
	path string
	body []byte
}

// daemon is one process.
type daemon struct {
	number   int
	binary   string
	settings string
	log      string
	callers  string
	ready    string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	closed  bool
	// killing is set while the process is being killed, and ends counts those of its
	// processes that ended by themselves.
	killing bool
	ends    int
}

// newFleet starts everything and waits until all daemons are ready. Logs are kept in dir, and
// servers grant leases of up to maxLease.
func newFleet(t testing.TB, binary, dir string, daemons int, s series) *fleet {
	t.Helper()
	out, err := os.Create(filepath.Join(dir, "ledger.log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = out.Close() })
	n := newNetwork(t, services*serversPerService, daemons)
	f := &fleet{t: t, net: n, ledger: newLedger(out), client: &http.Client{}, maxLease: s.maxLease, finish: s.finish, version: 1, serverCPU: s.serverCPU, configApply: s.configApply, versions: &versionLog{}}
	f.store = newStore(t, n)
	f.configure("r", 0)
	f.startServers()
	f.between = newPaths(daemons)
	for i := range daemons {
		serveProxy(t, n, i, f.between[i])
		f.daemons = append(f.daemons, f.newDaemon(i, binary, dir))
	}
	for _, d := range f.daemons {
		t.Cleanup(d.close)
		f.start(d)
	}
	f.awaitReady()
	return f
}

func newPaths(daemons int) [][]*path {
	out := make([][]*path, daemons)
	for i := range out {
		out[i] = make([]*path, daemons)
		for j := range i {
			out[i][j] = &path{}
			out[j][i] = out[i][j]
		}
	}
	return out
}

// configure publishes a version of the configuration. The names of its queues begin with name,
// and each leads to the service that many places after its first one.
func (f *fleet) configure(name string, shift int) { f.publish(name, shift, nil) }

// publish does the same, with routes added.
func (f *fleet) publish(name string, shift int, added []*addedRoute) {
	var routes, pools []map[string]any
	for _, r := range added {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("added%d", r.number), "host": hostName, "path_prefix": fmt.Sprintf("/added%d/", r.number), "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 400,
			"priority": 0, "service": serviceName(r.number % services), "attempts": 4, "stretch": 4,
		})
	}
	for i := range services {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("%s%d", name, i), "host": hostName, "path_prefix": fmt.Sprintf("/q%d/", i), "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 400,
			"priority": 0, "service": serviceName((i + shift) % services), "attempts": 4, "stretch": 4,
		})
		pools = append(pools, map[string]any{"name": serviceName(i), "max_connections": 64, "admission_check": false, "standby": false})
	}
	value, err := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": pools, "limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.log.Put("keyed.op", 0, "config", value)
	f.version++
}

func (f *fleet) startServers() {
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	for i := range services * serversPerService {
		rack := fmt.Sprintf("r%d-%d", i/serversPerService+1, i%2+1)
		s := newServer(f.t, f.net, i, serviceName(i/serversPerService), rack, f.maxLease, f.ledger)
		if f.serverCPU > 0 {
			s.cpu = f.serverCPU
		}
		f.servers = append(f.servers, s)
		go s.run(f.store, done)
	}
}

// serversOf returns the servers of each partition. Each service has one shard.
func (f *fleet) serversOf() map[int][]string {
	out := make(map[int][]string)
	for _, s := range f.servers {
		part := shard.PartitionOf(s.service, 0, storeParts)
		out[part] = append(out[part], s.id)
	}
	return out
}

func (f *fleet) newDaemon(i int, binary, dir string) *daemon {
	host := firstDaemonHost + i
	d := &daemon{
		number: i, binary: binary, settings: filepath.Join(dir, fmt.Sprintf("daemon-%d.json", i)), log: filepath.Join(dir, fmt.Sprintf("daemon-%d.log", i)),
		callers: f.net.address(viewOf(i), host, callerPort), ready: f.net.address(viewOf(i), host, readinessPort),
	}
	text, err := json.MarshalIndent(f.settings(i, d), "", "  ")
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(d.settings, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return d
}

func (f *fleet) settings(i int, d *daemon) map[string]any {
	bounds := map[string]any{
		"reuse_after_s": 2, "drain_ms": 2500, "grace_s": 6, "max_hold_ms": f.maxLease.Milliseconds(), "stop_grace_ms": 200, "gang_timeout_ms": 3000, "status_s": 120,
	}
	if f.configApply > 0 {
		bounds["config_apply_ms"] = f.configApply.Milliseconds()
	}
	if f.finish > 0 {
		bounds["finish_s"] = f.finish.Seconds()
	}
	return map[string]any{
		"node_name": fmt.Sprintf("edge-%d", i), "role": "daemon", "machine_class": "edge", "ip": f.net.ip(viewOf(i), firstDaemonHost+i),
		"zone": zoneName, "region": "dakar", "zones": map[string]string{zoneName: "dakar"},
		"listen":     map[string]string{"frontend": d.callers, "readiness": d.ready},
		"port_range": []int{machinePort, machinePort}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100},
		"heartbeat_ms": heartbeat.Milliseconds(), "orders": "invoke",
		"bounds":   bounds,
		"platform": map[string]any{"address": f.store.address(i), "form": "log", "parts": storeParts, "record_bytes": 262144, "min_ttl_ms": 1000},
	}
}

// start starts a daemon's process.
func (f *fleet) start(d *daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Error(err)
		return
	}
	process := exec.Command(d.binary, "host", "--file", d.settings)
	process.Env = append(os.Environ(), "GOMAXPROCS=1")
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		f.t.Error(err)
		return
	}
	ended := make(chan struct{})
	d.process, d.ended, d.killing = process, ended, false
	f.ledger.note("daemon %d starts, process %d", d.number, process.Process.Pid)
	go func() {
		_ = process.Wait()
		_ = log.Close()
		d.mu.Lock()
		if !d.killing {
			d.ends++
		}
		d.mu.Unlock()
		f.ledger.note("daemon %d has ended", d.number)
		close(ended)
	}()
}

// signal sends a signal to a daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		_ = d.process.Process.Signal(s)
	}
}

// kill kills a daemon's process and waits until it has ended.
func (d *daemon) kill() {
	d.mu.Lock()
	d.killing = true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.kill()
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for _, d := range f.daemons {
		for !f.isReady(d) {
			if time.Now().After(deadline) {
				text, _ := os.ReadFile(d.log)
				f.t.Fatalf("daemon %d is not ready after %s; its log ends with %s", d.number, readyTimeout, text[max(0, len(text)-2000):])
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (f *fleet) isReady(d *daemon) bool {
	status, err := f.call(d, http.MethodGet, d.ready, "/ready", nil)
	return err == nil && status == http.StatusOK
}

// call makes a call at a daemon's listener.
func (f *fleet) call(d *daemon, method, address, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Currantwinch-Timeout-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := f.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// submit hands in a submission of tasks of one length at one daemon after the other, until
// one accepts it. Callers do the same.
func (f *fleet) submit(queue int, id uint64, tasks int, length time.Duration) {
	body, err := json.Marshal(map[string]any{
		"spec":  fmt.Sprintf("ms=%d", length.Milliseconds()),
		"steps": []map[string]any{{"count": tasks, "cpu": 1000, "mem_mb": 256, "estimated_ms": length.Milliseconds()}},
	})
	if err != nil {
		f.t.Error(err)
		return
	}
	path := fmt.Sprintf("/q%d/%016x", queue, id)
	for attempt := range len(f.daemons) {
		d := f.daemons[(int(id)+attempt)%len(f.daemons)]
		status, err := f.call(d, http.MethodPost, d.callers, path, body)
		if err == nil && status < 300 {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.answered = append(f.answered, submission{path, body})
			return
		}
	}
}

// repeat sends a late copy of each submission that was accepted so far.
func (f *fleet) repeat(rng *rand.Rand) {
	f.mu.Lock()
	answered := slices.Clone(f.answered)
	f.mu.Unlock()
	for _, s := range answered {
		d := f.daemons[rng.IntN(len(f.daemons))]
		// The daemon may be lost, and a late copy is not sent again.
		_, _ = f.call(d, http.MethodPost, d.callers, s.path, s.body)
	}
}
