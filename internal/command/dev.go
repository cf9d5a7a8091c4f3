package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/currantwinch/currantwinch/internal/dev"
	"github.com/pkg/errors"
)

type devCommand struct {
	Once      bool `help:"End after the exercise; exit code 0 only if every answer and promise held."`
	FirstPort int  `default:"7100" help:"First caller port; 0 takes any free ports."`
	Seed      int  `default:"1" help:"Seed of the exercise."`
	Verbose   bool `short:"v" help:"Print the daemons' events as well."`
}

// Help shows an example.
func (devCommand) Help() string { return "Example: currantwinchd dev --once" }

// Run runs a development cell and its exercise.
func (c *devCommand) Run(e *env) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := dev.Options{Out: e.out, Once: c.Once, FirstPort: c.FirstPort, Seed: uint64(c.Seed)}
	if c.Verbose {
		o.EventsOut = e.err
	}
	return withPortHint(dev.Run(ctx, o))
}

// withPortHint adds advice on choosing other ports to an error about a port in
// use. The error itself names the port.
func withPortHint(err error) error {
	if !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	return errors.Wrap(err, "choose other ports with --first-port N, or any free ones with --first-port 0")
}
