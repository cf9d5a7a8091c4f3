package untrusted

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/platform/standin"
)

// The flags follow -args, as in
//
//	go test ./internal/untrusted -run Capacity -v -args -memory 144 -descriptors 3075 -connections 2000
var (
	memoryFlag      = flag.Int("memory", 144, "memory of the VM in MB")
	descriptorsFlag = flag.Int("descriptors", 3075, "descriptors of the VM")
	listenersFlag   = flag.String("listeners", "callers,operators,peers", "listeners to which they are opened")
	connectionsFlag = flag.Int("connections", 0, "untrusted connections to the listener for callers; 0 measures nothing")
)

// mixed divides the clients among the loads.
func mixed(loads ...client) client {
	return func(ctx context.Context, c net.Conn, number int) { loads[number%len(loads)](ctx, c, number) }
}

// TestCapacity measures the daemon under a number of untrusted connections, with a tenth as
// many to each of the other listeners. The figures of docs/CAPACITY.md come from it.
func TestCapacity(t *testing.T) {
	if *connectionsFlag <= 0 {
		t.Skip("a measurement, which needs the flag -connections")
	}
	l := limits{memoryMB: *memoryFlag, maxFDs: *descriptorsFlag}
	p := startProcess(t, l)
	o := p.observe()
	n := *connectionsFlag
	start := func(listener, address string, clients int, loads ...client) {
		if strings.Contains(*listenersFlag, listener) {
			t.Cleanup(attack(address, clients, mixed(loads...)))
		}
	}
	start("callers", p.callers, n, stopShort, chunks(10_000), chunks(1), slowPieces, wholeBodies(paddedBody()), wholeBodies(manySteps()), endlessHeaders, unread("/q/", 4000), idle)
	start("operators", p.ready, n/10, stopShort, endlessHeaders, unread("/metrics", 400), idle)
	start("peers", p.peers, n/10, messageStopsShort(true), messageStopsShort(false), messageInSlowPieces, unreadCalls, idle)
	time.Sleep(3 * loadDuration)
	answered := 0
	const calls = 20
	for range calls {
		if do(http.MethodPost, p.callers, fmt.Sprintf("/q/%016x", 0xe0000+nextID.Add(1)), standin.GangAfterStep) == http.StatusOK {
			answered++
		}
		time.Sleep(100 * time.Millisecond)
	}
	peak, err := o.end()
	t.Logf("%d MB, %d connections: the process lives: %t; peak %.1f MB resident and %.1f MB queued, %d descriptors; %d of %d ordinary calls answered at the first try; %v",
		l.memoryMB, n, p.lives(), float64(peak.resident)/megabyte, float64(peak.queued)/megabyte, peak.descriptors, answered, calls, err)
}
