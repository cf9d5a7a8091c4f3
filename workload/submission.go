// Package workload describes submissions: graphs of steps whose tasks run on
// backend servers, at once or at set times. It holds what a submission asks
// for, how far its tasks have come, and the records that last.
package workload

import (
	"time"

	"github.com/pkg/errors"
)

// Bounds of one submission.
const (
	// MaxSpecBytes is the longest program text of a submission.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of one submission.
	MaxSteps = 256
	// MaxTasks bounds the tasks of all steps and occurrences of one submission.
	MaxTasks = 100_000
	// idLength is the length of an ID in hexadecimal digits.
	idLength = 16
)

// Resources are what a task needs or a backend server has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty" json:"cpu"`
	// MemoryMB is in mebibytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty" json:"memoryMB"`
	GPU      int64 `cbor:"3,keyasint,omitempty" json:"gpu"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Scaled returns n times r.
func (r Resources) Scaled(n int) Resources {
	return Resources{r.CPU * int64(n), r.MemoryMB * int64(n), r.GPU * int64(n)}
}

// Fits reports whether r can be taken from free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// FitCount returns how often r can be taken from free, at most limit.
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

// Step is a number of like tasks.
type Step struct {
	Count int       `cbor:"1,keyasint,omitempty"`
	Need  Resources `cbor:"2,keyasint,omitempty"`
	// Estimate is the declared run time of one task. It may be far off.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Gang tasks work only while all of one run are present, and end together.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// RackSensitive tasks run slower when they are spread over racks.
	RackSensitive bool `cbor:"6,keyasint,omitempty"`
	Checkpoints   bool `cbor:"7,keyasint,omitempty"`
	// Speculative tasks may run in several copies at a time.
	Speculative bool `cbor:"8,keyasint,omitempty"`
	// LongRunning tasks run until the submission is cancelled.
	LongRunning bool `cbor:"9,keyasint,omitempty"`
	// BestEffortCPU means that the tasks' CPU is not reserved: they use what others leave.
	BestEffortCPU bool `cbor:"10,keyasint,omitempty"`
	// Label is one that the backend server must have; empty means none.
	Label string `cbor:"11,keyasint,omitempty"`
	// Rack is where the data is; elsewhere the tasks run slower.
	Rack string `cbor:"12,keyasint,omitempty"`
	// MaxPerServer bounds the step's tasks on one backend server; 0 means no bound.
	MaxPerServer int    `cbor:"13,keyasint,omitempty"`
	Image        string `cbor:"14,keyasint,omitempty"`
	// TailLatencyTarget is the bound on a long-running task's own response times.
	TailLatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many long-running tasks a planned action may leave
	// away at a time; 0 means no bound.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns what a task of the step takes from its backend server.
func (s *Step) Reserved() Resources {
	need := s.Need
	if s.BestEffortCPU {
		need.CPU = 0
	}
	return need
}

// Submission is one accepted piece of work.
type Submission struct {
	ID      string `cbor:"1,keyasint"`
	Queue   string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	// Spec is passed to the backend servers unread.
	Spec  string `cbor:"4,keyasint"`
	Steps []Step `cbor:"5,keyasint"`
	// FirstRun is the due time of the first occurrence, as Unix milliseconds.
	// It counts only where Repeat is positive.
	FirstRun int64 `cbor:"6,keyasint,omitempty"`
	// Interval is the time between occurrences.
	Interval time.Duration `cbor:"7,keyasint,omitempty"`
	// Repeat is the number of occurrences; 0 means one, at once.
	Repeat int `cbor:"8,keyasint,omitempty"`
	// Accepted is when the submission arrived, as Unix milliseconds.
	Accepted int64 `cbor:"9,keyasint"`
}

// Occurrences returns how often the steps run.
func (s *Submission) Occurrences() int { return max(s.Repeat, 1) }

// Due returns when an occurrence may start, as Unix milliseconds; 0 means at
// once.
func (s *Submission) Due(occurrence int) int64 {
	if s.Repeat <= 0 {
		return 0
	}
	return s.FirstRun + int64(occurrence)*s.Interval.Milliseconds()
}

// Timed reports whether the submission has due times.
func (s *Submission) Timed() bool { return s.Repeat > 0 }

// CoreSeconds returns the declared work of one occurrence in core-seconds.
func (s *Submission) CoreSeconds() float64 {
	var sum float64
	for i := range s.Steps {
		step := &s.Steps[i]
		sum += float64(step.Count) * float64(step.Need.CPU) / 1000 * step.Estimate.Seconds()
	}
	return sum
}

// ValidID reports whether id is made of 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Validate reports the first thing that is wrong with the submission, by the
// name of its field.
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
