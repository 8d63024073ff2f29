// Package fault defines the error type that packages return to each other.
//
// Each failure has a stable code and a run state that says whether the caller's
// request may have reached an upstream.
package fault

import (
	"errors"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// Code identifies a kind of failure. Codes are stable and part of the caller interface.
type Code string

// RunState says whether a request may have run when it failed.
type RunState string

// Run states reported to callers in the X-Run-State header.
const (
	// NotRun means that the request did not run and will not run later.
	NotRun RunState = "not_run"
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun RunState = "may_have_run"
	// RanAndFailed means that an upstream ran the request and reported a failure.
	RanAndFailed RunState = "ran_and_failed"
)

// Codes of refusals and failures.
const (
	BadRequest             Code = "bad_request"
	Unauthenticated        Code = "unauthenticated"
	Forbidden              Code = "forbidden"
	NotFound               Code = "not_found"
	BodyTooLarge           Code = "body_too_large"
	HeaderTooLarge         Code = "header_too_large"
	PoolNotAllowed         Code = "pool_not_allowed"
	PoolUnknown            Code = "pool_unknown"
	RateLimited            Code = "rate_limited"
	QueueFull              Code = "queue_full"
	WaitExpired            Code = "wait_expired"
	RunExpired             Code = "run_expired"
	RetryBudgetSpent       Code = "retry_budget_spent"
	CrashesUpstreams       Code = "request_crashes_upstreams"
	HostIsolated           Code = "host_isolated"
	HostLeaving            Code = "host_leaving"
	HostOverloaded         Code = "host_overloaded"
	SchedulerLost          Code = "scheduler_lost"
	UpstreamFailed         Code = "upstream_failed"
	UpstreamGarbled        Code = "upstream_garbled"
	UpstreamRefused        Code = "upstream_refused"
	UpstreamExcluded       Code = "upstream_excluded"
	StreamCut              Code = "stream_cut"
	StreamOriginUnknown    Code = "stream_origin_unknown"
	StreamVersionGone      Code = "stream_version_gone"
	CallerGone             Code = "caller_gone"
	IdempotencyKeyRequired Code = "key_required"
	IdempotencyKeyInvalid  Code = "key_invalid"
	IdempotencyKeyExpired  Code = "key_expired"
	IdempotencyKeyReused   Code = "key_reused"
	ClaimOpen              Code = "claim_open"
	AnswerNotKept          Code = "answer_not_kept"
	ClaimUnavailable       Code = "claim_unavailable"
	RevisionConflict       Code = "revision_conflict"
	InvalidConfig          Code = "invalid_config"
	InvalidSettings        Code = "invalid_settings"
	NotLeader              Code = "not_leader"
	NoQuorum               Code = "no_quorum"
	NotFormed              Code = "group_not_formed"
	AlreadyFormed          Code = "group_already_formed"
	RegionUnreachable      Code = "region_unreachable"
	StaleFence             Code = "stale_fence"
	StorageFailed          Code = "storage_failed"
	StorageCorrupt         Code = "storage_corrupt"
	StorageForeign         Code = "storage_foreign"
	PeerUnauthorised       Code = "peer_unauthorised"
	PeerUnreachable        Code = "peer_unreachable"
	FrameInvalid           Code = "frame_invalid"
	FrameTooLarge          Code = "frame_too_large"
	Timeout                Code = "timeout"
	Internal               Code = "internal"
	OrderFailed            Code = "order_failed"
	MembershipConflict     Code = "membership_conflict"
)

// Error is a failure with a code and a run state.
type Error struct {
	// Code is the kind of the failure.
	Code Code
	// RunState is the run state of the caller's request; empty where no request is concerned.
	RunState RunState
	// RetryAfter is the shortest delay after which a retry is useful; zero means unknown.
	RetryAfter time.Duration
	// Revision is the current revision of the object for RevisionConflict.
	Revision uint64

	err error
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.err.Error() }

// Unwrap returns the underlying error with its context.
func (e *Error) Unwrap() error { return e.err }

// Message returns the text without the code.
func (e *Error) Message() string { return e.err.Error() }

// New returns an Error with a formatted message.
func New(code Code, run RunState, format string, args ...any) *Error {
	return &Error{Code: code, RunState: run, err: oops.Code(string(code)).Errorf(format, args...)}
}

// Wrap returns an Error that keeps cause in its chain. It returns nil for a nil cause.
func Wrap(cause error, code Code, run RunState, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Code: code, RunState: run, err: oops.Code(string(code)).Wrapf(cause, format, args...)}
}

// WithRetryAfter returns a copy of e with a retry delay.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// FormatRetryAfter formats a retry delay for callers of routed services: in seconds, with
// three decimals.
func FormatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// As returns the first Error in the chain of err, or an Internal error that wraps err.
// It returns nil for a nil err.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, RunState: MayHaveRun, err: err}
}

// CodeOf returns the code of err, or the empty code for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return As(err).Code
}
