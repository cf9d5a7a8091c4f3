package placer

import "github.com/VictoriaMetrics/metrics"

// placerMetrics holds the metrics of placement.
type placerMetrics struct {
	decisions            *metrics.Counter
	insufficientCapacity *metrics.Counter
	accepted             *metrics.Counter
	refused              *metrics.Counter
	starts               *metrics.Counter
	workerCalls          *metrics.Counter
	workerErrors         *metrics.Counter
	lost                 *metrics.Counter
	preempted            *metrics.Counter
	done                 *metrics.Counter
	waitSeconds          *metrics.Histogram
	decideSeconds        *metrics.Histogram
}

func newMetrics(set *metrics.Set) *placerMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &placerMetrics{
		decisions:            set.NewCounter("currantwinch_placement_decisions_total"),
		insufficientCapacity: set.NewCounter("currantwinch_placement_no_room_total"),
		accepted:             set.NewCounter("currantwinch_placement_accepted_total"),
		refused:              set.NewCounter("currantwinch_placement_refused_total"),
		starts:               set.NewCounter("currantwinch_placement_starts_total"),
		workerCalls:          set.NewCounter("currantwinch_placement_worker_calls_total"),
		workerErrors:         set.NewCounter("currantwinch_placement_worker_errors_total"),
		lost:                 set.NewCounter("currantwinch_placement_lost_attempts_total"),
		preempted:            set.NewCounter("currantwinch_placement_preempted_attempts_total"),
		done:                 set.NewCounter("currantwinch_placement_jobs_done_total"),
		waitSeconds:          set.NewHistogram("currantwinch_placement_wait_seconds"),
		decideSeconds:        set.NewHistogram("currantwinch_placement_decision_seconds"),
	}
}
