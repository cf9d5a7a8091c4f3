package cmd_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/cell"
	"github.com/google/uuid"
)

var (
	idle         = flag.Bool("rest", false, "measure daemons that run as separate processes without load")
	idleWorkers  = flag.Int("rest.workers", 780, "number of workers")
	idleTasks    = flag.Int("rest.tasks", 15000, "number of tasks that run until they are stopped")
	idleTeams    = flag.Int("rest.teams", 110, "number of teams, each with one document")
	idleDaemons  = flag.Int("rest.daemons", 9, "number of daemons")
	idleSettle   = flag.Duration("rest.settle", 20*time.Second, "time for estimates and shares to settle before measuring")
	idleDuration = flag.Duration("rest.for", 30*time.Second, "length of the measurement")
)

// TestRest_NineProcesses logs the processor time, memory and network traffic of
// an idle daemon in a cell of the given size. It checks no bounds.
func TestRest_NineProcesses(t *testing.T) {
	if !*idle {
		t.Skip("run with -rest")
	}
	r := startProcessCell(t)
	time.Sleep(*idleSettle)
	r.logUsage(t, *idleDuration, func() { time.Sleep(*idleDuration) })
}

// processCell is a cell whose daemons run as separate processes.
type processCell struct {
	cell      *cell.Cell
	client    *operatorapi.Client
	pids      []int
	operators []string
	callers   []string
}

// startProcessCell starts the cell and its daemons and returns once all tasks run,
// or after two minutes.
func startProcessCell(t *testing.T) *processCell {
	dir := t.TempDir()
	binary := filepath.Join(dir, "currantwinchd")
	if out, err := exec.Command("go", "build", "-o", binary, "./currantwinchd").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	c, err := cell.New(cellOptions())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	r := &processCell{cell: c}
	for i := range *idleDaemons {
		r.startProcess(t, dir, binary, i)
	}
	r.client = &operatorapi.Client{Addresses: r.operators, Scheme: "http", HTTP: http.DefaultClient}
	publishAll(t, r.client)
	running := waitForTasks(t, c)
	t.Logf("%d daemons, %d workers, %d tasks running, %d documents", *idleDaemons, *idleWorkers, running, *idleTeams)
	return r
}

func cellOptions() cell.Options {
	return cell.Options{
		Network: cell.Loopback{},
		Regions: []cell.RegionSpec{
			{Region: "north", FailureDomains: []string{"north-a", "north-b"}},
			{Region: "south", FailureDomains: []string{"south-a", "south-b"}},
		},
		Workers: *idleWorkers, Backends: 50, WorkersPerRack: 8,
		WorkerCapacity: cluster.Resources{CPU: 32_000, Memory: 64 << 30, Accelerators: 2},
		Pool:           "pool", Slots: 8, Connections: 64, Now: time.Now, Seed: 1,
		TaskRunTime: func(r placer.StartRequest) time.Duration {
			if r.Labels.Workload == burstWorkload {
				return burstRunTime
			}
			return 0
		},
		RequestRunTime: func(gateway.Request) time.Duration { return requestRunTime },
		Events:         func(string) *events.Logger { return events.Discard() },
	}
}

// The daemons' ports lie below the ephemeral port range, so that no outgoing
// connection takes one between the check and its use.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// nextPort is the port at which the next search for free ports begins.
var nextPort = firstPort

// freePorts returns n loopback addresses with no listener.
func freePorts(t *testing.T, n int) []string {
	var list []string
	for ; len(list) < n && nextPort < lastPort; nextPort++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		list = append(list, l.Addr().String())
		_ = l.Close()
	}
	if len(list) < n {
		t.Fatalf("found fewer than %d free ports", n)
	}
	return list
}

func (r *processCell) startProcess(t *testing.T, dir, binary string, i int) {
	ports := freePorts(t, 3)
	region := []string{"north", "south"}[i%2]
	vm := cluster.VM{
		Name: fmt.Sprintf("entry-%d", i), Role: cluster.RoleEntry, Address: ports[2],
		Location: cluster.Location{Region: region, FailureDomain: region + "-a", Rack: "r1"},
	}
	r.cell.VMs.Put(vm)
	log, vms := r.cell.PlatformURLs()
	text := fmt.Sprintf(`{"name": %q, "location": {"region": %q, "failureDomain": "%s-a"},
 "regions": [{"name": "north", "failureDomains": ["north-a", "north-b"]}, {"name": "south", "failureDomains": ["south-a", "south-b"]}],
 "listen": {"callers": %q, "operators": %q, "peers": %q}, "platform": {"log": %q, "vmList": %q},
 "credential": "system/%s:secret", "log": {"level": "error", "format": "text"}}`,
		vm.Name, region, region, ports[0], ports[1], ports[2], log, vms, vm.Name)
	file := filepath.Join(dir, vm.Name+".jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "run", file)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	r.pids, r.callers, r.operators = append(r.pids, cmd.Process.Pid), append(r.callers, ports[0]), append(r.operators, ports[1])
}

// publishAll publishes one document for each team. A fifth of its tasks belong to
// a service.
func publishAll(t *testing.T, client *operatorapi.Client) {
	perTeam := *idleTasks / *idleTeams
	for i := range *idleTeams {
		team := fmt.Sprintf("team-%d", i)
		client.Credential = team + "/ann:secret"
		text := fmt.Sprintf(`{"format": 1, "service": "service-%d", "team": %q, "workloads": [
 {"name": "web", "class": "service", "count": %d, "resources": {"cpu": "1", "memory": "1GiB"}, "spread": "rack"},
 {"name": "batch", "class": "batch", "start": "published", "count": %d, "runTime": "10h", "resources": {"cpu": "1", "memory": "1GiB"}}]}`,
			i, team, perTeam/5, perTeam-perTeam/5)
		publishWithRetry(t, client, fmt.Sprintf("service-%d", i), text)
	}
}

// publishWithRetry publishes a document, and retries for up to 20 s until a daemon
// accepts it.
func publishWithRetry(t *testing.T, client *operatorapi.Client, service, text string) {
	key := uuid.NewString()
	var err error
	for range 200 {
		if _, err = client.Publish(context.Background(), service, 0, key, []byte(text)); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("publish document of %s: %v", service, err)
}

func waitForTasks(t *testing.T, c *cell.Cell) int {
	want := *idleTasks / *idleTeams * *idleTeams
	start := time.Now()
	for {
		running := len(c.Workers.RunningAttempts())
		if running >= want || time.Since(start) > 2*time.Minute {
			t.Logf("%d of %d tasks running after %v", running, want, time.Since(start).Round(time.Millisecond))
			return running
		}
		time.Sleep(time.Second)
	}
}

// usage is what one process has used since it started, and its memory now.
type usage struct {
	cpu      time.Duration
	sent     uint64
	received uint64
	resident uint64
	// anonymous is the resident memory that is not mapped from the executable.
	anonymous uint64
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

func readUsage(t *testing.T, pid int) usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return usage{
		cpu:      time.Duration(user+system) * clockTick,
		received: readProcField(t, pid, "io", "rchar:"), sent: readProcField(t, pid, "io", "wchar:"),
		resident: readProcField(t, pid, "status", "VmRSS:") << 10, anonymous: readProcField(t, pid, "status", "RssAnon:") << 10,
	}
}

func readProcField(t *testing.T, pid int, file, name string) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}

// logUsage logs the mean usage of a daemon while run runs, which must take duration.
func (r *processCell) logUsage(t *testing.T, duration time.Duration, run func()) {
	before := make([]usage, len(r.pids))
	for i, pid := range r.pids {
		before[i] = readUsage(t, pid)
	}
	run()
	var cpu, mem, anonymous, out, in float64
	for i, pid := range r.pids {
		now := readUsage(t, pid)
		cpu += (now.cpu - before[i].cpu).Seconds() / duration.Seconds()
		out += float64(now.sent-before[i].sent) / duration.Seconds()
		in += float64(now.received-before[i].received) / duration.Seconds()
		mem += float64(now.resident)
		anonymous += float64(now.anonymous)
	}
	n := float64(len(r.pids))
	t.Logf("mean of %d daemons: %.2f%% of a core, %.1f MB resident (%.1f MB without the executable), %.1f KB/s sent, %.1f KB/s received",
		len(r.pids), 100*cpu/n, mem/n/1e6, anonymous/n/1e6, out/n/1e3, in/n/1e3)
}
