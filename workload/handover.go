package workload

// Transfer says how a submission came to the partition that holds it from another one.
type Transfer struct {
	// Number counts the handovers of the submission so far. It orders the partitions
	// that have held it.
	Number int `cbor:"1,keyasint"`
	// From is the partition that handed it over.
	From int `cbor:"2,keyasint,omitempty"`
	// Epoch is that of the owner that took it over.
	Epoch uint64 `cbor:"3,keyasint"`
	// MaxRun is a run number that no run before the handover exceeds.
	MaxRun int `cbor:"4,keyasint,omitempty"`
	// Started is set if a task had started before the handover.
	Started bool `cbor:"5,keyasint,omitempty"`
}

// Handover is the stored record of a submission that its partition hands over to
// another one. From the time that it is stored, the partition starts nothing of the
// submission.
type Handover struct {
	Submission Submission `cbor:"1,keyasint"`
	// To is the partition that takes it over, and Number that of the handover.
	To     int `cbor:"2,keyasint"`
	Number int `cbor:"3,keyasint"`
	// MaxRun is a run number that no run so far exceeds.
	MaxRun int `cbor:"4,keyasint,omitempty"`
	// Started is set if a task has started.
	Started bool `cbor:"5,keyasint,omitempty"`
}

// Forward is the stored record of a submission that another partition has taken over, or
// that only that one may accept.
type Forward struct {
	To     int `cbor:"1,keyasint"`
	Number int `cbor:"2,keyasint"`
	// At is when the handover was complete, in Unix milliseconds.
	At int64 `cbor:"3,keyasint"`
	// Pending is set if the submission was passed on before it was accepted: the other
	// partition may have refused it.
	Pending bool `cbor:"4,keyasint,omitempty"`
	// Address is that of the submission's queue.
	Address QueueAddress `cbor:"5,keyasint,omitempty"`
}
