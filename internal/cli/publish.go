package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// resolveAttempts and resolveInterval limit the queries for the outcome of a
// change whose response was lost.
const (
	resolveAttempts = 10
	resolveInterval = 500 * time.Millisecond
)

type publishCommand struct {
	File string        `arg:"" predictor:"file" help:"Document to publish."`
	Base int64         `default:"-1" help:"Revision that the document replaces; by default the one in force now."`
	Wait time.Duration `help:"Wait this long for the document to be in force everywhere."`
}

// Help shows an example.
func (publishCommand) Help() string { return "Example: currantwinch publish service.jsonc --wait 6s" }

// Run validates the document before it sends anything, then publishes it.
func (c *publishCommand) Run(e *env) error {
	doc, text, err := readDocument(c.File)
	if err != nil {
		return err
	}
	base, err := e.baseOf(doc.Service, c.Base)
	if err != nil {
		return err
	}
	key := uuid.NewString()
	accepted, err := e.client.Publish(e.ctx, doc.Service, base, key, text)
	if accepted, err = e.resolve(accepted, err, "document/"+key); err != nil {
		return err
	}
	return e.finishChange(accepted, c.Wait)
}

func readDocument(file string) (*document.Document, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, asUsage(err, "read document")
	}
	doc, err := document.Parse(text)
	if err != nil {
		return nil, nil, asUsage(err, file)
	}
	return doc, text, nil
}

// baseOf returns the revision that a change replaces: the given one, or if that is
// negative, the one in force. It is 0 for a service without a document.
func (e *env) baseOf(service string, given int64) (uint64, error) {
	if given >= 0 {
		return uint64(given), nil
	}
	doc, err := e.client.Document(e.ctx, service)
	var failure *operatorapi.Error
	if errors.As(err, &failure) && failure.Reason == "unknown_name" {
		return 0, nil
	}
	return doc.Revision, err
}

// resolve queries the outcome of a change whose response was lost. If it remains
// unknown, the returned error carries the key to query it by later.
func (e *env) resolve(accepted operatorapi.Accepted, err error, key string) (operatorapi.Accepted, error) {
	var failure *operatorapi.Error
	if !errors.As(err, &failure) || failure.Verdict != verdict.MayHaveRun {
		return accepted, err
	}
	for range resolveAttempts {
		o, queryErr := e.client.Outcome(e.ctx, key)
		if queryErr == nil && o.Known && o.RefusalReason == "" {
			return operatorapi.Accepted{Key: key, Offset: o.Offset}, nil
		}
		if queryErr == nil && o.Known {
			return accepted, verdict.New(verdict.NotRun, "refused", "%s", o.RefusalReason)
		}
		select {
		case <-time.After(resolveInterval):
		case <-e.ctx.Done():
			return accepted, err
		}
	}
	failure.Key = key
	return accepted, failure
}

// finishChange prints an accepted change and, if wait is positive, waits until it
// is in force.
func (e *env) finishChange(a operatorapi.Accepted, wait time.Duration) error {
	t := &table{head: []string{"SERVICE", "REVISION", "OFFSET", "JOB"}}
	t.add(a.Service, a.Revision, a.Offset, a.JobID)
	if err := e.print(a, t); err != nil {
		return err
	}
	if wait <= 0 {
		return nil
	}
	return e.waitFor(a.Offset, wait)
}

type withdrawCommand struct {
	Service string        `arg:"" help:"Service whose document is withdrawn."`
	Base    int64         `default:"-1" help:"Revision that is withdrawn; by default the one in force now."`
	Wait    time.Duration `help:"Wait this long for the withdrawal to be in force everywhere."`
}

// Help shows an example.
func (withdrawCommand) Help() string { return "Example: currantwinch withdraw reviews --wait 6s" }

// Run withdraws the document.
func (c *withdrawCommand) Run(e *env) error {
	base, err := e.baseOf(c.Service, c.Base)
	if err != nil {
		return err
	}
	key := uuid.NewString()
	accepted, err := e.client.Withdraw(e.ctx, c.Service, base, key)
	if accepted, err = e.resolve(accepted, err, "document/"+key); err != nil {
		return err
	}
	return e.finishChange(accepted, c.Wait)
}

type outcomeCommand struct {
	Key string `arg:"" help:"Key that the interrupted command printed."`
}

// Help shows an example.
func (outcomeCommand) Help() string {
	return "Example: currantwinch outcome document/1b4e28ba-2fa1-4d3b-a3f5-ef19b5a7633b"
}

// Run prints the outcome of a change.
func (c *outcomeCommand) Run(e *env) error {
	o, err := e.client.Outcome(e.ctx, c.Key)
	if err != nil {
		return err
	}
	t := &table{head: []string{"KEY", "KNOWN", "OFFSET", "REFUSED", "READ UP TO", "LOG"}}
	t.add(o.Key, o.Known, o.Offset, o.RefusalReason, o.NextOffset, o.Log)
	if err := e.print(o, t); err != nil {
		return err
	}
	if !o.Known {
		return verdict.New(verdict.MayHaveRun, "unknown", "no record with this key up to offset %d", o.NextOffset)
	}
	if o.RefusalReason != "" {
		return verdict.New(verdict.NotRun, "refused", "%s", o.RefusalReason)
	}
	return nil
}

type waitCommand struct {
	Offset uint64        `arg:"" help:"Log offset to wait for."`
	For    time.Duration `default:"10s" help:"Longest time to wait."`
}

// Help shows an example.
func (waitCommand) Help() string { return "Example: currantwinch wait 118 --for 6s" }

// Run waits until the offset is in force and prints the offset of each daemon.
func (c *waitCommand) Run(e *env) error { return e.waitFor(c.Offset, c.For) }

func (e *env) waitFor(offset uint64, wait time.Duration) error {
	f, err := e.client.InForce(e.ctx, offset, wait)
	if err != nil {
		return err
	}
	t := &table{head: []string{"DAEMON", "OFFSET", "IN FORCE", "HEARD"}}
	for _, d := range f.Daemons {
		t.add(d.Name, d.Offset, d.InForce, d.SinceHeard.Round(time.Millisecond))
	}
	if err := e.print(f, t); err != nil {
		return err
	}
	if !f.All {
		return errNotInForce
	}
	if e.globals.Output == "table" {
		fmt.Fprintf(e.out, "in force on all %d live daemons\n", len(f.Daemons))
	}
	return nil
}
