package fault

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a wrapped failure that loses its code, so that the caller gets an internal
// error in place of a refusal.
func TestAsFindsWrappedError(t *testing.T) {
	c := qt.New(t)
	inner := New(QueueFull, NotRun, "account %s has %d waiting requests", "a", 3)
	outer := errors.Join(errors.New("admission"), inner)
	got := As(outer)
	c.Assert(got.Code, qt.Equals, QueueFull)
	c.Assert(got.RunState, qt.Equals, NotRun)
	c.Assert(got.Error(), qt.Equals, "queue_full: account a has 3 waiting requests")
}

// Guards against an unknown failure that claims that a request did not run.
func TestAsOfUnknownErrorMayHaveRun(t *testing.T) {
	c := qt.New(t)
	c.Assert(As(errors.New("x")).RunState, qt.Equals, MayHaveRun)
	c.Assert(Wrap(nil, Internal, NotRun, "x"), qt.IsNil)
}
