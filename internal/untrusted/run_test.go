package untrusted

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/standin/cell"
)

const (
	// checkPath is the path of requests that backend servers answer.
	checkPath = "/v1/services/desk/requests/check"
	// callerField names the caller, whom each request has to name.
	callerField = "Caller: c"
	deskBytes   = 1 << 20
	deskTeam    = "dispatch"
	// listedDaemon is the name of the daemon's VM.
	listedDaemon = "entry-1"
)

// requests are requests to the program that runs documents. A body of the service may have
// 1 MiB.
var requests = target{
	path:   func(int) string { return checkPath },
	fields: []string{callerField}, listing: "/v1/health",
	sent: 999_980, declared: 1_000_000, largest: deskBytes,
}

// operatorCalls are publications, whose bodies may have 128 kB.
var operatorCalls = target{
	path: func(int) string { return "/v1/jobs" },
	sent: 120_000, declared: 120_020, largest: 128 << 10,
}

// startRun starts `currantwinchd run` beside stand-ins of the log, the VM list and two backend
// servers, with one service.
func startRun(t *testing.T, l limits) *process {
	t.Helper()
	c, err := cell.New(cell.Options{
		Network: cell.Loopback{}, Regions: []cell.RegionSpec{{Region: "north", FailureDomains: []string{"north-a"}}},
		Backends: 2, Pool: "runners", Slots: 8, Connections: 64,
		RequestRunTime: func(gateway.Request) time.Duration { return 30 * time.Millisecond },
		Now:            time.Now, Seed: 1, Events: func(string) *events.Logger { return events.Discard() },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	p := newProcess(t, l)
	c.VMs.Put(cluster.VM{
		Name: listedDaemon, Role: cluster.RoleEntry, Address: p.peers,
		Location: cluster.Location{Region: "north", FailureDomain: "north-a"},
	})
	p.readyPath, p.target = "/v1/health", requests
	p.call = func() int { return do(http.MethodPost, p.callers, checkPath, "hello", callerField) }
	log, vms := c.PlatformURLs()
	p.start("run", writeFile(t, "settings.jsonc", p.runSettings(log, vms)))
	p.awaitReady()
	p.publish()
	p.await("answering", func() bool { return p.call() == http.StatusOK })
	return p
}

func (p *process) runSettings(log, vms string) []byte {
	return fmt.Appendf(nil, `{"name": %q, "location": {"region": "north", "failureDomain": "north-a"},
 "regions": [{"name": "north", "failureDomains": ["north-a"]}],
 "listen": {"callers": %q, "operators": %q, "peers": %q}, "platform": {"log": %q, "vmList": %q},
 "credential": "system/daemon:secret", "stopTimeout": "20s", "log": {"level": "info", "format": "json"},
 "limits": {"memoryMB": %d, "descriptors": %d}}`,
		listedDaemon, p.callers, p.ready, p.peers, log, vms, p.limits.memoryMB, p.limits.maxFDs)
}

// publish publishes the document of the service.
func (p *process) publish() {
	p.t.Helper()
	client := &operatorapi.Client{Addresses: []string{p.ready}, Scheme: "http", HTTP: ordinary, Credential: deskTeam + "/ann:secret"}
	text := fmt.Appendf(nil, `{"format": 1, "service": "desk", "team": %q, "requests": {"pool": "runners",
 "kinds": [{"name": "check", "repeatable": true, "deadline": "30s", "declaredRunTime": "30ms"}],
 "callerRate": 10000, "callerBurst": 10000, "maxQueued": 2000, "maxBodyBytes": %d, "maxAnswerBytes": %d}}`, deskTeam, deskBytes, deskBytes)
	p.await("published", func() bool {
		_, err := client.Publish(context.Background(), "desk", 0, "publish-desk", text)
		return err == nil
	})
}
