// Package dev runs a whole cell with stand-ins in one process and shows a
// newcomer what it does.
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

// Options say how the cell is run.
type Options struct {
	Out io.Writer
	// EventsOut takes the daemons' events; nil drops them.
	EventsOut io.Writer
	// Once ends after the exercise.
	Once bool
	// FirstPort is the first daemon's caller port; zero takes any.
	FirstPort int
	Seed      uint64
}

// The size of the cell.
const (
	daemons  = 9
	workers  = 24
	backends = 15
	slots    = 8
	conns    = 64
)

// Run times of the stand-ins.
const (
	quickRunTime = 30 * time.Millisecond
	longRunTime  = 600 * time.Millisecond
	taskRunTime  = 3 * time.Second
	stopTimeout  = 20 * time.Second
)

// errPromise is returned when an answer or a promise did not hold.
var errPromise = errors.New("not every answer and promise held")

// Run starts the cell, runs the exercise and, unless it is to end after that,
// serves until ctx ends.
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
		x.invite()
		<-ctx.Done()
	}
	x.stopDaemons()
	x.checkPromises()
	if x.failed > 0 {
		fmt.Fprintf(o.Out, "\n%d checks failed\n", x.failed)
		return errPromise
	}
	fmt.Fprintln(o.Out, "\nevery answer and promise held")
	return nil
}

// examplePool returns the pool of backend servers that the example names.
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
		Pool:           pool, Slots: slots, Connections: conns,
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
	return quickRunTime
}

// taskRunTimeOf lets services run for ever and all else for a few seconds.
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

// invite prints how to reach the cell that now serves.
func (x *exercise) invite() {
	x.title("serving until interrupted")
	x.say("export CURRANTWINCH_OPERATORS=%s", strings.Join(x.cell.OperatorAddresses(), ","))
	x.say("export CURRANTWINCH_CALLERS=%s", strings.Join(x.cell.CallerAddresses(), ","))
	x.say("export CURRANTWINCH_CREDENTIAL=%s", credentialOf("dispatch"))
	x.say("go run ./cmd/currantwinch status")
	x.say("go run ./cmd/currantwinch request workshop-desk check -d hello")
}
