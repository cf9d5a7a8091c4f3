// Package estimate predicts the run time of requests from measured run times,
// and classifies requests as short or long. The gateway calls it for every
// request: Predict before admission, Observe after the request has ended. The
// run time that a team declares is used only until enough requests have been
// measured. Memory is bounded by Options.MaxKeys. Old measurements decay, so
// that predictions follow a change of the workload.
//
// An Estimator is not safe for concurrent use.
package estimate

import (
	"container/list"
	"time"
)

// Class is a request's run time relative to the boundary between short and long
// requests.
type Class uint8

// Classes of requests.
const (
	Short Class = iota
	Long
)

// String returns "short" or "long".
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// Source is the basis of a prediction.
type Source uint8

// Sources of predictions, from the weakest to the strongest.
const (
	// SourceDefault is for kinds that are neither declared nor measured.
	SourceDefault Source = iota
	// SourceDeclared is the team's declaration.
	SourceDeclared
	// SourceKind is measurements of all callers of the kind.
	SourceKind
	// SourceCaller is measurements of this caller.
	SourceCaller
)

// Key identifies a caller of one kind of request.
type Key struct {
	Service string
	Kind    string
	Caller  string
}

// Prediction is the expected run time of a request.
type Prediction struct {
	P50 time.Duration
	P95 time.Duration
	// Mean is the average run time, including outliers.
	Mean    time.Duration
	Class   Class
	Source  Source
	Samples int
}

// Options configures an Estimator. A zero field takes its default.
type Options struct {
	// MaxKeys bounds the number of callers with measurements; the least recently
	// observed one is evicted first.
	MaxKeys int
	// MinSamples is the number of measurements from which a prediction is based
	// on them.
	MinSamples int
	// Boundary is the initial run time that separates short from long requests.
	// It applies until the measurements fall into two groups. The learned
	// boundary stays within a factor of 8 of it.
	Boundary time.Duration
	// Default is the run time predicted without declaration or measurements.
	Default time.Duration
}

const (
	defaultMaxKeys    = 4096
	defaultMinSamples = 8
	defaultBoundary   = 100 * time.Millisecond
	defaultRunTime    = 500 * time.Millisecond
	// maxUnconfirmedCaller and maxUnconfirmedKind are the number of consecutive
	// predictions without a measurement after which measurements decay.
	maxUnconfirmedCaller = 64
	maxUnconfirmedKind   = 256
	// boundaryInterval is the interval at which the boundary between the classes
	// is recalculated.
	boundaryInterval = time.Second
)

func (o *Options) setDefaults() {
	if o.MaxKeys <= 0 {
		o.MaxKeys = defaultMaxKeys
	}
	if o.MinSamples <= 0 {
		o.MinSamples = defaultMinSamples
	}
	if o.Boundary <= 0 {
		o.Boundary = defaultBoundary
	}
	if o.Default <= 0 {
		o.Default = defaultRunTime
	}
}

// Estimator predicts run times. Use New to create one.
type Estimator struct {
	options Options
	// callers indexes the elements of lru.
	callers map[Key]*list.Element
	// lru holds the callers, the most recently observed first.
	lru             *list.List
	kinds           map[kindKey]*kind
	boundary        time.Duration
	boundaryLearned time.Time
}

type kindKey struct{ service, kind string }

// kind is the state of one kind of request, for all callers.
type kind struct {
	declared     time.Duration
	measured     histogram
	contributors contributors
	unconfirmed  int
}

// caller is the state of one caller of one kind.
type caller struct {
	key      Key
	measured histogram
	// unconfirmed counts predictions since the last measurement.
	unconfirmed int
}

// New returns an empty Estimator.
func New(options Options) *Estimator {
	options.setDefaults()
	return &Estimator{
		options:  options,
		callers:  make(map[Key]*list.Element),
		lru:      list.New(),
		kinds:    make(map[kindKey]*kind),
		boundary: options.Boundary,
	}
}

// Declare sets the declared run time of a kind. Zero removes the declaration.
func (e *Estimator) Declare(service, kindName string, runTime time.Duration) {
	e.kindOf(kindKey{service, kindName}).declared = runTime
}

// Forget removes all state of a service that is no longer published.
func (e *Estimator) Forget(service string) {
	for k := range e.kinds {
		if k.service == service {
			delete(e.kinds, k)
		}
	}
	for k, element := range e.callers {
		if k.Service == service {
			e.lru.Remove(element)
			delete(e.callers, k)
		}
	}
}

// Observe records the measured run time of a completed request.
func (e *Estimator) Observe(key Key, runTime time.Duration, now time.Time) {
	c := e.callerOf(key)
	c.measured.add(runTime)
	c.unconfirmed = 0
	k := e.kindOf(kindKey{key.Service, key.Kind})
	k.unconfirmed = 0
	if k.contributors.admit(key.Caller) || k.measured.samples() < e.options.MinSamples {
		k.measured.add(runTime)
	}
	if now.Sub(e.boundaryLearned) >= boundaryInterval {
		e.learnBoundary()
		e.boundaryLearned = now
	}
}

// Predict returns the expected run time of a request: from the caller's own
// measurements if there are enough, else from those of the kind, else from the
// declaration, else from the default. Measurements decay while predictions are
// requested but no request is measured. Otherwise requests that are refused for
// their predicted run time would never be tried again.
func (e *Estimator) Predict(key Key) Prediction {
	if element, ok := e.callers[key]; ok {
		c := element.Value.(*caller)
		countUnconfirmed(&c.measured, &c.unconfirmed, maxUnconfirmedCaller)
		if c.measured.samples() >= e.options.MinSamples {
			return e.fromHistogram(&c.measured, SourceCaller)
		}
	}
	k, ok := e.kinds[kindKey{key.Service, key.Kind}]
	if ok {
		countUnconfirmed(&k.measured, &k.unconfirmed, maxUnconfirmedKind)
	}
	if ok && k.measured.samples() >= e.options.MinSamples {
		return e.fromHistogram(&k.measured, SourceKind)
	}
	if ok && k.declared > 0 {
		return e.fromRunTime(k.declared, SourceDeclared)
	}
	return e.fromRunTime(e.options.Default, SourceDefault)
}

// countUnconfirmed counts a prediction, and decays the measurements after limit
// predictions without a new measurement.
func countUnconfirmed(h *histogram, unconfirmed *int, limit int) {
	*unconfirmed++
	if *unconfirmed >= limit {
		*unconfirmed = 0
		h.decay()
	}
}

// Boundary returns the run time above which a request is classified as long.
func (e *Estimator) Boundary() time.Duration { return e.boundary }

// Keys returns the number of callers with measurements.
func (e *Estimator) Keys() int { return len(e.callers) }

func (e *Estimator) fromHistogram(h *histogram, source Source) Prediction {
	return Prediction{
		P50:     h.quantile(0.5),
		P95:     h.quantile(0.95),
		Mean:    h.mean(),
		Class:   e.classOf(h.quantile(classQuantile)),
		Source:  source,
		Samples: h.samples(),
	}
}

func (e *Estimator) fromRunTime(runTime time.Duration, source Source) Prediction {
	return Prediction{P50: runTime, P95: runTime, Mean: runTime, Class: e.classOf(runTime), Source: source}
}

func (e *Estimator) classOf(runTime time.Duration) Class {
	if runTime > e.boundary {
		return Long
	}
	return Short
}

func (e *Estimator) kindOf(key kindKey) *kind {
	k, ok := e.kinds[key]
	if !ok {
		k = &kind{}
		e.kinds[key] = k
	}
	return k
}

func (e *Estimator) callerOf(key Key) *caller {
	if element, ok := e.callers[key]; ok {
		e.lru.MoveToFront(element)
		return element.Value.(*caller)
	}
	if len(e.callers) >= e.options.MaxKeys {
		return e.replaceOldest(key)
	}
	c := &caller{key: key}
	e.callers[key] = e.lru.PushFront(c)
	return c
}

func (e *Estimator) replaceOldest(key Key) *caller {
	element := e.lru.Back()
	c := element.Value.(*caller)
	delete(e.callers, c.key)
	*c = caller{key: key}
	e.lru.MoveToFront(element)
	e.callers[key] = element
	return c
}
