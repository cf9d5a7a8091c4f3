// Package daemon assembles the roles of one daemon, starts them in order and stops
// them in reverse order.
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
	"github.com/currantwinch/currantwinch/internal/intake"
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

// Listeners are the listeners of a daemon for callers, operators and other daemons.
// The code that creates the daemon opens them, so that an address in use is
// detected before any role starts.
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

// Platform holds the services of the platform, each behind the interface of its
// consumer.
type Platform struct {
	Log      logclient.Log
	VMs      membership.VMList
	Workers  placer.Workers
	Backends gateway.Backends
}

// Options configures a Daemon.
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
	// Certificates, if not nil, enables TLS on all three listeners and on the
	// connections to other daemons.
	Certificates *certs.Store
	// Limits are the bounds on untrusted clients; the zero value takes those of a VM whose
	// memory is not known. Answers is the budget of Platform.Backends for answers; nil if
	// it has none.
	Limits  intake.Limits
	Answers *intake.Budget
	// FreeMemory, if not nil, is called periodically to return unused memory to
	// the operating system.
	FreeMemory func()
}

// Daemon is one daemon process of the scheduler.
type Daemon struct {
	o        Options
	base     roles.Base
	app      *fx.App
	servers  *servers
	reporter *intake.Reporter

	peers    *peer.Peers
	log      *statelog.Store
	owner    *owner.Owner
	placer   *placer.Placer
	gateway  *gateway.Gateway
	operator *operator.Operator

	mu        sync.Mutex
	lifecycle *chart.Machine
}

// stateServing is the state of the lifecycle chart in which the daemon serves.
const stateServing chart.State = "serving"

// startTimeout limits the start of all roles.
const startTimeout = 60 * time.Second

// New returns a daemon with all its roles. Start starts them.
func New(o Options) (*Daemon, error) {
	if o.Limits == (intake.Limits{}) {
		o.Limits = LimitsFor(intake.VM{}, false, intake.Limits{})
	}
	d := &Daemon{o: o, lifecycle: charts.Daemon.NewMachine()}
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
	d.reporter = intake.NewReporter(d.base.Events, d.base.Metrics)
	d.reporter.Limits(o.Limits)
	if o.Answers != nil {
		d.reporter.Watch("backend_answers", o.Answers)
	}
	d.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.Supply(d),
		fx.Provide(newPeers, newLog, newOwner, newPlacer, newGateway, newOperator, newServers),
		fx.Invoke(registerRoles),
	)
	return d, errors.Wrap(d.app.Err(), "assemble daemon")
}

// registerRoles registers the start and stop hooks of the roles: they start in
// the order of Daemon.roles and stop in reverse order.
func registerRoles(lc fx.Lifecycle, d *Daemon, p *peer.Peers, l *statelog.Store, o *owner.Owner, pl *placer.Placer, g *gateway.Gateway, op *operator.Operator, s *servers) {
	d.peers, d.log, d.owner, d.placer, d.gateway, d.operator, d.servers = p, l, o, pl, g, op, s
	for _, r := range d.roles() {
		lc.Append(fx.Hook{OnStart: d.startHook(r), OnStop: d.stopHook(r)})
	}
}

// namedRole is a role with its name in state dumps and events.
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

func (d *Daemon) startHook(r namedRole) func(context.Context) error {
	return func(ctx context.Context) error {
		err := r.role.Start(ctx)
		if err != nil {
			d.base.Events.Log(events.RoleFailed, "role", r.name, "error", err.Error())
		}
		return errors.Wrapf(err, "start %s", r.name)
	}
}

func (d *Daemon) stopHook(r namedRole) func(context.Context) error {
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
	_ = d.lifecycle.Fire(t)
}

// State returns the current state of the daemon's lifecycle.
func (d *Daemon) State() chart.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lifecycle.State()
}

// Ready reports whether the daemon is serving.
func (d *Daemon) Ready() bool { return d.State() == stateServing }

// Start starts all roles and returns once the daemon is serving.
func (d *Daemon) Start(ctx context.Context) error {
	d.base.Duties.Go("watchdog", 0, d.monitorDuties)
	if d.o.FreeMemory != nil {
		d.base.Duties.Go("memory", freeDutyTimeout, d.freeMemory)
	}
	d.monitorCertificates()
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

// Stop shuts the daemon down gracefully and returns when ctx ends at the latest. An
// error means that some role did not complete its shutdown.
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

// Kill stops the daemon immediately, like a crash: it hands nothing over and
// notifies nobody.
func (d *Daemon) Kill() {
	d.fire("fail")
	d.o.Listeners.Close()
	d.servers.kill()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// A crashed process sends no more responses, so the connections to other
	// daemons are closed before the duties stop.
	_ = d.peers.Stop(ctx)
	_ = d.base.Duties.Stop(ctx)
}

// Failed returns a channel that is closed when a duty has failed and the process
// must exit.
func (d *Daemon) Failed() <-chan struct{} { return d.base.Duties.Done() }

// Err returns the error of the duty that failed.
func (d *Daemon) Err() error { return d.base.Duties.Err() }

// Name returns the daemon's name.
func (d *Daemon) Name() string { return d.o.Name }
