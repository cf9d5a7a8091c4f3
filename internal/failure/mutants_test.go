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

var mutate = flag.Bool("mutants", false, "build the daemon with deliberate faults and check that each is caught")

// edit replaces one piece of a source file.
type edit struct{ file, old, new string }

// mutant is a deliberate fault in the product's code, the row of faults that
// shows it, and the promise that it breaks. The code is changed only in an
// overlay of the build.
type mutant struct {
	name    string
	edits   []edit
	row     string
	promise string
}

var mutants = []mutant{
	{"acknowledge before the append", []edit{{"logclient/append.go", "	select {\n	case <-u.done:\n	case <-ctx.Done():\n		c.abandon(u, ctx.Err())\n	}\n	return u.offset, u.err\n}\n\nfunc (c *Client) newPendingAppend", "	return u.offset, nil\n}\n\nfunc (c *Client) newPendingAppend"}},
		"TestFaults_Alone/log_down$", nothingLost},
	{"report a publication as accepted whatever the log's order says", []edit{{"internal/operator/changes.go", "if s.outcome.RefusalReason != \"\" {\n		p.refusePublication", "if false {\n		p.refusePublication"}},
		"TestFaults_Alone/operators_race", neverOlder},
	{"report a conflicting publication as accepted", []edit{{"internal/operator/changes.go", "if s.outcome.RefusalReason != \"\" {\n		p.refusePublication", "if false {\n		p.refusePublication"}},
		"TestFaults_Alone/operators_race", oneOrder},
	{"apply documents by arrival order", []edit{{"state/documents.go", "if base != revision && !(withdrawn && base == 0) {", "if base > revision+1000 && !withdrawn {"}},
		"TestFaults_Alone/operators_race", neverOlder},
	{"skip the wait of a takeover", []edit{{"ownership/ownership.go", "	return p.Timing.TakeoverWait\n}", "	return 0\n}"}},
		"TestFaults_Alone/owner_cut_off", noOverCommit},
	{"call a broken request not run", []edit{{"internal/adapter/backendhttp/conn.go", "	case left:\n		return verdict.Wrap(err, verdict.MayHaveRun", "	case left:\n		return verdict.Wrap(err, verdict.NotRun"}},
		"TestFaults_Alone/backend_server_loses_answers", atMostOnce},
	{"pass on an answer with another request's ID", []edit{
		{"internal/adapter/backendhttp/backendhttp.go", "if id != request.ID {", "if id == \"\" {"},
		{"internal/gateway/serve.go", "response.ID != request.ID", "response.ID == \"\""}},
		"TestFaults_Alone/backend_server_crosses_answers", wholeAnswers},
	{"take a key of an earlier epoch for a new one", []edit{{"idempotency/table.go", "	start, epochKnown := t.epochStarts[key.Epoch]\n", "	start, epochKnown := t.epochStarts[key.Epoch]\n	if err == nil && !epochKnown {\n		return Decision{State: Fresh}\n	}\n"}},
		"TestFaults_Alone/answers_lost,_then", atMostOnce},
	{"run a key of an earlier epoch again", []edit{{"idempotency/table.go", "	start, epochKnown := t.epochStarts[key.Epoch]\n", "	start, epochKnown := t.epochStarts[key.Epoch]\n	if err == nil && !epochKnown {\n		return Decision{State: Fresh}\n	}\n"}},
		"TestFaults_Alone/answers_lost,_then", oneOrder},
	{"free a reservation on a timeout", []edit{{"internal/placer/poll.go", "	default:\n		a.startUncertain = true\n", "	default:\n		r.handleStartRefused(a, s.err)\n"}},
		"TestFaults_Alone/workers_lost_with_a_start", noOverCommit},
	{"take an unread worker for empty", []edit{{"internal/placer/rack.go", "priorLeasesEnd: now.Add(lease.MaxDuration(LeaseDuration))", "priorLeasesEnd: now.Add(0 * lease.MaxDuration(LeaseDuration))"}},
		"TestFaults_Alone/rack_owner_lost", noOverCommit},
	{"forget that a worker lost is still running", []edit{{"internal/placer/rack.go", "now.After(a.leaseEnd) && now.After(a.startValidUntil)", "(now.After(a.leaseEnd) || !a.leaseEnd.IsZero())"}},
		"TestFaults_Alone/worker_with_long", noOverCommit},
	{"lend more slots than there are", []edit{
		{"credit/owner.go", "	n := l.Slots - l.unreported\n	for", "	n := l.Slots + 2\n	for"},
		{"credit/owner.go", "			n += l.Slots\n", "			n += l.Slots + 2\n"}},
		"TestFaults_Alone/crest_that_moves", noOverCommit},
	{"send work to a leaving backend server", []edit{
		{"internal/gateway/registry.go", "	_, ok := r.leaving[name]\n	return ok", "	_, ok := r.leaving[name]\n	return ok && false"},
		{"credit/owner.go", "	if l.Leaving {\n		return 0\n	}\n	n :=", "	n :="}},
		"TestFaults_Alone/backend_server_leaves", leavingIsLeft},
	{"stop without waiting for what was taken", []edit{
		{"internal/gateway/gateway.go", "go func() { g.inFlight.Wait(); close(answered) }()", "close(answered)"},
		{"internal/daemon/servers.go", "err := s.callers.Shutdown(ctx)", "err := s.callers.Close()"}},
		"TestFaults_Alone/entry_VM_leaves", stopCutsNobody},
}

// mutantSeeds is how many seeds a fault has to show in. Some faults show only
// where two daemons act within the same second, in about three seeds of 16.
const mutantSeeds = "24"

// TestMutants_EachIsCaught builds the tests with each deliberate fault and
// checks that the named promise is seen to break.
func TestMutants_EachIsCaught(t *testing.T) {
	if !*mutate {
		t.Skip("run with -mutants")
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			out := runMutant(t, m)
			if !strings.Contains(out, m.promise+": ") {
				t.Errorf("not caught by row %s as %q; output ends:\n%s", m.row, m.promise, tail(out))
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

func tail(out string) string { return out[max(0, len(out)-2000):] }

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
			t.Fatalf("%s does not have %q once", e.file, e.old)
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
	cmd := exec.CommandContext(t.Context(), "go", "test", "-overlay", file, ".", "-run", m.row, "-all", "-seeds", mutantSeeds, "-parallel", "3", "-timeout", "90s")
	out, _ := cmd.CombinedOutput()
	return string(out)
}
