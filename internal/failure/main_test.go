package failure_test

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent makes collections rarer than the default: the heaps are small, so
// that memory is cheaper than the processor time of frequent collections.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
