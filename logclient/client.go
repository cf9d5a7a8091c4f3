package logclient

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// The reasons of this package's errors.
const (
	// ReasonBudget: the daemon's append budget is spent.
	ReasonBudget verdict.Reason = "append_budget"
	// ReasonQueueFull: too much waits to be appended.
	ReasonQueueFull verdict.Reason = "append_queue_full"
	// ReasonLogDown: the log does not answer.
	ReasonLogDown verdict.Reason = "log_down"
	// ReasonTooLarge: the records do not fit one append.
	ReasonTooLarge verdict.Reason = "append_too_large"
	// ReasonBadRecord: a record cannot be encoded.
	ReasonBadRecord verdict.Reason = "bad_record"
	// ReasonTimeout: the caller's time is over.
	ReasonTimeout verdict.Reason = "append_timeout"
	// ReasonBadCredential: the log does not accept the credential. A Log uses
	// this reason for it, so that the append is not tried again.
	ReasonBadCredential verdict.Reason = "log_bad_credential"
	// ReasonAnswerTooLarge: an answer was over the adapter's bound. A Log uses
	// this reason for it, so that fewer records are asked for.
	ReasonAnswerTooLarge verdict.Reason = "log_answer_too_large"
	// ReasonClosed: the client has stopped.
	ReasonClosed verdict.Reason = "append_closed"
)

// Defaults of Options. The budget lets nine clients together stay below 120
// appends in any one second, records that decide who may act apart.
const (
	DefaultRate            = 9.0
	DefaultBurst           = 8
	DefaultMaxBatchBytes   = 512 << 10
	DefaultMaxBatchRecords = 512
	DefaultMaxQueued       = 4096
	DefaultMaxQueuedBytes  = 4 << 20
	DefaultMaxBudgetWait   = 3 * time.Second
	DefaultCallTimeout     = 12 * time.Second
	DefaultAppendTimeout   = 30 * time.Second
)

// Options says how a Client behaves. Zero fields take the defaults.
type Options struct {
	Log Log
	Now func() time.Time
	// Seed starts the sequence of backoff waits.
	Seed uint64
	// Rate and Burst are the budget, in appends a second and appends.
	Rate  float64
	Burst int
	// Linger is how long a record may wait for others to share its append.
	// Records that decide who may act never wait.
	Linger func(record.Kind) time.Duration
	// MaxBatchBytes and MaxBatchRecords bound one append.
	MaxBatchBytes   int
	MaxBatchRecords int
	// MaxQueued and MaxQueuedBytes bound what waits; more is refused.
	MaxQueued      int
	MaxQueuedBytes int
	// MaxBudgetWait refuses records that would wait longer for the budget.
	MaxBudgetWait time.Duration
	// CallTimeout bounds one call of the log, beyond the wait it asked for.
	CallTimeout time.Duration
	// AppendTimeout bounds an Append whose context has no earlier deadline.
	AppendTimeout time.Duration
}

// Client appends to and reads a Log. Appends are sent by goroutines that the
// owner of the client runs in RunAppends.
type Client struct {
	options Options
	now     func() time.Time

	mu      sync.Mutex
	random  *rand.Rand
	budget  *Budget
	circuit CircuitBreaker
	signs   HealthSignals
	// reading is set once Read has been called; only then do signs count.
	reading bool
	// limit is how many records the next read asks for.
	limit int
	queue queue
	// inFlight holds the units whose append is under way, by record key.
	inFlight map[string]*unit
	closed   bool
	// wake holds one token whenever the queue may have become due.
	wake  chan struct{}
	stats Stats
}

// Stats are running totals of a client.
type Stats struct {
	// Appends counts calls of the log's Append, retries included.
	Appends uint64 `json:"appends"`
	Retries uint64 `json:"retries"`
	Records uint64 `json:"records"`
	Bytes   uint64 `json:"bytes"`
	// Refused counts Append calls refused as not run.
	Refused uint64 `json:"refused"`
	// Unknown counts Append calls that ended as may have run.
	Unknown uint64 `json:"unknown"`
	// ResolvedByRead counts lost answers that reading made known.
	ResolvedByRead uint64 `json:"found"`
	Queued         int    `json:"queued"`
	// InFlight counts records whose fate an attempt has left open so far.
	InFlight int `json:"inFlight"`
	// CircuitOpen is true while appends are refused because they kept failing.
	CircuitOpen bool `json:"circuitOpen"`
}

// New returns a client that has seen nothing yet.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		options:  o,
		now:      o.Now,
		random:   rand.New(rand.NewPCG(o.Seed, 0x10c)),
		budget:   NewBudget(o.Rate, o.Burst),
		circuit:  CircuitBreaker{Threshold: 3, Backoff: Backoff{Initial: time.Second, Max: 15 * time.Second}},
		limit:    MaxPageRecords,
		signs:    HealthSignals{StartedAt: o.Now()},
		queue:    queue{lanes: make(map[Credential]*lane)},
		inFlight: make(map[string]*unit),
		wake:     make(chan struct{}, 1),
	}
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Linger == nil {
		o.Linger = DefaultLinger
	}
	setDefault(&o.Rate, DefaultRate)
	setDefault(&o.Burst, DefaultBurst)
	setDefault(&o.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&o.MaxBatchRecords, DefaultMaxBatchRecords)
	setDefault(&o.MaxQueued, DefaultMaxQueued)
	setDefault(&o.MaxQueuedBytes, DefaultMaxQueuedBytes)
	setDefault(&o.MaxBudgetWait, DefaultMaxBudgetWait)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.AppendTimeout, DefaultAppendTimeout)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// DefaultLinger returns how long a record of a kind may wait for company:
// nothing waits on the end of a job or a bill, so they share few appends.
func DefaultLinger(k record.Kind) time.Duration {
	switch k {
	case record.KindBill:
		return time.Second
	case record.KindDone:
		return 500 * time.Millisecond
	case record.KindSnapshot:
		return 100 * time.Millisecond
	default:
		return 20 * time.Millisecond
	}
}

// Stats returns the totals so far.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Queued = c.queue.units
	s.InFlight = len(c.inFlight)
	s.CircuitOpen = c.circuit.Open(c.now())
	return s
}
