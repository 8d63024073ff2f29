package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/engine"
	"marigoldshunt/internal/fault"
)

// recordingForwarder stands in for the upstreams and records the requests.
type recordingForwarder struct {
	mu   sync.Mutex
	sent []*engine.ForwardRequest
}

// Forward fails every request as one that may have run, so that none is sent twice.
func (r *recordingForwarder) Forward(_ context.Context, f *engine.ForwardRequest) (*engine.ForwardResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, f)
	return nil, fault.New(fault.UpstreamFailed, fault.MayHaveRun, "recorded")
}

// oneConnListener accepts a single connection.
type oneConnListener struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *oneConnListener) Close() error   { return nil }
func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzCallerBytes guards against forwarding a request that the caller did not send, responding
// with anything but HTTP, and crashing the process, whatever bytes a caller sends.
func FuzzCallerBytes(f *testing.F) {
	f.Add([]byte("GET /read/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"))
	f.Add([]byte("POST /read/a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /order/b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /order/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET /read/x HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /order/a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/x HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST /order/a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"))
	f.Add([]byte("GET /read/a HTTP/1.1\nHost: h\nX-Deadline-Ms: -5\nX-Prompt-Parts: 1:2,zz:,:\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		up := &recordingForwarder{}
		gw := newTestGateway(t, document(), newUpstream(t))
		gw.server.opts.Forwarder = up
		callerConn, hostConn := net.Pipe()
		l := &oneConnListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		l.conns <- hostConn
		served := make(chan error, 1)
		go func() { served <- gw.server.Serve(l) }()
		go func() {
			_, _ = callerConn.Write(data) // the host may close the connection first
			_ = callerConn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		}()
		responses, _ := io.ReadAll(callerConn) // ends at EOF or at the read deadline
		callerConn.Close()
		close(l.done)
		<-served
		up.mu.Lock()
		defer up.mu.Unlock()
		for _, r := range up.sent {
			c.Assert(bytes.Contains(data, []byte(r.Target)), qt.IsTrue, qt.Commentf("target %q was not sent", r.Target))
			c.Assert(bytes.Contains(data, []byte(r.Method+" ")), qt.IsTrue, qt.Commentf("method %q was not sent", r.Method))
			c.Assert(len(r.Body) <= len(data), qt.IsTrue)
			c.Assert(r.Header.Get("X-Api-Key"), qt.Equals, "")
		}
		requestLines := strings.Count(string(data), "HTTP/1.")
		c.Assert(len(up.sent) <= requestLines, qt.IsTrue, qt.Commentf("%d requests from %d request lines", len(up.sent), requestLines))
		br := bufio.NewReader(bytes.NewReader(responses))
		for n := 0; ; n++ {
			if _, err := br.Peek(1); err != nil {
				return
			}
			resp, err := http.ReadResponse(br, nil)
			c.Assert(err, qt.IsNil, qt.Commentf("response %d of %q", n, responses))
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
		}
	})
}

// soundEvent is an event as eventReader defines it.
var soundEvent = regexp.MustCompile(`^(version: ?[0-9]+\r?\n)?id: ?([0-9]+)\r?\n(event:[^\n]*\n)*data:[^\n]*\n((data|event):[^\n]*\n)*\r?\n$`)

// FuzzEvents guards against events that are truncated, merged, altered, left out or made by no run.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "")
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n: comment\n\nid"), "")
	f.Add([]byte("\n\n\nid:\n\n"), "7")
	f.Add([]byte("version: 4\nid: 7\nevent: token\ndata: a\ndata:\n\nid: 8\ndata: b\n\nid: 10\ndata: c\n\n"), "7")
	f.Add([]byte("id: 0\ndata: a\n\n"), "x")
	f.Add([]byte("id: 1\ndata: a\r\rdata: b\n\nid: 2\ndata: c\n\n"), "")
	f.Add([]byte("id: 1\ndata: a\r\r\n\r\nid: 2\ndata: c\n\n"), "")
	f.Add([]byte("\ufeffid: 1\ndata: \x00\u2028\n\n"), "")
	f.Add([]byte("id: 01\nevent: \xff\ndata: a\n\n"), "")
	f.Fuzz(func(t *testing.T, data []byte, lastEventID string) {
		c := qt.New(t)
		events := newEventReader(bufio.NewReaderSize(bytes.NewReader(data), 16), "version", lastEventID)
		var all []byte
		var ids [][]string
		var last int64
		for {
			event, err := events.next(func() bool { return true })
			if err != nil {
				c.Assert(event, qt.HasLen, 0)
				break
			}
			all = append(all, event...)
			fields := soundEvent.FindSubmatch(event)
			c.Assert(fields, qt.Not(qt.HasLen), 0, qt.Commentf("%q", event))
			id, err := strconv.ParseInt(string(fields[2]), 10, 64)
			c.Assert(err, qt.IsNil)
			c.Assert(id, qt.Equals, events.last)
			resumed, err := strconv.ParseInt(lastEventID, 10, 64)
			switch {
			case last > 0:
				c.Assert(id, qt.Equals, last+1)
			case lastEventID == "":
				c.Assert(id, qt.Equals, int64(1))
			case err == nil && resumed >= 0 && !strings.HasPrefix(lastEventID, "+") && !strings.HasPrefix(lastEventID, "-"):
				c.Assert(id <= resumed+1, qt.IsTrue)
			}
			last = id
			ids = append(ids, []string{strconv.FormatInt(id, 10)})
		}
		c.Assert(bytes.HasPrefix(data, all), qt.IsTrue)
		seen := readStrictly(all)
		c.Assert(seen.ids, qt.DeepEquals, ids)
		c.Assert(seen.open, qt.IsFalse)
		for _, name := range seen.unknown {
			c.Assert(name, qt.Equals, "version")
		}
	})
}

// maxSummedFields is above the weights with which dispatch adds up numbers of one header.
const maxSummedFields = 1_000

// FuzzHeaderFields guards against header fields that crash the process, parse as negative
// numbers or overflow when they are added up.
func FuzzHeaderFields(f *testing.F) {
	f.Add("5c1e07a2:800,91bd3f06:410", "1460,80", "5000", "3,0,8")
	f.Add("ffffffffffffffffff:1,x:-1,:", "-1,-2", "-3", "a,b")
	// CI runs only these seeds, so each field has its negative numbers here.
	f.Add("1:-1", "-1,2", "-1", "-1,0")
	f.Add("1:2,3:-4", "1,-2", "-0", "0,-1,8")
	f.Add("1:9223372036854775807,2:9223372036854775807", "1,9223372036854775807", "9223372036854775807", "9223372036854775807,9223372036854775807")
	f.Fuzz(func(t *testing.T, parts, usage, deadline, load string) {
		c := qt.New(t)
		names := NativeHeaderNames()
		h := http.Header{names.PromptParts: {parts}, names.Usage: {usage}, names.Deadline: {deadline}, names.Load: {load}}
		prompt := 0
		for _, p := range names.promptParts(h) {
			c.Assert(p.Tokens >= 0, qt.IsTrue)
			prompt += p.Tokens
			c.Assert(prompt >= 0, qt.IsTrue, qt.Commentf("the sum of %q overflows", parts))
		}
		in, out := names.usage(h)
		c.Assert(in >= 0 && out >= 0 && in+maxSummedFields*out >= 0, qt.IsTrue, qt.Commentf("%q", usage))
		left, _ := names.callerTimeout(h)
		c.Assert(left >= 0, qt.IsTrue)
		running, waiting, ok := names.load(h)
		c.Assert(!ok || running >= 0 && waiting >= 0 && running+waiting >= 0, qt.IsTrue, qt.Commentf("%q", load))
	})
}
