package cli

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/pkg/errors"
)

type diffCommand struct {
	File string `arg:"" predictor:"file" help:"Document to compare."`
}

// Help shows an example.
func (diffCommand) Help() string { return "Example: currantwinch diff service.jsonc" }

// Run prints the fields that publishing the file would change.
func (c *diffCommand) Run(e *env) error {
	doc, _, err := readDocument(c.File)
	if err != nil {
		return err
	}
	var old document.Document
	current, err := e.client.Document(e.ctx, doc.Service)
	if err == nil {
		parsed, perr := document.Parse([]byte(current.Text))
		if perr != nil {
			return errors.Wrap(perr, "document in force")
		}
		old = *parsed
	} else if !isUnknown(err) {
		return err
	}
	changes := document.Diff(&old, doc)
	t := &table{head: []string{"FIELD", "IN FORCE", "FILE"}}
	for _, d := range changes {
		t.add(d.Field, d.Before, d.After)
	}
	return e.print(changes, t)
}

func isUnknown(err error) bool {
	var failure *operatorapi.Error
	return errors.As(err, &failure) && failure.Reason == "unknown_name"
}

type showCommand struct {
	Service string `arg:"" optional:"" help:"Service to show; all are listed by default."`
}

// Help shows an example.
func (showCommand) Help() string { return "Example: currantwinch show reviews" }

// Run lists the documents in force, or prints that of one service.
func (c *showCommand) Run(e *env) error {
	if c.Service == "" {
		return c.list(e)
	}
	doc, err := e.client.Document(e.ctx, c.Service)
	if err != nil {
		return err
	}
	if e.globals.Output == "json" {
		return e.print(doc)
	}
	fmt.Fprintf(e.out, "// revision %d by %s at offset %d\n%s\n", doc.Revision, doc.Author, doc.Offset, strings.TrimRight(doc.Text, "\n"))
	return nil
}

func (c *showCommand) list(e *env) error {
	list, err := e.client.Documents(e.ctx)
	if err != nil {
		return err
	}
	t := &table{head: []string{"SERVICE", "TEAM", "REVISION", "AUTHOR", "OFFSET", "TIME"}}
	for _, d := range list {
		t.add(d.Service, d.Team, d.Revision, d.Author, d.Offset, d.Time.Format(time.RFC3339))
	}
	return e.print(list, t)
}

type historyCommand struct {
	Service string `arg:"" help:"Service whose publications are listed."`
}

// Help shows an example.
func (historyCommand) Help() string { return "Example: currantwinch history reviews -o json" }

// Run lists the publications of a service, including refused ones.
func (c *historyCommand) Run(e *env) error {
	list, err := e.client.History(e.ctx, c.Service)
	if err != nil {
		return err
	}
	t := &table{head: []string{"OFFSET", "REVISION", "BASE", "TEAM", "AUTHOR", "TIME", "REFUSED"}}
	for _, p := range list {
		t.add(p.Offset, p.Revision, p.Base, p.Team, p.Author, p.Time.Format(time.RFC3339), p.RefusalReason)
	}
	return e.print(list, t)
}

type dumpCommand struct{}

// Help shows an example.
func (dumpCommand) Help() string { return "Example: currantwinch -a 10.0.0.7:7200 dump" }

// Run prints the state dump of a daemon as JSON.
func (c *dumpCommand) Run(e *env) error {
	d, err := e.client.Dump(e.ctx)
	if err != nil {
		return err
	}
	e.globals.Output = "json"
	return e.print(d)
}

type explainCommand struct {
	Event string `arg:"" help:"Event number or name."`
}

// Help shows an example.
func (explainCommand) Help() string { return "Example: currantwinch explain 1005" }

// Run prints an event's entry in the event catalogue.
func (c *explainCommand) Run(e *env) error {
	for _, ev := range events.All() {
		if strconv.Itoa(ev.Number) != c.Event && ev.Name != c.Event {
			continue
		}
		t := &table{head: []string{"EVENT", "LEVEL", "NAME", "FIELDS"}}
		t.add(ev.Number, ev.Level, ev.Name, strings.Join(ev.Fields, " "))
		if err := e.print(ev, t); err != nil || e.globals.Output == "json" {
			return err
		}
		fmt.Fprintf(e.out, "\n%s\n%s\n", ev.Meaning, ev.Action)
		return nil
	}
	return &usageError{errors.Errorf("no event %q in the catalogue", c.Event)}
}
