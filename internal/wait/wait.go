// Package wait has the pauses of background work.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and returns false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
