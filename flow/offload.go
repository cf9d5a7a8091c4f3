package flow

const (
	// offloadWeight is the weight of one sample in the moving average of
	// congestion.
	offloadWeight = 0.1
	// offloadShare is the share of samples with congestion from which calls are
	// offloaded. Short bursts stay below it.
	offloadShare = 0.5
	// resumeFraction: calls are sent directly again once their rate is below
	// this fraction of the rate at which congestion set in.
	resumeFraction = 0.5
)

// Offload decides when calls should take a way that uses less of the sender's own
// link, though it takes longer: from lasting congestion until the rate of calls
// is well below the one that caused it. Observe must be called at regular
// intervals.
type Offload struct {
	congestion, rate float64
	onset            float64
	active           bool
}

// Observe records whether the sender is congested and how many calls it has sent
// since the last observation.
func (o *Offload) Observe(congested bool, sent int) {
	sample := 0.0
	if congested {
		sample = 1
	}
	o.congestion += offloadWeight * (sample - o.congestion)
	o.rate += offloadWeight * (float64(sent) - o.rate)
	switch {
	case !o.active && o.congestion > offloadShare:
		o.active, o.onset = true, o.rate
	case o.active && o.congestion < offloadShare && o.rate < resumeFraction*o.onset:
		o.active = false
	}
}

// Active reports whether calls should be offloaded.
func (o *Offload) Active() bool { return o.active }
