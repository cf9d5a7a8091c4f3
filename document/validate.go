package document

import (
	"fmt"
	"regexp"
	"time"
)

// Limits of field values.
// MaxBodyBytes is the longest body of a request, and of a response, that a document may allow.
const MaxBodyBytes = 64 << 20

const (
	maxNameLength   = 63
	maxKinds        = 64
	maxWorkloads    = 64
	maxTasks        = 20_000
	maxRegions      = 16
	maxCommand      = 64
	maxCommandBytes = 4096
	maxQueued       = 100_000
	maxCallerRate   = 1_000_000
	maxWeight       = 1000
	maxAttempts     = 100
	maxDeadline     = 24 * time.Hour
	maxRunTime      = 30 * 24 * time.Hour
)

// SystemTeam is the team name reserved for the daemons; validation rejects a
// document that uses it.
const SystemTeam = "system"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

const nameFormat = "at most 63 of a-z, 0-9 and -, with neither end a -"

// validator checks the field values of a document that was decoded without
// type errors, or those of its fields that were.
type validator struct {
	report func(path, found, allowed string)
}

func validate(doc *Document, report func(path, found, allowed string)) {
	v := validator{report}
	if doc.Format != FormatVersion {
		v.report("format", fmt.Sprint(doc.Format), fmt.Sprint(FormatVersion))
	}
	v.name("service", doc.Service)
	v.name("team", doc.Team)
	if doc.Team == SystemTeam {
		v.report("team", doc.Team, "a team other than the daemons' own")
	}
	if doc.Requests != nil {
		v.requests("requests", doc.Requests)
	}
	v.workloads(doc.Workloads)
	v.quota("quota", doc.Quota)
}

func (v validator) name(path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		v.report(path, fmt.Sprintf("%.70q", name), nameFormat)
	}
}

func (v validator) inRange(path string, n, low, high int64) {
	if n < low || n > high {
		v.report(path, fmt.Sprint(n), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v validator) requests(path string, r *Requests) {
	v.name(path+".pool", r.Pool)
	v.inRange(path+".kinds", int64(len(r.Kinds)), 1, maxKinds)
	v.inRange(path+".maxQueued", int64(r.MaxQueued), 1, maxQueued)
	v.inRange(path+".maxBodyBytes", r.MaxBodyBytes, 1, MaxBodyBytes)
	v.inRange(path+".maxAnswerBytes", r.MaxResponseBytes, 1, MaxBodyBytes)
	v.inRange(path+".callerBurst", int64(r.CallerBurst), 0, maxCallerRate)
	if r.CallerRate < 0 || r.CallerRate > maxCallerRate {
		v.report(path+".callerRate", fmt.Sprint(r.CallerRate), fmt.Sprintf("0 to %d a second", maxCallerRate))
	}
	seen := make(map[string]bool)
	for i, k := range r.Kinds {
		at := fmt.Sprintf("%s.kinds[%d]", path, i)
		v.name(at+".name", k.Name)
		v.unique(at+".name", k.Name, seen)
		v.duration(at+".deadline", k.Deadline, time.Millisecond, maxDeadline)
		v.duration(at+".declaredRunTime", k.DeclaredRunTime, 0, maxRunTime)
	}
}

func (v validator) unique(path, name string, seen map[string]bool) {
	if seen[name] {
		v.report(path, fmt.Sprintf("%q again", name), "each name once")
	}
	seen[name] = true
}

func (v validator) duration(path string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		v.report(path, d.Std().String(), fmt.Sprintf("%s to %s", low, high))
	}
}

func (v validator) workloads(ws []Workload) {
	if len(ws) > maxWorkloads {
		v.report("workloads", fmt.Sprintf("%d workloads", len(ws)), fmt.Sprintf("at most %d", maxWorkloads))
	}
	seen := make(map[string]bool)
	for i, w := range ws {
		at := fmt.Sprintf("workloads[%d]", i)
		v.unique(at+".name", w.Name, seen)
		v.workload(at, w)
	}
}

func (v validator) workload(at string, w Workload) {
	v.name(at+".name", w.Name)
	if w.Class == "" {
		v.report(at+".class", "nothing", fmt.Sprintf("one of %q", classes))
	}
	v.inRange(at+".count", int64(w.Count), 1, maxTasks)
	v.inRange(at+".maxAttempts", int64(w.MaxAttempts), 1, maxAttempts)
	v.inRange(at+".maxUnavailable", int64(w.MaxUnavailable), 0, maxTasks)
	v.duration(at+".runTime", w.RunTime, 0, maxRunTime)
	if w.Resources.CPU == 0 && w.Resources.Memory == 0 && w.Resources.Accelerators == 0 {
		v.report(at+".resources", "nothing", "an amount of cpu, memory or accelerators")
	}
	if w.AcceleratorKind != "" {
		v.name(at+".acceleratorKind", w.AcceleratorKind)
	}
	if w.AcceleratorKind != "" && w.Resources.Accelerators == 0 {
		v.report(at+".acceleratorKind", w.AcceleratorKind, "nothing where no accelerators are asked for")
	}
	v.serviceFields(at, w)
	v.regionsAndCommand(at, w)
}

func (v validator) serviceFields(at string, w Workload) {
	if w.Class != ClassService {
		return
	}
	if w.Start != StartPublished {
		v.report(at+".start", string(w.Start), "published, for a service")
	}
	if w.RunTime != 0 {
		v.report(at+".runTime", w.RunTime.Std().String(), "nothing, for a service")
	}
}

func (v validator) regionsAndCommand(at string, w Workload) {
	v.inRange(at+".regions", int64(len(w.Regions)), 0, maxRegions)
	seen := make(map[string]bool)
	for i, r := range w.Regions {
		path := fmt.Sprintf("%s.regions[%d]", at, i)
		v.name(path, r)
		v.unique(path, r, seen)
	}
	bytes := 0
	for _, part := range w.Command {
		bytes += len(part)
	}
	if len(w.Command) > maxCommand || bytes > maxCommandBytes {
		v.report(at+".command", fmt.Sprintf("%d parts of %d bytes", len(w.Command), bytes),
			fmt.Sprintf("at most %d parts of %d bytes", maxCommand, maxCommandBytes))
	}
}

func (v validator) quota(path string, q Quota) {
	v.inRange(path+".weight", int64(q.Weight), 1, maxWeight)
	limit := q.Limit
	if limit.IsZero() {
		return
	}
	if !q.Guaranteed.Fits(limit) {
		v.report(path+".guaranteed", "more than the limit", "at most the limit in each resource")
	}
}
