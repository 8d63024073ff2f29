package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
	"marigoldshunt/internal/wire"
)

// crashingFleet is a set of hosts that share their crash marks, in front of upstreams that
// crash on one prompt part and come back at once as another instance.
type crashingFleet struct {
	*qt.C
	hosts     []*testGateway
	upstreams []*upstream
	// reported gets one value for each crash that a host has reported.
	reported chan struct{}

	mu      sync.Mutex
	restart []int
	crashes int
	marks   []wire.CrashMark
	sent    int
}

// crashingPart is the hexadecimal id of the part.
const crashingPart = "bad"

// promptDocument is a document whose service has model engines, and whose routes choose them by
// the parts of prompts.
func promptDocument() *routing.Document {
	d := document()
	for i := range d.Routes {
		d.Routes[i].PromptAffinity = true
	}
	d.Services[0].Engine = &routing.Engine{Slots: 4, MemoryTokens: 100_000}
	return d
}

func newCrashingFleet(t *testing.T, hosts, upstreams int) *crashingFleet {
	f := &crashingFleet{C: qt.New(t), reported: make(chan struct{}, 64), restart: make([]int, upstreams)}
	d := promptDocument()
	for i := range upstreams {
		f.upstreams = append(f.upstreams, newUpstream(t, func(req *receivedRequest) {
			if strings.Contains(req.Header.Get("X-Prompt-Parts"), crashingPart+":") {
				f.crash(i)
				closeConn(req)
				return
			}
			writeRaw("%s", rawResponse(200, "answer"))(req)
		}))
	}
	for range hosts {
		gw := newTestGatewayWith(t, d, func(opts *Options) { opts.CrashStore = f })
		gw.server.crashes.dial = func(context.Context, string) error { return fault.New(fault.UpstreamFailed, "", "refused") }
		f.hosts = append(f.hosts, gw)
	}
	f.setInstances()
	return f
}

// crash gives the upstream another instance id.
func (f *crashingFleet) crash(i int) {
	f.mu.Lock()
	f.crashes++
	f.restart[i]++
	f.mu.Unlock()
	f.setInstances()
}

func (f *crashingFleet) setInstances() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []catalog.Instance
	for i, u := range f.upstreams {
		list = append(list, catalog.Instance{ID: fmt.Sprintf("i%d-%d", i, f.restart[i]), Service: "svc", Address: u.ln.Addr().String(), DataCentre: "dc", Slots: 4})
	}
	for _, gw := range f.hosts {
		gw.server.opts.Dispatcher.SetInstances(catalog.List{Instances: list})
	}
}

// ChangeCrashMarks implements CrashStore for all hosts, in place of the control group.
func (f *crashingFleet) ChangeCrashMarks(_ context.Context, added, disproved []wire.CrashMark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range added {
		m.At = time.Now().UnixMilli()
		f.marks = append(f.marks, m)
	}
	f.marks = slices.DeleteFunc(f.marks, func(m wire.CrashMark) bool {
		return slices.ContainsFunc(disproved, func(d wire.CrashMark) bool { return d.Fingerprint == m.Fingerprint && d.Upstream == m.Upstream })
	})
	for _, gw := range f.hosts {
		gw.server.SetCrashMarks(f.marks)
	}
	if len(added) > 0 {
		f.reported <- struct{}{}
	}
}

// send sends a request that no other one equals through a host, with the given parts and one
// of its own.
func (f *crashingFleet) send(host int, parts string) (*http.Response, string) {
	f.mu.Lock()
	f.sent++
	own := f.sent
	f.mu.Unlock()
	resp, body, _ := f.hosts[host].do("POST", "/order/x", fmt.Sprint("body ", own), fmt.Sprintf("X-Prompt-Parts: %s,%x:10", parts, 0x1000+own))
	return resp, body
}

func (f *crashingFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// waitReported waits until a host has reported the last crash.
func (f *crashingFleet) waitReported() {
	select {
	case <-f.reported:
	case <-time.After(testTimeout):
		f.Fatal("a crash was not reported")
	}
}

// Guards against a part of prompts that crashes one upstream after another, because no two
// requests with it are alike.
func TestPromptPartThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	const (
		crashesToQuarantine = 5
		timeToQuarantine    = 3 * time.Second
	)
	f := newCrashingFleet(t, 2, 4)
	bad, sound := "a1:100,"+crashingPart+":50", "a1:100,c3:50"
	for i := range crashesToQuarantine {
		if resp, _ := f.send(i%2, bad); resp == nil || resp.StatusCode != 503 {
			f.waitReported()
		}
		resp, _ := f.send(i%2, sound)
		f.Assert(resp.StatusCode, qt.Equals, 200)
	}
	for due, refused := time.Now().Add(timeToQuarantine), false; !refused; time.Sleep(timeToQuarantine / 20) {
		f.Assert(time.Now().Before(due), qt.IsTrue, qt.Commentf("requests with the part are still sent, %d crashes", f.crashCount()))
		resp, _ := f.send(0, bad)
		if refused = resp != nil && resp.StatusCode == 503; !refused {
			f.waitReported()
		}
	}
	crashes := f.crashCount()
	for i := range 10 {
		resp, body := f.send(i%2, bad)
		f.Assert(resp.StatusCode, qt.Equals, 503)
		f.Assert(body, qt.Equals, failureBody(fault.CrashesUpstreams, fault.NotRun))
		resp, _ = f.send(i%2, sound)
		f.Assert(resp.StatusCode, qt.Equals, 200)
	}
	f.Assert(f.crashCount(), qt.Equals, crashes)
}

// crashingTracker is a tracker for which every instance refuses connections, with a clock that
// the test advances.
func crashingTracker() (*crashTracker, *crashMarkRecorder, *time.Time) {
	rec := &crashMarkRecorder{recorded: make(chan struct{}, 64)}
	tracker := newCrashTracker(rec, discardLog())
	tracker.dial = func(context.Context, string) error { return fault.New(fault.UpstreamFailed, "", "refused") }
	clock := time.Unix(1_000_000, 0)
	tracker.now = func() time.Time { return clock }
	return tracker, rec, &clock
}

// crashAt has a request with the parts break at an instance that crashes.
func crashAt(tracker *crashTracker, rec *crashMarkRecorder, instance string, request byte, parts ...uint64) {
	tracker.connectionBroke(brokenRequest{service: "s", fingerprint: wire.Digest{request, instance[0]}, sharedParts: parts}, catalog.Instance{ID: instance})
	for range len(parts) + 1 {
		<-rec.recorded
	}
}

// admitParts is admit for a request that has no marks of its own.
func (c *crashTracker) admitParts(service string, sharedParts func() []uint64) (trial bool, err error) {
	return c.admit(service, fixedFingerprint(wire.Digest{0xff}), sharedParts)
}

// checkParts is admitParts for tests that only need the refusal.
func (c *crashTracker) checkParts(service string, sharedParts func() []uint64) error {
	_, err := c.admitParts(service, sharedParts)
	return err
}

// check is admit for a request without prompt parts, for tests that only need the refusal.
func (c *crashTracker) check(fingerprint func() wire.Digest) error {
	_, err := c.admit("s", fingerprint, partList())
	return err
}

func partList(ids ...uint64) func() []uint64 { return func() []uint64 { return ids } }

// Guards against refusing the other parts of the requests that crash upstreams, and those of
// requests that ran beside them, although upstreams answer requests with them.
func TestAnsweredPartsAreNotQuarantined(t *testing.T) {
	c := qt.New(t)
	const shared, bad, beside = 1, 2, 3
	tracker, rec, clock := crashingTracker()
	for i, instance := range []string{"a", "b", "c"} {
		crashAt(tracker, rec, instance, byte(i), shared, bad, beside)
		*clock = clock.Add(minCrashGap)
		tracker.partsAnswered("s", partList(shared, beside))
	}
	c.Check(fault.CodeOf(tracker.checkParts("s", partList(shared, bad))), qt.Equals, fault.CrashesUpstreams)
	c.Check(tracker.checkParts("s", partList(shared, beside)), qt.IsNil)
	c.Check(tracker.checkParts("other service", partList(bad)), qt.IsNil)
}

// Guards against refusing a popular part because several upstreams crashed at once, before any
// other could answer a request with it.
func TestUpstreamsThatCrashTogetherQuarantineNoPart(t *testing.T) {
	c := qt.New(t)
	tracker, rec, clock := crashingTracker()
	for _, instance := range []string{"a", "b", "c", "d"} {
		crashAt(tracker, rec, instance, 1, 7)
		*clock = clock.Add(minCrashGap / 8)
	}
	c.Check(tracker.checkParts("s", partList(7)), qt.IsNil)
	for _, instance := range []string{"e", "f"} {
		*clock = clock.Add(minCrashGap)
		crashAt(tracker, rec, instance, 1, 7)
	}
	c.Check(fault.CodeOf(tracker.checkParts("s", partList(7))), qt.Equals, fault.CrashesUpstreams)
}

// Guards against suspecting the parts of a stream that went on after its first event.
func TestStreamThatHadGoneOnIsNoSuspect(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		events, marks int
	}{{0, 2}, {1, 2}, {2, 1}} {
		rec := &crashMarkRecorder{recorded: make(chan struct{}, 8)}
		broken := func(req *receivedRequest) {
			writeRaw("%s", streamHead)(req)
			for i := range test.events {
				writeRaw("%s", eventChunk(i+1))(req)
			}
			closeConn(req)
		}
		gw := newTestGatewayWith(t, promptDocument(), func(opts *Options) { opts.CrashStore = rec }, newUpstream(t, broken))
		gw.server.crashes.dial = func(context.Context, string) error { return fault.New(fault.UpstreamFailed, "", "refused") }
		gw.do("POST", "/stream/x", "body", "X-Prompt-Parts: a1:10,b2:10")
		for range test.marks {
			<-rec.recorded
		}
		gw.endRequests()
		rec.mu.Lock()
		c.Check(rec.marks, qt.HasLen, test.marks, qt.Commentf("%d events", test.events))
		rec.mu.Unlock()
	}
}

// Guards against other hosts that go on refusing a part after this host saw it answered.
func TestDisprovedMarksAreReported(t *testing.T) {
	c := qt.New(t)
	tracker, rec, _ := crashingTracker()
	rec.disproved = make(chan []wire.CrashMark, 1)
	crashAt(tracker, rec, "a", 1, 7)
	tracker.partsAnswered("s", partList(7))
	tracker.partsAnswered("s", partList(7))
	list := <-rec.disproved
	c.Assert(list, qt.HasLen, 1)
	c.Check(list[0].Fingerprint, qt.Equals, partFingerprint("s", 7))
	c.Check(list[0].Upstream, qt.Equals, "a")
}

// Guards against counting this host's own marks after another host has disproved them.
func TestMarksDisprovedByAnotherHostDoNotCount(t *testing.T) {
	c := qt.New(t)
	tracker, rec, clock := crashingTracker()
	for _, instance := range []string{"a", "b", "c"} {
		*clock = clock.Add(minCrashGap)
		crashAt(tracker, rec, instance, 1, 7)
		tracker.setRecorded(rec.marks)
		if instance == "b" {
			rec.marks = nil
			tracker.setRecorded(rec.marks)
		}
	}
	c.Check(tracker.checkParts("s", partList(7)), qt.IsNil)
	for _, instance := range []string{"d", "e"} {
		*clock = clock.Add(minCrashGap)
		crashAt(tracker, rec, instance, 1, 7)
	}
	c.Check(fault.CodeOf(tracker.checkParts("s", partList(7))), qt.Equals, fault.CrashesUpstreams)
}

// Guards against passing on an upstream's crash before the first event as a whole answer, where
// only the end of the connection marks the end of a stream.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Proof: p1\r\n\r\n"
	for _, test := range []struct {
		name, response string
		status         int
		complete       bool
	}{
		{"no event", head, 502, true},
		{"begun event", head + "id: 1\nda", 502, true},
		{"whole event", head + "id: 1\ndata: piece\n\n", 200, true},
		{"whole event and a begun one", head + "id: 1\ndata: piece\n\nid: 2\n", 200, false},
		{"framed", streamHead + streamEnd, 200, true},
	} {
		u := newUpstream(t, sequence(writeRaw("%s", test.response), closeConn))
		gw := newTestGateway(t, document(), u)
		resp, _, complete := gw.do("POST", "/stream/x", "body")
		gw.Assert(resp, qt.IsNotNil, qt.Commentf(test.name))
		gw.Check(resp.StatusCode, qt.Equals, test.status, qt.Commentf(test.name))
		gw.Check(complete, qt.Equals, test.complete, qt.Commentf(test.name))
	}
}

// Guards against sound requests that are refused for an hour because all crashes before any answer involved a part that they share.
func TestSoundRequestsAreServedAgainAfterAWaveOfCrashes(t *testing.T) {
	c := qt.New(t)
	const shared, bad = 1, 2
	const servedWithin = 5 * time.Second
	tracker, rec, clock := crashingTracker()
	for i, instance := range []string{"a", "b", "c"} {
		crashAt(tracker, rec, instance, byte(i), shared, bad)
		*clock = clock.Add(minCrashGap)
	}
	served := false
	for waited := time.Duration(0); waited < servedWithin && !served; waited += minCrashGap {
		*clock = clock.Add(minCrashGap)
		if served = tracker.checkParts("s", partList(shared)) == nil; served {
			tracker.partsAnswered("s", partList(shared))
		}
	}
	c.Assert(served, qt.IsTrue)
	c.Assert(fault.CodeOf(tracker.checkParts("s", partList(shared, bad))), qt.Equals, fault.CrashesUpstreams)
}
