package scheduler

import (
	"fmt"
	"testing"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// BenchmarkConfigure applies a version with 40 routes to an owner of 1,000 submissions.
func BenchmarkConfigure(b *testing.B) {
	h := newHarness(&testing.T{}, 1)
	config := &routing.Configuration{Version: 1, Services: h.config.Services}
	for i := range 40 {
		config.Queues = append(config.Queues, routing.Queue{Name: fmt.Sprintf("r%d", i), Host: "h.example", PathPrefix: fmt.Sprintf("/q%d/", i), Service: testService, MaxFailedRuns: 2})
	}
	h.do(func(c *Core) { c.Configure(config) })
	for i := range 1000 {
		q := &config.Queues[i%len(config.Queues)]
		settings := q.Settings()
		sub := &workload.Submission{
			ID: fmt.Sprintf("%016x", i+1), Queue: q.Name, Service: testService, Steps: []workload.Step{oneTask(64000)}, Accepted: h.wall,
			Address: q.Address(), Settings: &settings, ConfigVersion: 1,
		}
		h.do(func(c *Core) { c.Submit(sub, 0, func(Reply) {}) })
	}
	for i := 0; b.Loop(); i++ {
		next := *config
		next.Version = uint64(i + 2)
		h.core.Configure(&next)
	}
}
