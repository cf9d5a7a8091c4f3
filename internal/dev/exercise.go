package dev

import (
	"context"
	"fmt"
	"io/fs"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/examples"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/standin/cell"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Timeouts of the exercise's waits.
const (
	inForceTimeout = 6 * time.Second
	jobsTimeout    = 25 * time.Second
	ownersTimeout  = 15 * time.Second
	pollInterval   = 100 * time.Millisecond
)

// exercise sends the cell what operators and callers send, and checks the results.
type exercise struct {
	ctx          context.Context
	options      Options
	cell         *cell.Cell
	httpClient   *http.Client
	failedChecks int
}

func newExercise(ctx context.Context, o Options, c *cell.Cell) *exercise {
	t := &http.Transport{MaxIdleConnsPerHost: 64}
	return &exercise{ctx: ctx, options: o, cell: c, httpClient: &http.Client{Transport: t}}
}

func (x *exercise) heading(text string) { fmt.Fprintf(x.options.Out, "\n== %s\n", text) }

func (x *exercise) printf(format string, args ...any) {
	fmt.Fprintf(x.options.Out, "   "+format+"\n", args...)
}

// check prints the result of a check and counts it if it failed.
func (x *exercise) check(passed bool, format string, args ...any) {
	mark := "ok  "
	if !passed {
		mark = "FAIL"
		x.failedChecks++
	}
	fmt.Fprintf(x.options.Out, "   %s "+format+"\n", append([]any{mark}, args...)...)
}

func credentialOf(team string) string { return team + "/dev:secret" }

// operatorClient returns a client of all daemons with the team's credential.
func (x *exercise) operatorClient(team string) *operatorapi.Client {
	return &operatorapi.Client{Addresses: x.cell.OperatorAddresses(), Scheme: "http", Credential: credentialOf(team), HTTP: x.httpClient}
}

// startDaemons starts all daemons concurrently and waits until every share has an
// owner.
func (x *exercise) startDaemons() error {
	x.heading(fmt.Sprintf("nine daemons in three regions, %d workers, %d backend servers", workers, backends))
	start := time.Now()
	errs := make([]error, daemons)
	var wg sync.WaitGroup
	for i := range daemons {
		wg.Go(func() { errs[i] = x.cell.StartDaemon(x.ctx, i) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	x.printf("all daemons ready after %v", elapsed(start))
	x.waitForOwners(start)
	return nil
}

// waitForOwners waits until every share has an owner.
func (x *exercise) waitForOwners(start time.Time) {
	var owned, all int
	done := x.poll(ownersTimeout, func() bool {
		s, err := x.operatorClient("dispatch").Status(x.ctx)
		if err != nil {
			return false
		}
		owned, all = 0, len(s.Shares)
		for _, share := range s.Shares {
			if share.Owner != "" {
				owned++
			}
		}
		return all > 0 && owned == all
	})
	x.check(done, "%d of %d shares have an owner after %v", owned, all, elapsed(start))
}

func (x *exercise) poll(limit time.Duration, done func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && x.ctx.Err() == nil {
		if done() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

func elapsed(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }

func (x *exercise) run() {
	x.publishDocuments()
	x.raceOperators()
	x.sendRequests()
	x.retryBilled()
	x.checkJobs()
	x.loadPeak()
	x.stopUnderLoad()
}

func (x *exercise) publishDocuments() {
	x.heading("publish the example documents")
	files, err := fs.Glob(examples.Documents, "consortium/documents/*.jsonc")
	x.check(err == nil && len(files) > 0, "%d documents", len(files))
	for _, file := range files {
		if err := x.publish(file); err != nil {
			x.check(false, "%s: %v", file, err)
		}
	}
}

func (x *exercise) publish(file string) error {
	text, err := examples.Documents.ReadFile(file)
	if err != nil {
		return err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return errors.Wrap(err, file)
	}
	client := x.operatorClient(doc.Team)
	start := time.Now()
	accepted, err := client.Publish(x.ctx, doc.Service, 0, uuid.NewString(), text)
	if err != nil {
		return err
	}
	latency := elapsed(start)
	inForce, err := client.InForce(x.ctx, accepted.Offset, inForceTimeout)
	if err != nil {
		return err
	}
	x.check(inForce.All, "%s of team %s: revision %d accepted at offset %d after %v, in force on %d daemons after %v",
		doc.Service, doc.Team, accepted.Revision, accepted.Offset, latency, len(inForce.Daemons), elapsed(start))
	return nil
}

// raceOperators publishes two changes to the same revision concurrently. One is
// accepted; the other conflicts, and its error names the accepted one.
func (x *exercise) raceOperators() {
	x.heading("two operators race")
	client := x.operatorClient("dispatch")
	current, err := client.Document(x.ctx, "workshop-desk")
	if err != nil {
		x.check(false, "read the document: %v", err)
		return
	}
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		text := strings.Replace(current.Text, `"callerRate": 200`, fmt.Sprintf(`"callerRate": %d`, 2000+i), 1)
		wg.Go(func() {
			_, errs[i] = client.Publish(x.ctx, current.Service, current.Revision, uuid.NewString(), []byte(text))
		})
	}
	wg.Wait()
	won, conflict := 0, ""
	for _, err := range errs {
		var failure *operatorapi.Error
		switch {
		case err == nil:
			won++
		case errors.As(err, &failure) && failure.CurrentPublication != nil:
			conflict = fmt.Sprintf("revision %d by %s at offset %d", failure.CurrentPublication.Revision, failure.CurrentPublication.Author, failure.CurrentPublication.Offset)
		}
	}
	x.check(won == 1 && conflict != "", "%d accepted; the other conflicts with %s, which is in force", won, conflict)
}

// checkJobs prints where the tasks of the example jobs run and waits until the
// batch job and the gang have ended.
func (x *exercise) checkJobs() {
	x.heading("jobs on the workers")
	for _, job := range []struct{ id, team string }{
		{"workshop-desk/index@1", "dispatch"}, {"parts-ledger/reconcile@1", "stores"}, {"wear-model/train@1", "analysis"},
	} {
		x.showJob(job.id, job.team)
	}
	ended := x.poll(jobsTimeout, func() bool { return x.jobSucceeded("parts-ledger/reconcile@1") && x.jobSucceeded("wear-model/train@1") })
	x.check(ended, "the batch job and the gang ended")
}

func (x *exercise) jobSucceeded(jobID string) bool {
	for i := range daemons {
		if d := x.cell.Daemon(i); d != nil {
			job, ok := d.View().Job(jobID)
			return ok && job.Done != nil && job.Done.Failed == 0
		}
	}
	return false
}

// stopUnderLoad stops one daemon gracefully under load and checks that no request
// is interrupted.
func (x *exercise) stopUnderLoad() {
	x.heading("graceful stop of a daemon under load")
	l := x.newLoad(stopLoad)
	l.start()
	time.Sleep(stopDelay)
	start := time.Now()
	ctx, cancel := context.WithTimeout(x.ctx, stopTimeout)
	err := x.cell.StopDaemon(ctx, stoppedDaemon)
	cancel()
	duration := elapsed(start)
	l.wait()
	x.check(err == nil, "graceful stop took %v: %v", duration, err)
	x.check(l.interrupted() == 0, "%d requests sent, %d interrupted, %d refused as not run", l.sent(), l.interrupted(), l.refused())
}

func (x *exercise) stopDaemons() {
	x.heading("stop")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	start := time.Now()
	var wg sync.WaitGroup
	errs := make([]error, daemons)
	for i := range daemons {
		if x.cell.Daemon(i) != nil {
			wg.Go(func() { errs[i] = x.cell.StopDaemon(ctx, i) })
		}
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			x.check(false, "graceful stop: %v", err)
		}
	}
	x.printf("all daemons stopped after %v", elapsed(start))
}

// checkInvariants checks from the records of the workers and backend servers that
// no capacity was exceeded and nothing ran twice.
func (x *exercise) checkInvariants() {
	x.heading("records of the workers and backend servers")
	violations := x.cell.Workers.Violations()
	for _, b := range violations {
		x.printf("%v %s", b.At.Format(time.TimeOnly), b.Description)
	}
	x.check(len(violations) == 0, "no worker exceeded its capacity, no task ran in two places")
	overSlots, duplicates, runs := 0, 0, 0
	keys := make(map[string]int)
	for _, b := range x.cell.Backends {
		for _, r := range b.Runs() {
			runs++
			if r.ExceedsSlots {
				overSlots++
			}
			if r.Key != "" {
				keys[r.Key]++
			}
		}
	}
	for _, n := range keys {
		if n > 1 {
			duplicates++
		}
	}
	x.check(overSlots == 0, "%d runs, %d over a backend server's slots", runs, overSlots)
	x.check(duplicates == 0, "%d keys, %d ran twice", len(keys), duplicates)
}

// showJob waits until all tasks of a job are placed and prints their workers.
func (x *exercise) showJob(id, team string) {
	var text string
	placed := x.poll(jobsTimeout, func() bool {
		explanation, err := x.operatorClient(team).Explain(x.ctx, id)
		if err != nil {
			text = err.Error()
			return false
		}
		assigned := make([]string, 0, len(explanation.Tasks))
		for _, t := range explanation.Tasks {
			if t.Worker != "" {
				assigned = append(assigned, t.Worker)
			}
		}
		text = fmt.Sprintf("%d of %d tasks on %s", len(assigned), len(explanation.Tasks), strings.Join(assigned, " "))
		return len(assigned) > 0 && len(assigned) == len(explanation.Tasks)
	})
	x.check(placed, "%s: %s", id, text)
}
