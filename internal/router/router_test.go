package router

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/frontend"
	"marigoldshunt/internal/state"
	"marigoldshunt/internal/wire"
)

// Guards against a scheduler that does not know when the requests that it takes over were
// granted.
func TestSyncTellsTheAgeOfRunningRequests(t *testing.T) {
	f := newFixture(t)
	synced := make(chan wire.Sync, 1)
	f.upstream = func(_ *engine.Request, s engine.Sink) engine.Result {
		f.advance(3 * time.Second)
		f.r.PeerUp("s")
		synced <- f.nextMessage(wire.KindSync).msg.(wire.Sync)
		return completeAnswer(s)
	}
	_, end := f.serve(idempotent())
	f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
	running := (<-synced).Running
	f.Assert(running, qt.HasLen, 1)
	f.Assert(running[0].Age, qt.Equals, 3*time.Second)
	f.Assert(<-end, qt.IsNil)
}

// Guards against losing the answer or the report of its cost when nothing fails.
func TestGrantedRequestIsAnsweredAndReported(t *testing.T) {
	f := newFixture(t)
	call := idempotent()
	call.PrefixDigest, call.Header = wire.Digest{9}, [][2]string{{"Accept", "text/plain"}}
	f.upstream = func(r *engine.Request, s engine.Sink) engine.Result {
		f.Check(r.PrefixDigest, qt.Equals, wire.Digest{9})
		f.Check(r.Header, qt.HasLen, 1)
		return completeAnswer(s)
	}
	a, end := f.serve(call)
	f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
	fin := f.nextMessage(wire.KindFinish).msg.(wire.Finish)
	f.Assert(fin.Cost, qt.Equals, 7.0)
	f.Assert(<-end, qt.IsNil)
	f.Assert(string(a.body), qt.Equals, "whole")
	f.Assert(f.r.OpenRequests(), qt.Equals, 0)
}

// Guards against new requests to a data centre that was taken out of service while the
// router was disconnected: a grant older than GrantMaxAge must not be used.
func TestRejectedGrantsAreReturned(t *testing.T) {
	for name, invalidate := range map[string]func(f *fixture, g *wire.Grant){
		"too old":          func(f *fixture, _ *wire.Grant) { f.advance(GrantMaxAge + time.Millisecond) },
		"upstream out":     func(f *fixture, _ *wire.Grant) { f.cfg.Upstreams["u1"] = config.Upstream{Name: "u1", Out: true} },
		"data centre out":  func(f *fixture, _ *wire.Grant) { f.cfg.DataCentres["d"] = config.DataCentre{Name: "d", Out: true} },
		"unknown upstream": func(_ *fixture, g *wire.Grant) { g.Upstream = "none" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			ran := false
			f.upstream = func(_ *engine.Request, s engine.Sink) engine.Result { ran = true; return completeAnswer(s) }
			_, _ = f.serve(idempotent())
			tk := f.nextTicket()
			g := f.grantFor(tk, "u1")
			invalidate(f, &g)
			f.deliver(wire.KindGrant, g)
			f.nextMessage(wire.KindGrantReturn)
			again := f.nextTicket()
			f.Assert(again.ID, qt.Not(qt.Equals), tk.ID)
			f.Assert(again.Again, qt.IsTrue)
			f.Assert(ran, qt.IsFalse)
		})
	}
}

// Guards against running two requests in the same slot. After a Sync the scheduler may have
// granted the slot of an earlier grant to another request, and a grant with a lower fence is
// from a scheduler that has lost its lease.
func TestStaleGrantsAreIgnored(t *testing.T) {
	f := newFixture(t)
	_, end := f.serve(idempotent())
	tk := f.nextTicket()
	stale := f.grantFor(tk, "u1")
	f.advance(time.Millisecond)
	f.r.PeerUp("s")
	sync := f.nextMessage(wire.KindSync).msg.(wire.Sync)
	f.Assert(sync.Waiting, qt.HasLen, 1)
	f.deliver(wire.KindGrant, stale)
	lowerFence := f.grantFor(tk, "u1")
	lowerFence.Echo, lowerFence.Fence = f.Now(), 4
	f.deliver(wire.KindGrant, lowerFence)
	f.Assert(f.r.counters.grants.Count(), qt.Equals, int64(0))
	valid := f.grantFor(tk, "u2")
	valid.Echo = f.Now()
	f.deliver(wire.KindGrant, valid)
	f.Assert(f.nextMessage(wire.KindFinish).msg.(wire.Finish).Upstream, qt.Equals, "u2")
	f.Assert(<-end, qt.IsNil)
}

// Guards against a slot that idles for another round trip, because the grant of a request that
// ended after the last Sync is ignored.
func TestStaleGrantOfAnEndedRequestIsReturned(t *testing.T) {
	f := newFixture(t)
	req := f.r.openTicket(&callState{call: &frontend.Call{Account: "a", Pool: "p"}, waitUntil: time.Minute}, false, false)
	stale := f.grantFor(f.nextTicket(), "u1")
	f.advance(time.Millisecond)
	f.r.PeerUp("s")
	f.nextMessage(wire.KindSync)
	f.deliver(wire.KindGrant, stale)
	f.Assert(f.sent, qt.HasLen, 0) // the scheduler sends the grant of an open request again
	f.r.withdraw(req)
	f.nextMessage(wire.KindCancel)
	f.deliver(wire.KindGrant, stale)
	f.Assert(f.sent, qt.HasLen, 1)
	f.Assert(f.nextMessage(wire.KindGrantReturn).msg.(wire.GrantReturn).ID, qt.Equals, stale.ID)
	stale.Fence = 4
	f.deliver(wire.KindGrant, stale)
	f.Assert(f.sent, qt.HasLen, 0)
}

// Guards against leaking a slot when its grant arrives after the wait has expired.
func TestLateGrantIsReturned(t *testing.T) {
	f := newFixture(t)
	call := idempotent()
	call.Deadline = time.Now().Add(20 * time.Millisecond)
	_, end := f.serve(call)
	tk := f.nextTicket()
	err := <-end
	f.Assert(fault.CodeOf(err), qt.Equals, fault.WaitExpired)
	f.Assert(fault.As(err).RunState, qt.Equals, fault.NotRun)
	f.nextMessage(wire.KindCancel)
	f.deliver(wire.KindGrant, f.grantFor(tk, "u1"))
	f.nextMessage(wire.KindGrantReturn)
}

// Guards against leaking a slot when the wait expires at the moment its grant arrives.
func TestGrantAtTheEndOfTheWaitIsReturned(t *testing.T) {
	f := newFixture(t)
	req := f.r.openTicket(&callState{call: &frontend.Call{Account: "a", Pool: "p"}, waitUntil: time.Minute}, false, false)
	f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
	f.r.withdraw(req)
	f.Assert(f.nextMessage(wire.KindGrantReturn).msg.(wire.GrantReturn).ID, qt.Equals, req.ticket.ID)
}

// Guards against wrong retries. Only a request that provably did not run, or an
// idempotent one, may be sent again, and a caller that has a partial answer must not get
// another one.
func TestRetries(t *testing.T) {
	broken := func(r *engine.Request, s engine.Sink, begin bool) engine.Result {
		if begin {
			s.Begin(200, "text/event-stream", nil)
			s.Write([]byte("part"))
		}
		return engine.Result{Outcome: wire.OutcomeBroken, ResponseBegan: begin, DeliveredEvents: 3}
	}
	for _, c := range []struct {
		name     string
		call     frontend.Call
		resume   bool
		first    func(r *engine.Request, s engine.Sink) engine.Result
		retried  bool
		code     fault.Code
		runState fault.RunState
	}{
		{"non-idempotent refused before start", nonIdempotent(), false, func(*engine.Request, engine.Sink) engine.Result {
			return engine.Result{Outcome: wire.OutcomeRefused}
		}, true, "", ""},
		{"non-idempotent unreachable", nonIdempotent(), false, func(*engine.Request, engine.Sink) engine.Result {
			return engine.Result{Outcome: wire.OutcomeUnreachable}
		}, true, "", ""},
		{"non-idempotent broken", nonIdempotent(), false, func(r *engine.Request, s engine.Sink) engine.Result {
			return broken(r, s, false)
		}, false, fault.UpstreamFailed, fault.MayHaveRun},
		{"idempotent broken", idempotent(), false, func(r *engine.Request, s engine.Sink) engine.Result {
			return broken(r, s, false)
		}, true, "", ""},
		{"partial answer", idempotent(), false, func(r *engine.Request, s engine.Sink) engine.Result {
			return broken(r, s, true)
		}, false, fault.StreamCut, fault.MayHaveRun},
		{"partial stream resumed", frontend.Call{Idempotent: true, Stream: true}, true, func(r *engine.Request, s engine.Sink) engine.Result {
			return broken(r, s, true)
		}, true, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.cfg.Pools["p"] = config.Pool{Name: "p", Resume: c.resume}
			runs := 0
			f.upstream = func(r *engine.Request, s engine.Sink) engine.Result {
				runs++
				if runs == 1 {
					return c.first(r, s)
				}
				if c.resume {
					f.Check(r.Offset, qt.Equals, 3)
				}
				return completeAnswer(s)
			}
			_, end := f.serve(c.call)
			f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
			f.nextMessage(wire.KindFinish)
			if c.retried {
				tk := f.nextTicket()
				f.Assert(tk.Retry, qt.IsTrue)
				f.Assert(tk.Avoid, qt.Equals, "u1")
				f.deliver(wire.KindGrant, f.grantFor(tk, "u2"))
				f.Assert(<-end, qt.IsNil)
				return
			}
			err := <-end
			f.Assert(fault.CodeOf(err), qt.Equals, c.code)
			f.Assert(fault.As(err).RunState, qt.Equals, c.runState)
			f.Assert(runs, qt.Equals, 1)
		})
	}
}

// Guards against counting a stream as resumed whose next attempt was refused.
func TestRefusedResumeIsNotCounted(t *testing.T) {
	f := newFixture(t)
	f.cfg.Pools["p"] = config.Pool{Name: "p", Resume: true}
	f.upstream = func(_ *engine.Request, s engine.Sink) engine.Result {
		s.Begin(200, "text/event-stream", nil)
		return engine.Result{Outcome: wire.OutcomeBroken, ResponseBegan: true, DeliveredEvents: 3}
	}
	_, end := f.serve(frontend.Call{Idempotent: true, Stream: true})
	f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
	f.nextMessage(wire.KindFinish)
	f.deliver(wire.KindRefusal, wire.Refusal{ID: f.nextTicket().ID, Pool: "p", Code: fault.RetryBudgetSpent})
	f.Assert(<-end, qt.IsNotNil)
	f.Assert(f.r.counters.resumes.Count(), qt.Equals, int64(0))
}

// Guards against a stream that resumes at a wrong event because a question moved its offset.
func TestMayRetryKeepsTheResumeOffset(t *testing.T) {
	f := newFixture(t)
	cs := &callState{call: &frontend.Call{Idempotent: true, Stream: true}, pool: config.Pool{Resume: true}, sink: &sink{began: true}}
	res := attemptResult{Result: engine.Result{Outcome: wire.OutcomeBroken, ResponseBegan: true, DeliveredEvents: 3}}
	f.Assert(f.r.mayRetry(cs, res, 1), qt.IsTrue)
	f.Assert(cs.resumeOffset, qt.Equals, 0)
}

// Guards against reporting "not run" for a request whose earlier attempt may have run.
func TestRefusedRetryMayHaveRun(t *testing.T) {
	f := newFixture(t)
	f.upstream = func(*engine.Request, engine.Sink) engine.Result { return engine.Result{Outcome: wire.OutcomeBroken} }
	_, end := f.serve(idempotent())
	f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
	f.nextMessage(wire.KindFinish)
	f.deliver(wire.KindRefusal, wire.Refusal{ID: f.nextTicket().ID, Pool: "p", Code: fault.CrashesUpstreams})
	err := <-end
	f.Assert(fault.CodeOf(err), qt.Equals, fault.CrashesUpstreams)
	f.Assert(fault.As(err).RunState, qt.Equals, fault.MayHaveRun)
}

// Guards against running a non-idempotent request a second time and against losing its answer.
func TestClaims(t *testing.T) {
	t.Run("answer is recorded and replayed", func(t *testing.T) {
		f := newFixture(t)
		_, end := f.serve(nonIdempotent())
		f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
		fin := <-f.finished
		f.Assert(<-end, qt.IsNil)
		f.claim = func(state.ClaimRequest) (state.ClaimAnswer, error) {
			return state.ClaimAnswer{Answer: fin.Answer}, nil
		}
		again, end := f.serve(nonIdempotent())
		f.Assert(<-end, qt.IsNil)
		f.Assert(string(again.body), qt.Equals, "whole")
		f.Assert(again.header[0], qt.Equals, [2]string{"X-Replayed", "true"})
		f.Assert(f.nextMessage(wire.KindFinish).kind, qt.Equals, wire.KindFinish)
		f.Assert(f.sent, qt.HasLen, 0)
	})
	t.Run("failure of the upstream is recorded and replayed", func(t *testing.T) {
		f := newFixture(t)
		f.upstream = func(*engine.Request, engine.Sink) engine.Result { return engine.Result{Outcome: wire.OutcomeFailed} }
		_, end := f.serve(nonIdempotent())
		f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
		fin := <-f.finished
		f.Assert(fault.As(<-end).RunState, qt.Equals, fault.RanAndFailed)
		f.claim = func(state.ClaimRequest) (state.ClaimAnswer, error) {
			return state.ClaimAnswer{Answer: fin.Answer}, nil
		}
		_, end = f.serve(nonIdempotent())
		f.Assert(fault.CodeOf(<-end), qt.Equals, fault.UpstreamFailed)
	})
	t.Run("unconfirmed claim is not sent and is released", func(t *testing.T) {
		f := newFixture(t)
		f.claim = func(state.ClaimRequest) (state.ClaimAnswer, error) {
			return state.ClaimAnswer{}, fault.New(fault.NoQuorum, fault.MayHaveRun, "no answer")
		}
		_, end := f.serve(nonIdempotent())
		err := <-end
		f.Assert(fault.CodeOf(err), qt.Equals, fault.ClaimUnavailable)
		f.Assert(fault.As(err).RunState, qt.Equals, fault.NotRun)
		<-f.released
		f.Assert(f.sent, qt.HasLen, 0)
	})
	t.Run("refused request releases its claim", func(t *testing.T) {
		f := newFixture(t)
		_, end := f.serve(nonIdempotent())
		f.deliver(wire.KindRefusal, wire.Refusal{ID: f.nextTicket().ID, Pool: "p", Code: fault.QueueFull})
		err := <-end
		f.Assert(fault.As(err).RunState, qt.Equals, fault.NotRun)
		f.Assert((<-f.released).Key, qt.Equals, nonIdempotent().IdempotencyKey)
	})
	t.Run("key is required", func(t *testing.T) {
		f := newFixture(t)
		_, end := f.serve(frontend.Call{})
		f.Assert(fault.CodeOf(<-end), qt.Equals, fault.IdempotencyKeyRequired)
	})
}

// Guards against serving requests with an unconfirmed configuration.
func TestIsolatedRouterRefuses(t *testing.T) {
	f := newFixture(t)
	f.current = false
	_, end := f.serve(idempotent())
	err := <-end
	f.Assert(fault.CodeOf(err), qt.Equals, fault.HostIsolated)
	f.Assert(fault.As(err).RunState, qt.Equals, fault.NotRun)
}

// Guards against a new scheduler that does not know about open requests: the router must send
// it a Sync with all that a scheduler needs to continue.
func TestNewSchedulerGetsSync(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	f.upstream = func(_ *engine.Request, s engine.Sink) engine.Result { <-release; return completeAnswer(s) }
	_, end := f.serve(idempotent())
	f.deliver(wire.KindGrant, f.grantFor(f.nextTicket(), "u1"))
	_, _ = f.serve(idempotent())
	f.nextTicket()
	for f.r.counters.grants.Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.r.LeasesChanged([]wire.Lease{{Pool: "p", Host: "s2", Fence: 6}})
	m := f.nextMessage(wire.KindSync)
	s := m.msg.(wire.Sync)
	f.Assert(m.to, qt.Equals, "s2")
	f.Assert(s.Running, qt.HasLen, 1)
	f.Assert(s.Running[0].Upstream, qt.Equals, "u1")
	f.Assert(s.Running[0].Estimate, qt.Equals, 11.0)
	f.Assert(s.Limits, qt.DeepEquals, []wire.UpstreamLimit{{Upstream: "u1", Instance: "i1", Limit: 6}})
	f.Assert(s.Waiting, qt.HasLen, 1)
	f.Assert(s.Tags, qt.DeepEquals, []wire.AccountTag{{Account: "a", Tag: 3}})
	f.Assert(s.Virtual, qt.Equals, 2.0)
	close(release)
	f.Assert(f.nextMessage(wire.KindFinish).to, qt.Equals, "s2")
	f.Assert(<-end, qt.IsNil)
}

// Guards against heartbeats that are too rare. Grants for waiting tickets would echo an old
// clock, and the scheduler would drop the running requests of a router that seems silent.
func TestHeartbeats(t *testing.T) {
	f := newFixture(t)
	f.cfg.Pools["p2"] = config.Pool{Name: "p2", Kind: config.KindService}
	f.r.LeasesChanged([]wire.Lease{{Pool: "p2", Host: "s", Fence: 6}})
	f.nextMessage(wire.KindSync)
	f.r.openRequests[101] = &openRequest{ticket: wire.Ticket{Pool: "p"}}
	f.r.openRequests[102] = &openRequest{ticket: wire.Ticket{Pool: "p2"}, upstream: "u1"}
	lastHeartbeat := map[string]time.Duration{"p": f.Now(), "p2": f.Now()}
	longestGap := map[string]time.Duration{}
	for range 40 {
		f.advance(heartbeatInterval)
		f.r.sendHeartbeats()
		for len(f.sent) > 0 {
			m := f.nextMessage(wire.KindRouterHeartbeat).msg.(wire.RouterHeartbeat)
			f.Assert(m.RouterClock, qt.Equals, f.Now())
			longestGap[m.Pool] = max(longestGap[m.Pool], f.Now()-lastHeartbeat[m.Pool])
			lastHeartbeat[m.Pool] = f.Now()
		}
	}
	f.Assert(longestGap["p"], qt.Equals, heartbeatInterval)
	f.Assert(longestGap["p2"] > heartbeatInterval, qt.IsTrue)
	f.Assert(2*longestGap["p2"] < 2*time.Second, qt.IsTrue)
}
