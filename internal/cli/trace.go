package cli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLogLine is the maximum length of a log line, in bytes.
	maxLogLine = 1 << 20
	// minReportedGap is the minimum time between two lines for which the trace states
	// a gap.
	minReportedGap = 500 * time.Millisecond
)

type traceCommand struct {
	ID    string   `arg:"" help:"Submission ID."`
	Files []string `arg:"" optional:"" predictor:"file" help:"Logs of any number of daemons; standard input if none."`
}

// Help shows an example.
func (traceCommand) Help() string {
	return "Prints what daemons logged about one submission, in order, with the gaps named. Example: currantwinch trace 5c0e7a21d94b36f8 entry-*.log"
}

// logLine is one line of a daemon's log.
type logLine struct {
	at     time.Time
	name   string
	fields []string
}

// Run reads all logs and prints the lines about the submission in order of time.
func (c *traceCommand) Run(e *env) error {
	var lines []logLine
	if len(c.Files) == 0 {
		found, err := c.read(os.Stdin)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range c.Files {
		found, err := c.readFile(name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no line about %s", c.ID)
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	return printTrace(e.out, lines)
}

func (c *traceCommand) readFile(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	lines, err := c.read(f)
	return lines, errors.WithMessage(err, name)
}

// read returns the lines about the submission. It ignores text before the JSON
// object of a line, and lines without one.
func (c *traceCommand) read(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, c.ID) {
			continue
		}
		if line, ok := c.parse(text[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// parse parses a line and reports whether its id, task or step field names the
// submission.
func (c *traceCommand) parse(text string) (logLine, bool) {
	var fields map[string]any
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return logLine{}, false
	}
	if !c.isAboutSubmission(fields) {
		return logLine{}, false
	}
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return logLine{}, false
	}
	name, _ := fields["msg"].(string)
	line := logLine{at: at, name: name}
	for key, value := range fields {
		switch key {
		case "time", "msg", "level", "event":
		default:
			line.fields = append(line.fields, fmt.Sprintf("%s=%v", key, value))
		}
	}
	slices.SortFunc(line.fields, cmp.Compare)
	return line, true
}

func (c *traceCommand) isAboutSubmission(fields map[string]any) bool {
	for _, key := range []string{"id", "task", "step"} {
		value, _ := fields[key].(string)
		if submission, _, _ := strings.Cut(value, "."); submission == c.ID {
			return true
		}
	}
	return false
}

func printTrace(out io.Writer, lines []logLine) error {
	first, last := lines[0].at, lines[0].at
	for _, line := range lines {
		if gap := line.at.Sub(last); gap >= minReportedGap {
			if _, err := fmt.Fprintf(out, "          -- nothing for %s --\n", gap.Round(time.Millisecond)); err != nil {
				return errors.Wrap(err, "print")
			}
		}
		last = line.at
		if _, err := fmt.Fprintf(out, "%8.3fs %s %s\n", line.at.Sub(first).Seconds(), line.name, strings.Join(line.fields, " ")); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
