package workload

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// TaskProgress is the stored state of a task that has ended at least once but is
// not done.
type TaskProgress struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Index      int    `cbor:"3,keyasint,omitempty"`
	Run        int    `cbor:"4,keyasint,omitempty"`
	FailedRuns []int  `cbor:"5,keyasint,omitempty"`
	Checkpoint string `cbor:"6,keyasint,omitempty"`
}

// StepProgress is the stored set of completed tasks of a step.
type StepProgress struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	// Done is a bitmap with one bit per task, the lowest bit first.
	Done []byte `cbor:"3,keyasint,omitempty"`
}

// Progress is the stored state of a submission that has not ended.
type Progress struct {
	Steps []StepProgress `cbor:"1,keyasint,omitempty"`
	Tasks []TaskProgress `cbor:"2,keyasint,omitempty"`
}

// FinalState is the stored state of a submission that has ended.
type FinalState struct {
	Status Status `cbor:"1,keyasint"`
	// Ended is in Unix milliseconds.
	Ended int64  `cbor:"2,keyasint"`
	Queue string `cbor:"3,keyasint,omitempty"`
}

// ServerRecord is the stored record of a backend server that may run tasks.
type ServerRecord struct {
	Service string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// PartitionOwner is the stored record of a partition's owner.
type PartitionOwner struct {
	// Epoch increases with each owner. It is the fencing token of all commands
	// that the owner sends.
	Epoch  uint64 `cbor:"1,keyasint"`
	Daemon string `cbor:"2,keyasint"`
	// LeaseMS is the maximum lease duration that the owner grants, in
	// milliseconds.
	LeaseMS int64 `cbor:"3,keyasint,omitempty"`
}

// Encode returns v in CBOR. The error is that of the CBOR encoder.
func Encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, errors.Wrap(err, "encode record")
}

// Decode parses the result of Encode into v. The error is that of the CBOR
// decoder.
func Decode(data []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(data, v), "decode record")
}
