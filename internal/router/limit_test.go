package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// newRateLimitedFixture returns a fixture whose account, limited to two requests per
// second, was refused with the given retry delay.
func newRateLimitedFixture(t *testing.T, after time.Duration) *fixture {
	f := newFixture(t)
	ct := f.cfg.Contracts["a"]
	ct.RequestsPerSecond, ct.Revision = 2, 7
	f.cfg.Contracts["a"] = ct
	_, end := f.serve(idempotent())
	f.deliver(wire.KindRefusal, wire.Refusal{ID: f.nextTicket().ID, Pool: "p", Code: fault.RateLimited, RetryAfter: after})
	err := fault.As(<-end)
	f.Assert(err.Code, qt.Equals, fault.RateLimited)
	f.Assert(err.RetryAfter, qt.Equals, after)
	return f
}

// Guards against two messages to and from the scheduler for each refused request of a flood,
// and against telling all refused callers to retry at the same time.
func TestRateLimitIsEnforcedLocally(t *testing.T) {
	f := newRateLimitedFixture(t, 100*time.Millisecond)
	f.advance(40 * time.Millisecond)
	for i := range 2 {
		_, end := f.serve(idempotent())
		err := fault.As(<-end)
		f.Assert(err.Code, qt.Equals, fault.RateLimited)
		f.Assert(err.RunState, qt.Equals, fault.NotRun)
		f.Assert(err.RetryAfter, qt.Equals, 60*time.Millisecond+time.Duration(i+1)*500*time.Millisecond)
	}
	f.Assert(f.sent, qt.HasLen, 0)
	f.advance(60 * time.Millisecond)
	_, end := f.serve(idempotent())
	f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
	f.nextMessage(wire.KindFinish)
	f.Assert(<-end, qt.IsNil)
}

// Guards against refusing requests locally for too long: after the contract changed, after
// the pool got a new scheduler, or for a long retry delay, which may come from an old
// revision of the contract.
func TestThrottleEnds(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"changed contract": func(f *fixture) {
			ct := f.cfg.Contracts["a"]
			ct.Revision++
			f.cfg.Contracts["a"] = ct
		},
		"new scheduler": func(f *fixture) {
			f.r.LeasesChanged([]wire.Lease{{Pool: "p", Host: "s", Fence: 6}})
			f.nextMessage(wire.KindSync)
		},
		"longest time": func(f *fixture) { f.advance(maxThrottle) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRateLimitedFixture(t, time.Hour/120)
			end(f)
			_, _ = f.serve(idempotent())
			f.nextTicket()
		})
	}
}
