package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// longName: one submission of a size that the config allows has a name so long that its
// record is above what the store takes. It is a trial, not a case: see review/REPORT.md.
func longName(f *Fleet, trouble bool) ([]string, error) {
	const (
		bodyLimit = 262144
		ordinary  = 20
		ackTime   = 5 * time.Second
		runMS     = 60000
	)
	step := Step{Count: 1, CPU: 500, MemMB: 64, EstimatedMS: runMS}
	others := ids(1, ordinary)
	if !f.SubmitAll(others, fmt.Sprintf("ms=%d", runMS), step) || !f.AwaitRunning(ordinary, 5*time.Second) {
		return nil, fmt.Errorf("the ordinary submissions do not all run")
	}
	body := func(n int) map[string]any {
		return map[string]any{"spec": "ms=300", "steps": []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 64, "image": strings.Repeat("x", n)}}}
	}
	length := 200
	if trouble {
		empty, err := json.Marshal(body(0))
		if err != nil {
			return nil, err
		}
		length = bodyLimit - len(empty)
	}
	f.Ledger.Note("DISRUPTION a submission with a name of %d bytes", length)
	accepted := f.submit(ids(2, 1)[0], body(length))
	f.Ledger.Note("accepted: %t", accepted)
	acked := make(chan bool, ordinary)
	for _, id := range others {
		go func() { acked <- f.Cancel(id, ackTime) }()
	}
	missing := 0
	for range others {
		if !<-acked {
			missing++
		}
	}
	f.Submit(ids(3, 1)[0], "ms=300", step)
	if missing*10 > ordinary {
		return []string{fmt.Sprintf("Acks: %d of %d cancels have no 2xx or 410 after %s", missing, ordinary, ackTime)}, nil
	}
	return nil, nil
}
