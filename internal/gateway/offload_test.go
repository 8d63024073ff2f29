package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/overload"
	"marigoldshunt/internal/routing"
)

// waitedDigits matches the time that a request has waited, which depends on the machine.
var waitedDigits = regexp.MustCompile(`(Offload-Waited-Ms: )[0-9]{5}`)

// offloadPair is a gateway that the account with the credential k1 floods, and the one to which it
// passes requests on.
type offloadPair struct {
	*testGateway
	other *testGateway
}

// newOffloadPair returns two gateways in front of the same upstream.
func newOffloadPair(t *testing.T, u *upstream) offloadPair {
	other := newTestGatewayWith(t, accountsDocument(), quiet, u)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	other.Assert(err, qt.IsNil)
	go func() { _ = other.server.ServeOffloaded(ln) }()
	return offloadPair{newOffloadingGateway(t, ln.Addr().String(), u), other}
}

func accountsDocument() *routing.Document {
	d := document()
	d.Accounts = []routing.Account{{Name: "hot", Credentials: []string{"k1"}}, {Name: "small", Credentials: []string{"k2"}}}
	return d
}

// newOffloadingGateway returns an overloaded gateway that passes requests on to an address.
func newOffloadingGateway(t testing.TB, address string, u *upstream) *testGateway {
	gw := newTestGatewayWith(t, accountsDocument(), offloadTo(address), u)
	gw.server.SetOffloadHosts([]string{"h2"})
	gw.flood("hot", 500, 4*time.Second)
	gw.Assert(gw.server.limiter.RateLimit() < 10, qt.IsTrue)
	return gw
}

// offloadTo makes a gateway pass requests on to an address.
func offloadTo(address string) func(*Options) {
	return func(opts *Options) {
		quiet(opts)
		opts.Offload = OffloadOptions{MaxOpen: 8, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}}
	}
}

// flood plays the flood of an account that has lasted until a second ago and made the host late for
// a time. A few requests may then be passed on at once, and the host accepts new connections again.
func (gw *testGateway) flood(account string, perSample int, late time.Duration) {
	const length = 20 * time.Second
	gw.server.limiter.Lock()
	defer gw.server.limiter.Unlock()
	begun := time.Now().Add(-length)
	for at := begun; at.Before(begun.Add(length)); at = at.Add(overload.SampleInterval) {
		for range perSample {
			if at.After(begun.Add(length - time.Second)) {
				break
			}
			gw.server.limiter.Admit(account, at)
		}
		lag := 30 * time.Millisecond
		if at.Before(begun.Add(late)) {
			lag = 300 * time.Millisecond
		}
		gw.server.limiter.Observe(lag, at)
	}
	gw.Assert(gw.server.limiter.Shed(0.99), qt.IsFalse)
}

// waitForOpenToHosts waits until n connections to other hosts are open, all of them idle. A caller
// has its response before they are given back.
func (gw *testGateway) waitForOpenToHosts(n int) {
	o := gw.server.offloader
	counts := func() (open, idle int) {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.open, len(o.idle["h2"])
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		open, idle := counts()
		if open == n && idle == n {
			return
		}
		gw.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%d open, %d idle", open, idle))
	}
}

func (gw *testGateway) counted(name string) int64 {
	return metrics.GetOrRegisterCounter("gateway."+name, gw.server.opts.Registry).Count()
}

// Guards against a host that refuses the requests of an account that keeps to it although other
// hosts have time to spare, and against a connection that is unusable after a request was passed on.
func TestOverloadedHostPassesRequestsOn(t *testing.T) {
	u := newUpstream(t, func(req *receivedRequest) {
		writeRaw("%s", rawResponse(200, req.Header.Get("X-Request-Id")+req.body))(req)
	})
	pair := newOffloadPair(t, u)
	nc, err := net.Dial("tcp", pair.address)
	pair.Assert(err, qt.IsNil)
	defer nc.Close()
	br := bufio.NewReader(nc)
	for i, size := range []int{0, 100, 9_000, 60_000} {
		id, body := fmt.Sprint("r", i), strings.Repeat("b", size)
		resp, got := exchange(pair.C, nc, br, rawRequest("POST", "k1", id, "X-Other: o\r\n", body))
		pair.Assert(resp.StatusCode, qt.Equals, 200, qt.Commentf("%s", got))
		pair.Assert(resp.Header.Get("X-Proof"), qt.Equals, "p1")
		pair.Assert(got, qt.Equals, id+body)
	}
	// The other account is below the limit. Behind a request that the host serves itself, the HTTP
	// server may have read the beginning of the next one already, so these come last.
	for range 3 {
		resp, _ := exchange(pair.C, nc, br, rawRequest("POST", "k2", "s1", "", strings.Repeat("b", 9_000)))
		pair.Assert(resp.StatusCode, qt.Equals, 200)
	}
	pair.Assert(pair.counted("offloaded"), qt.Equals, int64(4))
	pair.Assert(u.requests(), qt.HasLen, 7)
	for _, req := range u.requests() {
		pair.Check(req.Header.Get("X-Api-Key"), qt.Equals, "")
		if !strings.HasPrefix(req.Header.Get("X-Request-Id"), "s") {
			pair.Check(req.Header.Get("X-Account"), qt.Equals, "hot")
			pair.Check(req.Header.Get("X-Other"), qt.Equals, "o")
		}
	}
	pair.waitForOpenToHosts(1)
	pair.server.CloseIdle(time.Now().Add(time.Minute))
	pair.waitForOpenToHosts(0)
	pair.other.endRequests() // a request counts as answered after its caller has the response
	pair.Assert(pair.other.counted("answered"), qt.Equals, int64(4))
}

// Guards against a host that accepts a flood until it is overloaded, which then lasts for seconds.
func TestHostPassesOnWhatCrowdsIt(t *testing.T) {
	running, end := make(chan struct{}, 2*crowdedRunning), make(chan struct{})
	u := newUpstream(t, func(req *receivedRequest) {
		running <- struct{}{}
		<-end
		writeRaw("%s", rawResponse(200, "ok"))(req)
	})
	other := newTestGatewayWith(t, accountsDocument(), quiet, u)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	other.Assert(err, qt.IsNil)
	go func() { _ = other.server.ServeOffloaded(ln) }()
	gw := newTestGatewayWith(t, accountsDocument(), offloadTo(ln.Addr().String()), u)
	gw.server.SetOffloadHosts([]string{"h2"})
	statuses := make(chan int, 2*crowdedRunning)
	send := func(key string) {
		go func() {
			resp, _, _ := gw.do("GET", "/read/x", "", "X-Api-Key: "+key)
			if resp == nil {
				resp = &http.Response{}
			}
			statuses <- resp.StatusCode
		}()
		select {
		case <-running:
		case <-time.After(testTimeout):
			t.Error("a request did not reach the upstream")
		}
	}
	for range crowdedRunning + 5 {
		send("k1")
	}
	send("k2")
	close(end)
	for range crowdedRunning + 6 {
		gw.Check(<-statuses, qt.Equals, 200)
	}
	gw.Check(gw.counted("offloaded"), qt.Equals, int64(4)) // one more than crowdedRunning is served here
	gw.Check(gw.server.Busy(), qt.IsFalse)
}

// Guards against events of a stream that are held back by the host that passed its request on, and
// against a stream that breaks off and looks complete to the caller.
func TestPassedOnStreamIsDeliveredEventByEvent(t *testing.T) {
	next := make(chan struct{})
	event := func(id int) func(*receivedRequest) {
		return func(req *receivedRequest) {
			<-next
			writeRaw("%s", eventChunk(id))(req)
		}
	}
	u := newUpstream(t,
		sequence(writeRaw("%s", streamHead), event(1), event(2), writeRaw("%s", streamEnd)),
		sequence(writeRaw("%s", streamHead), event(1), resetConn),
	)
	pair := newOffloadPair(t, u)
	nc, err := net.Dial("tcp", pair.address)
	pair.Assert(err, qt.IsNil)
	defer nc.Close()
	pair.Assert(nc.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	br := bufio.NewReader(nc)
	advance := func() {
		select {
		case next <- struct{}{}:
		case <-time.After(testTimeout):
			t.Fatal("the request did not reach the upstream")
		}
	}
	begin := func() *bufio.Reader {
		_, err := io.WriteString(nc, strings.Replace(rawRequest("POST", "k1", "r1", "", ""), "/order/", "/stream/", 1))
		pair.Assert(err, qt.IsNil)
		advance()
		resp, err := http.ReadResponse(br, nil)
		pair.Assert(err, qt.IsNil)
		body := bufio.NewReader(resp.Body)
		line, err := body.ReadString('\n')
		pair.Assert(err, qt.IsNil)
		pair.Assert(line, qt.Equals, "id: 1\n")
		return body
	}
	body := begin()
	advance()
	rest, err := io.ReadAll(body)
	pair.Assert(err, qt.IsNil)
	pair.Assert(string(rest), qt.Contains, "id: 2\n")
	_, err = io.ReadAll(begin())
	pair.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	pair.Assert(pair.counted("offloaded"), qt.Equals, int64(2))
	// The upstream broke off, not the host, which is chosen again at once.
	nc, err = net.Dial("tcp", pair.address)
	pair.Assert(err, qt.IsNil)
	defer nc.Close()
	pair.Assert(nc.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	br = bufio.NewReader(nc)
	_, err = io.ReadAll(begin())
	pair.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	pair.Assert(pair.counted("offloaded"), qt.Equals, int64(3))
}

// Guards against work at an upstream for a caller that has left the host that passed its request on.
func TestCallerThatLeavesCancelsThePassedOnRequest(t *testing.T) {
	begun := make(chan *receivedRequest, 1)
	u := newUpstream(t, func(req *receivedRequest) {
		begun <- req
		_, _ = req.conn.Read(make([]byte, 1)) // ends when the host closes the connection
		close(req.disconnected)
	})
	pair := newOffloadPair(t, u)
	nc, err := net.Dial("tcp", pair.address)
	pair.Assert(err, qt.IsNil)
	_, err = io.WriteString(nc, rawRequest("POST", "k1", "r1", "", "body"))
	pair.Assert(err, qt.IsNil)
	var req *receivedRequest
	select {
	case req = <-begun:
	case <-time.After(testTimeout):
		t.Fatal("the request did not reach the upstream")
	}
	nc.Close()
	select {
	case <-req.disconnected:
	case <-time.After(testTimeout):
		t.Fatal("the upstream still works")
	}
	pair.Assert(pair.counted("offloaded"), qt.Equals, int64(1))
}

// Guards against a refusal that says that a request did not run although it was passed on, against a
// request that hangs with a host that has stopped, and against losing a request because a host that
// takes none could be chosen.
func TestPassedOnRequestsWhoseHostFails(t *testing.T) {
	for _, test := range []struct {
		name   string
		serve  func(nc net.Conn)
		status int
		body   string
	}{
		{"ends", func(nc net.Conn) { nc.Close() }, 502, `"run_state":"may_have_run"`},
		{"half a head", func(nc net.Conn) { fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-"); nc.Close() }, 502, `"run_state":"may_have_run"`},
		{"endless head", func(nc net.Conn) {
			fmt.Fprint(nc, "HTTP/1.1 200 OK\r\n"+strings.Repeat("X: y\r\n", maxOffloadHeadBytes))
		}, 502, `"run_state":"may_have_run"`},
		{"large head", func(nc net.Conn) {
			fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: "+strings.Repeat("y", 2*offloadBufferBytes)+"\r\nConnection: close\r\n\r\nok")
		}, 200, "ok"},
		{"other bytes", func(nc net.Conn) { fmt.Fprint(nc, "hello\r\n\r\n") }, 502, `"run_state":"may_have_run"`},
		{"no length", func(nc net.Conn) { fmt.Fprint(nc, "HTTP/1.1 200 OK\r\n\r\nbody"); nc.Close() }, 502, `"run_state":"may_have_run"`},
		{"silent", func(net.Conn) {}, 504, `"run_state":"may_have_run"`},
		{"refuses", func(nc net.Conn) { fmt.Fprint(nc, shedResponse) }, 503, shedBody},
	} {
		t.Run(test.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer ln.Close()
			received := make(chan string, 4)
			go func() {
				for {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						p := make([]byte, 4<<10)
						n, _ := nc.Read(p)
						received <- string(p[:n])
						test.serve(nc)
					}()
				}
			}()
			u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
			gw := newOffloadingGateway(t, ln.Addr().String(), u)
			nc, err := net.Dial("tcp", gw.address)
			gw.Assert(err, qt.IsNil)
			defer nc.Close()
			request := rawRequest("POST", "k1", "r1", "X-Deadline-Ms: 300\r\n", "body")
			resp, body := exchange(gw.C, nc, bufio.NewReader(nc), request)
			gw.Assert(resp.StatusCode, qt.Equals, test.status)
			gw.Assert(body, qt.Contains, test.body)
			gw.Assert(waitedDigits.ReplaceAllString(<-received, "${1}00000"), qt.Equals, strings.Replace(request, "\r\n", "\r\nOffload-Document-Version: 1\r\nOffload-Waited-Ms: 00000\r\n", 1))
			gw.Assert(u.requests(), qt.HasLen, 0)
			gw.Assert(received, qt.HasLen, 0)
			gw.waitForOpenToHosts(0)
		})
	}
}

// Guards against a second copy of a response, late, on a connection to another host that is in use
// again: the next caller would get a response that is not its own.
func TestLateCopyOfAPassedOnResponseReachesNoCaller(t *testing.T) {
	const copyOf = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy"
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		defer ln.Close()
		copied := make(chan struct{}, 4)
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					br := bufio.NewReader(nc)
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%s", req.Header.Get("X-Request-Id"))
					time.Sleep(delay)
					fmt.Fprint(nc, copyOf)
					copied <- struct{}{}
				}()
			}
		}()
		gw := newOffloadingGateway(t, ln.Addr().String(), newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
		nc, err := net.Dial("tcp", gw.address)
		gw.Assert(err, qt.IsNil)
		defer nc.Close()
		br := bufio.NewReader(nc)
		for _, id := range []string{"r1", "r2"} {
			resp, body := exchange(gw.C, nc, br, rawRequest("POST", "k1", id, "", "body"))
			gw.Assert(resp.StatusCode, qt.Equals, 200)
			gw.Assert(body, qt.Equals, id)
			<-copied
			time.Sleep(delay) // until the copy has arrived
		}
	}
}

// Guards against a host that neither passes a request on nor refuses it, because no other host can
// be reached.
func TestRefusesWhatNoOtherHostTakes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := ln.Addr().String()
	ln.Close()
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	gw := newOffloadingGateway(t, address, u)
	nc, err := net.Dial("tcp", gw.address)
	gw.Assert(err, qt.IsNil)
	defer nc.Close()
	br := bufio.NewReader(nc)
	for range 3 {
		resp, body := exchange(gw.C, nc, br, rawRequest("POST", "k1", "r1", "", strings.Repeat("b", 9_000)))
		gw.Assert(resp.StatusCode, qt.Equals, 503)
		gw.Assert(resp.Header.Get("Retry-After"), qt.Equals, "0.400")
		gw.Assert(body, qt.Equals, shedBody)
	}
	gw.Assert(u.requests(), qt.HasLen, 0)
	gw.waitForOpenToHosts(0)
}

// Guards against a caller for whom an older routing document is in force again, because the host to
// which its request was passed on has not the newer one yet, and against passing on the header
// between hosts.
func TestHostWithAnOlderDocumentTakesNoPassedOnRequest(t *testing.T) {
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	pair := newOffloadPair(t, u)
	for _, test := range []struct {
		version uint64
		status  int
	}{{1, 200}, {2, 503}, {0, 200}} {
		d := accountsDocument()
		d.Version = test.version
		pair.setView(func(v *View) { v.Table = routing.NewTable(d) })
		nc, err := net.Dial("tcp", pair.address)
		pair.Assert(err, qt.IsNil)
		resp, body := exchange(pair.C, nc, bufio.NewReader(nc), rawRequest("POST", "k1", "r1", "", "body"))
		nc.Close()
		pair.Check(resp.StatusCode, qt.Equals, test.status, qt.Commentf("version %d", test.version))
		if test.status == 503 {
			pair.Check(body, qt.Equals, failureBody(fault.HostIsolated, fault.NotRun))
			pair.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	}
	pair.Assert(u.requests(), qt.HasLen, 2)
	for _, req := range u.requests() {
		pair.Check(req.Header.Get(offloadVersionHeader), qt.Equals, "")
	}
}

// Guards against requests that go around between overloaded hosts.
func TestPassedOnRequestsAreNotPassedOnAgain(t *testing.T) {
	u := newUpstream(t, writeRaw("%s", rawResponse(200, "ok")))
	unused := newTestGateway(t, accountsDocument(), u)
	last := newLimitedGateway(t, u, offloadTo(unused.address))
	last.server.SetOffloadHosts([]string{"h3"})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	last.Assert(err, qt.IsNil)
	go func() { _ = last.server.ServeOffloaded(ln) }()
	first := newOffloadingGateway(t, ln.Addr().String(), u)
	nc, err := net.Dial("tcp", first.address)
	first.Assert(err, qt.IsNil)
	defer nc.Close()
	resp, body := exchange(first.C, nc, bufio.NewReader(nc), rawRequest("POST", "k1", "r1", "", "body"))
	first.Assert(resp.StatusCode, qt.Equals, 503)
	first.Assert(body, qt.Equals, shedBody)
	first.Assert(last.counted("offloaded"), qt.Equals, int64(0))
}

// Guards against a stop that cuts off a request that was passed on.
func TestPassedOnRequestIsAnsweredAtShutdown(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	u := newUpstream(t, func(req *receivedRequest) {
		close(begun)
		<-end
		writeRaw("%s", rawResponse(200, "ok"))(req)
	})
	pair := newOffloadPair(t, u)
	nc, err := net.Dial("tcp", pair.address)
	pair.Assert(err, qt.IsNil)
	defer nc.Close()
	_, err = io.WriteString(nc, rawRequest("POST", "k1", "r1", "", "body"))
	pair.Assert(err, qt.IsNil)
	select {
	case <-begun:
	case <-time.After(testTimeout):
		t.Fatal("the request did not reach the upstream")
	}
	stopped := make(chan struct{})
	go func() {
		pair.endRequests()
		close(stopped)
	}()
	time.AfterFunc(3*shutdownPollInterval, func() { close(end) })
	pair.Assert(nc.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	pair.Assert(err, qt.IsNil)
	pair.Assert(resp.StatusCode, qt.Equals, 200)
	<-stopped
}

// Guards against a failure of a host that is not told apart from the end of a caller's connection.
func TestOffloadFailuresAreFaults(t *testing.T) {
	for _, err := range []error{os.ErrDeadlineExceeded, io.ErrUnexpectedEOF} {
		qt.Check(t, fault.As(fault.Wrap(err, fault.PeerUnreachable, fault.MayHaveRun, "host")).RunState, qt.Equals, fault.MayHaveRun)
	}
}
