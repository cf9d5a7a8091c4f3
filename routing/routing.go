// Package routing holds the configuration that operators publish for queues:
// which request belongs to which queue, which service runs a queue's tasks, and
// on what terms.
package routing

import (
	"net"
	"slices"
	"strings"
	"time"
)

// PolicyTiming is what a queue's policy service takes to answer.
type PolicyTiming struct {
	// DecisionTime is the fixed time of one answer.
	DecisionTime time.Duration
	// TimePerServer is the further time for each backend server asked about.
	TimePerServer time.Duration
	// PermissionValidity is how long a permission may be used.
	PermissionValidity time.Duration
}

// Queue is a route with the terms of its submissions.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Priority 0 comes first.
	Priority int
	// MaxFailedRuns is how many failed runs a task may have.
	MaxFailedRuns int
	// Stretch times the longest chain of work, plus TargetLatency, is the time
	// within which a submission should be completed.
	Stretch       float64
	TargetLatency time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Policy is nil where every backend server may run the queue's tasks.
	Policy *PolicyTiming
}

// Service is a pool of backend servers.
type Service struct {
	Name string
}

// Configuration is one version of what operators published, whole.
type Configuration struct {
	Version  uint64
	Queues   []Queue
	Services map[string]Service
	// MaxBodyBytes bounds one request's body; 0 means no bound.
	MaxBodyBytes int64
}

// Match returns the queue of a request: the host's queue with the longest
// prefix of path, and what follows the prefix.
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

// ServiceNames lists the services that the configuration names, sorted.
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
