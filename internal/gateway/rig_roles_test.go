package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

type rigState struct{ r *rig }

func (s rigState) View() roles.View         { return rigView{r: s.r} }
func (s rigState) Changed() <-chan struct{} { return nil }
func (s rigState) Health() logclient.Health { return logclient.HealthFresh }

// rigView implements the methods of a view that the gateway calls.
type rigView struct {
	roles.View
	r *rig
}

func (v rigView) Document(service string) (roles.DocumentEntry, bool) {
	v.r.mu.Lock()
	defer v.r.mu.Unlock()
	return roles.DocumentEntry{Document: v.r.doc, Revision: 7, Team: v.r.doc.Team}, service == v.r.doc.Service
}

func (v rigView) Bill(key string) (record.Bill, bool) {
	v.r.mu.Lock()
	defer v.r.mu.Unlock()
	rec, ok := v.r.logged["bill/"+key]
	if !ok {
		return record.Bill{}, false
	}
	return *rec.Bill, true
}

// ownerChangeLag is how much later each daemon learns of a new owner than the daemon
// with the index before.
const ownerChangeLag = 100 * time.Millisecond

func (v rigView) Share(share cluster.Share) (roles.ShareEntry, bool) {
	v.r.mu.Lock()
	defer v.r.mu.Unlock()
	owner, ok := v.r.owner[share]
	if !ok {
		return roles.ShareEntry{}, false
	}
	return roles.ShareEntry{Share: share, Epoch: v.r.epoch[share], Name: v.r.daemons[owner].self.Name}, true
}

type rigOwners struct{ d *rigDaemon }

func (o rigOwners) Lease(share cluster.Share) (roles.Lease, bool) {
	r := o.d.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch, ok := r.epoch[share]
	lease := roles.Lease{Share: share, Epoch: r.claimEpoch[share], ClaimEpoch: epoch, Until: time.Now().Add(time.Second)}
	return lease, ok && r.owner[share] == o.d.index
}

func (o rigOwners) LeaseUntil(share cluster.Share, limit time.Time) (roles.Lease, bool) {
	lease, ok := o.Lease(share)
	if limit.Before(lease.Until) {
		lease.Until = limit
	}
	return lease, ok
}

func (o rigOwners) Leases() []roles.Lease {
	var leases []roles.Lease
	for i := range cluster.KeyShareCount {
		if lease, ok := o.Lease(cluster.Share{Kind: cluster.ShareKey, Name: fmt.Sprint(i)}); ok {
			leases = append(leases, lease)
		}
	}
	return leases
}

func (o rigOwners) Owner(share cluster.Share) (cluster.Daemon, bool) {
	r := o.d.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.owner[share]
	if !ok {
		return cluster.Daemon{}, false
	}
	if lag := time.Duration(o.d.index) * ownerChangeLag; time.Since(r.ownerChanged[share]) < lag {
		i = r.previousOwner[share]
	}
	return r.daemons[i].self, true
}

type rigMembers struct{ d *rigDaemon }

func (m rigMembers) Self() cluster.Daemon { return m.d.self }

func (m rigMembers) Live() []roles.Member {
	r := m.d.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []roles.Member
	for _, d := range r.daemons {
		if !r.down[d.self.Name] {
			live = append(live, roles.Member{Daemon: d.self})
		}
	}
	return live
}

func (m rigMembers) VMs() []cluster.VM {
	m.d.rig.mu.Lock()
	defer m.d.rig.mu.Unlock()
	return append([]cluster.VM(nil), m.d.rig.vms...)
}

// interRegionLatency and intraRegionLatency are the one-way latencies of calls
// between daemons of different regions and of the same one.
const (
	interRegionLatency = 12 * time.Millisecond
	intraRegionLatency = 1500 * time.Microsecond
)

type rigPeers struct{ d *rigDaemon }

func (p rigPeers) Handle(method string, handler roles.PeerHandler) { p.d.handlers[method] = handler }

func (p rigPeers) Call(ctx context.Context, daemon, method string, params, result any) error {
	r := p.d.rig
	raw, err := json.Marshal(params)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, "malformed")
	}
	var to *rigDaemon
	for _, d := range r.daemons {
		if d.self.Name == daemon {
			to = d
		}
	}
	delay := intraRegionLatency
	if to != nil && to.self.Location.Region != p.d.self.Location.Region {
		delay = interRegionLatency
	}
	time.Sleep(delay)
	r.mu.Lock()
	unreachable := to == nil || r.down[daemon] || r.down[p.d.self.Name] ||
		r.partitioned(p.d.self.Location.Region, to.self.Location.Region)
	r.bytes[method] += len(raw)
	if delay == interRegionLatency {
		r.bytes["cross"] += len(raw)
	}
	r.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, "peer_silent")
	}
	answer, err := to.handlers[method](ctx, p.d.self.Name, raw)
	r.mu.Lock()
	lose := r.loseResponses
	r.mu.Unlock()
	if lose != nil && lose() {
		<-ctx.Done()
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, "peer_silent")
	}
	time.Sleep(delay)
	if err != nil {
		return err
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, "malformed")
	}
	r.mu.Lock()
	if delay == interRegionLatency {
		r.bytes["cross"] += len(raw)
	}
	r.mu.Unlock()
	if result == nil {
		return nil
	}
	return json.Unmarshal(raw, result)
}

type rigLog struct{ r *rig }

func (l rigLog) Append(_ context.Context, _ logclient.Credential, records ...record.Record) (uint64, error) {
	time.Sleep(20 * time.Millisecond)
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.r.logErr != nil {
		return 0, l.r.logErr
	}
	for _, rec := range records {
		if _, ok := l.r.logged[rec.Key]; !ok {
			l.r.logged[rec.Key] = rec
		}
	}
	return uint64(len(l.r.logged)), nil
}
