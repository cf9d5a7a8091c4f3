package workload

import (
	"github.com/currantwinch/currantwinch/crashloop"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// TaskProgress is the stored state of a task that has ended at least once, or whose
// server may have crashed, but is not done.
type TaskProgress struct {
	Occurrence int    `cbor:"1,keyasint,omitempty"`
	Step       int    `cbor:"2,keyasint,omitempty"`
	Index      int    `cbor:"3,keyasint,omitempty"`
	Run        int    `cbor:"4,keyasint,omitempty"`
	FailedRuns []int  `cbor:"5,keyasint,omitempty"`
	Checkpoint string `cbor:"6,keyasint,omitempty"`
	// Crashes is the evidence that the task crashes its servers; nil if there is
	// none.
	Crashes *crashloop.History `cbor:"7,keyasint,omitempty"`
	// Exposure is a run that may be about to end with its server; nil if there is
	// none.
	Exposure *Exposure `cbor:"8,keyasint,omitempty"`
}

// Exposure is a run whose server fell silent, or the run of a trial. If that server
// turns out to have crashed, the next owner knows that the task ran there.
type Exposure struct {
	Server string `cbor:"1,keyasint"`
	// Host identifies the server's machine.
	Host string `cbor:"2,keyasint,omitempty"`
	// StartedAtMS identifies the server's instance; 0 if unknown.
	StartedAtMS int64 `cbor:"3,keyasint,omitempty"`
	Run         int   `cbor:"4,keyasint"`
	// AgeMS is how long the run had been ordered when the server fell silent, in
	// milliseconds.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
	Trial bool  `cbor:"6,keyasint,omitempty"`
	// SilentAtMS is when the server fell silent, in Unix milliseconds; 0 if it had not.
	SilentAtMS int64 `cbor:"7,keyasint,omitempty"`
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
	// Done are the occurrences whose steps are all done, in ascending order. Steps and
	// Tasks have no entries for them.
	Done []OccurrenceRange `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether nothing has been done.
func (p Progress) Empty() bool { return len(p.Steps)+len(p.Tasks)+len(p.Done) == 0 }

// OccurrenceRange names the occurrences from From to the one before To.
type OccurrenceRange struct {
	From int `cbor:"1,keyasint"`
	To   int `cbor:"2,keyasint"`
}

// FinalState is the stored state of a submission that has ended.
type FinalState struct {
	Status Status `cbor:"1,keyasint"`
	// Ended is in Unix milliseconds.
	Ended int64 `cbor:"2,keyasint"`
	// Transferred is set if the submission was taken over from another partition.
	Transferred bool `cbor:"4,keyasint,omitempty"`
	// Tenant is the submission's tenant; empty if it has none.
	Tenant string `cbor:"5,keyasint,omitempty"`
	// Address is that of the submission's queue. Earlier versions stored its name, as 3.
	Address QueueAddress `cbor:"6,keyasint,omitempty"`
}

// ServerRecord is the stored record of a backend server that may run tasks.
type ServerRecord struct {
	Service string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// UnheardServers is the stored record of the servers that have not answered an owner.
type UnheardServers struct {
	// Epoch is the owner's.
	Epoch uint64 `cbor:"1,keyasint"`
	// WaitedMS is, by server ID, the time since an earlier owner can last have extended
	// a lease on the server, in milliseconds. This owner has sent none.
	WaitedMS map[string]int64 `cbor:"2,keyasint"`
	// Proven is set if the times count from when no earlier owner could extend leases
	// any more. Versions before it counted from their claim, which proves nothing.
	Proven bool `cbor:"3,keyasint,omitempty"`
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
	// Witnesses are the daemons that may attest for this owner that they know of no
	// later claim.
	Witnesses []string `cbor:"5,keyasint,omitempty"`
	// Prior are the owners before, oldest first, whose leases may not have expired.
	Prior []PriorOwner `cbor:"6,keyasint,omitempty"`
	// MajorityMS is how long the attestations of a majority of the witnesses, if not of
	// all, may extend the owner's leases, in milliseconds; nil in the claims of an earlier
	// version, whose owners take them for those of all.
	MajorityMS *int64 `cbor:"7,keyasint,omitempty"`
}

// PriorOwner is an owner whose leases may not have expired when the next one claimed.
type PriorOwner struct {
	Epoch     uint64   `cbor:"1,keyasint"`
	Daemon    string   `cbor:"2,keyasint"`
	LeaseMS   int64    `cbor:"3,keyasint,omitempty"`
	Witnesses []string `cbor:"4,keyasint,omitempty"`
	// MajorityMS is that of the owner's claim.
	MajorityMS *int64 `cbor:"5,keyasint,omitempty"`
}

// OwnerUpdate is the stored record of what has changed since an owner's claim.
type OwnerUpdate struct {
	// Epoch is the owner's.
	Epoch uint64 `cbor:"1,keyasint"`
	// Witnesses replace those of the claim.
	Witnesses []string `cbor:"2,keyasint,omitempty"`
	// PriorExpired is set once the leases of all owners before have expired.
	PriorExpired bool `cbor:"3,keyasint,omitempty"`
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
