package workload

import "time"

// QueueAddress identifies a queue: its host in lower case, without a port, followed by its
// path prefix, as in "desk.example/jobs/". Callers know nothing else of a queue, and its name
// may change while the address stays. It is empty if it is not known: in records that an
// earlier version has stored.
type QueueAddress string

// Is reports whether two addresses may be those of one queue. One that is not known may be
// any.
func (a QueueAddress) Is(b QueueAddress) bool { return a == "" || b == "" || a == b }

// PolicyTiming is the latency of a queue's policy service and the validity of its
// permissions.
type PolicyTiming struct {
	// DecisionTime is the fixed time of one decision.
	DecisionTime time.Duration `cbor:"1,keyasint,omitempty"`
	// TimePerServer is the additional time for each backend server in a request.
	TimePerServer time.Duration `cbor:"2,keyasint,omitempty"`
	// PermissionValidity is how long a permission may be used.
	PermissionValidity time.Duration `cbor:"3,keyasint,omitempty"`
}

// QueueSettings are the settings of a queue by which its submissions run. They are stored
// with each submission, since it runs on after its queue has left the configuration.
type QueueSettings struct {
	// Priority 0 is the highest.
	Priority int `cbor:"1,keyasint,omitempty"`
	// MaxFailedRuns bounds the failed runs of a task; 0 or less means no bound.
	MaxFailedRuns int `cbor:"2,keyasint,omitempty"`
	// A submission should complete within Stretch times the length of its critical path,
	// plus TargetLatency.
	Stretch       float64       `cbor:"3,keyasint,omitempty"`
	TargetLatency time.Duration `cbor:"4,keyasint,omitempty"`
	// Policy is nil if every backend server may run the queue's tasks.
	Policy *PolicyTiming `cbor:"5,keyasint,omitempty"`
}
