package failure_test

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var runMutants = flag.Bool("mutants", false, "build the tests with deliberate faults in the product's code and check that each is detected")

// edit replaces a text that occurs exactly once in a source file.
type edit struct{ file, old, new string }

// mutant is a deliberate fault in the product's code, the test that detects it,
// and the property that the test reports as violated. The code is changed only
// in a build overlay.
type mutant struct {
	name     string
	edits    []edit
	test     string
	property string
}

var mutants = []mutant{
	{"acknowledge before the append", []edit{{"logclient/append.go", "	select {\n	case <-u.done:\n	case <-ctx.Done():\n		c.abandon(u, ctx.Err())\n	}\n	return u.offset, u.err\n}\n\nfunc (c *Client) newPendingAppend", "	return u.offset, nil\n}\n\nfunc (c *Client) newPendingAppend"}},
		"TestFaults_Alone/log_down$", durability},
	{"report a publication as accepted regardless of the order in the log", []edit{{"internal/operator/changes.go", "if s.outcome.RefusalReason != \"\" {\n		p.refusePublication", "if false {\n		p.refusePublication"}},
		"TestFaults_Alone/operators_race", documentOrder},
	{"report a conflicting publication as accepted", []edit{{"internal/operator/changes.go", "if s.outcome.RefusalReason != \"\" {\n		p.refusePublication", "if false {\n		p.refusePublication"}},
		"TestFaults_Alone/operators_race", linearizable},
	{"apply documents by arrival order", []edit{{"state/documents.go", "if base != revision && !(withdrawn && base == 0) {", "if base > revision+1000 && !withdrawn {"}},
		"TestFaults_Alone/operators_race", documentOrder},
	{"skip the takeover wait", []edit{{"ownership/ownership.go", "	return p.Timing.TakeoverWait\n}", "	return 0\n}"}},
		"TestFaults_Alone/owner_cut_off", noOverCommit},
	{"report a request on a broken connection as not run", []edit{{"internal/adapter/backendhttp/conn.go", "	case maybeSent:\n		return verdict.Wrap(err, verdict.MayHaveRun", "	case maybeSent:\n		return verdict.Wrap(err, verdict.NotRun"}},
		"TestFaults_Alone/backend_server_loses_responses", atMostOnce},
	{"accept a response with another request's ID", []edit{
		{"internal/adapter/backendhttp/backendhttp.go", "if id != request.ID {", "if id == \"\" {"},
		{"internal/gateway/serve.go", "response.ID != request.ID", "response.ID == \"\""}},
		"TestFaults_Alone/backend_server_mismatches_responses", ownResponse},
	{"treat a key of an earlier epoch as new", []edit{{"idempotency/table.go", "	start, epochKnown := t.epochStarts[key.Epoch]\n", "	start, epochKnown := t.epochStarts[key.Epoch]\n	if err == nil && !epochKnown {\n		return Decision{State: Fresh}\n	}\n"}},
		"TestFaults_Alone/responses_lost,_then", atMostOnce},
	{"run a key of an earlier epoch again", []edit{{"idempotency/table.go", "	start, epochKnown := t.epochStarts[key.Epoch]\n", "	start, epochKnown := t.epochStarts[key.Epoch]\n	if err == nil && !epochKnown {\n		return Decision{State: Fresh}\n	}\n"}},
		"TestFaults_Alone/responses_lost,_then", linearizable},
	{"release a reservation when a start times out", []edit{{"internal/placer/poll.go", "	default:\n		a.startUncertain = true\n", "	default:\n		r.handleStartRefused(a, s.err)\n"}},
		"TestFaults_Alone/workers_lost_with_a_start", noOverCommit},
	{"treat a worker with an unread inventory as empty", []edit{{"internal/placer/rack.go", "priorLeasesEnd: now.Add(lease.MaxDuration(LeaseDuration))", "priorLeasesEnd: now.Add(0 * lease.MaxDuration(LeaseDuration))"}},
		"TestFaults_Alone/rack_owner_lost", noOverCommit},
	{"treat the tasks of an unreachable worker as ended", []edit{{"internal/placer/rack.go", "now.After(a.leaseEnd) && now.After(a.startValidUntil)", "(now.After(a.leaseEnd) || !a.leaseEnd.IsZero())"}},
		"TestFaults_Alone/worker_with_long", noOverCommit},
	{"lease out more slots than a backend server has", []edit{
		{"credit/owner.go", "	n := l.Slots - l.unreported\n	for", "	n := l.Slots + 2\n	for"},
		{"credit/owner.go", "			n += l.Slots\n", "			n += l.Slots + 2\n"}},
		"TestFaults_Alone/load_peak_that_moves", noOverCommit},
	{"send work to a leaving backend server", []edit{
		{"internal/gateway/registry.go", "	_, ok := r.leaving[name]\n	return ok", "	_, ok := r.leaving[name]\n	return ok && false"},
		{"credit/owner.go", "	if l.Leaving {\n		return 0\n	}\n	n :=", "	n :="}},
		"TestFaults_Alone/backend_server_leaves", leavingUnused},
	{"stop without waiting for requests in progress", []edit{
		{"internal/gateway/gateway.go", "go func() { g.inFlight.Wait(); close(answered) }()", "close(answered)"},
		{"internal/daemon/servers.go", "err := s.callers.Shutdown(ctx)", "err := s.callers.Close()"}},
		"TestFaults_Alone/entry_VM_leaves", gracefulStop},
}

// mutantSeeds is the number of seeds for each mutant. Some faults are detected
// only if two daemons act within the same second, in about 3 of 16 seeds.
const mutantSeeds = "24"

// TestMutants_EachIsDetected builds the tests with each mutant and checks that
// the named test reports a violation of the named property.
func TestMutants_EachIsDetected(t *testing.T) {
	if !*runMutants {
		t.Skip("run with -mutants")
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			out := runMutant(t, m)
			if !strings.Contains(out, m.property+": ") {
				t.Errorf("%s did not report a violation of %q; the output ends with:\n%s", m.test, m.property, lastOutput(out))
			}
		})
	}
}

func readFile(t *testing.T, name string) string {
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func lastOutput(out string) string { return out[max(0, len(out)-2000):] }

func runMutant(t *testing.T, m mutant) string {
	dir := t.TempDir()
	replace := make(map[string]string)
	texts := make(map[string]string)
	for i, e := range m.edits {
		file, err := filepath.Abs(filepath.Join("../..", e.file))
		if err != nil {
			t.Fatal(err)
		}
		text, ok := texts[file]
		if !ok {
			text = readFile(t, file)
		}
		if strings.Count(text, e.old) != 1 {
			t.Fatalf("%s must contain %q exactly once", e.file, e.old)
		}
		changed := filepath.Join(dir, strings.Repeat("x", i+1)+".go")
		texts[file] = strings.Replace(text, e.old, e.new, 1)
		if err := os.WriteFile(changed, []byte(texts[file]), 0o600); err != nil {
			t.Fatal(err)
		}
		replace[file] = changed
	}
	overlay, err := json.Marshal(struct{ Replace map[string]string }{replace})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(file, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), "go", "test", "-overlay", file, ".", "-run", m.test, "-all", "-seeds", mutantSeeds, "-parallel", "3", "-timeout", "90s")
	out, _ := cmd.CombinedOutput()
	return string(out)
}
