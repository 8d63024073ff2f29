// Package wait provides a sleep that ends early when a context is done.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends. It returns false if ctx ended first.
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
