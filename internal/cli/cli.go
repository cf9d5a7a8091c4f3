// Package cli implements the command line of operators and callers,
// currantwinch.
package cli

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/pkg/errors"
)

// programName is the name of the command.
const programName = "currantwinch"

// Globals are the flags common to all commands.
type Globals struct {
	Operators  []string      `name:"operators" short:"a" env:"CURRANTWINCH_OPERATORS" default:"127.0.0.1:7200" help:"Operator addresses of daemons, tried in order."`
	Callers    []string      `name:"callers" env:"CURRANTWINCH_CALLERS" default:"127.0.0.1:7100" help:"Caller addresses of daemons, tried in order."`
	Credential string        `name:"credential" env:"CURRANTWINCH_CREDENTIAL" help:"Credential that the platform's log knows the operator by."`
	CA         string        `name:"ca" predictor:"file" env:"CURRANTWINCH_CA" help:"Authority's certificates that verify the daemons; turns TLS on."`
	Cert       string        `name:"cert" predictor:"file" env:"CURRANTWINCH_CERT" help:"The operator's certificate."`
	Key        string        `name:"key-file" predictor:"file" env:"CURRANTWINCH_KEY" help:"The certificate's private key."`
	Output     string        `name:"output" short:"o" enum:"table,json" default:"table" help:"Output as table or json."`
	Timeout    time.Duration `name:"timeout" default:"30s" help:"Longest time for one command."`
}

// root is the command line's grammar.
type root struct {
	Globals

	Publish     publishCommand     `cmd:"" help:"Publish a document."`
	CheckConfig checkConfigCommand `cmd:"" name:"check-config" help:"Check a configuration of the users' platform, and compare it with the one in force."`
	Withdraw    withdrawCommand    `cmd:"" help:"Withdraw a service's document."`
	Diff        diffCommand        `cmd:"" help:"Compare a file with the document in force."`
	Show        showCommand        `cmd:"" help:"Show documents in force."`
	History     historyCommand     `cmd:"" help:"List a service's publications."`
	Wait        waitCommand        `cmd:"" help:"Wait until an offset is in force everywhere."`
	Submit      submitCommand      `cmd:"" help:"Start a run of a workload."`
	Cancel      cancelCommand      `cmd:"" help:"Cancel a job."`
	Status      statusCommand      `cmd:"" help:"Show daemons, shares, workers, backend servers and jobs."`
	Request     requestCommand     `cmd:"" help:"Send one request and print its verdict."`
	Why         whyCommand         `cmd:"" help:"Explain why a job's tasks wait or run where they do."`
	Outcome     outcomeCommand     `cmd:"" help:"Resolve a change whose outcome was lost."`
	Dump        dumpCommand        `cmd:"" help:"Print a daemon's state dump."`
	Completion  completionCommand  `cmd:"" help:"Print a shell's completion script."`
	Explain     explainCommand     `cmd:"" help:"Explain a logged event by its number or name."`
	Trace       traceCommand       `cmd:"" help:"Print what logs say of one submission, in order."`
}

// env is the environment in which a command runs.
type env struct {
	ctx     context.Context
	globals *Globals
	out     io.Writer
	client  *operatorapi.Client
	http    *http.Client
	// scheme is "https" with TLS and "http" without.
	scheme string
}

// Main runs the command line args and returns the exit code of the process.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var r root
	exit := -1
	parser, err := kong.New(&r,
		kong.Name(programName),
		kong.Description("Drives a currantwinch cell. Exit codes: 0 done, 1 failed, 2 bad usage or document, 3 refused, 4 conflict, 5 not run, 6 may have run, 7 not yet in force."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exit = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		return report(stderr, err)
	}
	if answerCompletion(parser); exit >= 0 {
		return exit
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		return report(stderr, &usageError{err})
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	e, err := r.Globals.env(ctx, stdout)
	if err != nil {
		return report(stderr, err)
	}
	if err := parsed.Run(e); err != nil {
		return report(stderr, err)
	}
	return exitOK
}

func (g *Globals) env(ctx context.Context, out io.Writer) (*env, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	scheme := "http"
	if g.CA != "" {
		config, err := certs.ClientConfig(g.CA, g.Cert, g.Key)
		if err != nil {
			return nil, asUsage(err, "TLS")
		}
		transport.DialTLSContext, scheme = certs.DialTLS(config), "https"
	}
	client := &http.Client{Transport: transport}
	return &env{
		ctx: ctx, globals: g, out: out, http: client, scheme: scheme,
		client: &operatorapi.Client{Addresses: g.Operators, Scheme: scheme, Credential: g.Credential, HTTP: client},
	}, nil
}

// Validate rejects combinations of TLS flags in which a flag would have no
// effect. The parser calls it.
func (g *Globals) Validate() error {
	if g.CA == "" && (g.Cert != "" || g.Key != "") {
		return errors.New("--cert and --key-file need --ca")
	}
	if (g.Cert == "") != (g.Key == "") {
		return errors.New("--cert and --key-file belong together")
	}
	return nil
}

type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func asUsage(err error, message string) error {
	return &usageError{errors.Wrap(err, message)}
}
