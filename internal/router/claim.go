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

// keptAnswer is the stored answer of a finished non-idempotent request.
type keptAnswer struct {
	Status      int
	ContentType string
	Header      [][2]string
	Body        []byte
	// Code and Message are set when the request ran and the upstream reported a failure.
	Code    fault.Code
	Message string
}

// replayedHeader marks an answer that comes from the record and not from a new run.
const replayedHeader = "X-Replayed"

// serveClaimed runs a non-idempotent request. The claim is committed before a byte
// goes to an upstream, so a resend through any router finds it.
func (r *Router) serveClaimed(ctx context.Context, u *run) error {
	if u.call.Key == "" {
		return fault.New(fault.KeyRequired, fault.NotRun, "this route needs an Idempotency-Key")
	}
	attempt := uuid.NewString()
	answer, err := r.claim(ctx, u, attempt)
	if err != nil {
		return err
	}
	if !answer.Granted {
		r.counters.replays.Inc(1)
		return replay(u, answer.Answer)
	}
	r.counters.claims.Inc(1)
	err = r.attempts(ctx, u)
	if err == nil {
		return nil
	}
	f := fault.As(err)
	switch f.Run {
	case fault.NotRun:
		return r.release(u, attempt, f)
	case fault.RanAndFailed:
		r.record(u, keptAnswer{Code: f.Code, Message: f.Message()})
	}
	return f
}

// claim opens the claim. When the outcome is unknown the request is not sent: only the
// holder of this attempt id could run it, so "not run" is true, and the attempt is
// released in the background.
func (r *Router) claim(ctx context.Context, u *run, attempt string) (state.ClaimAnswer, error) {
	u.attempt = attempt
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := r.o.Control.Claim(claimCtx, state.ClaimRequest{
		Account: u.call.Account, Key: u.call.Key, Body: u.call.Fingerprint, Attempt: attempt,
	})
	if err == nil {
		return answer, nil
	}
	f := fault.As(err)
	switch f.Code {
	case fault.ClaimOpen, fault.AnswerNotKept, fault.KeyReused, fault.KeyExpired, fault.KeyInvalid, fault.BadRequest:
		return answer, f
	}
	go r.releaseInBackground(u, attempt)
	return answer, fault.Wrap(err, fault.ClaimUnavailable, fault.NotRun, "claim was not confirmed")
}

// release commits the release of a claim before "not run" is told. Without that
// confirmation a resend would find the claim open, so the caller is told "may have run".
func (r *Router) release(u *run, attempt string, f *fault.Error) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	err := r.o.Control.ReleaseClaim(ctx, state.ClaimRelease{Account: u.call.Account, Key: u.call.Key, Attempt: attempt})
	if err == nil {
		return f
	}
	go r.releaseInBackground(u, attempt)
	c := *f
	c.Run = fault.MayHaveRun
	return &c
}

// releaseInBackground repeats a release for one minute. A claim that stays open is
// safe: resends get "may have run".
func (r *Router) releaseInBackground(u *run, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		err := r.o.Control.ReleaseClaim(ctx, state.ClaimRelease{Account: u.call.Account, Key: u.call.Key, Attempt: attempt})
		if err == nil || fault.CodeOf(err) == fault.AnswerNotKept || !wait.For(ctx, time.Second) {
			return
		}
	}
}

// recordAnswer records the upstream's answer to a claimed request.
func (r *Router) recordAnswer(u *run) {
	s := u.sink
	r.record(u, keptAnswer{Status: s.status, ContentType: s.contentType, Header: s.header, Body: s.held})
}

// record commits the end of a claimed request with its answer, so that a resend gets
// the same answer. The caller gets the answer even if this fails.
func (r *Router) record(u *run, k keptAnswer) {
	finish := state.ClaimFinish{Account: u.call.Account, Key: u.call.Key, Attempt: u.attempt}
	b, err := wire.Marshal(k)
	if err != nil || len(b) > state.MaxAnswerBytes {
		finish.TooLarge = true
	} else {
		finish.Answer = b
	}
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := r.o.Control.FinishClaim(ctx, finish); err != nil {
		r.o.Log.WithError(err).Warn("End of a claimed request not recorded.")
	}
}

func replay(u *run, stored []byte) error {
	var k keptAnswer
	if err := wire.Unmarshal(stored, &k); err != nil {
		return fault.Wrap(err, fault.AnswerNotKept, fault.MayHaveRun, "stored answer is unreadable")
	}
	if k.Code != "" {
		return fault.New(k.Code, fault.RanAndFailed, "%s", k.Message)
	}
	header := append([][2]string{{replayedHeader, "true"}}, k.Header...)
	if err := u.sink.answer.Begin(k.Status, k.ContentType, header); err != nil {
		return err
	}
	return u.sink.answer.Write(k.Body)
}
