// Package cell runs a complete cell in one process for tests and local
// development: daemons, and stand-ins for the log, the VM list, the workers
// and the backend servers. They communicate over HTTP through the daemons' own
// adapters, on the loopback interface or on an in-memory network.
package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/dispatch"
	"github.com/currantwinch/currantwinch/internal/adapter"
	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/daemon"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/internal/standin/vmstandin"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/pkg/errors"
)

// RegionSpec names one region and its failure domains.
type RegionSpec struct {
	Region         string
	FailureDomains []string
}

// Options configures a cell.
type Options struct {
	Network Network
	Regions []RegionSpec
	// Daemons, Workers and Backends are the numbers of each, distributed over
	// the failure domains round robin.
	Daemons  int
	Workers  int
	Backends int
	// WorkersPerRack is the number of workers in a rack.
	WorkersPerRack int
	WorkerCapacity cluster.Resources
	Pool           string
	Slots          int
	Connections    int
	// FirstPort is the first daemon's caller port; zero selects any free port.
	// Operator ports start at FirstPort+PortRangeSize, peer ports at
	// FirstPort+2*PortRangeSize.
	FirstPort int
	Now       func() time.Time
	Seed      uint64
	// VMListLag is the delay until the platform's VM list shows a change.
	VMListLag time.Duration
	// RequestRunTime and TaskRunTime return the run times of requests and tasks.
	RequestRunTime func(gateway.Request) time.Duration
	TaskRunTime    func(placer.StartRequest) time.Duration
	Events         func(daemon string) *events.Logger
	// DaemonNow returns the clock of a daemon; nil means Now for all.
	DaemonNow func(daemon string) func() time.Time
	// WorkerClockRate returns the rate of a worker's clock; nil means 1 for all.
	WorkerClockRate func(worker string) float64
	// BackendFault returns the fault to inject into a request; nil means none.
	BackendFault func(backend string, r gateway.Request) backendstandin.Fault
	// Certificates returns a daemon's certificates; nil disables TLS.
	Certificates func(daemon string) (*certs.Store, error)
}

// PortRangeSize is the distance between a daemon's caller, operator and peer ports.
const PortRangeSize = 100

// systemCredential authenticates the daemons to the log.
const systemCredential logclient.Credential = "system/daemon:secret"

// Cell is a running cell. StartDaemon, StopDaemon and KillDaemon of the same
// daemon must not run concurrently.
type Cell struct {
	Log      *logstandin.Log
	VMs      *vmstandin.VMs
	Workers  *workerstandin.Workers
	Backends map[string]*backendstandin.Server

	options Options
	servers []*http.Server
	logURL  string
	vmsURL  string
	vms     []cluster.VM

	mu      sync.Mutex
	daemons []*member
}

// member is one entry VM and the daemon that currently runs on it, if any.
type member struct {
	vm        cluster.VM
	listeners daemon.Listeners
	daemon    *daemon.Daemon
	closeIdle func()
	runs      int
}

// New starts the stand-ins. The daemons are started with StartDaemon.
func New(o Options) (*Cell, error) {
	c := &Cell{options: o, Log: logstandin.New(o.Now), Backends: make(map[string]*backendstandin.Server)}
	if err := c.startPlatform(); err != nil {
		c.Close()
		return nil, err
	}
	for i := range o.Daemons {
		c.daemons = append(c.daemons, &member{vm: c.newVM(cluster.RoleEntry, i)})
	}
	return c, nil
}

func (c *Cell) startPlatform() error {
	c.Workers = workerstandin.New(workerstandin.Options{Now: c.options.Now, RunTime: c.options.TaskRunTime, ClockRate: c.options.WorkerClockRate})
	for i := range c.options.Workers {
		if err := c.addWorker(i); err != nil {
			return err
		}
	}
	for i := range c.options.Backends {
		if err := c.addBackend(i); err != nil {
			return err
		}
	}
	c.VMs = vmstandin.New(c.options.Now, c.options.VMListLag, c.vms...)
	var err error
	if c.logURL, err = c.serveURL("platform-log", c.Log.Handler()); err != nil {
		return err
	}
	c.vmsURL, err = c.serveURL("platform-vms", c.VMs.Handler())
	return err
}

// newVM returns the i-th VM of a role, without its address.
func (c *Cell) newVM(role cluster.Role, i int) cluster.VM {
	region := c.options.Regions[i%len(c.options.Regions)]
	turn := i / len(c.options.Regions)
	return cluster.VM{
		Name: fmt.Sprintf("%s-%s-%d", role, region.Region, turn+1),
		Role: role,
		Location: cluster.Location{
			Region:        region.Region,
			FailureDomain: region.FailureDomains[turn%len(region.FailureDomains)],
			Rack:          fmt.Sprintf("r%d", turn/max(c.options.WorkersPerRack, 1)+1),
		},
	}
}

func (c *Cell) addWorker(i int) error {
	vm := c.newVM(cluster.RoleWorker, i)
	vm.Capacity = c.options.WorkerCapacity
	address, err := c.serve(vm.Name, vm.Location.Region, c.Workers.Handler())
	if err != nil {
		return err
	}
	vm.Address = address
	c.Workers.Add(vm)
	c.vms = append(c.vms, vm)
	return nil
}

func (c *Cell) addBackend(i int) error {
	vm := c.newVM(cluster.RoleBackend, i)
	vm.Pool, vm.Slots, vm.Connections = c.options.Pool, c.options.Slots, c.options.Connections
	options := backendstandin.Options{Name: vm.Name, Slots: vm.Slots, RunTime: c.options.RequestRunTime}
	if c.options.BackendFault != nil {
		options.Fault = func(r gateway.Request) backendstandin.Fault { return c.options.BackendFault(vm.Name, r) }
	}
	server := backendstandin.New(options)
	address, err := c.serve(vm.Name, vm.Location.Region, server.Handler())
	if err != nil {
		return err
	}
	vm.Address = address
	c.Backends[vm.Name] = server
	c.vms = append(c.vms, vm)
	return nil
}

func (c *Cell) serveURL(host string, h http.Handler) (string, error) {
	address, err := c.serve(host, c.options.Regions[0].Region, h)
	return "http://" + address, err
}

func (c *Cell) serve(host, region string, h http.Handler) (string, error) {
	l, err := c.options.Network.Listen(host, region, 0)
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s", host)
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// StartDaemon starts or restarts the i-th daemon on new listeners and puts its
// VM on the VM list.
func (c *Cell) StartDaemon(ctx context.Context, i int) error {
	m := c.daemons[i]
	listeners, err := c.listen(i)
	if err != nil {
		return err
	}
	c.mu.Lock()
	m.listeners = listeners
	c.mu.Unlock()
	m.vm.Address = listeners.Peers.Addr().String()
	c.VMs.Put(m.vm)
	m.runs++
	store, err := c.certificates(m.vm.Name)
	if err != nil {
		listeners.Close()
		return err
	}
	d, err := daemon.New(daemon.Options{
		Name: m.vm.Name, Location: m.vm.Location, Credential: systemCredential,
		Listeners: listeners, Platform: c.platform(m),
		Dial: c.options.Network.Dialer(m.vm.Name, m.vm.Location.Region),
		Now:  c.clock(m.vm.Name), Seed: c.options.Seed + uint64(i) + uint64(m.runs)<<32,
		Events: c.options.Events(m.vm.Name), Certificates: store,
	})
	if err != nil {
		listeners.Close()
		return err
	}
	c.mu.Lock()
	m.daemon = d
	c.mu.Unlock()
	return d.Start(ctx)
}

func (c *Cell) certificates(daemonName string) (*certs.Store, error) {
	if c.options.Certificates == nil {
		return nil, nil
	}
	return c.options.Certificates(daemonName)
}

func (c *Cell) clock(daemonName string) func() time.Time {
	if c.options.DaemonNow == nil {
		return c.options.Now
	}
	return c.options.DaemonNow(daemonName)
}

// EntryVM returns the i-th entry EntryVM.
func (c *Cell) EntryVM(i int) cluster.VM { return c.daemons[i].vm }

// VMsByRole returns the VMs of a role. The role must not be the entry role.
func (c *Cell) VMsByRole(role cluster.Role) []cluster.VM {
	var list []cluster.VM
	for _, vm := range c.vms {
		if vm.Role == role {
			list = append(list, vm)
		}
	}
	return list
}

func (c *Cell) listen(i int) (daemon.Listeners, error) {
	var l daemon.Listeners
	for k, listener := range []*net.Listener{&l.Callers, &l.Operators, &l.Peers} {
		port := 0
		if c.options.FirstPort > 0 {
			port = c.options.FirstPort + k*PortRangeSize + i
		}
		vm := c.daemons[i].vm
		opened, err := c.options.Network.Listen(vm.Name, vm.Location.Region, port)
		if err != nil {
			l.Close()
			return daemon.Listeners{}, errors.Wrapf(err, "listen for %s", vm.Name)
		}
		*listener = opened
	}
	return l, nil
}

func (c *Cell) platform(m *member) daemon.Platform {
	var p daemon.Platform
	p, m.closeIdle = adapter.NewHTTP(adapter.Options{
		LogURL: c.logURL, VMListURL: c.vmsURL,
		MaxBackendConnections: dispatch.MaxConnections(c.options.Connections, c.options.Slots, c.options.Slots, c.options.Daemons),
		Dial:                  c.options.Network.Dialer(m.vm.Name, m.vm.Location.Region), Now: c.options.Now,
	})
	return p
}

// Daemon returns the i-th daemon, or nil if it is not running.
func (c *Cell) Daemon(i int) *daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[i].daemon
}

// CallerAddresses returns the caller addresses of all daemons started so far.
func (c *Cell) CallerAddresses() []string {
	return c.addresses(func(l daemon.Listeners) net.Listener { return l.Callers })
}

// OperatorAddresses returns the operator addresses of all daemons started so far.
func (c *Cell) OperatorAddresses() []string {
	return c.addresses(func(l daemon.Listeners) net.Listener { return l.Operators })
}

func (c *Cell) addresses(listenerOf func(daemon.Listeners) net.Listener) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, m := range c.daemons {
		if l := listenerOf(m.listeners); l != nil {
			list = append(list, l.Addr().String())
		}
	}
	return list
}

// StopDaemon stops the i-th daemon gracefully. The VM list keeps its entry.
func (c *Cell) StopDaemon(ctx context.Context, i int) error {
	err := c.Daemon(i).Stop(ctx)
	c.clearDaemon(i)
	return err
}

// KillDaemon ends the i-th daemon as a crash does. The VM list keeps its entry
// until the test removes it.
func (c *Cell) KillDaemon(i int) {
	c.Daemon(i).Kill()
	c.clearDaemon(i)
}

func (c *Cell) clearDaemon(i int) {
	m := c.daemons[i]
	if m.closeIdle != nil {
		m.closeIdle()
	}
	c.mu.Lock()
	m.daemon = nil
	c.mu.Unlock()
}

// Close kills the daemons and then stops the stand-ins.
func (c *Cell) Close() {
	for i, m := range c.daemons {
		if m.daemon != nil {
			c.KillDaemon(i)
		}
	}
	for _, b := range c.Backends {
		b.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// PlatformURLs returns the URLs of the log and of the VM list.
func (c *Cell) PlatformURLs() (log, vms string) { return c.logURL, c.vmsURL }
