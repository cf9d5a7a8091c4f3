package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/host"
	"github.com/currantwinch/currantwinch/platform"
	"github.com/pkg/errors"
)

const (
	// heapGrowthPercent is the garbage collector's target percentage (GOGC). It is
	// above Go's default of 100 to spend less CPU time on collections at the price
	// of more memory.
	heapGrowthPercent = 200
	// stopMargin is the part of the platform's grace period that is left for the
	// process to exit after a graceful stop.
	stopMargin = 500 * time.Millisecond
)

type hostCommand struct {
	Role string `arg:"" optional:"" help:"Role that the platform gives the process; it takes all roles in any case."`
	File string `help:"Settings file of the platform." env:"CURRANTWINCH_CONFIG" required:""`
}

// Help shows an example.
func (hostCommand) Help() string {
	return "Runs on the users' platform, with its settings file. Example: currantwinchd host --file settings.json"
}

// Run serves until SIGTERM or SIGINT, then stops gracefully. SIGHUP validates the
// settings file and logs the result.
func (c *hostCommand) Run(e *env) error {
	s, err := platform.ReadSettings(c.File)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	lines := events.NewWriter(e.out)
	defer lines.Close()
	log := events.NewLogger(slog.New(slog.NewJSONHandler(lines, nil))).WithRateLimit(time.Now).With("daemon", s.Name)
	defer redirectLibraryLog(log)()
	debug.SetGCPercent(heapGrowthPercent)
	limitHeap(s.MemoryMB)
	h, err := host.New(host.Options{Settings: s, Events: log})
	if err != nil {
		return err
	}
	if err := h.Start(context.Background()); err != nil {
		return err
	}
	log.Log(events.DaemonStarted, "incarnation", "", "callers", s.CallerAddress, "operators", s.ReadinessAddress, "peers", s.IP)
	return c.serve(h, s, log, signals)
}

func (c *hostCommand) serve(h *host.Host, s platform.Settings, log *events.Logger, signals <-chan os.Signal) error {
	for {
		select {
		case got := <-signals:
			if got == syscall.SIGHUP {
				_, err := platform.ReadSettings(c.File)
				log.Log(events.SettingsReloaded, "file", c.File, "error", events.ErrorText(err))
				continue
			}
			return c.stop(h, s, log)
		case <-h.Failed():
			log.Log(events.DutyFailed, "error", events.ErrorText(h.Err()))
			return errors.Wrap(h.Err(), "a duty failed")
		}
	}
}

func (c *hostCommand) stop(h *host.Host, s platform.Settings, log *events.Logger) error {
	log.Log(events.DaemonStopping)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), s.Bounds.Grace-stopMargin)
	defer cancel()
	if err := h.Stop(ctx); err != nil {
		log.Log(events.DaemonStopAborted, "inFlight", h.InFlight())
		return err
	}
	log.Log(events.DaemonStopped, "took", time.Since(began).Milliseconds())
	return nil
}
