package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowConnect makes the connects of a gateway to another one call before first.
func (p offloadPair) slowConnect(before func()) {
	o := p.server.offloader
	dial := o.opts.Dial
	o.opts.Dial = func(ctx context.Context, host string) (net.Conn, error) {
		before()
		return dial(context.Background(), host)
	}
}

// Guards against passing on a request whose caller left while the other host was being reached.
func TestRequestWhoseCallerLeftDuringTheConnectIsNotPassedOn(t *testing.T) {
	pair := newOffloadPair(t, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	nc, err := net.Dial("tcp", pair.address)
	pair.Assert(err, qt.IsNil)
	connecting, left := make(chan struct{}), make(chan struct{})
	pair.slowConnect(func() {
		close(connecting)
		<-left
	})
	_, err = io.WriteString(nc, rawRequest("POST", "k1", "r1", "", "body"))
	pair.Assert(err, qt.IsNil)
	<-connecting
	pair.Assert(nc.Close(), qt.IsNil)
	// The host has no open connection of a caller once it has given the request up.
	time.AfterFunc(50*time.Millisecond, func() { close(left) })
	pair.waitFor(func(n ConnectionCounts) bool { return n.Open == 0 })
	pair.waitForOpenToHosts(1)
	pair.Assert(pair.counted("offloaded"), qt.Equals, int64(0))
	pair.Assert(pair.other.counted("answered"), qt.Equals, int64(0))
}

// Guards against a request that another host sends on after its caller's time is over, because the
// time that it waited at the first host is counted again.
func TestTimeWaitedBeforePassingOnCounts(t *testing.T) {
	const callerMs, waited = 1_500, 200 * time.Millisecond
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	pair := newOffloadPair(t, u)
	pair.slowConnect(func() { time.Sleep(waited) })
	nc, err := net.Dial("tcp", pair.address)
	pair.Assert(err, qt.IsNil)
	defer nc.Close()
	resp, _ := exchange(pair.C, nc, bufio.NewReader(nc), rawRequest("POST", "k1", "r1", "X-Deadline-Ms: 1500\r\n", "body"))
	pair.Assert(resp.StatusCode, qt.Equals, 200)
	pair.Assert(pair.counted("offloaded"), qt.Equals, int64(1))
	got := u.requests()[0]
	ms, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
	pair.Assert(err, qt.IsNil)
	pair.Assert(ms <= callerMs-int(waited.Milliseconds()), qt.IsTrue, qt.Commentf("%d ms", ms))
	pair.Assert(got.Header.Get(offloadWaitedHeader), qt.Equals, "")
}
