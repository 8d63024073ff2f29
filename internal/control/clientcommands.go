package control

import (
	"context"
	"slices"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// Change applies configuration changes atomically and returns the new revision. When no
// answer arrives before ctx ends, it returns a Timeout with run state MayHaveRun; a repeat
// with the same request id then returns the first answer.
func (c *Client) Change(ctx context.Context, requestID, operator string, changes []config.Change) (revision uint64, err error) {
	r, err := c.proposeAndWait(ctx, state.Command{Config: &state.ConfigChange{RequestID: requestID, Operator: operator, Changes: changes}})
	return r.Revision, err
}

// Claim claims an idempotency key. If the claim is not confirmed, it returns
// ClaimUnavailable with run state NotRun: without a confirmed claim the caller must not run
// the request. The caller then calls ReleaseClaim.
func (c *Client) Claim(ctx context.Context, r state.ClaimRequest) (state.ClaimAnswer, error) {
	res, err := c.proposeAndWait(ctx, state.Command{Claim: &r})
	switch f := fault.As(err); {
	case err == nil && res.Claim != nil:
		return *res.Claim, nil
	case err == nil:
		return state.ClaimAnswer{}, fault.New(fault.Internal, fault.NotRun, "the answer holds no claim")
	case f.Code == fault.Timeout || f.Code == fault.QueueFull || f.Code == fault.NoQuorum:
		return state.ClaimAnswer{}, fault.Wrap(err, fault.ClaimUnavailable, fault.NotRun, "the claim was not confirmed")
	}
	return state.ClaimAnswer{}, err
}

// FinishClaim records that a claimed request ran. A Timeout means that the record may
// or may not exist; the call may be repeated.
func (c *Client) FinishClaim(ctx context.Context, r state.ClaimFinish) error {
	_, err := c.proposeAndWait(ctx, state.Command{Finish: &r})
	return err
}

// ReleaseClaim records that a claimed request did not run. Only after it returns nil
// may "not run" be reported for the request.
func (c *Client) ReleaseClaim(ctx context.Context, r state.ClaimRelease) error {
	_, err := c.proposeAndWait(ctx, state.Command{Unclaim: &r})
	return err
}

// MarkCrash records a crash mark. A failure is only logged, since the pool's scheduler
// keeps its own copy.
func (c *Client) MarkCrash(ctx context.Context, pool string, fingerprint wire.Digest, upstream string) {
	if _, err := c.proposeAndWait(ctx, state.Command{Mark: &state.CrashMark{Pool: pool, Fingerprint: fingerprint, Upstream: upstream}}); err != nil {
		c.opts.Log.WithError(err).Warn("Failed to record a crash mark.")
	}
}

// ChangeCrashMarks records the marks of one crash, and removes marks that are disproved. A
// failure is only logged, since this host keeps its own copy.
func (c *Client) ChangeCrashMarks(ctx context.Context, added, disproved []state.CrashMark) {
	if _, err := c.proposeAndWait(ctx, state.Command{CrashMarks: &state.CrashMarkChange{Added: added, Disproved: disproved}}); err != nil {
		c.opts.Log.WithError(err).WithField("added", len(added)).WithField("disproved", len(disproved)).Warn("Failed to change the crash marks.")
	}
}

// LiftQuarantine removes the crash marks of a request or prompt part, so that all hosts admit it again. It fails with
// NotFound if this host knows of none.
func (c *Client) LiftQuarantine(ctx context.Context, fingerprint wire.Digest) error {
	marks := slices.DeleteFunc(c.CrashMarks(), func(m state.CrashMark) bool { return m.Fingerprint != fingerprint })
	if len(marks) == 0 {
		return fault.New(fault.NotFound, fault.NotRun, "nothing with the fingerprint %s has crashed an upstream", fingerprint)
	}
	_, err := c.proposeAndWait(ctx, state.Command{CrashMarks: &state.CrashMarkChange{Disproved: marks}})
	return err
}

// ChangeStreams records where streams began, and asks where others did.
func (c *Client) ChangeStreams(ctx context.Context, change *wire.StreamChange) (*wire.StreamAnswer, error) {
	r, err := c.proposeAndWait(ctx, state.StreamCommand(change))
	if err == nil && r.Streams == nil {
		err = fault.New(fault.Internal, fault.NotRun, "the answer holds no streams")
	}
	return r.Streams, err
}

// IssueOrder puts an order into the log and returns its fencing number and status. A repeat
// with the same request id returns the status at the time of the repeat.
func (c *Client) IssueOrder(ctx context.Context, requestID string, o state.Order) (state.OrderResult, error) {
	r, err := c.proposeAndWait(ctx, state.Command{Order: &state.OrderIssue{RequestID: requestID, Order: o}})
	if err != nil || r.Order == nil {
		return state.OrderResult{}, err
	}
	return *r.Order, nil
}
