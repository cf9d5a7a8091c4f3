package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Start is one start of a task at a runner.
type Start struct {
	Task string
	At   time.Time
}

// StartsAfter returns the starts of a submission's tasks after a time.
func (l *Ledger) StartsAfter(submission string, after time.Time) []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Start
	for task, runs := range l.runs {
		if !strings.HasPrefix(task, submission) {
			continue
		}
		for _, r := range runs {
			if r.start.After(after) {
				out = append(out, Start{task, r.start})
			}
		}
	}
	return out
}

// cancelled is a submission whose cancelling was acknowledged.
type cancelled struct {
	id     string
	status int
	at     time.Time
}

// staleCancel: partitions are dealt anew, and a daemon that has just lost one goes on
// answering for it. See review/4/claim.txt.
func staleCancel(f *Fleet, trouble bool) ([]string, error) {
	const (
		apart       = 67 * time.Millisecond
		cutFor      = 1500 * time.Millisecond
		cutEvery    = 3500 * time.Millisecond
		cuts        = 12
		firstCut    = 2 * time.Second
		traffic     = firstCut + (cuts-1)*cutEvery + cutFor
		stepMS      = 45000
		cancelTime  = 3 * time.Second
		contactTime = 4 * time.Second
		watched     = traffic + stepMS*time.Millisecond + 3*time.Second
		// Requesters cancel this share of what they hand in, for cutFor from each cut on.
		cancelShare = 0.4
	)
	first := Step{Count: 1, CPU: 100, MemMB: 32, EstimatedMS: stepMS}
	second := first
	second.DependsOn = []int{0}
	body := map[string]any{"spec": fmt.Sprintf("ms=%d", stepMS), "steps": []Step{first, second}}
	if !f.submit(ids(1, 1)[0], body) {
		return nil, fmt.Errorf("the first submission was not accepted")
	}
	time.Sleep(time.Second)

	var mu sync.Mutex
	var acked []cancelled
	var calls sync.WaitGroup
	began := time.Now()
	if trouble {
		for n := range cuts {
			time.AfterFunc(firstCut+time.Duration(n)*cutEvery, func() { f.cutOwner(cutFor) })
		}
	}
	calm := began.Add(firstCut + (cuts-1)*cutEvery + cutFor + contactTime)
	for n := 0; time.Since(began) < traffic; n++ {
		id := ids(2, n+1)[n]
		since := time.Since(began) - firstCut
		cancel := since >= 0 && since%cutEvery < cutFor && rand.Float64() < cancelShare
		calls.Go(func() {
			if !f.submit(id, body) || !cancel {
				return
			}
			if c, ok := f.cancelOnce(id); ok {
				mu.Lock()
				defer mu.Unlock()
				acked = append(acked, c)
			}
		})
		time.Sleep(apart)
	}
	calls.Wait()
	time.Sleep(watched - time.Since(began))
	var broken []string
	gone := 0
	for _, c := range acked {
		if c.status == http.StatusGone {
			gone++
		}
		after := c.at.Add(cancelTime)
		if after.Before(calm) {
			after = calm
		}
		for _, s := range f.Ledger.StartsAfter(c.id, after) {
			broken = append(broken, fmt.Sprintf("UNASKED: the cancelling of %s was acknowledged with %d at %.3f, and its task %s started at %.3f",
				c.id, c.status, f.Ledger.at(c.at), s.Task, f.Ledger.at(s.At)))
		}
	}
	f.Ledger.Note("%d cancels acknowledged, %d of them with 410", len(acked), gone)
	return broken, nil
}

// cutOwner cuts the daemon that holds the partition with the submissions from the
// store for a time. All partitions are dealt anew at once.
func (f *Fleet) cutOwner(length time.Duration) {
	owner := f.Owner()
	if owner == nil {
		return
	}
	f.Ledger.Note("DISRUPTION the store answers %s no more, and its partitions are dealt to the others", owner.Name)
	f.Store.SetUnanswered(owner.Name, true)
	f.Store.Revoke(owner.Peer)
	time.AfterFunc(length, func() {
		f.Store.SetUnanswered(owner.Name, false)
		f.Ledger.Note("DISRUPTION the store answers %s again", owner.Name)
	})
}

// cancelOnce cancels a submission at one daemon after the other until it is
// acknowledged.
func (f *Fleet) cancelOnce(id string) (cancelled, bool) {
	const attempts = 5
	offset := rand.IntN(len(f.Daemons))
	for n := range attempts {
		d := f.Daemons[(offset+n)%len(f.Daemons)]
		status, text, err := f.Call(d, http.MethodDelete, id, nil)
		f.Ledger.Note("request DELETE %s at %s: %d %s %v", id, d.Name, status, text, err)
		if err == nil && (status >= 200 && status < 300 || status == http.StatusGone) {
			return cancelled{id, status, time.Now()}, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return cancelled{}, false
}
