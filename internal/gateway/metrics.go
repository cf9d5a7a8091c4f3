package gateway

import "github.com/VictoriaMetrics/metrics"

// requestMetrics holds the metrics of callers' requests.
type requestMetrics struct {
	ran, notRun, mayHaveRun  *metrics.Counter
	retries                  *metrics.Counter
	billsWritten             *metrics.Counter
	waitSeconds, pathSeconds *metrics.Histogram
}

func newRequestMetrics(set *metrics.Set) *requestMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &requestMetrics{
		ran:          set.GetOrCreateCounter(`currantwinch_requests_total{verdict="ran"}`),
		notRun:       set.GetOrCreateCounter(`currantwinch_requests_total{verdict="not_run"}`),
		mayHaveRun:   set.GetOrCreateCounter(`currantwinch_requests_total{verdict="may_have_run"}`),
		retries:      set.GetOrCreateCounter(`currantwinch_request_retries_total`),
		billsWritten: set.GetOrCreateCounter(`currantwinch_bills_written_total`),
		waitSeconds:  set.GetOrCreateHistogram(`currantwinch_request_wait_seconds`),
		pathSeconds:  set.GetOrCreateHistogram(`currantwinch_request_seconds`),
	}
}
