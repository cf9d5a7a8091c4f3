// Package dev runs a cell in one process for "currantwinchd dev": daemons with
// stand-ins for the platform, the workers and the backend servers. It exercises
// the cell as operators and callers do, prints each step and checks the results.
package dev

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/examples"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/cell"
	"github.com/pkg/errors"
)

// Options configures Run.
type Options struct {
	// Out receives the report of the exercise.
	Out io.Writer
	// EventsOut receives the daemons' events; nil discards them.
	EventsOut io.Writer
	// Once makes Run return after the exercise instead of serving on.
	Once bool
	// FirstPort is the first daemon's port for callers; zero takes any free port.
	FirstPort int
	Seed      uint64
}

// Size of the cell.
const (
	daemons        = 9
	workers        = 24
	backends       = 15
	slots          = 8
	maxConnections = 64
)

// Run times of the stand-ins.
const (
	shortRunTime = 30 * time.Millisecond
	longRunTime  = 600 * time.Millisecond
	taskRunTime  = 3 * time.Second
	stopTimeout  = 20 * time.Second
)

// errCheckFailed is returned by Run if a check of the exercise failed.
var errCheckFailed = errors.New("not every check of the exercise passed")

// Run starts the cell, runs the exercise and, unless o.Once is set, serves until
// ctx ends. It stops the daemons gracefully before it returns. It returns an error
// if the cell did not start or a check failed.
func Run(ctx context.Context, o Options) error {
	pool, err := examplePool()
	if err != nil {
		return err
	}
	c, err := cell.New(cellOptions(o, pool))
	if err != nil {
		return err
	}
	defer c.Close()
	x := newExercise(ctx, o, c)
	if err := x.startDaemons(); err != nil {
		return err
	}
	x.run()
	if !o.Once {
		x.printConnectionInfo()
		<-ctx.Done()
	}
	x.stopDaemons()
	x.checkInvariants()
	if x.failedChecks > 0 {
		fmt.Fprintf(o.Out, "\n%d checks failed\n", x.failedChecks)
		return errCheckFailed
	}
	fmt.Fprintln(o.Out, "\nevery check passed")
	return nil
}

// examplePool returns the pool of backend servers that the example documents use.
func examplePool() (string, error) {
	text, err := examples.Documents.ReadFile("consortium/documents/checks.jsonc")
	if err != nil {
		return "", err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return "", err
	}
	return doc.Requests.Pool, nil
}

func cellOptions(o Options, pool string) cell.Options {
	return cell.Options{
		Network: cell.Loopback{},
		Regions: []cell.RegionSpec{
			{Region: "north", FailureDomains: []string{"north-a"}},
			{Region: "central", FailureDomains: []string{"central-a"}},
			{Region: "south", FailureDomains: []string{"south-a"}},
		},
		Daemons: daemons, Workers: workers, Backends: backends, WorkersPerRack: slots,
		WorkerCapacity: cluster.Resources{CPU: 32_000, Memory: 64 << 30},
		Pool:           pool, Slots: slots, Connections: maxConnections,
		FirstPort: o.FirstPort, Now: time.Now, Seed: o.Seed,
		RequestRunTime: requestRunTime,
		TaskRunTime:    taskRunTimeOf,
		Events:         func(string) *events.Logger { return eventLogger(o.EventsOut) },
	}
}

func requestRunTime(r gateway.Request) time.Duration {
	if r.Kind == "review" {
		return longRunTime
	}
	return shortRunTime
}

// taskRunTimeOf returns the run time of a task. Zero, for services, means that the
// task runs until it is stopped.
func taskRunTimeOf(r placer.StartRequest) time.Duration {
	if r.Labels.Class == "service" {
		return 0
	}
	return taskRunTime
}

func eventLogger(out io.Writer) *events.Logger {
	if out == nil {
		return events.Discard()
	}
	return events.NewLogger(slog.New(slog.NewTextHandler(out, nil)))
}

// printConnectionInfo prints the environment variables and commands with which
// the command line reaches the cell.
func (x *exercise) printConnectionInfo() {
	x.heading("serving until interrupted")
	x.printf("export CURRANTWINCH_OPERATORS=%s", strings.Join(x.cell.OperatorAddresses(), ","))
	x.printf("export CURRANTWINCH_CALLERS=%s", strings.Join(x.cell.CallerAddresses(), ","))
	x.printf("export CURRANTWINCH_CREDENTIAL=%s", credentialOf("dispatch"))
	x.printf("go run ./cmd/currantwinch status")
	x.printf("go run ./cmd/currantwinch request workshop-desk check -d hello")
}
