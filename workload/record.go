package workload

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// TaskProgress is what lasts of a task that has ended at least once and is not done.
type TaskProgress struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Index      int    `cbor:"3,keyasint,omitempty"`
	Run        int    `cbor:"4,keyasint,omitempty"`
	FailedRuns []int  `cbor:"5,keyasint,omitempty"`
	Checkpoint string `cbor:"6,keyasint,omitempty"`
}

// StepProgress lists the tasks of a step that are done.
type StepProgress struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	// Done has one bit a task, lowest first.
	Done []byte `cbor:"3,keyasint,omitempty"`
}

// Progress is what lasts of a submission while it runs.
type Progress struct {
	Steps []StepProgress `cbor:"1,keyasint,omitempty"`
	Tasks []TaskProgress `cbor:"2,keyasint,omitempty"`
}

// FinalState is what lasts of a submission that has ended.
type FinalState struct {
	Status Status `cbor:"1,keyasint"`
	// Ended is as Unix milliseconds.
	Ended int64  `cbor:"2,keyasint"`
	Queue string `cbor:"3,keyasint,omitempty"`
}

// ServerRecord is what lasts of a backend server that may hold tasks.
type ServerRecord struct {
	Service string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// PartitionOwner is the record of a partition's owner.
type PartitionOwner struct {
	// Epoch rises with each owner. It is the fencing token of all orders.
	Epoch  uint64 `cbor:"1,keyasint"`
	Daemon string `cbor:"2,keyasint"`
	// LeaseMS is the longest lease that the owner sends, in milliseconds.
	LeaseMS int64 `cbor:"3,keyasint,omitempty"`
}

// Encode returns v as CBOR.
func Encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, errors.Wrap(err, "encode record")
}

// Decode reads what Encode wrote.
func Decode(data []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(data, v), "decode record")
}
