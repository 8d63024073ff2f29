package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// Guards against callers that are cut off without a refusal because others connect to an
// overloaded host and send nothing.
func TestSilentConnectionsKeepNoRefusalFromOthers(t *testing.T) {
	gw := newTestGatewayWith(t, document(), limitConnections)
	gw.overload()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		t.Cleanup(func() { nc.Close() })
		return nc
	}
	for range 2 * testMaxConnections {
		dial()
	}
	shed := metrics.GetOrRegisterCounter("gateway.shed", gw.server.opts.Registry)
	settled := func(n ConnectionCounts) bool {
		return int(shed.Count())+n.Open >= 2*testMaxConnections && n.Refusing <= testMaxConnections/refusingDivisor
	}
	refused := 0
	for range 16 {
		gw.waitFor(settled)
		nc := dial()
		// The request of a distant caller arrives after its connection was accepted.
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(nc, "GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		gw.Assert(err, qt.IsNil, qt.Commentf("after %d refusals", refused))
		if resp.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	gw.Assert(refused > 8, qt.IsTrue, qt.Commentf("%d", refused))
}
