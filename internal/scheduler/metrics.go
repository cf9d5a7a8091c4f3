package scheduler

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// Metrics counts what schedulers of one daemon decide and how long each stage
// of a submission takes.
type Metrics struct {
	set      *metrics.Set
	accepted *metrics.Counter
	starts   *metrics.Counter
	lost     *metrics.Counter
	stored   *metrics.Histogram
	started  *metrics.Histogram
	ended    *metrics.Histogram
	advised  *metrics.Histogram
}

// NewMetrics registers the metrics with a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:      set,
		accepted: set.NewCounter("currantwinch_submissions_accepted_total"),
		starts:   set.NewCounter("currantwinch_starts_sent_total"),
		lost:     set.NewCounter("currantwinch_runs_lost_total"),
		stored:   set.NewHistogram("currantwinch_submission_store_seconds"),
		started:  set.NewHistogram("currantwinch_submission_first_start_seconds"),
		ended:    set.NewHistogram("currantwinch_submission_seconds"),
		advised:  set.NewHistogram("currantwinch_advice_seconds"),
	}
}

func (m *Metrics) count(name, label, value string) {
	m.set.GetOrCreateCounter(name + "{" + label + "=\"" + value + "\"}").Inc()
}

func (m *Metrics) refused(reason string) {
	m.count("currantwinch_submissions_refused_total", "reason", reason)
}

func (m *Metrics) finished(status workload.Status, age time.Duration) {
	m.count("currantwinch_submissions_ended_total", "status", string(status))
	m.ended.Update(age.Seconds())
}

func (m *Metrics) runEnded(kind workload.EndKind) {
	m.count("currantwinch_runs_ended_total", "end", kind.String())
}

func (m *Metrics) orderFailed(err error) {
	m.count("currantwinch_orders_failed_total", "reason", string(verdict.ReasonOf(err)))
}
