package cli

import (
	"fmt"
	"os"
	"slices"

	"github.com/currantwinch/currantwinch/platform"
	"github.com/pkg/errors"
)

type checkConfigCommand struct {
	File     string `arg:"" predictor:"file" help:"Platform configuration, as it is published."`
	InForce  string `name:"in-force" predictor:"file" help:"Configuration in force, with which the file is compared."`
	JSON     bool   `name:"json" help:"Output as json."`
	MemoryMB int64  `name:"smallest-vm-mb" default:"144" help:"Memory of the smallest entry VM, in mebibytes."`
}

// Help shows an example and says what the exit codes mean.
func (checkConfigCommand) Help() string {
	return "Example: currantwinch check-config next.json --in-force now.json. Nothing is sent. Exit codes: 0 nothing found, 1 only warnings, 2 the daemons would not accept it."
}

// configReport is what the command prints.
type configReport struct {
	Findings []platform.ConfigFinding `json:"findings"`
	Changes  []platform.ConfigChange  `json:"changes"`
}

// Run checks the file and prints what it finds. No output holds a key.
func (c *checkConfigCommand) Run(e *env) error {
	value, err := os.ReadFile(c.File)
	if err != nil {
		return asUsage(err, "read configuration")
	}
	report := configReport{Findings: platform.CheckConfiguration(value, c.MemoryMB)}
	unreadable := slices.ContainsFunc(report.Findings, func(f platform.ConfigFinding) bool { return f.Severity == platform.Unreadable })
	if c.InForce != "" && !unreadable {
		before, err := os.ReadFile(c.InForce)
		if err != nil {
			return asUsage(err, "read configuration in force")
		}
		if report.Changes, err = platform.CompareConfigurations(before, value); err != nil {
			return asUsage(err, c.InForce)
		}
	}
	if c.JSON {
		e.globals.Output = "json"
	}
	if err := c.print(e, report); err != nil {
		return err
	}
	switch {
	case unreadable:
		return asUsage(errors.New("the daemons would not accept it"), c.File)
	case len(report.Findings) > 0:
		return errors.Errorf("%s: %d warnings", c.File, len(report.Findings))
	}
	return nil
}

func (c *checkConfigCommand) print(e *env, report configReport) error {
	var tables []*table
	if len(report.Findings) > 0 {
		findings := &table{head: []string{"SEVERITY", "FIELD", "FINDING"}}
		for _, f := range report.Findings {
			findings.add(f.Severity, f.Path, f.Message)
		}
		tables = append(tables, findings)
	}
	if len(report.Changes) > 0 {
		changes := &table{head: []string{"CHANGE", "BEFORE", "AFTER"}}
		for _, f := range report.Changes {
			changes.add(f.Path, f.Before, f.After)
		}
		tables = append(tables, changes)
	}
	if len(tables) == 0 && e.globals.Output != "json" {
		_, err := fmt.Fprintln(e.out, "nothing found")
		return err
	}
	return e.print(report, tables...)
}
