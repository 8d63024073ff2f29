package gateway

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// eventsFrom returns a script that streams the events from first to the third, which name the
// version that wrote them. Versions have five letters, like the word that they replace.
func eventsFrom(version string, first int) func(*receivedRequest) {
	return func(req *receivedRequest) {
		text := streamHead
		for id := first; id <= 3; id++ {
			text += strings.Replace(eventChunk(id), "piece", version, 1)
		}
		writeRaw("%s", text+streamEnd)(req)
	}
}

// breakAfterFirstEvent begins a stream and breaks off.
func breakAfterFirstEvent(version string) func(*receivedRequest) {
	return sequence(writeRaw("%s", streamHead+strings.Replace(eventChunk(1), "piece", version, 1)), closeConn)
}

// listVersions sets the instances of a gateway: one for each upstream, with its version. A gateway
// that reads the list itself also reports them.
func listVersions(gw *testGateway, reads bool, versions []string, upstreams ...*upstream) {
	var list []catalog.Instance
	for i, u := range upstreams {
		list = append(list, catalog.Instance{ID: "i" + versions[i] + string(rune('a'+i)), Version: versions[i], Service: "svc", Address: u.ln.Addr().String(), DataCentre: "dc", Slots: 4})
	}
	l := catalog.List{Instances: list, ReadAt: time.Now()}
	gw.server.SetInstances(l)
	if reads {
		gw.server.ReportVersions(l)
	}
}

// Guards against a stream that a host continues at another version of its upstream.
func TestBrokenStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []string
		complete bool
	}{
		// Three tries each, because the order of the choice among equal instances is not fixed.
		{"same version left", []string{"older", "newer", "older"}, true},
		{"only another version left", []string{"older", "newer", "newer"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 3 {
				c := qt.New(t)
				begun := make(chan string, 3)
				var ups []*upstream
				for _, version := range test.versions {
					ups = append(ups, newUpstream(t, func(req *receivedRequest) {
						if req.Header.Get("Last-Event-Id") == "" {
							begun <- version
							breakAfterFirstEvent(version)(req)
							return
						}
						eventsFrom(version, 2)(req)
					}))
				}
				gw := newTestGateway(t, document(), ups...)
				listVersions(gw, true, test.versions, ups...)
				_, body, complete := gw.do("POST", "/resume/x", "")
				first := <-begun
				other := map[string]string{"older": "newer", "newer": "older"}[first]
				c.Assert(strings.Contains(body, "data: "+other+" "), qt.IsFalse, qt.Commentf("began at version %s: %q", first, body))
				if first == "older" {
					c.Assert(complete, qt.Equals, test.complete)
				}
			}
		})
	}
}

// Guards against a stream that a caller resumes at another host, where it goes on at another version of its upstream.
func TestStreamThatACallerResumesIsNotJoinedFromTwoVersions(t *testing.T) {
	c := qt.New(t)
	older, newer := newUpstream(t, breakAfterFirstEvent("older")), newUpstream(t, eventsFrom("newer", 2))
	first := newTestGateway(t, document(), older)
	listVersions(first, true, []string{"older"}, older)
	_, body, complete := first.do("POST", "/resume/x", "")
	c.Assert(body, qt.Equals, "id: 1\ndata: older 1\n\n")
	c.Assert(complete, qt.IsFalse)

	second := newTestGateway(t, document(), older, newer)
	listVersions(second, true, []string{"older", "newer"}, older, newer)
	older.ln.Close()
	resp, body, _ := second.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: r1")
	c.Assert(strings.Contains(body, "newer"), qt.IsFalse, qt.Commentf("%q", body))
	c.Assert(resp.StatusCode, qt.Equals, 503)
}

// versionFleet is two gateways with one record of streams, in front of one upstream of each version.
type versionFleet struct {
	first, second *testGateway
	older, newer  *upstream
}

func newVersionFleet(t *testing.T, listed ...string) *versionFleet {
	script := func(version string) func(*receivedRequest) {
		return func(req *receivedRequest) {
			if req.Header.Get("Last-Event-Id") == "" {
				breakAfterFirstEvent(version)(req)
				return
			}
			eventsFrom(version, 2)(req)
		}
	}
	f := &versionFleet{older: newUpstream(t, script("older")), newer: newUpstream(t, script("newer"))}
	store := newMemoryStreamStore()
	shared := func(opts *Options) { opts.StreamStore = store }
	f.first, f.second = newTestGatewayWith(t, document(), shared), newTestGatewayWith(t, document(), shared)
	f.list(f.first, listed...)
	f.list(f.second, listed...)
	f.waitForReport(t, listed...) // the first report of a service counts as settled
	return f
}

func (f *versionFleet) list(gw *testGateway, versions ...string) {
	var ups []*upstream
	for _, v := range versions {
		ups = append(ups, map[string]*upstream{"older": f.older, "newer": f.newer}[v])
	}
	listVersions(gw, gw == f.first, versions, ups...)
}

// waitForStream waits until the fleet's record has the stream of the request r1.
func (f *versionFleet) waitForStream(t *testing.T, want string) {
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		origin, _ := f.second.server.streams.find(t.Context(), streamID("", "r1"), "svc")
		if origin != nil && origin.Version == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the stream is not recorded")
		}
	}
}

// Guards against streams that can't be resumed, or go on at another version, while two versions serve.
func TestCallersResumeStreamsAtTheirVersionAtAnyHost(t *testing.T) {
	for _, version := range []string{"older", "newer"} {
		t.Run(version, func(t *testing.T) {
			c := qt.New(t)
			f := newVersionFleet(t, "older", "newer")
			f.list(f.first, version)
			_, body, complete := f.first.do("POST", "/resume/x", "")
			c.Assert(body, qt.Equals, "id: 1\ndata: "+version+" 1\n\n")
			c.Assert(complete, qt.IsFalse)
			f.waitForStream(t, version)
			for range 4 {
				_, body, complete = f.second.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: r1")
				c.Assert(complete, qt.IsTrue)
				c.Assert(body, qt.Equals, "id: 2\ndata: "+version+" 2\n\nid: 3\ndata: "+version+" 3\n\n")
			}
		})
	}
}

// Guards against joined streams after the old version has left and all hosts have started anew.
func TestStreamOfAVersionThatLeftIsNotJoinedAfterARestart(t *testing.T) {
	c := qt.New(t)
	f := newVersionFleet(t, "older")
	_, _, complete := f.first.do("POST", "/resume/x", "")
	c.Assert(complete, qt.IsFalse)
	f.list(f.first, "older", "newer")
	f.list(f.first, "newer")
	f.waitForReport(t, "newer")
	f.list(f.second, "newer")
	resp, body, _ := f.second.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: r1")
	c.Assert(strings.Contains(body, "newer"), qt.IsFalse, qt.Commentf("%q", body))
	c.Assert(resp.StatusCode, qt.Equals, 503)
}

// Guards against a caller that is told to come back with a stream whose version is gone, instead of starting anew.
func TestResumedStreamOfAVersionThatIsGoneIsNotAskedForAgain(t *testing.T) {
	c := qt.New(t)
	f := newVersionFleet(t, "older", "newer")
	f.list(f.first, "older")
	f.first.do("POST", "/resume/x", "")
	f.waitForStream(t, "older")
	f.list(f.second, "newer")
	resp, body, _ := f.second.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: r1")
	c.Check(resp.StatusCode, qt.Equals, 503)
	c.Check(strings.Contains(body, string(fault.NotRun)), qt.IsTrue, qt.Commentf("%s", body))
	c.Check(resp.Header.Get("Retry-After"), qt.Equals, "")
	c.Check(f.newer.requests(), qt.HasLen, 0)
}

// waitForReport waits until the fleet's record has these versions of the service.
func (f *versionFleet) waitForReport(t *testing.T, versions ...string) {
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		a, err := f.first.server.opts.StreamStore.ChangeStreams(t.Context(), &wire.StreamChange{})
		if err == nil && len(a.Services) == 1 && slices.Equal(a.Services[0].Versions, slices.Sorted(slices.Values(versions))) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the versions are not reported")
		}
	}
}

// Guards against streams that can't be resumed where one version has always served.
func TestStreamsGoOnAnywhereWhileThereIsOneVersion(t *testing.T) {
	c := qt.New(t)
	f := newVersionFleet(t, "older")
	for range 3 {
		_, body, complete := f.second.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: unknown")
		c.Assert(complete, qt.IsTrue)
		c.Assert(body, qt.Equals, "id: 2\ndata: older 2\n\nid: 3\ndata: older 3\n\n")
	}
}

// Guards against streams that began before a second version came and are forgotten when it comes.
func TestRunningStreamsAreRecordedWhenASecondVersionComes(t *testing.T) {
	c := qt.New(t)
	f := newVersionFleet(t, "older")
	_, err := f.first.server.streams.find(t.Context(), 1, "svc") // learns that the service is settled
	c.Assert(err, qt.IsNil)
	origin := dispatch.Origin{Service: "svc", Version: "older"}
	f.first.server.streams.begin(streamID("", "r1"), origin)
	f.list(f.first, "older", "newer")
	f.list(f.second, "older", "newer")
	f.waitForStream(t, "older")
}

// Guards against a host that sends a resumed stream anywhere while the record can't be reached.
func TestResumedStreamIsRefusedWhileTheRecordIsLost(t *testing.T) {
	c := qt.New(t)
	u := newUpstream(t, eventsFrom("older", 2))
	gw := newTestGatewayWith(t, document(), func(opts *Options) { opts.StreamStore = lostStreamStore{} }, u)
	listVersions(gw, true, []string{"older"}, u)
	resp, _, _ := gw.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: r1")
	c.Assert(resp.StatusCode, qt.Equals, 503)
	c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Assert(u.requests(), qt.HasLen, 0)
}

type lostStreamStore struct{}

func (lostStreamStore) ChangeStreams(context.Context, *wire.StreamChange) (*wire.StreamAnswer, error) {
	return nil, fault.New(fault.Timeout, fault.MayHaveRun, "no answer")
}

// Guards against a host that is out of step while a second version comes, and goes on with a stream
// that began there at the version that it knows.
func TestHostOutOfStepDoesNotResumeAtTheVersionThatItKnows(t *testing.T) {
	for _, regains := range []bool{false, true} {
		c := qt.New(t)
		f := newVersionFleet(t, "older")
		_, err := f.second.server.streams.find(t.Context(), 1, "svc") // learns that the service is settled
		c.Assert(err, qt.IsNil)
		f.list(f.first, "newer")
		f.list(f.first, "older", "newer")
		f.waitForReport(t, "older", "newer")
		f.first.server.streams.begin(streamID("", "r1"), dispatch.Origin{Service: "svc", Version: "newer"})
		f.waitForRecord(t, "r1")
		// No other host has confirmed the second one's list since the stream began.
		// The age stands still here, so it must be longer than the host waits.
		f.second.setView(func(v *View) { v.ListContactAge = maxOriginWait + (catalog.MaxContactAge-maxOriginWait)/2 })
		if regains {
			f.second.server.opts.ConfirmList = func() {
				f.list(f.second, "older", "newer")
				f.second.setView(func(v *View) { v.ListContactAge = 0 })
			}
		}
		resp, body, _ := f.second.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: r1")
		c.Check(f.older.requests(), qt.HasLen, 0)
		if !regains {
			c.Check(resp.StatusCode, qt.Equals, 503)
			c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			continue
		}
		c.Check(body, qt.Equals, "id: 2\ndata: newer 2\n\nid: 3\ndata: newer 3\n\n")
	}
}

// waitForRecord waits until the fleet's record has a stream.
func (f *versionFleet) waitForRecord(t *testing.T, requestID string) {
	id := streamID("", requestID)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		a, err := f.first.server.opts.StreamStore.ChangeStreams(t.Context(), &wire.StreamChange{Asked: []wire.StreamID{id}})
		if err == nil && len(a.Known) == 1 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the stream is not recorded")
		}
	}
}

// Guards against hosts that are lost with most of their streams unrecorded, and against a flood of changes at the leader.
func TestFewerThanHalfOfShortStreamsAreUnrecorded(t *testing.T) {
	c := qt.New(t)
	const shortStream, changesPerSecond = time.Second, 1_000
	for _, hosts := range []int{12, 96, 300} {
		window := streamWindow(hosts)
		c.Check(window < shortStream/2, qt.IsTrue, qt.Commentf("%d hosts: %s", hosts, window))
		c.Check(float64(hosts)/window.Seconds() <= changesPerSecond, qt.IsTrue, qt.Commentf("%d hosts: %s", hosts, window))
	}
}
