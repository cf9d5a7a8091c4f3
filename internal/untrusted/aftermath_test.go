package untrusted

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	waves = 3
	// waveDuration is how long the clients of one wave send.
	waveDuration = 3 * time.Second
	// slack is by how much descriptors and goroutines may differ between two quiet times: by
	// idle connections to stand-ins and by work that comes in intervals. Each wave has
	// hundreds of refused requests.
	slack = 40
)

// mixture is a crowd of all loads on the listener for callers.
func mixture(g target) client {
	var all []client
	for _, l := range callerLoads(g) {
		all = append(all, l.each)
	}
	return mixed(all...)
}

// quiet is what a process holds while no client is connected.
type quiet struct {
	descriptors, goroutines int
	// budgets is the sum of the bytes that all budgets hold, and connections that of the
	// callers' connections.
	budgets, connections float64
}

// look reads what a process holds, its budgets and goroutines from its metrics.
func (p *process) look() (quiet, error) {
	u, err := p.usage()
	if err != nil {
		return quiet{}, err
	}
	response, err := ordinary.Get("http://" + p.ready + "/metrics")
	if err != nil {
		return quiet{}, err
	}
	defer func() { _ = response.Body.Close() }()
	q := quiet{descriptors: u.descriptors}
	for name, value := range readMetrics(response.Body) {
		switch {
		case name == "go_goroutines":
			q.goroutines = int(value)
		case strings.HasPrefix(name, "currantwinch_intake_bytes"):
			q.budgets += value
		case strings.HasPrefix(name, `currantwinch_intake_connections{listener="callers"}`):
			q.connections += value
		}
	}
	return q, nil
}

// readMetrics returns the values of a page of metrics by their names with labels.
func readMetrics(page io.Reader) map[string]float64 {
	values := make(map[string]float64)
	for lines := bufio.NewScanner(page); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values
}

// awaitQuiet waits until the process holds nothing for callers and no more descriptors and
// goroutines than before, and returns what it holds.
func (p *process) awaitQuiet(before quiet) (q quiet) {
	p.t.Helper()
	defer func() {
		if p.t.Failed() {
			p.t.Logf("%+v, before the crowd %+v", q, before)
		}
	}()
	p.await(fmt.Sprintf("as quiet as before the crowd (%+v)", before), func() bool {
		var err error
		q, err = p.look()
		return err == nil && q.goroutines > 0 && q.budgets == 0 && q.connections == 0 &&
			(before.goroutines == 0 || q.descriptors <= before.descriptors+slack && q.goroutines <= before.goroutines+slack)
	})
	return q
}

// checkAnswering ends the observation, and checks that the process answers an ordinary call and
// has stayed within its memory.
func (o *observer) checkAnswering() {
	p := o.process
	p.t.Helper()
	p.await("answering", func() bool { return p.call() == http.StatusOK })
	peak, err := o.end()
	if err != nil || !p.lives() || peak.memory() > p.limits.memoryMB*megabyte {
		p.t.Errorf("the process lives: %t; %.1f MB held, want at most %d MB; %v", p.lives(), float64(peak.memory())/megabyte, p.limits.memoryMB, err)
	}
}

// A descriptor, goroutine or byte of a budget that is lost with each refused request ends the
// service in a day.
func TestCallers_NothingIsLeftAfterTheCrowd(t *testing.T) {
	if testing.Short() {
		t.Skip("the process is not built with the race detector; the stage without it runs this test")
	}
	for name, start := range map[string]starter{"host": startHost, "run": startRun} {
		t.Run(name, func(t *testing.T) {
			p := start(t, small)
			before := p.awaitQuiet(quiet{})
			o := p.observe()
			for range waves {
				stop := attack(p.callers, clients, mixture(p.target))
				time.Sleep(waveDuration)
				stop()
				after := p.awaitQuiet(before)
				t.Logf("%+v after a wave, %+v before the first", after, before)
			}
			o.checkAnswering()
		})
	}
}

// A planned stop must end in its time, and the next process must get ready, while clients go on
// to send what they please.
func TestCallers_DaemonRestartsBesideTheCrowd(t *testing.T) {
	if testing.Short() {
		t.Skip("the process is not built with the race detector; the stage without it runs this test")
	}
	for name, start := range map[string]starter{"host": startHost, "run": startRun} {
		t.Run(name, func(t *testing.T) {
			p := start(t, small)
			stop := attack(p.callers, clients, mixture(p.target))
			defer stop()
			time.Sleep(waveDuration)
			if err := syscall.Kill(p.pid, syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			select {
			case <-p.ended:
			case <-time.After(patience):
				t.Fatal("the process has not ended after a planned stop")
			}
			// The exit code tells whether the stop was complete before its time was over.
			if p.exit != nil {
				t.Errorf("planned stop: %v", p.exit)
			}
			p.start(p.arguments...)
			o := p.observe()
			p.awaitReady()
			o.checkAnswering()
		})
	}
}
