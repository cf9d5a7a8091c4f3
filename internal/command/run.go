package command

import (
	"context"
	"io"
	"log/slog"
	"math"
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
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/settings"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/pkg/errors"
)

const (
	// backendConnections is the number of connections that a backend server accepts
	// from all daemons together, backendSlots the number of requests that it runs
	// concurrently, and entryDaemons the number of daemons.
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
// aborts the graceful stop.
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
	limitHeap(s.Limits.MemoryMB)
	d, err := build(s, log)
	if err != nil {
		return err
	}
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	return serve(d, s, log, signals)
}

// serve waits for a signal or a failed duty and then stops the daemon.
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
	// Settings validation allows only levels that UnmarshalText accepts.
	_ = level.UnmarshalText([]byte(l.Level))
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "text" {
		return events.NewLogger(slog.New(slog.NewTextHandler(out, options)))
	}
	return events.NewLogger(slog.New(slog.NewJSONHandler(out, options)))
}

// connectionsPerBackend returns the maximum number of connections from this
// daemon to one backend server. It is enough to use all slots when this daemon
// holds all of them. The sum over all daemons stays within what the server
// accepts, since each slot is leased to one daemon at a time: at most 8
// connections carry requests, and each of 9 daemons keeps at most a third of its
// 14 connections idle and one for the server's status, 8 + 9 x 5 = 53 of 64. An
// equal share of 7 would stay within the limit whatever each daemon does, but a
// daemon that holds all 8 slots would then wait for a connection while a slot is
// idle.
func connectionsPerBackend() int {
	return dispatch.MaxConnections(backendConnections, backendSlots, backendSlots, entryDaemons)
}

// build opens the listeners and creates the daemon with its adapters.
func build(s settings.Settings, log *events.Logger) (*daemon.Daemon, error) {
	store, err := certificates(s)
	if err != nil {
		return nil, err
	}
	vm := s.Limits.VM()
	if vm.Descriptors == 0 {
		vm.Descriptors = descriptorLimit()
	}
	limits := daemon.LimitsFor(vm, s.TLS != nil, s.Limits.Intake())
	listeners, err := listen(s.Listen, limits)
	if err != nil {
		return nil, err
	}
	answers := intake.NewBudget(limits.AnswerBytes, time.Now)
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	platform, _ := adapter.NewHTTP(adapter.Options{
		LogURL: s.Platform.Log, VMListURL: s.Platform.VMList, MaxBackendConnections: connectionsPerBackend(), Dial: dial, Now: time.Now,
		Answers: answers,
	})
	d, err := daemon.New(daemon.Options{
		Name: s.Name, Location: s.Location, Credential: logclient.Credential(s.Credential),
		Listeners: listeners, Dial: dial, Now: time.Now, Seed: rand.Uint64(), Events: log,
		Certificates: store, Platform: platform, FreeMemory: debug.FreeOSMemory, Limits: limits, Answers: answers,
	})
	if err != nil {
		listeners.Close()
	}
	return d, err
}

// descriptorLimit returns the process's limit of file descriptors, or 0 if it is not known.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// certificates opens the certificate store, or returns nil if the settings
// configure no TLS.
func certificates(s settings.Settings) (*certs.Store, error) {
	if s.TLS == nil {
		return nil, nil
	}
	return certs.Open(s.TLS.Files(), s.Name, time.Now)
}

func listen(l settings.Listen, limits intake.Limits) (daemon.Listeners, error) {
	var out daemon.Listeners
	for _, endpoint := range []struct {
		address string
		options intake.SocketOptions
		into    *net.Listener
	}{
		{l.Callers, intake.SocketOptions{Connections: limits.Connections, Bytes: limits.SocketBytes}, &out.Callers},
		{l.Operators, intake.SocketOptions{Connections: limits.OperatorConnections, Bytes: limits.SocketBytes}, &out.Operators},
		{l.Peers, intake.SocketOptions{Connections: limits.PeerConnections, Backlog: peer.Backlog, Bytes: peer.SocketBytes}, &out.Peers},
	} {
		opened, err := intake.Listen(endpoint.address, endpoint.options)
		if err != nil {
			out.Close()
			return daemon.Listeners{}, errors.Wrap(err, "listen")
		}
		*endpoint.into = opened
	}
	return out, nil
}
