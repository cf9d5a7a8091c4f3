// Package command implements the daemon's command line, currantwinchd.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/currantwinch/currantwinch/internal/settings"
)

// Exit codes of the daemon.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage is the exit code for an invalid command line or settings file.
	exitUsage = 2
)

// root is the command line's grammar.
type root struct {
	Run      runCommand      `cmd:"" help:"Run the daemon until it is told to stop."`
	Check    checkCommand    `cmd:"" help:"Check a settings file and do nothing else."`
	Settings settingsCommand `cmd:"" help:"Print commented settings to start from."`
	Dev      devCommand      `cmd:"" help:"Run a whole cell with stand-ins in one process."`
	Host     hostCommand     `cmd:"" help:"Run the daemon on the users' platform."`
	Charts   chartsCommand   `cmd:"" help:"Print the state charts as Mermaid diagrams."`
}

// env is the environment in which a command runs.
type env struct {
	out io.Writer
	err io.Writer
}

// Main runs the command line args and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	var r root
	exit := -1
	parser, err := kong.New(&r,
		kong.Name("currantwinchd"),
		kong.Description("The currantwinch daemon. Exit codes: 0 done, 1 failed, 2 bad usage or settings."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
	)
	if err != nil {
		fmt.Fprintf(stderr, "error: %v\n", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintf(stderr, "error: %v\n", err)
		return exitUsage
	}
	return exitCode(stderr, parsed.Run(&env{out: stdout, err: stderr}))
}

func exitCode(stderr io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "error: %v\n", err)
	var faults *settings.FileError
	if errors.As(err, &faults) {
		return exitUsage
	}
	return exitFailed
}
