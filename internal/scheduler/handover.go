package scheduler

import (
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/crashloop"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// A shard hands a submission that it cannot run over to a shard that can. One record
// is the moment of change: it replaces the record of the accepted submission, is
// written only while no task has an attempt, and is never taken back. From then on this
// partition starts nothing of the submission, and its owners send the submission to the
// other partition until the owner there has stored it. What is left is a forward, by
// which calls about the submission find it.

// Handover is a submission on its way to another partition.
type Handover struct {
	Submission workload.Submission `json:"submission"`
	Progress   workload.Progress   `json:"progress"`
	// Number counts the handovers of the submission, this one included.
	Number int `json:"number"`
	// From is the partition that hands it over. The Engine sets it, since the Core does
	// not know its partition.
	From int `json:"from"`
	// MaxRun is a run number that no run so far exceeds.
	MaxRun int `json:"maxRun"`
	// Started is set if a task has started.
	Started bool `json:"started"`
}

// departure is a submission that this partition has begun to hand over.
type departure struct {
	job *job
	// record is what is stored of the handover.
	record workload.Handover
	// copies is the number of times that it was sent.
	copies int
}

const (
	// minHandoverDelay is the delay before an unanswered handover is sent again. It
	// doubles with each copy up to maxHandoverDelay.
	minHandoverDelay = 100 * time.Millisecond
	maxHandoverDelay = 2 * time.Second
	// maxDepartures bounds the handovers that are under way at once.
	maxDepartures = 64
)

// statusDeparting keeps the tasks of a submission that is handed over from being placed.
const statusDeparting workload.Status = "departing"

// handoverNumber returns how often the job was handed over before.
func (j *job) handoverNumber() int { return transferNumber(j.sub) }

// inheritedRun is a run number above all that earlier owners, of this partition and of
// those that held the submission before, may have used.
func (j *job) inheritedRun(epoch uint64) int {
	t := j.sub.Transfer
	if t == nil {
		return maxInheritedRun(epoch)
	}
	return t.MaxRun + int(epoch-t.Epoch)*runsPerEpoch
}

// handOver begins to hand a job without attempts over to another partition, as a submission
// of the given service.
func (c *Core) handOver(j *job, to int, service string, reason handoverReason) {
	c.concludeExposures(j)
	d := &departure{job: j, record: workload.Handover{
		Submission: *j.sub, To: to, Number: j.handoverNumber() + 1, MaxRun: j.maxRun(), Started: j.started,
	}}
	if service != j.sub.Service {
		d.record.Submission.Service, d.record.Submission.ConfigVersion = service, c.config.Version
	}
	id := j.sub.ID
	records := []partition.Record{recordOf(keyHandover, id, d.record), tombstone(keyAccepted, id)}
	if j.progressParts > 0 || !j.progress().Empty() {
		records = append(records, c.progressRecords(j)...)
	}
	j.ending = statusDeparting
	c.withdrawPlans(j)
	delete(c.jobs, id)
	c.departures[id] = d
	c.metric.handedOver(reason)
	c.log.Log(events.SubmissionHandedOver, "id", id, "queue", j.sub.Queue, "to", to, "number", d.record.Number, "why", string(reason),
		"service", service, "waited", c.waited(j).Milliseconds())
	c.writeOr(records, func() { c.handoverStored(d) }, func(error) { c.keepDeparture(d) })
}

// handoverStored sends a handover whose record, and with it the job's progress, is in the log.
func (c *Core) handoverStored(d *departure) {
	delete(c.rejectedProgress, d.job)
	c.sendHandover(d)
}

// waited returns for how long nothing of a job has run, as far as that is known.
func (c *Core) waited(j *job) time.Duration {
	if j.stuckSince.IsZero() {
		return 0
	}
	return c.now.Sub(j.stuckSince)
}

// keepDeparture makes a submission this partition's again whose handover the log does
// not accept.
func (c *Core) keepDeparture(d *departure) {
	j := d.job
	delete(c.departures, j.sub.ID)
	c.jobs[j.sub.ID] = j
	j.ending, j.handoverRejected = "", true
	c.admit(j)
}

// sendHandover sends a stored handover to the owner of the other partition.
func (c *Core) sendHandover(d *departure) {
	delay := time.Duration(0)
	if d.copies > 0 {
		delay = min(minHandoverDelay<<min(d.copies-1, 10), maxHandoverDelay)
	}
	c.emit(SendHandover{To: d.record.To, Delay: delay, Handover: Handover{
		Submission: d.record.Submission, Progress: d.job.progress(), Number: d.record.Number, MaxRun: d.record.MaxRun, Started: d.record.Started,
	}})
	d.copies++
}

// HandoverCompleted handles the outcome of a handover: a nil error means that the other
// partition holds the submission.
func (c *Core) HandoverCompleted(id string, number int, err error) {
	d := c.departures[id]
	if d == nil || d.record.Number != number {
		return
	}
	if err != nil {
		if d.copies == 1 {
			c.log.Log(events.HandoverDelayed, "id", id, "to", d.record.To, "number", number, "error", err.Error())
		}
		c.sendHandover(d)
		return
	}
	delete(c.departures, id)
	f := workload.Forward{To: d.record.To, Number: number, At: c.wall, Address: d.record.Submission.Address}
	c.forwards[id] = f
	records := []partition.Record{recordOf(keyForward, id, f), tombstone(keyHandover, id)}
	if d.job.progressParts > 0 {
		records = append(records, d.job.progressTombstones(0)...)
	}
	c.unstoredForwards[id] = true
	c.write(records, func() { delete(c.unstoredForwards, id) })
}

// forwarded returns the reply to a call about a submission that another partition holds
// or is about to hold.
func (c *Core) forwarded(id string) (Reply, bool) {
	if f, ok := c.forwards[id]; ok {
		return Reply{Outcome: OutcomeForwarded, Partition: f.To, Number: f.Number, Delivered: true}, true
	}
	if d := c.departures[id]; d != nil {
		return Reply{Outcome: OutcomeForwarded, Partition: d.record.To, Number: d.record.Number, Status: d.job.status()}, true
	}
	return Reply{}, false
}

// concludeExposures counts the runs whose servers have been silent for a lease as ended
// by a crash. Nobody will look for these servers on the submission's behalf any more.
func (c *Core) concludeExposures(j *job) {
	for index, kept := range j.saved {
		if slices.ContainsFunc(kept.Tasks, func(m workload.TaskProgress) bool { return m.Exposure != nil }) {
			c.build(j, index)
		}
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for i := range st.tasks {
				c.concludeExposure(&st.tasks[i])
			}
		}
	}
}

func (c *Core) concludeExposure(t *task) {
	e := t.exposure
	if e == nil {
		return
	}
	t.exposure = nil
	c.exposed[e.Server] = slices.DeleteFunc(c.exposed[e.Server], func(other *task) bool { return other == t })
	silentSince := c.now.Add(-msDuration(max(c.wall-e.SilentAtMS, 0)))
	run := crashloop.Run{Age: msDuration(e.AgeMS), OnTrial: e.Trial}
	kind := crashloop.Attribute([]crashloop.Run{run}, c.hosts.Outage(e.Host, silentSince))[0]
	t.history().Add(crashloop.Crash{Run: e.Run, Host: e.Host, Kind: kind}, run.Age)
}

// loadHandover restores a handover that an earlier owner has stored and that may not be
// complete.
func (c *Core) loadHandover(value []byte) error {
	var h workload.Handover
	if err := workload.Decode(value, &h); err != nil {
		return err
	}
	if err := h.Submission.Validate(); err != nil {
		return err
	}
	j := newJob(&h.Submission, c.now)
	j.stored, j.started, j.ending, j.recordBytes = true, h.Started, statusDeparting, len(value)
	c.departures[h.Submission.ID] = &departure{job: j, record: h}
	return nil
}

func (c *Core) loadForward(id string, value []byte) error {
	var f workload.Forward
	if err := workload.Decode(value, &f); err != nil {
		return err
	}
	c.forwards[id] = f
	return nil
}

// ResumeHandovers sends the handovers, and the transfers of caps, that earlier owners have
// stored. The Engine calls it once, after the claim.
func (c *Core) ResumeHandovers() {
	for _, d := range c.departures {
		c.sendHandover(d)
	}
	c.resumeCaps()
}
