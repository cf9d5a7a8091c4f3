package policybench

import "time"

// fifo is the baseline. It serves a trace from one queue in order of arrival,
// round robin over the backend servers that have a free slot. It sees the state of
// the whole cell without delay, has no limits and refuses nothing.
func fifo(trace []arrival, end time.Duration) result {
	e := newEngine()
	var r result
	var queue []*outcome
	free := make([]int, backends)
	for i := range free {
		free[i] = slotsPerBackend
	}
	total, next := cellSlots, 0
	var startQueued func()
	startQueued = func() {
		for len(queue) > 0 && total > 0 {
			for free[next] == 0 {
				next = (next + 1) % backends
			}
			b := next
			next = (next + 1) % backends
			s := queue[0]
			queue = queue[1:]
			free[b]--
			total--
			s.started = true
			path := oneWay(s.region, regionOfBackend(b))
			s.remote = s.region != regionOfBackend(b)
			if s.remote {
				r.crossRegionBodyBytes += requestBytes + answerBytes
			}
			s.wait = e.now.Sub(epoch) - s.at + path
			e.after(path+s.runTime+path, func() {
				s.done = true
				s.responseTime = e.now.Sub(epoch) - s.at
				free[b]++
				total++
				startQueued()
			})
		}
	}
	for _, a := range trace {
		s := &outcome{arrival: a}
		r.outcomes = append(r.outcomes, s)
		e.at(epoch.Add(a.at), func() {
			queue = append(queue, s)
			startQueued()
		})
	}
	e.run(epoch.Add(end))
	return r
}

// One-way network latencies within a region and between regions.
const (
	oneWayLocal  = 1500 * time.Microsecond
	oneWayRemote = 12 * time.Millisecond
)

func oneWay(a, b int) time.Duration {
	if a == b {
		return oneWayLocal
	}
	return oneWayRemote
}

func regionOfBackend(b int) int { return b % regions }
