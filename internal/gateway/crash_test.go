package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// recorder collects marks.
type recorder struct {
	mu    sync.Mutex
	marks []wire.CrashMark
	said  chan struct{}
}

func (r *recorder) MarkCrash(_ context.Context, service string, fp wire.Digest, instance string) {
	r.mu.Lock()
	r.marks = append(r.marks, wire.CrashMark{Pool: service, Fingerprint: fp, Upstream: instance})
	r.mu.Unlock()
	r.said <- struct{}{}
}

// Guards against a request that crashes one upstream after the other, and against the
// quarantine of requests whose connection broke at an upstream that lives.
func TestCrashingRequestIsStopped(t *testing.T) {
	c := qt.New(t)
	rec := &recorder{said: make(chan struct{}, 8)}
	down := map[string]bool{"a:1": true, "b:1": true}
	x := newCrashes(rec)
	x.dial = func(_ context.Context, address string) error {
		if down[address] {
			return fault.New(fault.UpstreamFailed, "", "refused")
		}
		return nil
	}
	bad, innocent := wire.Digest{1}, wire.Digest{2}
	x.broke("s", innocent, catalog.Instance{ID: "c", Address: "c:1"})
	x.broke("s", bad, catalog.Instance{ID: "a", Address: "a:1"})
	<-rec.said
	c.Assert(x.check(is(bad)), qt.IsNil)
	x.broke("s", bad, catalog.Instance{ID: "b", Address: "b:1"})
	<-rec.said
	err := x.check(is(bad))
	c.Assert(fault.CodeOf(err), qt.Equals, fault.CrashesUpstreams)
	c.Assert(fault.As(err).Run, qt.Equals, fault.NotRun)
	c.Assert(x.check(is(innocent)), qt.IsNil)
	c.Assert(rec.marks, qt.HasLen, 2)
}

// Guards against another host that lets a recorded request crash further upstreams.
func TestRecordedCrashesCount(t *testing.T) {
	u := newUpstream(t, say("%s", whole(200, "answer")))
	st := newStage(t, document(), u)
	resp, _, _ := st.ask("GET", "/read/x", "")
	st.Assert(resp.StatusCode, qt.Equals, 200)
	q := request{r: u.requests()[0].Request, target: "/read/x"}
	fp := q.fingerprint()
	st.s.SetCrashMarks([]wire.CrashMark{{Fingerprint: fp, Upstream: "i1"}, {Fingerprint: fp, Upstream: "i2"}})
	resp, _, _ = st.ask("GET", "/read/x", "")
	st.Assert(resp.StatusCode, qt.Equals, 503)
	st.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	st.Assert(u.requests(), qt.HasLen, 1)
	resp, _, _ = st.ask("GET", "/read/y", "")
	st.Assert(resp.StatusCode, qt.Equals, 200)
}

// Guards against looking at an instance once for each of its broken requests.
func TestOneLookPerInstance(t *testing.T) {
	c := qt.New(t)
	rec := &recorder{said: make(chan struct{}, 64)}
	x := newCrashes(rec)
	var mu sync.Mutex
	looks := 0
	x.dial = func(context.Context, string) error {
		mu.Lock()
		defer mu.Unlock()
		looks++
		return context.DeadlineExceeded
	}
	for i := range 20 {
		x.broke("s", wire.Digest{byte(i)}, catalog.Instance{ID: "a"})
	}
	for range 20 {
		select {
		case <-rec.said:
		case <-time.After(5 * time.Second):
			c.Fatal("not all requests are marked")
		}
	}
	c.Assert(looks, qt.Equals, 1)
}

func is(d wire.Digest) func() wire.Digest { return func() wire.Digest { return d } }
