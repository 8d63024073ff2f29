package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/endlesstest"
)

// maxHeapGrowth allows for the caller and the stand-in, which run in the same process.
const maxHeapGrowth = 24 << 20

// discard requests a path and reads the response without keeping it. complete is false if it
// was truncated.
func (gw *testGateway) discard(path string) (status int, complete bool) {
	nc, err := net.Dial("tcp", gw.address)
	gw.Assert(err, qt.IsNil)
	defer nc.Close()
	_, err = io.WriteString(nc, "GET "+path+" HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n")
	gw.Assert(err, qt.IsNil)
	_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil
}

// Guards against an upstream whose bytes never end and that fills the host's memory, keeps
// the caller without a response, or keeps its connection after the end of the request.
func TestEndlessUpstream(t *testing.T) {
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Proof: p1\r\n\r\n"
	type testCase struct {
		endlesstest.Response
		path string
		// status is 0 where the response is passed on until the deadline and then cut.
		status int
	}
	var cases []testCase
	for _, r := range endlesstest.Heads {
		cases = append(cases, testCase{r, "/read/", 502}, testCase{r, "/order/", 502}, testCase{r, "/stream/", 502})
	}
	for _, r := range endlesstest.Bodies {
		status := 0
		if slices.Contains([]string{"chunk extension", "trailer line", "trailer lines"}, r.Name) {
			status = 502
		}
		cases = append(cases, testCase{r, "/order/", status})
	}
	var events strings.Builder
	for id := range 100_000 {
		fmt.Fprintf(&events, "id: %d\ndata: x\n\n", id+1)
	}
	refusal := "HTTP/1.1 503 X\r\n" + testHeaderNames().NotRun + ": 1\r\n\r\n"
	cases = append(cases,
		testCase{endlesstest.Response{Name: "event line", Start: stream, Repeat: "x"}, "/stream/", 502},
		testCase{endlesstest.Response{Name: "lines of an event", Start: stream, Repeat: "data: x\n"}, "/stream/", 502},
		testCase{endlesstest.Response{Name: "data lines of an event", Start: stream + "id: 1\n", Repeat: "data: x\n"}, "/stream/", 502},
		testCase{endlesstest.Response{Name: "data of an event", Start: stream + "id: 1\ndata: ", Repeat: "x"}, "/stream/", 502},
		testCase{endlesstest.Response{Name: "events", Start: stream + events.String() + "id: 100001\ndata: ", Repeat: "x"}, "/stream/", 0},
		testCase{endlesstest.Response{Name: "events without id", Start: stream, Repeat: "data: x\n\n"}, "/stream/", 502},
		testCase{endlesstest.Response{Name: "blank lines", Start: stream, Repeat: "\n"}, "/stream/", 502},
		testCase{endlesstest.Response{Name: "refusal", Start: refusal, Repeat: "x"}, "/order/", 503},
		testCase{endlesstest.Response{Name: "without proof", Start: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "x"}, "/order/", 502},
		testCase{endlesstest.ExtraBytes("hello", 0), "/order/", 200},
		testCase{endlesstest.ExtraBytes("hello", 50*time.Millisecond), "/order/", 200},
	)
	for _, tc := range cases {
		t.Run(tc.Name+tc.path, func(t *testing.T) {
			c := qt.New(t)
			u := endlesstest.Start(t, tc.Response)
			d := document()
			for i := range d.Routes {
				d.Routes[i].Timeout = 10 * time.Second
				if tc.status == 0 {
					d.Routes[i].Timeout = 300 * time.Millisecond
				}
			}
			gw := newTestGateway(t, d)
			gw.server.opts.Dispatcher.SetInstances(catalog.List{Instances: []catalog.Instance{{ID: "i", Service: "svc", Address: u.Address, DataCentre: "dc", Slots: 4}}})
			var status int
			var complete bool
			began := time.Now()
			grown := endlesstest.HeapGrowth(func() { status, complete = gw.discard(tc.path + "x") })
			c.Check(time.Since(began) < 5*time.Second, qt.IsTrue)
			if tc.status == 0 {
				// A host that has not read enough to begin the response answers 504 instead.
				c.Check(complete && status != http.StatusGatewayTimeout, qt.IsFalse, qt.Commentf("complete with status %d", status))
			} else {
				c.Check(status, qt.Equals, tc.status)
				c.Check(complete, qt.IsTrue)
			}
			c.Check(grown < maxHeapGrowth, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
			u.AssertClosed(t)
		})
	}
}

// Guards against many responses at once that fill the host's memory, each within the bound
// for one, and against cutting them where the host has no room to hold them whole.
func TestManyLargeResponses(t *testing.T) {
	const (
		requests = 64
		size     = maxBuffered - 1
		maxTotal = 4 * maxBuffered
	)
	body := strings.Repeat("x", size)
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Proof: p1\r\n\r\n"
	head := "HTTP/1.1 200 OK\r\nX-Proof: p1\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	for _, tc := range []struct {
		endlesstest.Response
		path     string
		timeout  time.Duration
		complete int64
	}{
		{endlesstest.Response{Name: "complete", Start: head + body, Repeat: "x", Interval: time.Hour}, "/order/x", 20 * time.Second, requests},
		{endlesstest.Response{Name: "slow", Start: head + body[:size-1000], Repeat: "x", Interval: 20 * time.Millisecond}, "/order/x", time.Second, 0},
		{endlesstest.Response{Name: "slow event", Start: stream + body[:size-1000], Repeat: "x", Interval: 20 * time.Millisecond}, "/stream/x", time.Second, 0},
	} {
		t.Run(tc.Name, func(t *testing.T) {
			c := qt.New(t)
			u := endlesstest.Start(t, tc.Response)
			d := document()
			for i := range d.Routes {
				d.Routes[i].Timeout = tc.timeout
			}
			gw := newTestGatewayWith(t, d, func(o *Options) { o.MaxBufferedBytes = maxTotal })
			gw.server.opts.Dispatcher.SetInstances(catalog.List{Instances: []catalog.Instance{{ID: "i", Service: "svc", Address: u.Address, DataCentre: "dc"}}})
			var complete atomic.Int64
			grown := endlesstest.HeapGrowth(func() {
				var g sync.WaitGroup
				for range requests {
					g.Go(func() {
						if status, ok := gw.discard(tc.path); ok && status == http.StatusOK {
							complete.Add(1)
						}
					})
				}
				g.Wait()
			})
			c.Check(grown < 4*maxTotal+requests*4*freeBufferedBytes, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
			c.Check(complete.Load(), qt.Equals, tc.complete)
			gw.endRequests()
			c.Check(gw.server.buffered.used.Load(), qt.Equals, int64(0))
		})
	}
}
