package wait

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a wait that goes on after its context has ended, which would delay the
// end of background work.
func TestForEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool, 1)
	go func() { done <- For(ctx, time.Hour) }()
	cancel()
	c.Assert(<-done, qt.IsFalse)
	c.Assert(For(ctx, 0), qt.IsFalse)
	c.Assert(For(context.Background(), time.Nanosecond), qt.IsTrue)
}
