package retry

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Guards against a retry of a non-idempotent request that may have run, and against a false
// "not run".
func TestRunStateAndRetryability(t *testing.T) {
	for _, tc := range []struct {
		outcome                   wire.Outcome
		run                       fault.RunState
		nonIdempotent, idempotent bool
	}{
		{wire.OutcomeDone, fault.RanAndFailed, false, false},
		{wire.OutcomeRefused, fault.NotRun, true, true},
		{wire.OutcomeUnreachable, fault.NotRun, true, true},
		{wire.OutcomeBroken, fault.MayHaveRun, false, true},
		{wire.OutcomeCancelled, fault.MayHaveRun, false, false},
		{wire.OutcomeFailed, fault.RanAndFailed, false, false},
		{wire.Outcome(0), fault.MayHaveRun, false, false},
		{wire.Outcome(99), fault.MayHaveRun, false, false},
	} {
		c := qt.New(t)
		c.Check(RunStateOf(tc.outcome), qt.Equals, tc.run, qt.Commentf("outcome %d", tc.outcome))
		c.Check(Retryable(tc.outcome, false), qt.Equals, tc.nonIdempotent, qt.Commentf("outcome %d", tc.outcome))
		c.Check(Retryable(tc.outcome, true), qt.Equals, tc.idempotent, qt.Commentf("outcome %d", tc.outcome))
	}
}

// Guards against more retries than the percentage allows, and against a budget that
// grows without bound while nothing fails.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(10)
	c.Check(b.Take(), qt.IsFalse)
	retries := 0
	for range 1000 {
		b.AddFirstAttempt()
		if b.Take() {
			retries++
		}
	}
	c.Check(retries, qt.Equals, 100)
	for range 100 * MaxTokens {
		b.AddFirstAttempt()
	}
	c.Check(b.Tokens(), qt.Equals, float64(MaxTokens))
	b = NewBudget(-5)
	b.AddFirstAttempt()
	c.Check(b.Take(), qt.IsFalse)
	b = NewBudget(math.Inf(1))
	b.AddFirstAttempt()
	c.Check(b.Take(), qt.IsTrue)
}
