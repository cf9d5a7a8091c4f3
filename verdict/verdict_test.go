package verdict_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

func TestOf_Cases(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, "queue_full", "queue of %d is full", 8)
	cases := []struct {
		name string
		err  error
		want verdict.Verdict
	}{
		{"nil error", nil, verdict.Ran},
		{"error without a verdict", io.ErrUnexpectedEOF, verdict.MayHaveRun},
		{"error with a verdict", notRun, verdict.NotRun},
		{"wrapped error keeps the verdict", errors.Wrap(notRun, "send"), verdict.NotRun},
		{"outermost wins", verdict.Wrap(notRun, verdict.MayHaveRun, "reset"), verdict.MayHaveRun},
	}
	for _, c := range cases {
		if got := verdict.Of(c.err); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestVerdict_TextRoundTrip(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		text, _ := v.MarshalText()
		got := verdict.Ran
		if err := got.UnmarshalText(text); err != nil || got != v {
			t.Errorf("%v: got %v, %v", v, got, err)
		}
	}
	got := verdict.Ran
	if err := got.UnmarshalText([]byte("undefined")); err == nil || got != verdict.MayHaveRun {
		t.Errorf("unknown value: got %v, %v", got, err)
	}
}

func Example() {
	err := verdict.New(verdict.NotRun, "queue_full", "queue is full").WithRetryAfter(2 * time.Second)
	fmt.Println(verdict.Of(err), verdict.ReasonOf(err), verdict.RetryAfterOf(err))
	// Output: not_run queue_full 2s
}
