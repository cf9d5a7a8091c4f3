package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
)

// noParams is the body of a question that needs none.
type noParams struct{}

func (p *Operator) handleStatus(context.Context, string, json.RawMessage) (any, error) {
	return p.o.Placement.Status(), nil
}

// whyParams asks the home of a job.
type whyParams struct {
	JobID string `json:"jobId"`
}

func (p *Operator) handleWhy(_ context.Context, _ string, q whyParams) (any, error) {
	return p.o.Placement.Why(q.JobID), nil
}

// why asks the job's home, which is the owner of the job's key share.
func (p *Operator) why(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	job, ok := p.o.State.View().Job(id)
	if !ok {
		fail(w, verdict.New(verdict.NotRun, reasonUnknown, "no job %q was accepted", id))
		return
	}
	answered, err := p.askHome(r.Context(), id)
	if err != nil {
		fail(w, err)
		return
	}
	if !answered.Known && job.Phase != roles.JobAccepted {
		answered = endedJob(job)
	}
	answer(w, http.StatusOK, answered)
}

func (p *Operator) askHome(ctx context.Context, id string) (placer.Explanation, error) {
	home, ok := p.o.Owners.Owner(cluster.KeyShare(id))
	if !ok {
		return placer.Explanation{}, verdict.New(verdict.NotRun, reasonNoHome, "no daemon owns share %s now", cluster.KeyShare(id))
	}
	if home.Name == p.o.Members.Self().Name {
		return p.o.Placement.Why(id), nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out placer.Explanation
	err := p.o.Peers.Call(ctx, home.Name, methodWhy, whyParams{JobID: id}, &out)
	return out, err
}

func endedJob(job roles.JobEntry) placer.Explanation {
	reason := "cancelled"
	if job.Done != nil {
		reason = "ended"
		if job.Done.Reason != "" {
			reason += ": " + job.Done.Reason
		}
	}
	w := placer.Explanation{JobID: job.ID, Known: true, Resources: job.Workload.Resources}
	w.Tasks = append(w.Tasks, placer.TaskExplanation{State: "ended", Reason: reason})
	return w
}

func (p *Operator) status(w http.ResponseWriter, r *http.Request) {
	view := p.o.State.View()
	s := operatorapi.Status{
		Daemon: p.o.Members.Self(), Log: p.o.State.Health(),
		Offset: view.Offset(), Documents: len(view.Documents()),
	}
	p.addShares(&s, view)
	p.addBackends(&s)
	p.addPlacement(r.Context(), &s)
	answer(w, http.StatusOK, s)
}

func (p *Operator) addShares(s *operatorapi.Status, view roles.View) {
	owned := make(map[string]int)
	for _, e := range view.Shares() {
		share := operatorapi.ShareStatus{Share: e.Share.String(), Epoch: e.Epoch}
		if owner, ok := p.o.Owners.Owner(e.Share); ok {
			share.Owner = owner.Name
			owned[owner.Name]++
		}
		s.Shares = append(s.Shares, share)
	}
	for _, m := range p.o.Members.Live() {
		s.Daemons = append(s.Daemons, operatorapi.DaemonStatus{
			Name: m.Daemon.Name, Region: m.Daemon.Location.Region, FailureDomain: m.Daemon.Location.FailureDomain,
			Offset: m.Offset, Leaving: m.Leaving, SinceHeard: m.SinceHeard, Shares: owned[m.Daemon.Name],
		})
	}
}

func (p *Operator) addBackends(s *operatorapi.Status) {
	for _, vm := range p.o.Members.VMs() {
		if vm.Role != cluster.RoleBackend {
			continue
		}
		b := operatorapi.BackendStatus{Name: vm.Name, Pool: vm.Pool, Region: vm.Location.Region, Slots: vm.Slots, Leaving: vm.Leaving}
		if owner, ok := p.o.Owners.Owner(cluster.BackendShare(vm)); ok {
			b.Owner = owner.Name
		}
		s.Backends = append(s.Backends, b)
	}
}

// addPlacement asks every live daemon for the jobs that it is home to.
func (p *Operator) addPlacement(ctx context.Context, s *operatorapi.Status) {
	s.Placement = p.o.Placement.Status()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, d := range s.Daemons {
		if d.Name == s.Daemon.Name {
			continue
		}
		wg.Go(func() {
			var other placer.Status
			err := p.o.Peers.Call(ctx, d.Name, methodStatus, noParams{}, &other)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.Unresponsive = append(s.Unresponsive, d.Name)
				return
			}
			mergePlacement(&s.Placement, other)
		})
	}
	wg.Wait()
	sort.Strings(s.Unresponsive)
	slices.SortFunc(s.Placement.Jobs, func(a, b placer.JobStatus) int { return strings.Compare(a.ID, b.ID) })
}

// mergePlacement adds a peer's homes and jobs. Every home knows all workers,
// so that one list of them is enough.
func mergePlacement(into *placer.Status, other placer.Status) {
	into.Jobs = append(into.Jobs, other.Jobs...)
	into.Homes = append(into.Homes, other.Homes...)
	into.Queue.Ready += other.Queue.Ready
	into.Queue.InsufficientCapacity += other.Queue.InsufficientCapacity
	into.Queue.OverLimit += other.Queue.OverLimit
	into.Queue.Deferred += other.Queue.Deferred
	if len(into.Workers) < len(other.Workers) {
		into.Workers = other.Workers
	}
}
