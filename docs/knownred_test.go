package docs_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runTestCommand runs .ci/test in a module of its own with the given list of known failing
// tests, and returns what it prints.
func runTestCommand(t *testing.T, knownRed string) (string, error) {
	t.Helper()
	script, err := os.ReadFile("../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, ".ci"), 0o755); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		".ci/test": string(script), "KNOWN-RED.txt": knownRed, "go.mod": "module known\n\ngo 1.24\n",
		"known_test.go": `package known

import "testing"

func TestGreen(t *testing.T)     {}
func TestRed(t *testing.T)       { t.Error("red") }
func TestRedBeside(t *testing.T) { t.Log("beside ran") }
func TestRows(t *testing.T) {
	t.Run("red", func(t *testing.T) { t.Error("red row") })
	t.Run("redder", func(t *testing.T) { t.Log("redder ran") })
}
`,
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	out, err := exec.Command("bash", filepath.Join(dir, ".ci/test"), "-v", "./...").CombinedOutput()
	return string(out), err
}

const redEntries = `target: no part of the tests
seen: nothing

test: TestRed
seen: it fails

test: TestRows/red
seen: it fails
`

// Guards against a command that passes over more than the listed tests: tests whose names
// begin like a listed one, other rows of its table, or none that would fail.
func TestTestCommand_PassesOverExactlyWhatIsListed(t *testing.T) {
	if testing.Short() {
		t.Skip("builds a module")
	}
	out, err := runTestCommand(t, redEntries)
	if err != nil {
		t.Errorf("with both failing tests listed: %v", err)
	}
	for _, want := range []string{"test: TestRed\n", "test: TestRows/red\n", "beside ran", "redder ran", "--- PASS: TestGreen"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q", want)
		}
	}
	if strings.Contains(out, "no part of the tests") {
		t.Error("an entry without a test is printed")
	}
	for name, list := range map[string]string{
		"none listed": "", "one listed": "test: TestRed\n", "a test that does not exist": redEntries + "\ntest: TestGone\n",
	} {
		if _, err := runTestCommand(t, list); err == nil {
			t.Errorf("%s: the command succeeds", name)
		}
	}
}
