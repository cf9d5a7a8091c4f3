package daemon_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/cell"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

const (
	daemonCount = 3
	// idleStopLimit is the specified limit for the planned stop of an idle daemon.
	idleStopLimit = time.Second
)

// startCell starts a cell in virtual time, with latency between its regions, and
// waits until every share has an owner and ownership is stable.
func startCell(t *testing.T, network *memnet.Network) *cell.Cell {
	t.Helper()
	network.SetLatencyBetween("north", "south", 12*time.Millisecond)
	c, err := cell.New(cell.Options{
		Network: cell.NewInMemory(network),
		Regions: []cell.RegionSpec{{Region: "north", FailureDomains: []string{"a"}}, {Region: "south", FailureDomains: []string{"b"}}},
		Daemons: daemonCount, Workers: 4, Backends: 2, WorkersPerRack: 2,
		WorkerCapacity: cluster.Resources{CPU: 8000, Memory: 16 << 30},
		Pool:           "pool", Slots: 4, Connections: 48, Now: time.Now, Seed: 1,
		RequestRunTime: func(gateway.Request) time.Duration { return 0 },
		TaskRunTime:    func(placer.StartRequest) time.Duration { return 0 },
		Events:         func(string) *events.Logger { return events.Discard() },
	})
	if err != nil {
		t.Fatal(err)
	}
	var starts sync.WaitGroup
	for i := range daemonCount {
		starts.Go(func() {
			if err := c.StartDaemon(context.Background(), i); err != nil {
				t.Error(err)
			}
		})
	}
	starts.Wait()
	time.Sleep(40 * time.Second)
	for i := range daemonCount {
		if !c.Daemon(i).AllSharesOwned() {
			t.Fatal("some shares have no owner 40 s after the start")
		}
	}
	return c
}

// The planned stop of an idle daemon must end within idleStopLimit even if a caller
// keeps a connection open, and all its shares must then have an owner.
func TestStop_IdleDaemonWithinLimit(t *testing.T) {
	for name, logDelay := range map[string]time.Duration{"fast log": 0, "log at 50 ms": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.New()
				defer network.Close()
				c := startCell(t, network)
				defer c.Close()
				c.Log.SetDelay(logDelay, logDelay)
				client := &http.Client{Transport: &http.Transport{DialContext: network.Host("caller", "north").Dial}}
				defer client.CloseIdleConnections()
				resp, err := client.Get("http://" + c.CallerAddresses()[0] + "/")
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				began := time.Now()
				if err := c.StopDaemon(t.Context(), 0); err != nil {
					t.Error(err)
				}
				took := time.Since(began)
				t.Logf("took %v", took)
				if took >= idleStopLimit {
					t.Errorf("took %v, want under %v", took, idleStopLimit)
				}
				if !c.Daemon(1).AllSharesOwned() {
					t.Error("some shares have no owner after the stop")
				}
			})
		})
	}
}
