// Command currantwinch drives a cell: it publishes documents, starts jobs,
// sends requests and reports what the daemons know.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/currantwinch/currantwinch/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(cli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
