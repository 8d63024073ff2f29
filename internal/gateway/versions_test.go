package gateway

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
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

// listVersions sets the instances of a gateway: one for each upstream, with its version.
func listVersions(gw *testGateway, versions []string, upstreams ...*upstream) {
	var list []catalog.Instance
	for i, u := range upstreams {
		list = append(list, catalog.Instance{ID: "i" + versions[i] + string(rune('a'+i)), Version: versions[i], Service: "svc", Address: u.ln.Addr().String(), DataCentre: "dc", Slots: 4})
	}
	gw.server.opts.Dispatcher.Update(func(d *dispatch.Dispatcher, now time.Time) { d.SetInstances(list, now) })
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
				listVersions(gw, test.versions, ups...)
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
	listVersions(first, []string{"older"}, older)
	_, body, complete := first.do("POST", "/resume/x", "")
	c.Assert(body, qt.Equals, "id: 1\ndata: older 1\n\n")
	c.Assert(complete, qt.IsFalse)

	second := newTestGateway(t, document(), older, newer)
	listVersions(second, []string{"older", "newer"}, older, newer)
	older.ln.Close()
	resp, body, _ := second.do("POST", "/resume/x", "", "Last-Event-Id: 1", "X-Resumes: r1")
	c.Assert(strings.Contains(body, "newer"), qt.IsFalse, qt.Commentf("%q", body))
	c.Assert(resp.StatusCode, qt.Equals, 503)
}
