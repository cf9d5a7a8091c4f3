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

// noParams is sent with calls that have no parameters.
type noParams struct{}

func (p *Operator) handleStatus(context.Context, string, json.RawMessage) (any, error) {
	return p.o.Placement.Status(), nil
}

// explainParams are the parameters of methodExplain.
type explainParams struct {
	JobID string `json:"jobId"`
}

func (p *Operator) handleExplain(_ context.Context, _ string, q explainParams) (any, error) {
	return p.o.Placement.Why(q.JobID), nil
}

// explain returns the explanation of a job by its home daemon, which is the owner
// of the job's key share. For an ended job that the home no longer knows, it
// returns the recorded end.
func (p *Operator) explain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	job, ok := p.o.State.View().Job(id)
	if !ok {
		writeError(w, verdict.New(verdict.NotRun, reasonNotFound, "no job %q was accepted", id))
		return
	}
	explanation, err := p.explainAtHome(r.Context(), id)
	if err != nil {
		writeError(w, err)
		return
	}
	if !explanation.Known && job.Phase != roles.JobAccepted {
		explanation = endedJobExplanation(job)
	}
	writeResponse(w, http.StatusOK, explanation)
}

func (p *Operator) explainAtHome(ctx context.Context, id string) (placer.Explanation, error) {
	home, ok := p.o.Owners.Owner(cluster.KeyShare(id))
	if !ok {
		return placer.Explanation{}, verdict.New(verdict.NotRun, reasonNoHomeDaemon, "no daemon owns share %s now", cluster.KeyShare(id))
	}
	if home.Name == p.o.Members.Self().Name {
		return p.o.Placement.Why(id), nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out placer.Explanation
	err := p.o.Peers.Call(ctx, home.Name, methodExplain, explainParams{JobID: id}, &out)
	return out, err
}

func endedJobExplanation(job roles.JobEntry) placer.Explanation {
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
	writeResponse(w, http.StatusOK, s)
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

// addPlacement collects the placement status of all live daemons, each for the
// jobs whose home it is. Daemons that do not respond are listed as unresponsive.
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

// mergePlacement adds the homes, jobs and queue lengths of a peer. Every home
// knows all workers, so the longest list of them is kept instead of a union.
func mergePlacement(total *placer.Status, other placer.Status) {
	total.Jobs = append(total.Jobs, other.Jobs...)
	total.Homes = append(total.Homes, other.Homes...)
	total.Queue.Ready += other.Queue.Ready
	total.Queue.InsufficientCapacity += other.Queue.InsufficientCapacity
	total.Queue.OverLimit += other.Queue.OverLimit
	total.Queue.Deferred += other.Queue.Deferred
	if len(total.Workers) < len(other.Workers) {
		total.Workers = other.Workers
	}
}
