package command

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/currantwinch/currantwinch/dispatch"
	"github.com/currantwinch/currantwinch/internal/adapter"
	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/daemon"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/settings"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/pkg/errors"
)

const (
	// backendConnections is what a backend server accepts from all daemons
	// together, backendSlots the requests that it runs at once, and entryDaemons
	// the daemons there are.
	backendConnections = 64
	backendSlots       = 8
	entryDaemons       = 9
	dialTimeout        = 2 * time.Second
)

type runCommand struct {
	File string `arg:"" help:"Settings file."`
}

// Help shows an example.
func (runCommand) Help() string { return "Example: currantwinchd run entry-1.jsonc" }

// Run serves until SIGTERM or SIGINT, then stops gracefully. A second signal
// ends the process at once.
func (c *runCommand) Run(e *env) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	log := newLogger(s.Log, e.err)
	defer redirectLibraryLog(log)()
	debug.SetGCPercent(s.HeapGrowthPercent)
	d, err := build(s, log)
	if err != nil {
		return err
	}
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	return serve(d, s, log, signals)
}

// serve waits for a signal or a failed duty and ends the daemon.
func serve(d *daemon.Daemon, s settings.Settings, log *events.Logger, signals <-chan os.Signal) error {
	select {
	case <-signals:
	case <-d.Failed():
		log.Log(events.DutyFailed, "error", events.ErrorText(d.Err()))
		d.Kill()
		return errors.Wrap(d.Err(), "a duty failed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout.Std())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := d.Stop(ctx)
	if err != nil {
		log.Log(events.DaemonStopAborted, "daemon", d.Name(), "inFlight", d.InFlight())
		d.Kill()
	}
	return err
}

func newLogger(l settings.Log, out io.Writer) *events.Logger {
	var level slog.Level
	// The settings allow only words that UnmarshalText takes.
	_ = level.UnmarshalText([]byte(l.Level))
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "text" {
		return events.NewLogger(slog.New(slog.NewTextHandler(out, options)))
	}
	return events.NewLogger(slog.New(slog.NewJSONHandler(out, options)))
}

// connectionsPerBackend returns how many connections this daemon may open to one
// backend server: enough to use every slot while it holds all of them. All
// daemons together stay within what the server accepts, since slots are lent
// once: at most 8 connections carry requests, and each of 9 daemons keeps at
// most a third of its 14 unused and one for the server's status, 8 + 9 x 5 = 53
// of 64. An equal part of 7 would hold for any client, but the daemon that holds
// all 8 slots would wait for a connection with one of them idle.
func connectionsPerBackend() int {
	return dispatch.MaxConnections(backendConnections, backendSlots, backendSlots, entryDaemons)
}

// build opens the listeners and wires the daemon.
func build(s settings.Settings, log *events.Logger) (*daemon.Daemon, error) {
	store, err := certificates(s)
	if err != nil {
		return nil, err
	}
	listeners, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	platform, _ := adapter.NewHTTP(adapter.Options{
		LogURL: s.Platform.Log, VMListURL: s.Platform.VMList, MaxBackendConnections: connectionsPerBackend(), Dial: dial, Now: time.Now,
	})
	d, err := daemon.New(daemon.Options{
		Name: s.Name, Location: s.Location, Credential: logclient.Credential(s.Credential),
		Listeners: listeners, Dial: dial, Now: time.Now, Seed: rand.Uint64(), Events: log,
		Certificates: store, Platform: platform, FreeMemory: debug.FreeOSMemory,
	})
	if err != nil {
		listeners.Close()
	}
	return d, err
}

// certificates opens the certificate's files, if the settings name any.
func certificates(s settings.Settings) (*certs.Store, error) {
	if s.TLS == nil {
		return nil, nil
	}
	return certs.Open(s.TLS.Files(), s.Name, time.Now)
}

func listen(l settings.Listen) (daemon.Listeners, error) {
	var out daemon.Listeners
	for _, door := range []struct {
		address string
		into    *net.Listener
	}{{l.Callers, &out.Callers}, {l.Operators, &out.Operators}, {l.Peers, &out.Peers}} {
		opened, err := net.Listen("tcp", door.address)
		if err != nil {
			out.Close()
			return daemon.Listeners{}, errors.Wrap(err, "listen")
		}
		*door.into = opened
	}
	return out, nil
}
