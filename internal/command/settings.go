package command

import (
	"fmt"

	"github.com/currantwinch/currantwinch/charts"
	"github.com/currantwinch/currantwinch/internal/settings"
)

type checkCommand struct {
	File string `arg:"" help:"Settings file to check."`
}

// Help shows an example.
func (checkCommand) Help() string { return "Example: currantwinchd check entry-1.jsonc" }

// Run validates the settings file.
func (c *checkCommand) Run(e *env) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s: settings of %s are valid\n", c.File, s.Name)
	return nil
}

type settingsCommand struct{}

// Help shows an example.
func (settingsCommand) Help() string { return "Example: currantwinchd settings > entry-1.jsonc" }

// Run prints the template settings file.
func (settingsCommand) Run(e *env) error {
	_, err := e.out.Write(settings.Default())
	return err
}

type chartsCommand struct{}

// Help shows an example.
func (chartsCommand) Help() string { return "Example: currantwinchd charts" }

// Run prints all charts as Mermaid diagrams.
func (chartsCommand) Run(e *env) error {
	for _, c := range charts.All() {
		fmt.Fprintf(e.out, "%%%% %s\n%s\n", c.Name(), c.Mermaid())
	}
	return nil
}
