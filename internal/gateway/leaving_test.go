package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/routing"
)

// newGatedGateway returns a gateway whose engines run one request at a time, and their gates.
func newGatedGateway(t *testing.T, upstreams ...*upstream) (*testGateway, *admission.Admission) {
	d := document()
	d.Services[0].Engine = &routing.Engine{Slots: 1, MemoryTokens: 100_000}
	a := admission.New(admission.Options{Host: "h1", Now: time.Now, Log: discardLog(), Registry: metrics.NewRegistry()})
	return newTestGatewayWith(t, d, func(opts *Options) { opts.Admission = a }, upstreams...), a
}

// waitForQueued waits until a request is queued at the only gate.
func waitForQueued(t *testing.T, a *admission.Admission, tokens int) {
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if loads := a.Loads(); len(loads) == 1 && loads[0].Running == 1 && loads[0].Backlog >= tokens {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("no request is queued")
		}
	}
}

// queuedRequest is a gateway with an upstream that runs one request while another one waits at its gate.
type queuedRequest struct {
	gw       *testGateway
	upstream *upstream
	// end lets the upstream answer; statuses receives those of both requests.
	end      chan struct{}
	statuses chan int
}

// newQueuedRequest returns once the second request waits. The upstream answers with a raw response.
func newQueuedRequest(t *testing.T, response string) *queuedRequest {
	q := &queuedRequest{end: make(chan struct{}), statuses: make(chan int, 2)}
	begun := make(chan struct{}, 2)
	q.upstream = newUpstream(t, func(req *receivedRequest) {
		begun <- struct{}{}
		<-q.end
		writeRaw("%s", response)(req)
	})
	gw, gates := newGatedGateway(t, q.upstream)
	q.gw = gw
	send := func(usage string) {
		resp, _, _ := gw.do("POST", "/order/x", "", "X-Token-Usage: "+usage)
		q.statuses <- resp.StatusCode
	}
	go send("1,1")
	<-begun
	go send("1000,1")
	waitForQueued(t, gates, 1000)
	return q
}

// Guards against requests that reach an instance which left the service while they waited at its gate.
func TestRequestsThatWaitedAreNotSentToALeavingInstance(t *testing.T) {
	listed := func(u *upstream, draining bool) catalog.Instance {
		return catalog.Instance{ID: "i0", Service: "svc", Address: u.ln.Addr().String(), DataCentre: "dc", Slots: 1, Draining: draining}
	}
	for _, test := range []struct {
		name  string
		leave func(d *dispatch.Dispatcher, u *upstream)
	}{
		{"draining", func(d *dispatch.Dispatcher, u *upstream) {
			d.SetInstances([]catalog.Instance{listed(u, true)}, time.Now())
		}},
		{"not listed any more", func(d *dispatch.Dispatcher, u *upstream) {
			d.SetInstances([]catalog.Instance{{ID: "i1", Service: "svc", Address: "127.0.0.1:1", DataCentre: "dc", Draining: true}}, time.Now())
		}},
		{"data centre out of service", func(d *dispatch.Dispatcher, u *upstream) {
			d.SetDataCentresOut(map[string]bool{"dc": true})
		}},
		{"address taken by another", func(d *dispatch.Dispatcher, u *upstream) {
			d.MarkReplaced(listed(u, false).Key())
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := newQueuedRequest(t, rawResponse(200, "ok"))
			q.gw.server.opts.Dispatcher.Update(func(d *dispatch.Dispatcher, _ time.Time) { test.leave(d, q.upstream) })
			close(q.end)
			c.Assert(<-q.statuses+<-q.statuses, qt.Equals, http.StatusOK+http.StatusServiceUnavailable)
			c.Assert(q.upstream.requests(), qt.HasLen, 1)
		})
	}
}

// answer returns a script that answers with a status and header lines.
func answer(status int, header ...string) func(*receivedRequest) {
	lines := strings.Join(append(header, ""), "\r\n")
	return writeRaw("HTTP/1.1 %d X\r\nContent-Length: 0\r\nX-Proof: p1\r\n%s\r\n", status, lines)
}

// Guards against requests to an upstream that has said in an answer that it is leaving, while the list still says that it is ready.
func TestUpstreamThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for _, test := range []struct {
		name  string
		first func(*receivedRequest)
		want  int
	}{
		{"answer", answer(200, "X-Leaving: 1"), 1},
		{"error", answer(500, "X-Leaving: 1"), 1},
		{"refusal", writeRaw("%s", "HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Not-Run: true\r\nX-Leaving: 1\r\n\r\n"), 1},
		{"no such header", answer(200), 3},
		{"forged answer", writeRaw("%s", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Leaving: 1\r\n\r\n"), 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			u := newUpstream(t, test.first, answer(200))
			gw := newTestGateway(t, document(), u)
			for range 3 {
				gw.do("POST", "/order/x", "")
			}
			c.Assert(u.requests(), qt.HasLen, test.want)
		})
	}
}

// Guards against requests to an upstream that has turned one away and said for how long it wants none.
func TestUpstreamThatNamesARetryTimeGetsNoRequestsUntilThen(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Not-Run: true\r\n"
	for _, test := range []struct {
		name   string
		answer string
		want   int
	}{
		{"seconds", refusal + "Retry-After: 30\r\n\r\n", 1},
		{"fraction", refusal + "Retry-After: 30.5\r\n\r\n", 1},
		{"over soon", refusal + "Retry-After: 0\r\n\r\n", 3},
		{"without a time", refusal + "\r\n", 3},
		{"negative", refusal + "Retry-After: -5\r\n\r\n", 3},
		{"no number", refusal + "Retry-After: NaN\r\n\r\n", 3},
		{"other status", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Proof: p1\r\nRetry-After: 30\r\n\r\n", 3},
		{"forged", "HTTP/1.1 503 X\r\nContent-Length: 0\r\nRetry-After: 30\r\n\r\n", 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			u := newUpstream(t, writeRaw("%s", test.answer), answer(200))
			gw := newTestGateway(t, document(), u)
			var last *http.Response
			for range 3 {
				last, _, _ = gw.do("POST", "/order/x", "")
			}
			c.Assert(u.requests(), qt.HasLen, test.want)
			if test.want == 1 {
				c.Assert(last.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				c.Assert(last.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
}

// Guards against requests that waited at a gate and reach an upstream that wants none for some time.
func TestRequestsThatWaitedRespectTheRetryTimeOfAnUpstream(t *testing.T) {
	c := qt.New(t)
	q := newQueuedRequest(t, "HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Not-Run: true\r\nRetry-After: 30\r\n\r\n")
	close(q.end)
	c.Assert(<-q.statuses+<-q.statuses, qt.Equals, 2*http.StatusServiceUnavailable)
	c.Assert(q.upstream.requests(), qt.HasLen, 1)
}

// Guards against requests of a host that may not know which instances leave: new ones, and one that waits at a gate.
func TestHostWhoseListNobodyConfirmsSendsNothing(t *testing.T) {
	c := qt.New(t)
	q := newQueuedRequest(t, rawResponse(200, "ok"))
	q.gw.setView(func(v *View) { v.ListContactAge = catalog.MaxContactAge + time.Millisecond })
	resp, _, _ := q.gw.do("POST", "/order/x", "")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	close(q.end)
	c.Assert(<-q.statuses+<-q.statuses, qt.Equals, http.StatusOK+http.StatusServiceUnavailable)
	c.Assert(q.upstream.requests(), qt.HasLen, 1)
}
