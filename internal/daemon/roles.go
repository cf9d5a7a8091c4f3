package daemon

import (
	"net"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/operator"
	"github.com/currantwinch/currantwinch/internal/owner"
	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/statelog"
	"github.com/pkg/errors"
)

func newPeers(d *Daemon) *peer.Peers {
	listener, bounds := peer.Bound(d.o.Listeners.Peers, d.o.Limits, d.reporter)
	o := peer.Options{Base: d.base, Listener: listener, Dial: d.o.Dial, Resolve: d.resolve, Intake: bounds, VerifySource: d.verifySource}
	if d.o.Certificates != nil {
		o.Security = d.o.Certificates
	}
	return peer.New(o)
}

// resolve returns the peer address of a daemon. The owner role depends on the peer
// role and is created after it, so d.owner is read at each call.
func (d *Daemon) resolve(name string) (string, bool) {
	if d.owner == nil {
		return "", false
	}
	return d.owner.Resolve(name)
}

// verifySource checks a daemon's connection by the list of entry VMs. A daemon that the list does
// not show yet is refused, and connects again.
func (d *Daemon) verifySource(name string, remote net.Addr) error {
	address, ok := d.resolve(name)
	if !ok {
		return errors.Errorf("daemon %q is not on the list of entry VMs", name)
	}
	return peer.CheckSource(name, address, remote)
}

func newLog(d *Daemon, p *peer.Peers) *statelog.Store {
	return statelog.New(statelog.Options{
		Base: d.base, Log: d.o.Platform.Log, SystemCredential: d.o.Credential,
		Peers: p, PeerNames: d.peerNames, WritesSnapshots: d.writesSnapshots,
	})
}

// peerNames returns the names of the other entry VMs, whose daemons may be asked
// for their state.
func (d *Daemon) peerNames() []string {
	if d.owner == nil {
		return nil
	}
	var names []string
	for _, vm := range d.owner.VMs() {
		if vm.Role == cluster.RoleEntry && vm.Name != d.o.Name {
			names = append(names, vm.Name)
		}
	}
	return names
}

// writesSnapshots reports whether this daemon writes the snapshots of the state,
// which is the task of the daemon that holds the lease of the first key share.
func (d *Daemon) writesSnapshots() bool {
	if d.owner == nil {
		return false
	}
	_, ok := d.owner.Lease(cluster.Share{Kind: cluster.ShareKey, Name: "0"})
	return ok
}

func newOwner(d *Daemon, p *peer.Peers, l *statelog.Store) *owner.Owner {
	return owner.New(owner.Options{
		Base: d.base, VMList: d.o.Platform.VMs, State: l, Log: l, Peers: p, SystemCredential: d.o.Credential,
	})
}

func newPlacer(d *Daemon, p *peer.Peers, l *statelog.Store, o *owner.Owner) *placer.Placer {
	return placer.New(placer.Options{
		Base: d.base, State: l, Owners: o, Members: o, Peers: p, Appender: l,
		SystemCredential: d.o.Credential, Workers: d.o.Platform.Workers,
	})
}

func newGateway(d *Daemon, p *peer.Peers, l *statelog.Store, o *owner.Owner) *gateway.Gateway {
	bodies := intake.NewBodies(d.o.Limits.BodyBytes, d.o.Limits, d.reporter)
	d.reporter.Watch("bodies", bodies.Budget)
	return gateway.New(gateway.Options{
		Base: d.base, State: l, Owners: o, Members: o, Peers: p, Appender: l,
		SystemCredential: d.o.Credential, Backends: d.o.Platform.Backends, Bodies: bodies,
	})
}

func newOperator(d *Daemon, p *peer.Peers, l *statelog.Store, o *owner.Owner, pl *placer.Placer) *operator.Operator {
	bodies := intake.NewBodies(d.o.Limits.OperatorBytes, d.o.Limits, d.reporter)
	d.reporter.Watch("operators", bodies.Budget)
	return operator.New(operator.Options{
		Base: d.base, State: l, Owners: o, Members: o, Peers: p, Appender: l,
		Placement: pl, Dump: d.Dump, Ready: d.Ready, Bodies: bodies,
	})
}
