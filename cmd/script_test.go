// Package cmd_test runs both commands as operators and callers do.
package cmd_test

import (
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/cli"
	"github.com/currantwinch/currantwinch/internal/command"
	"github.com/currantwinch/currantwinch/internal/daemon"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/cell"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"currantwinchd": func() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"currantwinch":  func() { os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cell":         startCell,
			"certificates": issueCertificates,
			"securecell":   startSecureCell,
			"platform":     startPlatform,
			"answers":      waitUntilSucceeds,
			"exits":        checkExitCode,
			"takeport":     occupyPort,
			"stopdaemon":   stopDaemon,
			"waitreview":   waitReview,
		},
	})
}

// occupyPort listens on a free port until the script ends, and sets $PORT to its
// number.
func occupyPort(ts *testscript.TestScript, _ bool, _ []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ts.Defer(func() { _ = l.Close() })
	ts.Setenv("PORT", strconv.Itoa(l.Addr().(*net.TCPAddr).Port))
}

// startCell starts three daemons with stand-ins and sets the environment variables
// with which the command line reaches them.
func startCell(ts *testscript.TestScript, _ bool, _ []string) { startCellWith(ts, nil) }

// startCellWith is startCell with a certificate for each daemon, unless
// certificates is nil.
func startCellWith(ts *testscript.TestScript, certificates func(daemon string) (*certs.Store, error)) {
	c, err := cell.New(cell.Options{
		Network: cell.Loopback{},
		Regions: []cell.RegionSpec{
			{Region: "north", FailureDomains: []string{"north-a"}},
			{Region: "south", FailureDomains: []string{"south-a"}},
			{Region: "west", FailureDomains: []string{"west-a"}},
		},
		Daemons: 3, Workers: 6, Backends: 3, WorkersPerRack: 2,
		WorkerCapacity: cluster.Resources{CPU: 8000, Memory: 16 << 30},
		Pool:           "pool", Slots: 4, Connections: 32, Now: time.Now, Seed: 1,
		RequestRunTime: requestRunTimeOf,
		TaskRunTime:    func(placer.StartRequest) time.Duration { return time.Hour },
		Events:         func(string) *events.Logger { return events.Discard() },
		Certificates:   certificates,
	})
	ts.Check(err)
	ts.Defer(c.Close)
	started := make(chan error, 3)
	for i := range 3 {
		go func() { started <- c.StartDaemon(context.Background(), i) }()
	}
	for range 3 {
		ts.Check(<-started)
	}
	waitForOwners(ts, c.Daemon(0))
	ts.Setenv("CURRANTWINCH_OPERATORS", strings.Join(c.OperatorAddresses(), ","))
	ts.Setenv("CURRANTWINCH_CALLERS", strings.Join(c.CallerAddresses(), ","))
	ts.Setenv("CURRANTWINCH_CREDENTIAL", "desk/ann:secret")
	cellsMu.Lock()
	defer cellsMu.Unlock()
	cells[ts] = c
}

// cells holds the running cell of each script. Scripts run in parallel.
var (
	cellsMu sync.Mutex
	cells   = make(map[*testscript.TestScript]*cell.Cell)
)

// reviewsStarted receives an element when a long request begins to run.
var reviewsStarted = make(chan struct{}, 100)

func requestRunTimeOf(r gateway.Request) time.Duration {
	if r.Kind == "review" {
		reviewsStarted <- struct{}{}
		return time.Second
	}
	return 0
}

// waitReview waits until a long request has begun to run.
func waitReview(*testscript.TestScript, bool, []string) { <-reviewsStarted }

// waitForOwners waits for up to 30 s until every share has an owner.
func waitForOwners(ts *testscript.TestScript, d *daemon.Daemon) {
	timeout := time.After(30 * time.Second)
	for {
		changed := d.Changed()
		if d.AllSharesOwned() {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ts.Fatalf("not every share has an owner after 30 s")
		}
	}
}

// checkExitCode runs a command, args[1:], and checks that it exits with args[0].
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("%s exited with %d, want %d", strings.Join(args[1:], " "), got, want)
	}
}

// stopDaemon stops the daemon with the index args[0] gracefully.
func stopDaemon(ts *testscript.TestScript, _ bool, args []string) {
	i, err := strconv.Atoi(args[0])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cellsMu.Lock()
	c := cells[ts]
	cellsMu.Unlock()
	ts.Check(c.StopDaemon(ctx, i))
}
