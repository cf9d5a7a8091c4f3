package document

import "math"

// Default values of optional document fields.
const (
	DefaultMaxQueued        = 1024
	DefaultMaxBodyBytes     = 1 << 20
	DefaultMaxResponseBytes = 4 << 20
	DefaultMaxUnavailable   = 1
	DefaultMaxAttempts      = 3
	DefaultWeight           = 1
)

func applyDefaults(doc *Document) {
	if doc.Requests != nil {
		defaultRequests(doc.Requests)
	}
	for i := range doc.Workloads {
		defaultWorkload(&doc.Workloads[i])
	}
	setDefault(&doc.Quota.Weight, DefaultWeight)
}

func defaultRequests(r *Requests) {
	setDefault(&r.MaxQueued, DefaultMaxQueued)
	setDefault(&r.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&r.MaxResponseBytes, DefaultMaxResponseBytes)
	if r.CallerRate > 0 {
		setDefault(&r.CallerBurst, int(math.Ceil(min(r.CallerRate, maxCallerRate))))
	}
}

func defaultWorkload(w *Workload) {
	setDefault(&w.Priority, PriorityNormal)
	setDefault(&w.MaxAttempts, DefaultMaxAttempts)
	if w.Class == ClassService {
		setDefault(&w.Start, StartPublished)
		setDefault(&w.MaxUnavailable, DefaultMaxUnavailable)
		return
	}
	setDefault(&w.Start, StartSubmitted)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
