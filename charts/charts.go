// Package charts loads the state charts of the daemon from the .jsonc files in
// this directory, which are embedded in the program. The daemon's components
// take their transitions from these charts. A chart that is invalid makes the
// program panic at its start.
package charts

import (
	"embed"

	"github.com/currantwinch/currantwinch/chart"
)

//go:embed *.jsonc
var files embed.FS

// State charts of the daemon.
var (
	// Daemon is the lifecycle of one daemon process.
	Daemon = load("daemon.jsonc")
	// Ownership is the state of one daemon's ownership of one share.
	Ownership = load("ownership.jsonc")
	// Request is the lifecycle of one caller's request in its entry daemon.
	Request = load("request.jsonc")
	// Task is the lifecycle of one task in the daemon that is its home.
	Task = load("task.jsonc")
)

// All returns every chart.
func All() []*chart.Chart { return []*chart.Chart{Daemon, Ownership, Request, Task} }

func load(name string) *chart.Chart {
	text, err := files.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return chart.MustLoad(text)
}
