package backendstandin

// Fault is one way in which a backend server goes wrong.
type Fault uint8

// The faults of a backend server.
const (
	FaultNone Fault = iota
	// FaultHang takes the request, runs nothing and never answers.
	FaultHang
	// FaultResetBefore breaks the connection before the run.
	FaultResetBefore
	// FaultResetDuring breaks the connection during the run, which goes on.
	FaultResetDuring
	// FaultResetAfter breaks the connection after the run: the answer is lost.
	FaultResetAfter
	// FaultTruncated ends the answer in the middle of its body.
	FaultTruncated
	// FaultMalformed answers bytes that are not HTTP.
	FaultMalformed
	// FaultOversized answers more than was allowed.
	FaultOversized
	// FaultDuplicate sends the answer twice.
	FaultDuplicate
	// FaultMismatched answers with the ID of another request.
	FaultMismatched
	// FaultSlow runs SlowFactor times as long.
	FaultSlow
	// FaultError runs and answers status 500.
	FaultError
	// FaultDecline answers 503 without running, as a leaving server does.
	FaultDecline
)

// SlowFactor is how much longer a run takes under FaultSlow.
const SlowFactor = 10

// Faults returns every fault but FaultNone.
func Faults() []Fault {
	var all []Fault
	for f := FaultHang; f <= FaultDecline; f++ {
		all = append(all, f)
	}
	return all
}

// String returns the fault's name.
func (f Fault) String() string {
	return [...]string{
		"none", "hang", "reset before", "reset during", "reset after", "truncated",
		"malformed", "oversized", "duplicate", "crossed", "slow", "error", "decline",
	}[f]
}
