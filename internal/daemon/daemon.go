// Package daemon wires the roles of one daemon, starts them in order and ends
// them in the reverse order.
package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/chart"
	"github.com/currantwinch/currantwinch/charts"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/operator"
	"github.com/currantwinch/currantwinch/internal/owner"
	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/statelog"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/membership"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/fx"
)

// Listeners are the three doors of a daemon. They are opened by the caller, so
// that an address in use is found before anything starts.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Close closes every listener.
func (l Listeners) Close() {
	for _, each := range []net.Listener{l.Callers, l.Operators, l.Peers} {
		if each != nil {
			_ = each.Close()
		}
	}
}

// Platform is what the platform gives, each behind its consumer's interface.
type Platform struct {
	Log      logclient.Log
	VMs      membership.VMList
	Workers  placer.Workers
	Backends gateway.Backends
}

// Options are what a daemon is built from.
type Options struct {
	Name       string
	Location   cluster.Location
	Credential logclient.Credential
	Listeners  Listeners
	Platform   Platform
	Dial       func(ctx context.Context, network, address string) (net.Conn, error)
	Now        func() time.Time
	Seed       uint64
	Events     *events.Logger
	// Certificates secure all three listeners and the connections to other
	// daemons; nil leaves them plain.
	Certificates *certs.Store
	// FreeMemory gives unused memory back to the system; nil leaves that to
	// the run time.
	FreeMemory func()
}

// Daemon is one process of the scheduler.
type Daemon struct {
	o       Options
	base    roles.Base
	app     *fx.App
	servers *servers

	peers    *peer.Peers
	log      *statelog.Store
	owner    *owner.Owner
	placer   *placer.Placer
	gateway  *gateway.Gateway
	operator *operator.Operator

	mu   sync.Mutex
	life *chart.Machine
}

// stateServing is the state of a daemon that serves, by its chart.
const stateServing chart.State = "serving"

// startTimeout bounds the start of all roles.
const startTimeout = 60 * time.Second

// New wires a daemon. It starts nothing.
func New(o Options) (*Daemon, error) {
	d := &Daemon{o: o, life: charts.Daemon.NewMachine()}
	d.base = roles.Base{
		Self: cluster.Daemon{
			Name: o.Name, Incarnation: uuid.NewString(), Location: o.Location,
			PeerAddress: o.Listeners.Peers.Addr().String(),
		},
		Now: o.Now, Seed: o.Seed,
		Duties:  duty.New(o.Now),
		Events:  o.Events.With("daemon", o.Name),
		Metrics: metrics.NewSet(),
	}
	d.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.Supply(d),
		fx.Provide(newPeers, newLog, newOwner, newPlacer, newGateway, newOperator, newServers),
		fx.Invoke(order),
	)
	return d, errors.Wrap(d.app.Err(), "wire daemon")
}

// order appends the roles to the lifecycle: they start as listed and stop in
// the reverse order.
func order(lc fx.Lifecycle, d *Daemon, p *peer.Peers, l *statelog.Store, o *owner.Owner, pl *placer.Placer, g *gateway.Gateway, op *operator.Operator, s *servers) {
	d.peers, d.log, d.owner, d.placer, d.gateway, d.operator, d.servers = p, l, o, pl, g, op, s
	for _, r := range d.roles() {
		lc.Append(fx.Hook{OnStart: d.starting(r), OnStop: d.stopping(r)})
	}
}

// namedRole is a role and its name in dumps and events.
type namedRole struct {
	name string
	role roles.Role
}

func (d *Daemon) roles() []namedRole {
	return []namedRole{
		{"peers", d.peers}, {"log", d.log}, {"owner", d.owner}, {"servers", d.servers},
		{"placer", d.placer}, {"gateway", d.gateway}, {"operator", d.operator},
	}
}

func (d *Daemon) starting(r namedRole) func(context.Context) error {
	return func(ctx context.Context) error {
		err := r.role.Start(ctx)
		if err != nil {
			d.base.Events.Log(events.RoleFailed, "role", r.name, "error", err.Error())
		}
		return errors.Wrapf(err, "start %s", r.name)
	}
}

func (d *Daemon) stopping(r namedRole) func(context.Context) error {
	return func(ctx context.Context) error {
		err := r.role.Stop(ctx)
		if err != nil {
			d.base.Events.Log(events.RoleFailed, "role", r.name, "error", err.Error())
		}
		return errors.Wrapf(err, "stop %s", r.name)
	}
}

func (d *Daemon) fire(t chart.Trigger) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.life.Fire(t)
}

// State returns where the daemon stands in its life.
func (d *Daemon) State() chart.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life.State()
}

// Ready reports whether the daemon serves.
func (d *Daemon) Ready() bool { return d.State() == stateServing }

// Start starts every role and returns once the daemon serves.
func (d *Daemon) Start(ctx context.Context) error {
	d.base.Duties.Go("watchdog", 0, d.watch)
	if d.o.FreeMemory != nil {
		d.base.Duties.Go("memory", freeQuiet, d.freeMemory)
	}
	d.watchCertificates()
	if err := d.app.Start(ctx); err != nil {
		d.fire("fail")
		_ = d.base.Duties.Stop(ctx)
		return err
	}
	d.fire("ready")
	l := d.o.Listeners
	d.base.Events.Log(events.DaemonStarted, "daemon", d.o.Name, "incarnation", d.base.Self.Incarnation,
		"callers", l.Callers.Addr().String(), "operators", l.Operators.Addr().String(), "peers", l.Peers.Addr().String())
	return nil
}

// Stop ends the daemon gracefully, at the latest when ctx ends. An error means
// that something was cut off.
func (d *Daemon) Stop(ctx context.Context) error {
	began := d.o.Now()
	d.fire("stop")
	d.base.Events.Log(events.DaemonStopping, "daemon", d.o.Name)
	err := d.app.Stop(ctx)
	if stopErr := d.base.Duties.Stop(ctx); err == nil {
		err = stopErr
	}
	if err != nil {
		d.fire("cut")
		return err
	}
	d.fire("drained")
	d.base.Events.Log(events.DaemonStopped, "daemon", d.o.Name, "took", d.o.Now().Sub(began).String())
	return nil
}

// Kill ends the daemon at once, as a crash would: nothing is handed over and
// nobody is told.
func (d *Daemon) Kill() {
	d.fire("fail")
	d.o.Listeners.Close()
	d.servers.kill()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// A dead process answers nobody: connections to other daemons end first.
	_ = d.peers.Stop(ctx)
	_ = d.base.Duties.Stop(ctx)
}

// Failed is closed when a duty has failed and the daemon must end.
func (d *Daemon) Failed() <-chan struct{} { return d.base.Duties.Done() }

// Err returns why a duty failed.
func (d *Daemon) Err() error { return d.base.Duties.Err() }

// Name returns the daemon's name.
func (d *Daemon) Name() string { return d.o.Name }
