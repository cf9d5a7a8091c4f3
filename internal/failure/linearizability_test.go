package failure_test

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// linearizable is the property that the histories of idempotency keys and of
// publications are linearizable.
const linearizable = "what callers and operators observe is linearizable"

// noReturn is the return time of a publication with an unknown outcome: it may
// take effect at any later time.
const noReturn = math.MaxInt64

// keyEvent is one observation of an idempotency key: a run on a backend server
// if ran is set, or else a response with the verdict that the request ran.
type keyEvent struct {
	key string
	ran bool
}

// keyModel holds a flag for each key: a run sets it, at most once, and no
// response may report a run before the flag is set.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(keyEvent).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		ran := state.(bool)
		if input.(keyEvent).ran {
			return !ran, true
		}
		return ran, ran
	},
}

// documentOp is a publication with its result, or a read of the revision.
type documentOp struct {
	baseRevision uint64
	read         bool
	start        time.Time
	end          time.Time
	accepted     operatorapi.Accepted
	err          error
}

// documentModel holds the revision in force. A publication increments it if its
// base is that revision, and conflicts otherwise; one with an unknown outcome
// may do either.
var documentModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, _ any) []any {
		revision, c := state.(uint64), input.(documentOp)
		switch {
		case c.read && c.baseRevision == revision, isConflict(c) && c.baseRevision != revision:
			return []any{revision}
		case c.read, isConflict(c):
			return nil
		case c.err == nil && (c.baseRevision != revision || c.accepted.Revision != revision+1):
			return nil
		case c.err == nil:
			return []any{revision + 1}
		case c.baseRevision == revision:
			return []any{revision, revision + 1}
		}
		return []any{revision}
	},
}

const reasonConflict = "conflict"

func isConflict(c documentOp) bool {
	var failure *operatorapi.Error
	return errors.As(c.err, &failure) && failure.Reason == reasonConflict
}

func (c documentOp) outcomeUnknown() bool {
	var failure *operatorapi.Error
	return c.err != nil && (!errors.As(c.err, &failure) || failure.Verdict != verdict.NotRun)
}

// linearizabilityViolations checks the history of idempotency keys and that of
// publications.
func (sim *simulation) linearizabilityViolations(runs map[string][]backendstandin.Run) []violation {
	var out []violation
	if result := porcupine.CheckOperationsTimeout(keyModel, sim.keyHistory(runs), 0); result != porcupine.Ok {
		out = append(out, violation{linearizable, "idempotency keys: " + string(result)})
	}
	history := sim.documentHistory()
	if result := porcupine.CheckOperationsTimeout(documentModel.ToModel(), history, 0); result != porcupine.Ok {
		out = append(out, violation{linearizable, fmt.Sprintf("publications: %s: %+v", result, history)})
	}
	return out
}

func (sim *simulation) sinceStart(t time.Time) int64 { return t.Sub(sim.startTime).Nanoseconds() }

func (sim *simulation) keyHistory(runs map[string][]backendstandin.Run) []porcupine.Operation {
	var history []porcupine.Operation
	add := func(e keyEvent, from, to int64) {
		history = append(history, porcupine.Operation{Input: e, Call: from, Return: to})
	}
	for _, list := range runs {
		for _, r := range list {
			if r.Key != "" && !r.End.IsZero() {
				add(keyEvent{r.Key, true}, sim.sinceStart(r.Start), sim.sinceStart(r.End))
			}
		}
	}
	for _, c := range append(append([]*clientRequest(nil), sim.requests...), sim.duplicates...) {
		for _, a := range c.attempts {
			if c.key != "" && a.answered && a.verdict == verdict.Ran {
				add(keyEvent{c.key, false}, sim.sinceStart(a.start), sim.sinceStart(a.end))
			}
		}
	}
	return history
}

// documentHistory returns all publications, followed by a read of the document
// on each running daemon after the cell has settled.
func (sim *simulation) documentHistory() []porcupine.Operation {
	var history []porcupine.Operation
	for _, c := range sim.documentOps {
		to := sim.sinceStart(c.end)
		if c.outcomeUnknown() {
			to = noReturn
		}
		history = append(history, porcupine.Operation{Input: c, Call: sim.sinceStart(c.start), Return: to})
	}
	now := sim.sinceStart(time.Now())
	for i := range daemons {
		if d := sim.cell.Daemon(i); d != nil {
			entry, _ := d.View().Document("desk")
			history = append(history, porcupine.Operation{Input: documentOp{baseRevision: entry.Revision, read: true}, Call: now, Return: now})
		}
	}
	return history
}

// recordDocumentOp records a publication that has returned.
func (sim *simulation) recordDocumentOp(c documentOp) {
	c.end = time.Now()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.documentOps = append(sim.documentOps, c)
}
