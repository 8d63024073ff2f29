package gateway

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const largeBodyBytes = 1 << 20

// Guards against a host that ends by memory because it takes memory for bodies that callers
// announce and do not send.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	const callers = 128
	gw := newTestGateway(t, document())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range callers {
		nc, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { nc.Close() })
		fmt.Fprintf(nc, "POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nb", largeBodyBytes)
	}
	for end := time.Now().Add(testTimeout); gw.server.Running() < callers; time.Sleep(time.Millisecond) {
		gw.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%d running", gw.server.Running()))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	gw.Assert(held < callers*largeBodyBytes/4, qt.IsTrue, qt.Commentf("%d KB held", held>>10))
}

// Guards against a host that ends by memory because each of its requests may hold a large
// body, and against refusing small requests beside large ones.
func TestBodiesAreBoundedInSum(t *testing.T) {
	end := make(chan struct{})
	u := newUpstream(t, func(req *receivedRequest) {
		if len(req.body) > largeBodyBytes/2 {
			<-end
		}
		writeRaw("%s", rawResponse(200, "ok"))(req)
	})
	gw := newTestGatewayWith(t, document(), func(opts *Options) { opts.MaxBodyMemory = 3 * largeBodyBytes }, u)
	const callers = 8
	statuses := make(chan int, callers)
	for range callers {
		go func() {
			resp, _, _ := gw.do("POST", "/order/x", strings.Repeat("b", largeBodyBytes))
			if resp == nil {
				resp = &http.Response{}
			}
			statuses <- resp.StatusCode
		}()
	}
	for i := range callers - 3 {
		select {
		case status := <-statuses:
			gw.Check(status, qt.Equals, 503)
		case <-time.After(testTimeout):
			t.Fatalf("%d of %d large requests were refused", i, callers)
		}
	}
	resp, _, _ := gw.do("POST", "/order/x", "small")
	gw.Check(resp.StatusCode, qt.Equals, 200)
	close(end)
	for range 3 {
		gw.Check(<-statuses, qt.Equals, 200)
	}
	resp, _, _ = gw.do("POST", "/order/x", strings.Repeat("b", largeBodyBytes))
	gw.Check(resp.StatusCode, qt.Equals, 200)
	chunked := gw.sendRaw("POST /order/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 100_000, strings.Repeat("b", 100_000)))
	gw.Check(chunked, qt.Contains, "HTTP/1.1 200 ")
}
