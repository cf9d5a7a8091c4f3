// Package cell starts a whole cell in one process: daemons, and stand-ins for
// the log, the VM list, workers and backend servers, joined over HTTP by the
// daemons' own adapters on the machine's network or on one in memory.
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

// RegionSpec is one region with its failure domains.
type RegionSpec struct {
	Region         string
	FailureDomains []string
}

// Options say what a cell is made of.
type Options struct {
	Network Network
	Regions []RegionSpec
	// Daemons, Workers and Backends are spread over the failure domains in turn.
	Daemons  int
	Workers  int
	Backends int
	// WorkersPerRack is how many workers share a rack.
	WorkersPerRack int
	WorkerCapacity cluster.Resources
	Pool           string
	Slots          int
	Connections    int
	// FirstPort is the first daemon's caller port; zero takes any. Operator
	// ports begin PortStep later, peer ports twice as much.
	FirstPort int
	Now       func() time.Time
	Seed      uint64
	// VMListLag is how far the platform's list lags.
	VMListLag time.Duration
	// RequestRunTime and TaskRunTime say how long work takes.
	RequestRunTime func(gateway.Request) time.Duration
	TaskRunTime    func(placer.StartRequest) time.Duration
	Events         func(daemon string) *events.Logger
	// DaemonNow gives one daemon a clock of its own; nil is Now for all.
	DaemonNow func(daemon string) func() time.Time
	// WorkerClockRate scales one worker's clock; nil is 1 for all.
	WorkerClockRate func(worker string) float64
	// BackendFault says what goes wrong with a request; nil is nothing.
	BackendFault func(backend string, r gateway.Request) backendstandin.Fault
	// Certificates gives a daemon its certificate; nil is no TLS.
	Certificates func(daemon string) (*certs.Store, error)
}

// PortRangeSize is the distance between a daemon's kinds of ports.
const PortRangeSize = 100

// systemCredential is what the stand-in log knows the daemons by.
const systemCredential logclient.Credential = "system/daemon:secret"

// Cell is a running cell.
type Cell struct {
	Log      *logstandin.Log
	VMs      *vmstandin.VMs
	Workers  *workerstandin.Workers
	Backends map[string]*backendstandin.Server

	o       Options
	servers []*http.Server
	logURL  string
	vmsURL  string
	vms     []cluster.VM

	mu      sync.Mutex
	daemons []*member
}

// member is one entry VM and the daemon that runs on it now.
type member struct {
	vm        cluster.VM
	listeners daemon.Listeners
	daemon    *daemon.Daemon
	closeIdle func()
	runs      int
}

// New starts the stand-ins. The daemons start with StartDaemon.
func New(o Options) (*Cell, error) {
	c := &Cell{o: o, Log: logstandin.New(o.Now), Backends: make(map[string]*backendstandin.Server)}
	if err := c.startPlatform(); err != nil {
		c.Close()
		return nil, err
	}
	for i := range o.Daemons {
		c.daemons = append(c.daemons, &member{vm: c.place(cluster.RoleEntry, i)})
	}
	return c, nil
}

func (c *Cell) startPlatform() error {
	c.Workers = workerstandin.New(workerstandin.Options{Now: c.o.Now, RunTime: c.o.TaskRunTime, ClockRate: c.o.WorkerClockRate})
	for i := range c.o.Workers {
		if err := c.addWorker(i); err != nil {
			return err
		}
	}
	for i := range c.o.Backends {
		if err := c.addBackend(i); err != nil {
			return err
		}
	}
	c.VMs = vmstandin.New(c.o.Now, c.o.VMListLag, c.vms...)
	var err error
	if c.logURL, err = c.serveURL("platform-log", c.Log.Handler()); err != nil {
		return err
	}
	c.vmsURL, err = c.serveURL("platform-vms", c.VMs.Handler())
	return err
}

// place returns the i-th VM of a role, without its address.
func (c *Cell) place(role cluster.Role, i int) cluster.VM {
	region := c.o.Regions[i%len(c.o.Regions)]
	turn := i / len(c.o.Regions)
	return cluster.VM{
		Name: fmt.Sprintf("%s-%s-%d", role, region.Region, turn+1),
		Role: role,
		Location: cluster.Location{
			Region:        region.Region,
			FailureDomain: region.FailureDomains[turn%len(region.FailureDomains)],
			Rack:          fmt.Sprintf("r%d", turn/max(c.o.WorkersPerRack, 1)+1),
		},
	}
}

func (c *Cell) addWorker(i int) error {
	vm := c.place(cluster.RoleWorker, i)
	vm.Capacity = c.o.WorkerCapacity
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
	vm := c.place(cluster.RoleBackend, i)
	vm.Pool, vm.Slots, vm.Connections = c.o.Pool, c.o.Slots, c.o.Connections
	options := backendstandin.Options{Name: vm.Name, Slots: vm.Slots, RunTime: c.o.RequestRunTime}
	if c.o.BackendFault != nil {
		options.Fault = func(r gateway.Request) backendstandin.Fault { return c.o.BackendFault(vm.Name, r) }
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
	address, err := c.serve(host, c.o.Regions[0].Region, h)
	return "http://" + address, err
}

func (c *Cell) serve(host, region string, h http.Handler) (string, error) {
	l, err := c.o.Network.Listen(host, region, 0)
	if err != nil {
		return "", errors.Wrapf(err, "listen for %s", host)
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// StartDaemon starts the i-th daemon, anew if it ran before.
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
		Dial: c.o.Network.Dialer(m.vm.Name, m.vm.Location.Region),
		Now:  c.clock(m.vm.Name), Seed: c.o.Seed + uint64(i) + uint64(m.runs)<<32,
		Events: c.o.Events(m.vm.Name), Certificates: store,
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
	if c.o.Certificates == nil {
		return nil, nil
	}
	return c.o.Certificates(daemonName)
}

func (c *Cell) clock(daemonName string) func() time.Time {
	if c.o.DaemonNow == nil {
		return c.o.Now
	}
	return c.o.DaemonNow(daemonName)
}

// EntryVM returns the i-th entry EntryVM.
func (c *Cell) EntryVM(i int) cluster.VM { return c.daemons[i].vm }

// VMsByRole returns the VMs of a role other than entry.
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
	for k, door := range []*net.Listener{&l.Callers, &l.Operators, &l.Peers} {
		port := 0
		if c.o.FirstPort > 0 {
			port = c.o.FirstPort + k*PortRangeSize + i
		}
		vm := c.daemons[i].vm
		opened, err := c.o.Network.Listen(vm.Name, vm.Location.Region, port)
		if err != nil {
			l.Close()
			return daemon.Listeners{}, errors.Wrapf(err, "listen for %s", vm.Name)
		}
		*door = opened
	}
	return l, nil
}

func (c *Cell) platform(m *member) daemon.Platform {
	var p daemon.Platform
	p, m.closeIdle = adapter.NewHTTP(adapter.Options{
		LogURL: c.logURL, VMListURL: c.vmsURL,
		MaxBackendConnections: dispatch.MaxConnections(c.o.Connections, c.o.Slots, c.o.Slots, c.o.Daemons),
		Dial:                  c.o.Network.Dialer(m.vm.Name, m.vm.Location.Region), Now: c.o.Now,
	})
	return p
}

// Daemon returns the i-th daemon's newest run, or nil.
func (c *Cell) Daemon(i int) *daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[i].daemon
}

// CallerAddresses returns the caller addresses of all daemons.
func (c *Cell) CallerAddresses() []string {
	return c.addresses(func(l daemon.Listeners) net.Listener { return l.Callers })
}

// OperatorAddresses returns the operator addresses of all daemons.
func (c *Cell) OperatorAddresses() []string {
	return c.addresses(func(l daemon.Listeners) net.Listener { return l.Operators })
}

func (c *Cell) addresses(door func(daemon.Listeners) net.Listener) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, m := range c.daemons {
		if l := door(m.listeners); l != nil {
			list = append(list, l.Addr().String())
		}
	}
	return list
}

// StopDaemon stops the i-th daemon gracefully and takes its VM off the list.
func (c *Cell) StopDaemon(ctx context.Context, i int) error {
	err := c.Daemon(i).Stop(ctx)
	c.end(i)
	return err
}

// KillDaemon ends the i-th daemon as a crash does. The platform's list goes on
// showing its VM until RemoveVM.
func (c *Cell) KillDaemon(i int) {
	c.Daemon(i).Kill()
	c.end(i)
}

func (c *Cell) end(i int) {
	m := c.daemons[i]
	if m.closeIdle != nil {
		m.closeIdle()
	}
	c.mu.Lock()
	m.daemon = nil
	c.mu.Unlock()
}

// Close ends the daemons at once and then the stand-ins.
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

// PlatformURLs returns where the log and the VM list are served.
func (c *Cell) PlatformURLs() (log, vms string) { return c.logURL, c.vmsURL }
