// Command currantwinchd is the daemon: every role of the scheduler in one
// process.
package main

import (
	"os"

	"github.com/currantwinch/currantwinch/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
