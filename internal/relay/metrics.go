package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Values of the label way: how a call reached the store.
const (
	wayDirect  = "direct"
	wayRelayed = "relayed"
)

// meter counts the calls to the store by way and outcome.
type meter struct {
	answered, unanswered map[string]*metrics.Counter
	// latency measures the answers that did not have to wait for records.
	latency map[string]*metrics.Histogram
}

func newMeter(set *metrics.Set, suspected func() bool) *meter {
	m := &meter{
		answered: make(map[string]*metrics.Counter), unanswered: make(map[string]*metrics.Counter),
		latency: make(map[string]*metrics.Histogram),
	}
	for _, way := range []string{wayDirect, wayRelayed} {
		m.answered[way] = set.NewCounter(fmt.Sprintf(`currantwinch_store_calls_total{way=%q,outcome="answered"}`, way))
		m.unanswered[way] = set.NewCounter(fmt.Sprintf(`currantwinch_store_calls_total{way=%q,outcome="unanswered"}`, way))
		m.latency[way] = set.NewHistogram(fmt.Sprintf(`currantwinch_store_call_seconds{way=%q}`, way))
	}
	set.NewGauge("currantwinch_store_suspected", func() float64 {
		if suspected() {
			return 1
		}
		return 0
	})
	return m
}

// recordCall records the outcome of one call. It counts a refusal because of load
// as unanswered.
func (m *meter) recordCall(way string, err error, took, wait time.Duration) {
	if !isStoreAnswer(err) {
		m.unanswered[way].Inc()
		return
	}
	m.answered[way].Inc()
	if wait == 0 {
		m.latency[way].Update(took.Seconds())
	}
}
