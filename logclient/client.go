package logclient

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// Reasons of this package's errors.
const (
	// ReasonBudget: the daemon's append budget is spent.
	ReasonBudget verdict.Reason = "append_budget"
	// ReasonQueueFull: too many appends, or too many bytes, are queued.
	ReasonQueueFull verdict.Reason = "append_queue_full"
	// ReasonLogDown: the log does not answer.
	ReasonLogDown verdict.Reason = "log_down"
	// ReasonTooLarge: the records do not fit one append.
	ReasonTooLarge verdict.Reason = "append_too_large"
	// ReasonBadRecord: a record cannot be encoded.
	ReasonBadRecord verdict.Reason = "bad_record"
	// ReasonTimeout: the caller's context or AppendTimeout ended.
	ReasonTimeout verdict.Reason = "append_timeout"
	// ReasonBadCredential: the log does not accept the credential. A Log
	// returns this reason, so that the append is not retried.
	ReasonBadCredential verdict.Reason = "log_bad_credential"
	// ReasonAnswerTooLarge: an answer exceeds the adapter's size limit. A Log
	// returns this reason, so that the next read asks for fewer records.
	ReasonAnswerTooLarge verdict.Reason = "log_answer_too_large"
	// ReasonClosed: the client was closed.
	ReasonClosed verdict.Reason = "append_closed"
)

// Defaults of Options. The budget keeps nine clients together below 120
// appends in any one second, not counting records that decide which daemon may
// act.
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

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	Log Log
	Now func() time.Time
	// Seed seeds the jitter of the backoff.
	Seed uint64
	// Rate and Burst are the append budget, in appends per second and appends.
	Rate  float64
	Burst int
	// Linger returns how long a record of a kind may wait for others to share
	// its append. Records that decide which daemon may act never wait.
	Linger func(record.Kind) time.Duration
	// MaxBatchBytes and MaxBatchRecords limit one append.
	MaxBatchBytes   int
	MaxBatchRecords int
	// MaxQueued and MaxQueuedBytes limit the queue, in calls of Append and in
	// bytes; further appends are refused.
	MaxQueued      int
	MaxQueuedBytes int
	// MaxBudgetWait limits the wait for the budget: an append that would wait
	// longer is refused.
	MaxBudgetWait time.Duration
	// CallTimeout limits one call of the log, in addition to the wait that a
	// read asks for.
	CallTimeout time.Duration
	// AppendTimeout limits a call of Append whose context has no earlier
	// deadline.
	AppendTimeout time.Duration
}

// Client appends to and reads a Log. Appends are sent by goroutines that the
// owner of the client runs in RunAppends. All methods are safe for concurrent
// use.
type Client struct {
	options Options
	now     func() time.Time

	mu      sync.Mutex
	random  *rand.Rand
	budget  *Budget
	breaker CircuitBreaker
	signals HealthSignals
	// hasRead is set once a read was made; only then do the signals count.
	hasRead bool
	// readLimit is the number of records that the next read asks for.
	readLimit int
	queue     queue
	// inFlight holds, by record key, the appends with an attempt in flight or
	// of unknown outcome.
	inFlight map[string]*pendingAppend
	closed   bool
	// wake holds one token whenever an append may have become due.
	wake  chan struct{}
	stats Stats
}

// Stats are the cumulative counts and current sizes of a client.
type Stats struct {
	// Appends counts calls of the log's Append, including retries.
	Appends uint64 `json:"appends"`
	Retries uint64 `json:"retries"`
	Records uint64 `json:"records"`
	Bytes   uint64 `json:"bytes"`
	// Refused counts calls of Append that were refused with verdict NotRun.
	Refused uint64 `json:"refused"`
	// Unknown counts calls of Append that ended with verdict MayHaveRun.
	Unknown uint64 `json:"unknown"`
	// ResolvedByRead counts appends whose answer was lost and whose outcome a
	// read showed.
	ResolvedByRead uint64 `json:"found"`
	Queued         int    `json:"queued"`
	// InFlight counts records with an attempt in flight or of unknown outcome.
	InFlight int `json:"inFlight"`
	// CircuitOpen is true while appends are refused because earlier ones kept
	// failing.
	CircuitOpen bool `json:"circuitOpen"`
}

// New returns a client. The caller must run RunAppends for appends to be sent.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		options:   o,
		now:       o.Now,
		random:    rand.New(rand.NewPCG(o.Seed, 0x10c)),
		budget:    NewBudget(o.Rate, o.Burst),
		breaker:   CircuitBreaker{Threshold: 3, Backoff: Backoff{Initial: time.Second, Max: 15 * time.Second}},
		readLimit: MaxPageRecords,
		signals:   HealthSignals{StartedAt: o.Now()},
		queue:     queue{byCredential: make(map[Credential]*credentialQueue)},
		inFlight:  make(map[string]*pendingAppend),
		wake:      make(chan struct{}, 1),
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

// DefaultLinger returns the default wait of a record for others to share its
// append. No caller waits for the end of a job or a bill, so these records
// wait longest and need few appends.
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

// Stats returns the current counts.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Queued = c.queue.appends
	s.InFlight = len(c.inFlight)
	s.CircuitOpen = c.breaker.Open(c.now())
	return s
}
