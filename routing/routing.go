// Package routing is the configuration that operators publish for queues: which
// submissions belong to which queue, which service runs a queue's tasks, and with
// which limits. The scheduler and the components that receive submissions read it. A
// published Configuration is never changed; a new version replaces it.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// Queue is a route, with the service and the limits of its submissions.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Priority 0 is the highest.
	Priority int
	// MaxFailedRuns bounds the failed runs of a task; 0 or less means no bound.
	MaxFailedRuns int
	// A submission should complete within Stretch times the length of its
	// critical path, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Policy is nil if every backend server may run the queue's tasks.
	Policy *workload.PolicyTiming
	// Public queues take calls without a key.
	Public bool
}

// Service is a pool of backend servers.
type Service struct {
	Name string
}

// Configuration is one version of the complete published configuration.
type Configuration struct {
	Version  uint64
	Queues   []Queue
	Services map[string]Service
	// MaxBodyBytes bounds one request's body; 0 means no bound.
	MaxBodyBytes int64
	// Tenancy is nil if the deployment has no tenants. Calls need no key then.
	Tenancy *Tenancy
}

// Match returns the queue of a request, which is the host's queue with the longest
// prefix of path, and the rest of path after the prefix.
func (c *Configuration) Match(host, path string) (q *Queue, rest string, ok bool) {
	host = hostOnly(host)
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if !strings.EqualFold(candidate.Host, host) || !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		if q == nil || len(candidate.PathPrefix) > len(q.PathPrefix) {
			q = candidate
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.PathPrefix):], true
}

func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// Queue returns a queue by name.
func (c *Configuration) Queue(name string) (*Queue, bool) {
	if c == nil {
		return nil, false
	}
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

// ServiceNames returns the sorted names of all services and of the services of all
// queues.
func (c *Configuration) ServiceNames() []string {
	if c == nil {
		return nil
	}
	names := make([]string, 0, len(c.Services))
	for name := range c.Services {
		names = append(names, name)
	}
	for i := range c.Queues {
		names = append(names, c.Queues[i].Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
