package duty

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool { return SleepOrWake(ctx, d, nil) }

// SleepOrWake waits for d, for wake or until ctx ends, whichever comes first, and
// reports whether ctx is still active.
func SleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-wake:
	}
	return ctx.Err() == nil
}
