package untrusted

import (
	"context"
	"flag"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The flags follow -args, as in
//
//	go test ./internal/untrusted -run Capacity -v -args -memory 144 -descriptors 3075 -connections 2000
var (
	programFlag     = flag.String("program", "host", "host or run")
	memoryFlag      = flag.Int("memory", 144, "memory of the VM in MB")
	descriptorsFlag = flag.Int("descriptors", 3075, "descriptors of the VM")
	coresFlag       = flag.Float64("cores", 1, "part of a core that the process gets")
	listenersFlag   = flag.String("listeners", "callers,operators,peers", "listeners to which they are opened")
	loadsFlag       = flag.String("loads", "", "loads on the listener for callers by name, all if empty")
	connectionsFlag = flag.Int("connections", -1, "untrusted connections to the listener for callers; below 0 measures nothing")
)

// mixed divides the clients among the loads.
func mixed(loads ...client) client {
	return func(ctx context.Context, c net.Conn, number int) { loads[number%len(loads)](ctx, c, number) }
}

// chosenLoads returns the loads on the listener for callers that the flag names.
func chosenLoads(g target) []client {
	var chosen []client
	names := strings.Split(*loadsFlag, ",")
	for _, l := range callerLoads(g) {
		for _, name := range names {
			if *loadsFlag == "" || l.name == name {
				chosen = append(chosen, l.each)
				break
			}
		}
	}
	return chosen
}

// TestCapacity measures the daemon under a number of untrusted connections, with a tenth as
// many to each of the other listeners. The figures of docs/CAPACITY.md come from it.
func TestCapacity(t *testing.T) {
	if *connectionsFlag < 0 {
		t.Skip("a measurement, which needs the flag -connections")
	}
	l := limits{memoryMB: *memoryFlag, maxFDs: *descriptorsFlag}
	start := map[string]starter{"host": startHost, "run": startRun}[*programFlag]
	p := start(t, l)
	g := p.target
	defer p.slowDown(*coresFlag)()
	o := p.observe()
	n := *connectionsFlag
	crowd := func(listener, address string, clients int, loads ...client) {
		if clients > 0 && strings.Contains(*listenersFlag, listener) {
			t.Cleanup(attack(address, clients, mixed(loads...)))
		}
	}
	crowd("callers", p.callers, n, chosenLoads(g)...)
	crowd("operators", p.ready, n/10, stopShort(g), endlessHeaders(g), unread("/metrics", 400), idle)
	crowd("peers", p.peers, n/10, messageStopsShort(addressHello), messageStopsShort(noHello), messageInSlowPieces(addressHello), unreadCalls(addressHello), idle)
	time.Sleep(3 * loadDuration)
	const calls, largeCalls = 20, 4
	answered, large := 0, 0
	for range calls {
		if p.call() == http.StatusOK {
			answered++
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i := range largeCalls {
		if do(http.MethodPost, p.callers, g.path(-1-i), string(paddedBody(g.largest)), g.fields...) == http.StatusOK {
			large++
		}
	}
	peak, err := o.end()
	t.Logf("%s, %d MB, %.3f cores, %d connections: the process lives: %t; peak %.1f MB resident and %.1f MB queued, %d descriptors; at the first try %d of %d ordinary calls and %d of %d of the largest size answered; %v",
		*programFlag, l.memoryMB, *coresFlag, n, p.lives(), float64(peak.resident)/megabyte, float64(peak.queued)/megabyte, peak.descriptors, answered, calls, large, largeCalls, err)
}
