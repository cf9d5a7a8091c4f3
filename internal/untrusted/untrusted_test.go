package untrusted

import (
	"net/http"
	"testing"
	"time"
)

const (
	// clients is half the number of those that ended a process, and the memory of small is
	// half that of the smallest VM.
	clients = 200
	// manyConnections is more than the descriptors of scarce.
	manyConnections = 400
	// peerClients send messages of a million bytes.
	peerClients = 100
	// operatorClients send bodies of 120,000 bytes, as many bytes together as the VM has.
	operatorClients = 600
	// loadDuration is how long the clients send before the ordinary request.
	loadDuration = 6 * time.Second
)

var (
	small  = limits{memoryMB: 72, maxFDs: 1024}
	scarce = limits{memoryMB: 72, maxFDs: 256}
)

// descriptorBound leaves a quarter of the descriptors to the daemon's own calls.
func (l limits) descriptorBound() int { return l.maxFDs * 3 / 4 }

// load is what clients do to one listener.
type load struct {
	name    string
	limits  limits
	clients int
	each    client
}

// withstands checks that a daemon under a load lives, stays within the memory and the
// descriptors of its VM, and answers one ordinary request while the clients go on.
func withstands(t *testing.T, start starter, address func(*process) string, loads []load) {
	if testing.Short() {
		t.Skip("the process is not built with the race detector; the stage without it runs this test")
	}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			p := start(t, l.limits)
			o := p.observe()
			stop := attack(address(p), l.clients, l.each)
			defer stop()
			time.Sleep(loadDuration)
			p.await("answering", func() bool { return p.call() == http.StatusOK })
			p.awaitReady()
			peak, err := o.end()
			if err != nil || !p.lives() {
				t.Fatalf("the process lives: %t; usage: %v", p.lives(), err)
			}
			t.Logf("peak: %.1f MB resident and %.1f MB queued, %d descriptors", float64(peak.resident)/megabyte, float64(peak.queued)/megabyte, peak.descriptors)
			if bound := l.limits.memoryMB * megabyte; peak.memory() > bound {
				t.Errorf("%.1f MB resident and %.1f MB queued in sockets, want at most %d MB", float64(peak.resident)/megabyte, float64(peak.queued)/megabyte, l.limits.memoryMB)
			}
			if peak.descriptors > l.limits.descriptorBound() {
				t.Errorf("%d open descriptors, want at most %d", peak.descriptors, l.limits.descriptorBound())
			}
		})
	}
}

// callerLoads are the loads on the listener for callers.
func callerLoads(g target) []load {
	return []load{
		{"whole bodies", small, clients, wholeBodies(g, paddedBody(g.largest))},
		{"whole bodies of many steps", small, clients, wholeBodies(g, manySteps(g.largest))},
		{"bodies that stop short", small, clients, stopShort(g)},
		{"large chunks", small, clients, chunks(g, 10_000)},
		{"chunks of one byte", small, clients, chunks(g, 1)},
		{"slow pieces", small, clients, slowPieces(g)},
		{"endless headers", small, clients, endlessHeaders(g)},
		{"answers that are not read", small, 32, unread(g.listing, 4000)},
		{"connections without a request", scarce, manyConnections, idle},
	}
}

func callersOf(p *process) string { return p.callers }
func readyOf(p *process) string   { return p.ready }
func peersOf(p *process) string   { return p.peers }

// A process ran out of memory and ended when clients sent many large bodies at once, whole
// or stopping just short of the end, with declared lengths or in chunks, or kept
// connections busy in other ways.
func TestCallers_WithstandUntrustedClients(t *testing.T) {
	withstands(t, startHost, callersOf, callerLoads(submissions))
}

// A crowd with one tenant's key must not keep another tenant's calls out.
func TestCallers_WithstandACrowdWithAKey(t *testing.T) {
	g := submissions
	g.fields = []string{keyField("crowd-key")}
	withstands(t, startTenants, callersOf, []load{
		{"whole bodies", small, clients, wholeBodies(g, paddedBody(g.largest))},
		{"bodies that stop short", small, clients, stopShort(g)},
	})
}

// The program that runs documents read bodies of up to 1 MiB on 4,096 connections without a
// bound in sum.
func TestRunCallers_WithstandUntrustedClients(t *testing.T) {
	withstands(t, startRun, callersOf, append(callerLoads(requests),
		load{"large answers that are not read", small, clients, unreadAnswer(requests, paddedBody(requests.largest))}))
}

// The listener for readiness probes and metrics must not bring down the daemon either. Its
// metrics are the longest answers.
func TestReadiness_WithstandsUntrustedClients(t *testing.T) {
	probes := target{path: submissions.path, sent: submissions.sent, declared: submissions.declared}
	withstands(t, startHost, readyOf, []load{
		{"bodies that stop short", small, clients, stopShort(probes)},
		{"large chunks", small, clients, chunks(probes, 10_000)},
		{"chunks of one byte", small, clients, chunks(probes, 1)},
		{"slow pieces", small, clients, slowPieces(probes)},
		{"endless headers", small, clients, endlessHeaders(probes)},
		{"answers that are not read", small, clients, unread("/metrics", 400)},
		{"connections without a request", scarce, manyConnections, idle},
	})
}

// Operators' bodies were bounded for each and not in sum.
func TestRunOperators_WithstandUntrustedClients(t *testing.T) {
	withstands(t, startRun, readyOf, []load{
		{"whole bodies", small, operatorClients, wholeBodies(operatorCalls, paddedBody(operatorCalls.largest))},
		{"bodies that stop short", small, operatorClients, stopShort(operatorCalls)},
		{"large chunks", small, operatorClients, chunks(operatorCalls, 10_000)},
		{"chunks of one byte", small, operatorClients, chunks(operatorCalls, 1)},
		{"slow pieces", small, operatorClients, slowPieces(operatorCalls)},
		{"endless headers", small, clients, endlessHeaders(operatorCalls)},
		{"answers that are not read", small, clients, unread("/metrics", 400)},
		{"connections without a request", scarce, manyConnections, idle},
	})
}

// peerLoads are the loads on the listener for other daemons.
func peerLoads(greet greeting) []load {
	return []load{
		{"messages that stop short", small, peerClients, messageStopsShort(greet)},
		{"messages before a hello", small, peerClients, messageStopsShort(noHello)},
		{"slow pieces", small, peerClients, messageInSlowPieces(greet)},
		{"answers that are not read", small, 20, unreadCalls(greet)},
		{"connections without a request", scarce, manyConnections, idle},
	}
}

// The listener for other daemons must not bring down the daemon either: a message announces
// up to 4 MB, and a failed accept ended the process.
func TestPeers_WithstandUntrustedClients(t *testing.T) {
	withstands(t, startHost, peersOf, peerLoads(addressHello))
}

// The messages of other daemons were not bounded in sum in the program that runs documents.
func TestRunPeers_WithstandUntrustedClients(t *testing.T) {
	withstands(t, startRun, peersOf, peerLoads(listedHello))
}

// One request of the largest legal size must be served on the smallest VM when there is no
// other load, or the limits against untrusted clients would refuse legal work.
func TestCallers_LargestRequestIsServedOnTheSmallestVM(t *testing.T) {
	if testing.Short() {
		t.Skip("the process is not built with the race detector; the stage without it runs this test")
	}
	for name, start := range map[string]starter{"host": startHost, "run": startRun} {
		t.Run(name, func(t *testing.T) {
			p := start(t, limits{memoryMB: 144, maxFDs: 3075})
			g := p.target
			if status := do(http.MethodPost, p.callers, g.path(0), string(paddedBody(g.largest)), g.fields...); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
		})
	}
}
