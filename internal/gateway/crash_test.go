package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// crashMarkRecorder is a CrashStore that keeps the marks.
type crashMarkRecorder struct {
	mu       sync.Mutex
	marks    []wire.CrashMark
	recorded chan struct{}
	// disproved gets the disproved marks; nil if the test doesn't use them.
	disproved chan []wire.CrashMark
}

func (r *crashMarkRecorder) ChangeCrashMarks(_ context.Context, added, disproved []wire.CrashMark) {
	if len(disproved) > 0 && r.disproved != nil {
		r.disproved <- disproved
	}
	for _, m := range added {
		r.mu.Lock()
		r.marks = append(r.marks, m)
		r.mu.Unlock()
		r.recorded <- struct{}{}
	}
}

// Guards against running a request that crashes one upstream after another, and against
// quarantining a request whose connection to a live upstream broke.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	c := qt.New(t)
	rec := &crashMarkRecorder{recorded: make(chan struct{}, 8)}
	down := map[string]bool{"a:1": true, "b:1": true}
	tracker := newCrashTracker(rec, discardLog())
	tracker.dial = func(_ context.Context, address string) error {
		if down[address] {
			return fault.New(fault.UpstreamFailed, "", "refused")
		}
		return nil
	}
	bad, innocent := wire.Digest{1}, wire.Digest{2}
	tracker.connectionBroke(brokenRequest{service: "s", fingerprint: innocent}, catalog.Instance{ID: "c", Address: "c:1"})
	tracker.connectionBroke(brokenRequest{service: "s", fingerprint: bad}, catalog.Instance{ID: "a", Address: "a:1"})
	<-rec.recorded
	c.Assert(tracker.check(fixedFingerprint(bad)), qt.IsNil)
	tracker.connectionBroke(brokenRequest{service: "s", fingerprint: bad}, catalog.Instance{ID: "b", Address: "b:1"})
	<-rec.recorded
	err := tracker.check(fixedFingerprint(bad))
	c.Assert(fault.CodeOf(err), qt.Equals, fault.CrashesUpstreams)
	c.Assert(fault.As(err).RunState, qt.Equals, fault.NotRun)
	c.Assert(tracker.check(fixedFingerprint(innocent)), qt.IsNil)
	c.Assert(rec.marks, qt.HasLen, 2)
}

// Guards against refusing a request that callers often repeat, because it was running when
// upstreams that go up and down by turns went down, although they answered it in between.
func TestAnsweredRequestIsNotQuarantinedWhenUpstreamsFlap(t *testing.T) {
	c := qt.New(t)
	rec := &crashMarkRecorder{recorded: make(chan struct{}, 8)}
	tracker := newCrashTracker(rec, discardLog())
	tracker.dial = func(context.Context, string) error { return fault.New(fault.UpstreamFailed, "", "refused") }
	popular := fixedFingerprint(wire.Digest{1})
	crashAt := func(instance string) {
		tracker.connectionBroke(brokenRequest{service: "s", fingerprint: popular()}, catalog.Instance{ID: instance})
		<-rec.recorded
	}
	crashAt("a")
	tracker.answered(popular)
	crashAt("b")
	c.Assert(tracker.check(popular), qt.IsNil)
	// It is refused once it crashes upstreams without an answer in between.
	crashAt("c")
	c.Assert(fault.CodeOf(tracker.check(popular)), qt.Equals, fault.CrashesUpstreams)
}

// Guards against the same by the marks that other hosts recorded.
func TestAnswerDisprovesRecordedCrashes(t *testing.T) {
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "answer")))
	gw := newTestGateway(t, document(), u)
	resp, _, _ := gw.do("GET", "/read/x", "")
	gw.Assert(resp.StatusCode, qt.Equals, 200)
	q := request{r: u.requests()[0].Request, target: "/read/x"}
	a, b, c := wire.CrashMark{Fingerprint: q.fingerprint(), Upstream: "a"}, wire.CrashMark{Fingerprint: q.fingerprint(), Upstream: "b"}, wire.CrashMark{Fingerprint: q.fingerprint(), Upstream: "c"}
	for _, step := range []struct {
		marks  []wire.CrashMark
		status int
	}{{[]wire.CrashMark{a}, 200}, {[]wire.CrashMark{a, b}, 200}, {[]wire.CrashMark{a, b, c}, 200}} {
		gw.server.SetCrashMarks(step.marks)
		resp, _, _ := gw.do("GET", "/read/x", "")
		gw.Check(resp.StatusCode, qt.Equals, step.status, qt.Commentf("%d marks", len(step.marks)))
	}
}

// Guards against ignoring the crash marks of other hosts, which lets a request crash more
// upstreams.
func TestRecordedCrashesCount(t *testing.T) {
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "answer")))
	gw := newTestGateway(t, document(), u)
	resp, _, _ := gw.do("GET", "/read/x", "")
	gw.Assert(resp.StatusCode, qt.Equals, 200)
	q := request{r: u.requests()[0].Request, target: "/read/x"}
	fp := q.fingerprint()
	now := time.Now().UnixMilli()
	gw.server.SetCrashMarks([]wire.CrashMark{{Fingerprint: fp, Upstream: "i1", At: now}, {Fingerprint: fp, Upstream: "i2", At: now}})
	resp, _, _ = gw.do("GET", "/read/x", "")
	gw.Assert(resp.StatusCode, qt.Equals, 503)
	gw.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	gw.Assert(u.requests(), qt.HasLen, 1)
	resp, _, _ = gw.do("GET", "/read/y", "")
	gw.Assert(resp.StatusCode, qt.Equals, 200)
}

// Guards against probing an instance once for each request whose connection broke: one probe
// at a time is enough for all of them.
func TestOneProbePerInstance(t *testing.T) {
	c := qt.New(t)
	rec := &crashMarkRecorder{recorded: make(chan struct{}, 64)}
	tracker := newCrashTracker(rec, discardLog())
	var mu sync.Mutex
	probes := 0
	tracker.dial = func(context.Context, string) error {
		mu.Lock()
		defer mu.Unlock()
		probes++
		return context.DeadlineExceeded
	}
	for i := range 20 {
		tracker.connectionBroke(brokenRequest{service: "s", fingerprint: wire.Digest{byte(i)}}, catalog.Instance{ID: "a"})
	}
	for range 20 {
		select {
		case <-rec.recorded:
		case <-time.After(5 * time.Second):
			c.Fatal("not all requests were marked")
		}
	}
	c.Assert(probes, qt.Equals, 1)
}

// Guards against a sender of many distinct requests that ends the quarantine of a request
// that crashes upstreams, and against marks that are kept without bound.
func TestManyMarksKeepTheQuarantine(t *testing.T) {
	c := qt.New(t)
	tracker := newCrashTracker(discardCrashMarks{}, discardLog())
	tracker.now = func() time.Time { return time.UnixMilli(0) }
	bad := wire.Digest{1}
	tracker.own.add(bad, "a", 0)
	tracker.own.add(bad, "b", 0)
	distinct := func(i int) wire.Digest { return wire.Digest{2, byte(i), byte(i >> 8), byte(i >> 16)} }
	for i := range 3 * maxOwnCrashMarks {
		tracker.own.add(distinct(i), "a", 0)
	}
	c.Assert(fault.CodeOf(tracker.check(fixedFingerprint(bad))), qt.Equals, fault.CrashesUpstreams)
	c.Assert(tracker.own.len(), qt.Equals, maxOwnCrashMarks)
	// The oldest single marks are dropped, the newest kept.
	tracker.own.add(distinct(3*maxOwnCrashMarks-1), "b", 0)
	c.Assert(fault.CodeOf(tracker.check(fixedFingerprint(distinct(3*maxOwnCrashMarks-1)))), qt.Equals, fault.CrashesUpstreams)
	tracker.own.add(distinct(0), "b", 0)
	c.Assert(tracker.check(fixedFingerprint(distinct(0))), qt.IsNil)
	// Of quarantined requests alone, the oldest is dropped.
	for i := range 2 * maxOwnCrashMarks {
		tracker.own.add(distinct(i), "a", 0)
		tracker.own.add(distinct(i), "b", 0)
	}
	c.Assert(tracker.own.len(), qt.Equals, maxOwnCrashMarks)
	c.Assert(tracker.check(fixedFingerprint(bad)), qt.IsNil)
	c.Assert(fault.CodeOf(tracker.check(fixedFingerprint(distinct(2*maxOwnCrashMarks-1)))), qt.Equals, fault.CrashesUpstreams)
}

// Guards against a crash whose cause can't be found in the logs, because no line says which
// requests broke with the upstream and which parts their prompts shared.
func TestCrashIsLoggedWithItsRequestsAndSharedParts(t *testing.T) {
	c := qt.New(t)
	log, hook := logtest.NewNullLogger()
	rec := &crashMarkRecorder{recorded: make(chan struct{}, 8)}
	tracker := newCrashTracker(rec, log)
	tracker.dial = func(context.Context, string) error { return fault.New(fault.UpstreamFailed, "", "refused") }
	a := catalog.Instance{ID: "a", Service: "s"}
	tracker.connectionBroke(brokenRequest{id: "r1", service: "s", fingerprint: wire.Digest{1}, sharedParts: []uint64{0x5c, 0xff}}, a)
	tracker.connectionBroke(brokenRequest{id: "r2", service: "s", fingerprint: wire.Digest{2}, sharedParts: []uint64{0xff}}, a)
	<-rec.recorded
	c.Assert(hook.AllEntries(), qt.HasLen, 1)
	fields := hook.LastEntry().Data
	c.Check(fields["instance"], qt.Equals, "a")
	c.Check(fields["service"], qt.Equals, "s")
	c.Check(fields["broken"], qt.Equals, 2)
	c.Check(fields["requests"], qt.Equals, "r1,r2")
	c.Check(fields["shared_parts"], qt.Equals, "ff:2,5c:1")
}

func fixedFingerprint(d wire.Digest) func() wire.Digest { return func() wire.Digest { return d } }
