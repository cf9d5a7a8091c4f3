package statelog

import "github.com/currantwinch/currantwinch/logclient"

// registerMetrics registers the store's gauges with the daemon's metrics.
func (s *Store) registerMetrics() {
	set := s.options.Metrics
	if set == nil {
		return
	}
	clientGauge := func(name string, read func(logclient.Stats) float64) {
		set.NewGauge(name, func() float64 { return read(s.client.Stats()) })
	}
	clientGauge("currantwinch_log_appends_total", func(c logclient.Stats) float64 { return float64(c.Appends) })
	clientGauge("currantwinch_log_append_retries_total", func(c logclient.Stats) float64 { return float64(c.Retries) })
	clientGauge("currantwinch_log_records_appended_total", func(c logclient.Stats) float64 { return float64(c.Records) })
	clientGauge("currantwinch_log_appended_bytes_total", func(c logclient.Stats) float64 { return float64(c.Bytes) })
	clientGauge("currantwinch_log_appends_refused_total", func(c logclient.Stats) float64 { return float64(c.Refused) })
	clientGauge("currantwinch_log_appends_unknown_total", func(c logclient.Stats) float64 { return float64(c.Unknown) })
	clientGauge("currantwinch_log_appends_queued", func(c logclient.Stats) float64 { return float64(c.Queued) })
	set.NewGauge("currantwinch_log_health", func() float64 { return float64(s.Health()) })
	set.NewGauge("currantwinch_state_offset", func() float64 { return float64(s.view.Load().Offset()) })
	set.NewGauge("currantwinch_state_documents", func() float64 { return float64(s.view.Load().Counts().Documents) })
	set.NewGauge("currantwinch_state_jobs_open", func() float64 { return float64(s.view.Load().Counts().OpenJobs) })
	set.NewGauge("currantwinch_state_snapshot_offset", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.snapshots.newest.Offset)
	})
}
