package untrusted

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	megabyte = 1 << 20
	// observeInterval is the time between two readings of the process.
	observeInterval = 25 * time.Millisecond
)

// usage is what a process holds. Queued counts the bytes in its sockets' queues: received
// and not read, or written and not taken.
type usage struct{ resident, queued, descriptors int }

// memory is what counts against the VM's memory limit.
func (u usage) memory() int { return u.resident + u.queued }

// observer reads the usage of a process until it is stopped.
type observer struct {
	process *process
	stop    chan struct{}
	done    sync.WaitGroup
	// peak has the highest memory with its parts, and the highest number of descriptors.
	peak usage
	err  error
}

func (p *process) observe() *observer {
	o := &observer{process: p, stop: make(chan struct{})}
	o.done.Go(func() {
		for tick := time.NewTicker(observeInterval); ; {
			u, err := p.usage()
			if err != nil {
				o.err = err
				return
			}
			if u.memory() > o.peak.memory() {
				o.peak.resident, o.peak.queued = u.resident, u.queued
			}
			o.peak.descriptors = max(o.peak.descriptors, u.descriptors)
			select {
			case <-o.stop:
				return
			case <-tick.C:
			}
		}
	})
	return o
}

// end stops the observer and returns the highest usage.
func (o *observer) end() (usage, error) {
	close(o.stop)
	o.done.Wait()
	return o.peak, o.err
}

func (p *process) usage() (u usage, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return u, fmt.Errorf("statm of process %d: %q", p.pid, text)
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return u, err
	}
	u.resident = pages * os.Getpagesize()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		return u, err
	}
	u.descriptors = len(open)
	u.queued, err = p.queuedBytes()
	return u, err
}

// queuedBytes sums the queues of the connections of the process's listeners. Each line of
// /proc/net/tcp holds the local address in its second field, the state in the fourth and
// the lengths of the transmit and receive queue in the fifth, all hexadecimal.
func (p *process) queuedBytes() (int, error) {
	ports := make(map[string]bool)
	for _, address := range []string{p.callers, p.ready, p.peers} {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return 0, err
		}
		number, err := strconv.Atoi(port)
		if err != nil {
			return 0, err
		}
		ports[fmt.Sprintf("%04X", number)] = true
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	const listening = "0A"
	total := 0
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		if _, port, _ := strings.Cut(fields[1], ":"); !ports[port] {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			n, err := strconv.ParseInt(queue, 16, 64)
			if err != nil {
				return 0, err
			}
			total += int(n)
		}
	}
	return total, lines.Err()
}
