package scheduler

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// Metrics counts the decisions of a daemon's schedulers and measures the stages
// of a submission.
type Metrics struct {
	set                *metrics.Set
	accepted           *metrics.Counter
	startsSent         *metrics.Counter
	startsWithdrawn    *metrics.Counter
	runsLost           *metrics.Counter
	serversCrashed     *metrics.Counter
	serversGivenUp     *metrics.Counter
	writesRejected     *metrics.Counter
	serverSpeedChanges *metrics.Counter
	copiesStarted      *metrics.Counter
	remoteStarts       *metrics.Counter
	tasksGivenUp       *metrics.Counter
	takenOver          *metrics.Counter
	storeTime          *metrics.Histogram
	firstStartTime     *metrics.Histogram
	completionTime     *metrics.Histogram
	authorizationTime  *metrics.Histogram
	tenants            tenantGauges
	placementPass      *metrics.Histogram
	placementSteps     *metrics.Counter
	placementServers   *metrics.Counter
	placementPlaced    *metrics.Counter
}

// NewMetrics registers the metrics with a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:                set,
		accepted:           set.NewCounter("currantwinch_submissions_accepted_total"),
		startsSent:         set.NewCounter("currantwinch_starts_sent_total"),
		startsWithdrawn:    set.NewCounter("currantwinch_starts_withdrawn_total"),
		runsLost:           set.NewCounter("currantwinch_runs_lost_total"),
		tasksGivenUp:       set.NewCounter("currantwinch_tasks_given_up_total"),
		takenOver:          set.NewCounter("currantwinch_submissions_taken_over_total"),
		serversGivenUp:     set.NewCounter("currantwinch_servers_given_up_total"),
		serversCrashed:     set.NewCounter("currantwinch_servers_crashed_total"),
		writesRejected:     set.NewCounter("currantwinch_writes_rejected_total"),
		serverSpeedChanges: set.NewCounter("currantwinch_server_speed_changes_total"),
		copiesStarted:      set.NewCounter("currantwinch_copies_started_total"),
		remoteStarts:       set.NewCounter("currantwinch_remote_starts_total"),
		storeTime:          set.NewHistogram("currantwinch_submission_store_seconds"),
		firstStartTime:     set.NewHistogram("currantwinch_submission_first_start_seconds"),
		completionTime:     set.NewHistogram("currantwinch_submission_seconds"),
		authorizationTime:  set.NewHistogram("currantwinch_advice_seconds"),
		placementPass:      set.NewHistogram("currantwinch_placement_pass_seconds"),
		placementSteps:     set.NewCounter("currantwinch_placement_steps_examined_total"),
		placementServers:   set.NewCounter("currantwinch_placement_servers_examined_total"),
		placementPlaced:    set.NewCounter("currantwinch_placement_tasks_placed_total"),
	}
}

func (m *Metrics) count(name, label, value string) {
	m.set.GetOrCreateCounter(name + "{" + label + "=\"" + value + "\"}").Inc()
}

func (m *Metrics) submissionRefused(reason string) {
	m.count("currantwinch_submissions_refused_total", "reason", reason)
}

func (m *Metrics) submissionEnded(status workload.Status, age time.Duration) {
	m.count("currantwinch_submissions_ended_total", "status", string(status))
	m.completionTime.Update(age.Seconds())
}

func (m *Metrics) handedOver(reason handoverReason) {
	m.count("currantwinch_submissions_handed_over_total", "why", string(reason))
}

func (m *Metrics) runEnded(kind workload.EndKind) {
	m.count("currantwinch_runs_ended_total", "end", kind.String())
}

func (m *Metrics) copyDecided(result string) {
	m.count("currantwinch_copies_decided_total", "result", result)
}

func (m *Metrics) localityWaitEnded(result string) {
	m.count("currantwinch_locality_waits_total", "result", result)
}

func (m *Metrics) placementPassEnded(end passEnd) {
	m.count("currantwinch_placement_passes_total", "end", string(end))
}

func (m *Metrics) orderFailed(err error) {
	m.count("currantwinch_orders_failed_total", "reason", string(verdict.ReasonOf(err)))
}
