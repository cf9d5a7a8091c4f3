package owner

import (
	"testing"

	"github.com/pkg/errors"
)

// Guards against a busy loop: a request that the daemon answers itself takes
// no time, so without a pause a refused one would be repeated at once.
func TestRequestPauseAfter_IsNeverZero(t *testing.T) {
	for _, err := range []error{nil, errors.New("no answer")} {
		if requestPauseAfter(err) <= 0 {
			t.Errorf("no pause after %v", err)
		}
	}
}
