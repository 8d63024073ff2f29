package router

import (
	"context"
	"time"

	"github.com/google/uuid"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wait"
	"marigoldshunt/internal/wire"
)

// keptAnswer is the stored answer to a finished non-idempotent request.
type keptAnswer struct {
	Status      int
	ContentType string
	Header      [][2]string
	Body        []byte
	// Code and Message are set when the request ran and the upstream reported a failure.
	Code    fault.Code
	Message string
}

// replayedHeader marks an answer that was stored by an earlier run of the request.
const replayedHeader = "X-Replayed"

// serveClaimed runs a non-idempotent request. The claim is committed before any byte
// is sent to an upstream, so a resend through any router finds it.
func (r *Router) serveClaimed(ctx context.Context, cs *callState) error {
	if cs.call.IdempotencyKey == "" {
		return fault.New(fault.IdempotencyKeyRequired, fault.NotRun, "this route needs an Idempotency-Key")
	}
	claimAttempt := uuid.NewString()
	answer, err := r.openClaim(ctx, cs, claimAttempt)
	if err != nil {
		return err
	}
	if !answer.Granted {
		r.counters.replays.Inc(1)
		return replayAnswer(cs, answer.Answer)
	}
	r.counters.claims.Inc(1)
	err = r.runAttempts(ctx, cs)
	if err == nil {
		return nil
	}
	f := fault.As(err)
	switch f.RunState {
	case fault.NotRun:
		return r.releaseClaim(cs, claimAttempt, f)
	case fault.RanAndFailed:
		r.finishClaim(cs, keptAnswer{Code: f.Code, Message: f.Message()})
	}
	return f
}

// openClaim commits the claim for the request. If the outcome of the commit is unknown,
// the request is not sent. Only the holder of this attempt id could run it, so "not run"
// is correct, and the claim is released in the background.
func (r *Router) openClaim(ctx context.Context, cs *callState, claimAttempt string) (state.ClaimAnswer, error) {
	cs.claimAttempt = claimAttempt
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := r.opts.Control.Claim(claimCtx, state.ClaimRequest{
		Account: cs.call.Account, Key: cs.call.IdempotencyKey, Body: cs.call.Fingerprint, Attempt: claimAttempt,
	})
	if err == nil {
		return answer, nil
	}
	f := fault.As(err)
	switch f.Code {
	case fault.ClaimOpen, fault.AnswerNotKept, fault.IdempotencyKeyReused, fault.IdempotencyKeyExpired, fault.IdempotencyKeyInvalid, fault.BadRequest:
		return answer, f
	}
	go r.retryReleaseInBackground(cs, claimAttempt)
	return answer, fault.Wrap(err, fault.ClaimUnavailable, fault.NotRun, "claim was not confirmed")
}

// releaseClaim commits the release of a claim before the caller gets "not run". If the
// release is not confirmed, a resend may find the claim open, so the caller gets "may
// have run".
func (r *Router) releaseClaim(cs *callState, claimAttempt string, f *fault.Error) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	err := r.opts.Control.ReleaseClaim(ctx, state.ClaimRelease{Account: cs.call.Account, Key: cs.call.IdempotencyKey, Attempt: claimAttempt})
	if err == nil {
		return f
	}
	go r.retryReleaseInBackground(cs, claimAttempt)
	c := *f
	c.RunState = fault.MayHaveRun
	return &c
}

// retryReleaseInBackground retries the release of a claim for one minute. A claim that
// stays open is safe: resends get "may have run".
func (r *Router) retryReleaseInBackground(cs *callState, claimAttempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		err := r.opts.Control.ReleaseClaim(ctx, state.ClaimRelease{Account: cs.call.Account, Key: cs.call.IdempotencyKey, Attempt: claimAttempt})
		if err == nil || fault.CodeOf(err) == fault.AnswerNotKept || !wait.For(ctx, time.Second) {
			return
		}
	}
}

// recordAnswer records the upstream's answer to a claimed request.
func (r *Router) recordAnswer(cs *callState) {
	s := cs.sink
	r.finishClaim(cs, keptAnswer{Status: s.status, ContentType: s.contentType, Header: s.header, Body: s.body})
}

// finishClaim commits the end of a claimed request with its answer, so that a resend
// gets the same answer. The caller gets the answer even if the commit fails.
func (r *Router) finishClaim(cs *callState, k keptAnswer) {
	finish := state.ClaimFinish{Account: cs.call.Account, Key: cs.call.IdempotencyKey, Attempt: cs.claimAttempt}
	b, err := wire.Marshal(k)
	if err != nil || len(b) > state.MaxClaimAnswerBytes {
		finish.TooLarge = true
	} else {
		finish.Answer = b
	}
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := r.opts.Control.FinishClaim(ctx, finish); err != nil {
		r.opts.Log.WithError(err).Warn("Failed to record the end of a claimed request.")
	}
}

func replayAnswer(cs *callState, stored []byte) error {
	var k keptAnswer
	if err := wire.Unmarshal(stored, &k); err != nil {
		return fault.Wrap(err, fault.AnswerNotKept, fault.MayHaveRun, "stored answer is unreadable")
	}
	if k.Code != "" {
		return fault.New(k.Code, fault.RanAndFailed, "%s", k.Message)
	}
	header := append([][2]string{{replayedHeader, "true"}}, k.Header...)
	if err := cs.sink.answer.Begin(k.Status, k.ContentType, header); err != nil {
		return err
	}
	return cs.sink.answer.Write(k.Body)
}
