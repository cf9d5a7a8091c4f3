package cli

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
)

type statusCommand struct {
	Watch    bool          `short:"w" help:"Print again until interrupted."`
	Interval time.Duration `default:"2s" help:"Time between two prints of --watch."`
	Shares   bool          `help:"List the shares as well."`
}

// Help shows an example.
func (statusCommand) Help() string { return "Example: currantwinch status --shares" }

// Run prints the state of the cell, repeatedly with --watch.
func (c *statusCommand) Run(e *env) error {
	for {
		s, err := e.client.Status(e.ctx)
		if err != nil {
			return err
		}
		if err := c.print(e, s); err != nil || !c.Watch {
			return err
		}
		select {
		case <-e.ctx.Done():
			return nil
		case <-time.After(c.Interval):
		}
		fmt.Fprintln(e.out)
	}
}

func (c *statusCommand) print(e *env, s operatorapi.Status) error {
	tables := []*table{daemonTable(s), jobTable(s), workerTable(s), backendTable(s)}
	if c.Shares {
		tables = append(tables, shareTable(s))
	}
	if e.globals.Output == "table" {
		fmt.Fprintf(e.out, "asked %s; log %s, offset %d, %d documents\n\n", s.Daemon.Name, s.Log, s.Offset, s.Documents)
	}
	if err := e.print(s, tables...); err != nil {
		return err
	}
	if len(s.Unresponsive) > 0 && e.globals.Output == "table" {
		fmt.Fprintf(e.out, "\nno answer from %s; their jobs are not listed\n", strings.Join(s.Unresponsive, ", "))
	}
	return nil
}

func daemonTable(s operatorapi.Status) *table {
	t := &table{head: []string{"DAEMON", "REGION", "FAILURE DOMAIN", "OFFSET", "SHARES", "LEAVING", "HEARD"}}
	for _, d := range s.Daemons {
		t.add(d.Name, d.Region, d.FailureDomain, d.Offset, d.Shares, d.Leaving, d.SinceHeard.Round(time.Millisecond))
	}
	return t
}

func jobTable(s operatorapi.Status) *table {
	t := &table{head: []string{"JOB", "TEAM", "CLASS", "PRIORITY", "TASKS", "NEVER"}}
	for _, j := range s.Placement.Jobs {
		t.add(j.ID, j.Team, j.Class, j.Priority, counts(j.Tasks), j.Unschedulable)
	}
	return t
}

func counts(byState map[string]int) string {
	var parts []string
	for state, n := range byState {
		parts = append(parts, fmt.Sprintf("%d %s", n, state))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func workerTable(s operatorapi.Status) *table {
	t := &table{head: []string{"WORKER", "FAILURE DOMAIN", "RACK", "USED", "CAPACITY", "TASKS", "STATE"}}
	for _, w := range s.Placement.Workers {
		t.add(w.Name, w.Location.FailureDomain, w.Location.Rack, amount(w.Used), amount(w.Capacity), w.Tasks, w.State)
	}
	return t
}

func amount(r cluster.Resources) string {
	text := document.FormatCPU(r.CPU) + " cores " + document.FormatMemory(r.Memory)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(" %d accelerators", r.Accelerators)
	}
	return text
}

func backendTable(s operatorapi.Status) *table {
	t := &table{head: []string{"BACKEND SERVER", "POOL", "REGION", "SLOTS", "LEAVING", "OWNER"}}
	for _, b := range s.Backends {
		t.add(b.Name, b.Pool, b.Region, b.Slots, b.Leaving, b.Owner)
	}
	return t
}

func shareTable(s operatorapi.Status) *table {
	t := &table{head: []string{"SHARE", "OWNER", "EPOCH"}}
	for _, share := range s.Shares {
		t.add(share.Share, share.Owner, share.Epoch)
	}
	return t
}

type whyCommand struct {
	JobID string `arg:"" help:"Job to explain."`
}

// Help shows an example.
func (whyCommand) Help() string { return "Example: currantwinch why reviews/index@7" }

// Run prints the worker or the reason for waiting of each task.
func (c *whyCommand) Run(e *env) error {
	w, err := e.client.Explain(e.ctx, c.JobID)
	if err != nil {
		return err
	}
	t := &table{head: []string{"TASK", "ATTEMPT", "STATE", "WORKER", "REASON"}}
	for _, task := range w.Tasks {
		t.add(task.Index, task.Attempt, task.State, task.Worker, task.Reason)
	}
	if err := e.print(w, t); err != nil {
		return err
	}
	if w.Unschedulable != "" && e.globals.Output == "table" {
		fmt.Fprintf(e.out, "can never run: %s\n", w.Unschedulable)
	}
	return nil
}
