// Package workload describes submissions: directed acyclic graphs of steps whose
// tasks run on backend servers, once or repeatedly at set times. It defines what
// a submission asks for, the identity and the progress of its tasks, and the
// records that the scheduler stores in CBOR. The field numbers of the records
// and the names of statuses and end kinds do not change between releases.
package workload

import (
	"time"

	"github.com/pkg/errors"
)

// Limits of a submission.
const (
	// MaxSpecBytes is the maximum length of a submission's Spec.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of one submission.
	MaxSteps = 256
	// MaxTasks bounds the number of tasks of a submission, over all steps and
	// occurrences.
	MaxTasks = 100_000
	// idDigits is the length of an ID in hexadecimal digits.
	idDigits = 16
)

// Resources are what a task needs or what a backend server has.
type Resources struct {
	// CPU is in millicores.
	CPU int64 `cbor:"1,keyasint,omitempty" json:"cpu"`
	// MemoryMB is in mebibytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty" json:"memoryMB"`
	GPU      int64 `cbor:"3,keyasint,omitempty" json:"gpu"`
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.MemoryMB, o.MemoryMB), max(r.GPU, o.GPU)}
}

// Scaled returns n times r.
func (r Resources) Scaled(n int) Resources {
	return Resources{r.CPU * int64(n), r.MemoryMB * int64(n), r.GPU * int64(n)}
}

// Fits reports whether free has at least r of each resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// FitCount returns how many times r fits into free, up to limit. It returns 0 if
// a resource of free is negative.
func (r Resources) FitCount(free Resources, limit int) int {
	n := int64(limit)
	for _, d := range [...][2]int64{{r.CPU, free.CPU}, {r.MemoryMB, free.MemoryMB}, {r.GPU, free.GPU}} {
		if d[0] > 0 {
			n = min(n, d[1]/d[0])
		} else if d[1] < 0 {
			n = 0
		}
	}
	return int(max(n, 0))
}

// Step is a set of tasks with the same requirements.
type Step struct {
	Count int       `cbor:"1,keyasint,omitempty"`
	Need  Resources `cbor:"2,keyasint,omitempty"`
	// Estimate is the declared run time of one task. It may be far from the
	// actual one.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps that must be completed first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang tasks make progress only while all tasks of a run are present. They
	// end together.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// RackSensitive tasks run slower if they are spread over several racks.
	RackSensitive bool `cbor:"6,keyasint,omitempty"`
	Checkpoints   bool `cbor:"7,keyasint,omitempty"`
	// Speculative tasks may run in several copies at the same time.
	Speculative bool `cbor:"8,keyasint,omitempty"`
	// LongRunning tasks run until the submission is cancelled.
	LongRunning bool `cbor:"9,keyasint,omitempty"`
	// BestEffortCPU tasks reserve no CPU: they use what other tasks leave idle.
	BestEffortCPU bool `cbor:"10,keyasint,omitempty"`
	// Label is a label that the backend server must have; empty requires none.
	Label string `cbor:"11,keyasint,omitempty"`
	// Rack is where the data is stored; tasks run slower on other racks.
	Rack string `cbor:"12,keyasint,omitempty"`
	// MaxPerServer bounds the step's tasks on one backend server; 0 means
	// unlimited.
	MaxPerServer int    `cbor:"13,keyasint,omitempty"`
	Image        string `cbor:"14,keyasint,omitempty"`
	// TailLatencyTarget bounds the response times of a long-running task itself.
	TailLatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds how many long-running tasks planned actions may make
	// unavailable at the same time; 0 means unlimited.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its backend
// server.
func (s *Step) Reserved() Resources {
	need := s.Need
	if s.BestEffortCPU {
		need.CPU = 0
	}
	return need
}

// Submission is an accepted request to run a graph of steps.
type Submission struct {
	ID      string `cbor:"1,keyasint"`
	Queue   string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	// Spec is passed to the backend servers uninterpreted.
	Spec  string `cbor:"4,keyasint"`
	Steps []Step `cbor:"5,keyasint"`
	// FirstRun is the due time of the first occurrence, in Unix milliseconds. It
	// is used only if Repeat is positive.
	FirstRun int64 `cbor:"6,keyasint,omitempty"`
	// Interval is the time between the due times of two occurrences.
	Interval time.Duration `cbor:"7,keyasint,omitempty"`
	// Repeat is the number of occurrences; 0 means one, which is due at once.
	Repeat int `cbor:"8,keyasint,omitempty"`
	// Accepted is when the submission was received, in Unix milliseconds.
	Accepted int64 `cbor:"9,keyasint"`
	// Transfer is set if the partition that holds the submission took it over from
	// another one.
	Transfer *Transfer `cbor:"10,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration by which the queue leads to
	// Service; 0 if it is not known.
	ConfigVersion uint64 `cbor:"11,keyasint,omitempty"`
	// Tenant is the name of the tenant that sent the submission; empty if it came
	// through a public queue, or if the deployment has no tenants.
	Tenant string `cbor:"12,keyasint,omitempty"`
	// Excess is set if the tenant sent the submission beyond its rate.
	Excess bool `cbor:"13,keyasint,omitempty"`
	// Address identifies the queue. Queue is its name when the submission was received.
	Address QueueAddress `cbor:"14,keyasint,omitempty"`
	// Settings are those of the queue when the submission was received; nil if an earlier
	// version has stored it.
	Settings *QueueSettings `cbor:"15,keyasint,omitempty"`
	// TenantCap bounds what the tenant may have running by the version ConfigVersion, when the
	// submission is handed in; nil if that is not known. It is not stored.
	TenantCap *Resources `cbor:"-" json:",omitempty"`
}

// Reference names a submission in a call about it.
type Reference struct {
	ID    string
	Queue string
	// Address identifies the queue.
	Address QueueAddress
	// Service is the one to which the queue leads now.
	Service string
	// Tenant is the tenant that asks; empty if the queue is public or the deployment
	// has no tenants.
	Tenant string
}

// VisibleTo reports whether a tenant may read and cancel a submission of owner. One that
// has no tenant is visible to all, and a call without a tenant sees all submissions of
// its queue.
func VisibleTo(owner, tenant string) bool { return owner == "" || tenant == "" || owner == tenant }

// Occurrences returns the number of times that the steps run.
func (s *Submission) Occurrences() int { return max(s.Repeat, 1) }

// Due returns the due time of an occurrence in Unix milliseconds; 0 means at
// once.
func (s *Submission) Due(occurrence int) int64 {
	if s.Repeat <= 0 {
		return 0
	}
	return s.FirstRun + int64(occurrence)*s.Interval.Milliseconds()
}

// Timed reports whether the submission has due times.
func (s *Submission) Timed() bool { return s.Repeat > 0 }

// CoreSeconds returns the declared CPU time of one occurrence, in core-seconds.
func (s *Submission) CoreSeconds() float64 {
	var sum float64
	for i := range s.Steps {
		step := &s.Steps[i]
		sum += float64(step.Count) * float64(step.Need.CPU) / 1000 * step.Estimate.Seconds()
	}
	return sum
}

// ValidID reports whether id consists of 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Validate returns an error for the first invalid field, prefixed with the
// field's name.
func (s *Submission) Validate() error {
	if !ValidID(s.ID) {
		return errors.New("id: want 16 hexadecimal digits")
	}
	if len(s.Spec) > MaxSpecBytes {
		return errors.Errorf("spec: %d bytes, at most %d", len(s.Spec), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return errors.Errorf("steps: %d, want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Repeat < 0 || s.Interval < 0 || s.FirstRun < 0 {
		return errors.New("repeat: times and counts may not be negative")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return errors.WithMessagef(err, "steps[%d]", i)
		}
		tasks += s.Steps[i].Count
	}
	if s.Repeat > MaxTasks || tasks*s.Occurrences() > MaxTasks {
		return errors.Errorf("steps: over %d tasks", MaxTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Errorf("count: %d", s.Count)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.MaxPerServer < 0 || s.MaxUnavailable < 0 {
		return errors.New("sizes may not be negative")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return errors.Errorf("after: %d is not an earlier step", earlier)
		}
	}
	return nil
}
