// Package retry decides which requests may be retried and implements the retry budget of
// a pool. It uses no I/O, clock or lock.
package retry

import (
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// RunStateOf returns the run state after an attempt with outcome o. For OutcomeDone it
// returns RanAndFailed too, which then says only that the request ran to its end.
func RunStateOf(o wire.Outcome) fault.RunState {
	switch o {
	case wire.OutcomeRefused, wire.OutcomeUnreachable:
		return fault.NotRun
	case wire.OutcomeDone, wire.OutcomeFailed:
		return fault.RanAndFailed
	default:
		return fault.MayHaveRun
	}
}

// Retryable reports whether a request may be retried after the outcome. An attempt whose
// response was complete is not retried, even if the response reports a failure. Neither is
// a cancelled request, since nobody waits for its response.
func Retryable(o wire.Outcome, idempotent bool) bool {
	switch o {
	case wire.OutcomeRefused, wire.OutcomeUnreachable:
		return true
	case wire.OutcomeBroken:
		return idempotent
	default:
		return false
	}
}

// MaxTokens limits the unused budget, so that a long time without retries cannot pay for
// a retry storm. It equals the budget of 1,000 first attempts at 10 %.
const MaxTokens = 100

// Budget limits retries to a percentage of first attempts. A token pays for one retry.
type Budget struct {
	percent float64
	tokens  float64
}

// NewBudget returns an empty budget that grows by percent/100 per first attempt.
func NewBudget(percent float64) Budget {
	b := Budget{}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the percentage for later first attempts. It clamps the value to the
// range from 0 to 100.
func (b *Budget) SetPercent(percent float64) { b.percent = min(max(percent, 0), 100) }

// AddFirstAttempt adds the budget earned by one first attempt.
func (b *Budget) AddFirstAttempt() { b.tokens = min(b.tokens+b.percent/100, MaxTokens) }

// Take spends a token for one retry and reports whether the budget covered it. The small
// margin keeps rounding errors of repeated additions from refusing an earned retry.
func (b *Budget) Take() bool {
	const rounding = 1e-9
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// Tokens returns the number of retries that the budget covers now.
func (b *Budget) Tokens() float64 { return b.tokens }
