package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// limited returns a fixture whose account at two requests per second was refused with
// the given delay.
func limited(t *testing.T, after time.Duration) *fixture {
	f := newFixture(t)
	ct := f.cfg.Contracts["a"]
	ct.RequestsPerSecond, ct.Revision = 2, 7
	f.cfg.Contracts["a"] = ct
	_, end := f.serve(idempotent())
	f.deliver(wire.KindRefuse, wire.Refuse{ID: f.ticket().ID, Pool: "p", Code: fault.RateLimited, RetryAfter: after})
	err := fault.As(<-end)
	f.Assert(err.Code, qt.Equals, fault.RateLimited)
	f.Assert(err.RetryAfter, qt.Equals, after)
	return f
}

// Guards against a flood that costs a message pair per refused request, and against
// refused callers that all come back at the same moment.
func TestSpentRateIsRefusedHere(t *testing.T) {
	f := limited(t, 100*time.Millisecond)
	f.advance(40 * time.Millisecond)
	for i := range 2 {
		_, end := f.serve(idempotent())
		err := fault.As(<-end)
		f.Assert(err.Code, qt.Equals, fault.RateLimited)
		f.Assert(err.Run, qt.Equals, fault.NotRun)
		f.Assert(err.RetryAfter, qt.Equals, 60*time.Millisecond+time.Duration(i+1)*500*time.Millisecond)
	}
	f.Assert(f.sent, qt.HasLen, 0)
	f.advance(60 * time.Millisecond)
	_, end := f.serve(idempotent())
	f.deliver(wire.KindGrant, f.grant(f.ticket(), "u1"))
	f.next(wire.KindFinish)
	f.Assert(<-end, qt.IsNil)
}

// Guards against a router that goes on refusing after the reason is gone: a changed
// contract, a new scheduler, or a long delay by an old revision of the contract.
func TestRateHoldEnds(t *testing.T) {
	for name, open := range map[string]func(f *fixture){
		"changed contract": func(f *fixture) {
			ct := f.cfg.Contracts["a"]
			ct.Revision++
			f.cfg.Contracts["a"] = ct
		},
		"new scheduler": func(f *fixture) {
			f.r.LeasesChanged([]wire.Lease{{Pool: "p", Host: "s", Fence: 6}})
			f.next(wire.KindSync)
		},
		"longest time": func(f *fixture) { f.advance(maxRateHold) },
	} {
		t.Run(name, func(t *testing.T) {
			f := limited(t, time.Hour/120)
			open(f)
			_, _ = f.serve(idempotent())
			f.ticket()
		})
	}
}
