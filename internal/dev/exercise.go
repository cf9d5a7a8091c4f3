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

// Bounds of the exercise's waits.
const (
	inForceWait = 6 * time.Second
	jobsWait    = 25 * time.Second
	ownersWait  = 15 * time.Second
	pollStep    = 100 * time.Millisecond
)

// exercise drives the cell as operators and callers do and checks what it sees.
type exercise struct {
	ctx    context.Context
	o      Options
	cell   *cell.Cell
	client *http.Client
	failed int
}

func newExercise(ctx context.Context, o Options, c *cell.Cell) *exercise {
	t := &http.Transport{MaxIdleConnsPerHost: 64}
	return &exercise{ctx: ctx, o: o, cell: c, client: &http.Client{Transport: t}}
}

func (x *exercise) title(text string) { fmt.Fprintf(x.o.Out, "\n== %s\n", text) }

func (x *exercise) say(format string, args ...any) {
	fmt.Fprintf(x.o.Out, "   "+format+"\n", args...)
}

// check prints a promise and counts it if it did not hold.
func (x *exercise) check(held bool, format string, args ...any) {
	mark := "ok  "
	if !held {
		mark = "FAIL"
		x.failed++
	}
	fmt.Fprintf(x.o.Out, "   %s "+format+"\n", append([]any{mark}, args...)...)
}

func credentialOf(team string) string { return team + "/dev:secret" }

// operators returns a client of all daemons in a team's name.
func (x *exercise) operators(team string) *operatorapi.Client {
	return &operatorapi.Client{Addresses: x.cell.OperatorAddresses(), Scheme: "http", Credential: credentialOf(team), HTTP: x.client}
}

// startDaemons starts all daemons at once.
func (x *exercise) startDaemons() error {
	x.title(fmt.Sprintf("nine daemons in three regions, %d workers, %d backend servers", workers, backends))
	began := time.Now()
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
	x.say("all serve after %v", since(began))
	x.waitForOwners(began)
	return nil
}

// waitForOwners waits until every share has an owner.
func (x *exercise) waitForOwners(began time.Time) {
	var owned, all int
	done := x.poll(ownersWait, func() bool {
		s, err := x.operators("dispatch").Status(x.ctx)
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
	x.check(done, "%d of %d shares have an owner after %v", owned, all, since(began))
}

func (x *exercise) poll(limit time.Duration, done func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && x.ctx.Err() == nil {
		if done() {
			return true
		}
		time.Sleep(pollStep)
	}
	return false
}

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }

func (x *exercise) run() {
	x.publishDocuments()
	x.raceOperators()
	x.sendRequests()
	x.repeatBilled()
	x.watchJobs()
	x.crest()
	x.leave()
}

func (x *exercise) publishDocuments() {
	x.title("publish the example documents")
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
	client := x.operators(doc.Team)
	began := time.Now()
	accepted, err := client.Publish(x.ctx, doc.Service, 0, uuid.NewString(), text)
	if err != nil {
		return err
	}
	took := since(began)
	f, err := client.InForce(x.ctx, accepted.Offset, inForceWait)
	if err != nil {
		return err
	}
	x.check(f.All, "%s of team %s: revision %d accepted at offset %d after %v, in force on %d daemons after %v",
		doc.Service, doc.Team, accepted.Revision, accepted.Offset, took, len(f.Daemons), since(began))
	return nil
}

// raceOperators publishes two changes of one revision at once: one wins, and
// the other is told who did.
func (x *exercise) raceOperators() {
	x.title("two operators race")
	client := x.operators("dispatch")
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
	won, lost := 0, ""
	for _, err := range errs {
		var failure *operatorapi.Error
		switch {
		case err == nil:
			won++
		case errors.As(err, &failure) && failure.CurrentPublication != nil:
			lost = fmt.Sprintf("revision %d by %s at offset %d", failure.CurrentPublication.Revision, failure.CurrentPublication.Author, failure.CurrentPublication.Offset)
		}
	}
	x.check(won == 1 && lost != "", "%d won; the other was told that %s is in force", won, lost)
}

// watchJobs waits for the batch job and the gang and shows where tasks ran.
func (x *exercise) watchJobs() {
	x.title("work on the workers")
	for _, job := range []struct{ id, team string }{
		{"workshop-desk/index@1", "dispatch"}, {"parts-ledger/reconcile@1", "stores"}, {"wear-model/train@1", "analysis"},
	} {
		x.showJob(job.id, job.team)
	}
	ended := x.poll(jobsWait, func() bool { return x.ended("parts-ledger/reconcile@1") && x.ended("wear-model/train@1") })
	x.check(ended, "the batch job and the gang ended")
}

func (x *exercise) ended(jobID string) bool {
	for i := range daemons {
		if d := x.cell.Daemon(i); d != nil {
			job, ok := d.View().Job(jobID)
			return ok && job.Done != nil && job.Done.Failed == 0
		}
	}
	return false
}

// leave stops one daemon gracefully while requests go on.
func (x *exercise) leave() {
	x.title("a daemon leaves while it serves")
	l := x.newLoad(leaveLoad)
	l.start()
	time.Sleep(leaveAfter)
	began := time.Now()
	ctx, cancel := context.WithTimeout(x.ctx, stopTimeout)
	err := x.cell.StopDaemon(ctx, leaver)
	cancel()
	took := since(began)
	l.wait()
	x.check(err == nil, "graceful stop took %v: %v", took, err)
	x.check(l.cutOff() == 0, "%d requests sent, %d cut off, %d refused as not run", l.sent(), l.cutOff(), l.refused())
}

func (x *exercise) stopDaemons() {
	x.title("stop")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	began := time.Now()
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
	x.say("all daemons stopped after %v", since(began))
}

// checkPromises asks the stand-ins what they saw.
func (x *exercise) checkPromises() {
	x.title("what workers and backend servers saw")
	breaches := x.cell.Workers.Violations()
	for _, b := range breaches {
		x.say("%v %s", b.At.Format(time.TimeOnly), b.Description)
	}
	x.check(len(breaches) == 0, "no worker held more than it can, no task ran in two places")
	over, doubled, runs := 0, 0, 0
	keys := make(map[string]int)
	for _, b := range x.cell.Backends {
		for _, r := range b.Runs() {
			runs++
			if r.ExceedsSlots {
				over++
			}
			if r.Key != "" {
				keys[r.Key]++
			}
		}
	}
	for _, n := range keys {
		if n > 1 {
			doubled++
		}
	}
	x.check(over == 0, "%d runs, %d over a backend server's slots", runs, over)
	x.check(doubled == 0, "%d keys, %d ran twice", len(keys), doubled)
}

// showJob prints where a job's tasks run.
func (x *exercise) showJob(id, team string) {
	var text string
	placed := x.poll(jobsWait, func() bool {
		w, err := x.operators(team).Explain(x.ctx, id)
		if err != nil {
			text = err.Error()
			return false
		}
		places := make([]string, 0, len(w.Tasks))
		for _, t := range w.Tasks {
			if t.Worker != "" {
				places = append(places, t.Worker)
			}
		}
		text = fmt.Sprintf("%d of %d tasks on %s", len(places), len(w.Tasks), strings.Join(places, " "))
		return len(places) > 0 && len(places) == len(w.Tasks)
	})
	x.check(placed, "%s: %s", id, text)
}
