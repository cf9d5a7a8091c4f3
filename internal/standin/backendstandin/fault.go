package backendstandin

// Fault is a fault that a backend server injects into one request.
type Fault uint8

// The faults of a backend server.
const (
	FaultNone Fault = iota
	// FaultHang accepts the request, does not run it and never responds.
	FaultHang
	// FaultResetBefore resets the connection before the run.
	FaultResetBefore
	// FaultResetDuring resets the connection during the run, which continues.
	FaultResetDuring
	// FaultResetAfter resets the connection after the run, so the response is lost.
	FaultResetAfter
	// FaultTruncated ends the response before the end of its body.
	FaultTruncated
	// FaultMalformed responds with bytes that are not HTTP.
	FaultMalformed
	// FaultOversized responds with a body above the size limit.
	FaultOversized
	// FaultDuplicate sends the response twice.
	FaultDuplicate
	// FaultMismatched responds with the ID of another request.
	FaultMismatched
	// FaultSlow multiplies the run time by SlowFactor.
	FaultSlow
	// FaultError runs the request and responds with status 500.
	FaultError
	// FaultDecline responds with status 503 without running the request, as a
	// leaving server does.
	FaultDecline
)

// SlowFactor is the factor by which FaultSlow lengthens a run.
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
