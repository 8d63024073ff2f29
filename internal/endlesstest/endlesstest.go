// Package endlesstest has a stand-in server whose responses never end, and measures the
// memory that a client of it holds.
package endlesstest

import (
	"context"
	"net"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// Response is a response without end: Start, then Repeat until the client closes the
// connection.
type Response struct {
	Name, Start, Repeat string
	// Delay is the pause between Start and the first Repeat.
	Delay time.Duration
	// Interval is the time between two Repeats, 0 to send as fast as the client reads.
	Interval time.Duration
}

const chunkedHead = "HTTP/1.1 200 OK\r\nX-Proof: p1\r\nTransfer-Encoding: chunked\r\n\r\n"

// Heads are responses whose head never ends.
var Heads = []Response{
	{Name: "status line", Start: "HTTP/1.1 200 ", Repeat: "x"},
	{Name: "header line", Start: "HTTP/1.1 200 OK\r\nX-A: ", Repeat: "x"},
	{Name: "header lines", Start: "HTTP/1.1 200 OK\r\n", Repeat: "X-A: 1\r\n"},
	{Name: "interim responses", Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
	{Name: "no HTTP", Repeat: "\x00\x01\x02"},
	{Name: "no HTTP, lines", Repeat: "\r\n"},
}

// Bodies are responses whose body never ends.
var Bodies = []Response{
	{Name: "chunked body", Start: chunkedHead, Repeat: "5\r\nhello\r\n"},
	{Name: "chunk", Start: chunkedHead + "7fffffff\r\n", Repeat: "x"},
	{Name: "chunk extension", Start: chunkedHead + "5;", Repeat: "x"},
	{Name: "trailer line", Start: chunkedHead + "0\r\nX-A: ", Repeat: "x"},
	{Name: "trailer lines", Start: chunkedHead + "0\r\n", Repeat: "X-A: 1\r\n"},
	{Name: "body to the end of the connection", Start: "HTTP/1.1 200 OK\r\nX-Proof: p1\r\n\r\n", Repeat: "hello"},
	{Name: "long body", Start: "HTTP/1.1 200 OK\r\nX-Proof: p1\r\nContent-Length: 99999999999\r\n\r\n", Repeat: "hello"},
}

// ExtraBytes returns a complete response with bytes after it that never end.
func ExtraBytes(body string, delay time.Duration) Response {
	return Response{Name: "bytes after a response", Start: Complete(body), Repeat: "x", Delay: delay}
}

// Complete returns the bytes of a complete response with status 200.
func Complete(body string) string {
	return "HTTP/1.1 200 OK\r\nX-Proof: p1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// Limits of what a stand-in sends, so that a client that keeps all of it does not exhaust the
// machine's memory: fullSpeedBytes at once, the rest in one write each slowInterval.
const (
	writeBytes     = 64 << 10
	fullSpeedBytes = 128 << 20
	slowInterval   = 10 * time.Millisecond
)

// Server is a stand-in that sends the same response on each connection.
type Server struct {
	Address string
	// Accepted counts the connections.
	Accepted atomic.Int64
	closed   chan struct{}
}

// Start starts a stand-in. It begins to respond at the first bytes of a request.
func Start(t testing.TB, r Response) *Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &Server{Address: ln.Addr().String(), closed: make(chan struct{}, 1024)}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	// One copy serves all connections, so that it does not count as memory of the client.
	start := []byte(r.Start)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.Accepted.Add(1)
			go func() {
				serve(c, r, start, done)
				c.Close()
				s.closed <- struct{}{}
			}()
		}
	}()
	return s
}

// serve returns once the client has closed the connection.
func serve(c net.Conn, r Response, start []byte, done <-chan struct{}) {
	if _, err := c.Read(make([]byte, writeBytes)); err != nil {
		return
	}
	if _, err := c.Write(start); err != nil {
		return
	}
	time.Sleep(r.Delay)
	repeat, interval := []byte(r.Repeat), r.Interval
	if interval == 0 {
		repeat = []byte(strings.Repeat(r.Repeat, writeBytes/len(r.Repeat)))
	}
	for sent := 0; ; sent += len(repeat) {
		if sent > fullSpeedBytes {
			interval = slowInterval
		}
		if interval > 0 {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
		}
		if _, err := c.Write(repeat); err != nil {
			return
		}
	}
}

// AssertClosed fails the test unless the client closes all connections that it opened.
func (s *Server) AssertClosed(t testing.TB) {
	t.Helper()
	for range s.Accepted.Load() {
		select {
		case <-s.closed:
		case <-time.After(10 * time.Second):
			t.Fatal("the client left a connection open")
		}
	}
}

// ListReader is a reader of a list that comes as one response.
type ListReader struct {
	// Read reads the list once.
	Read func(ctx context.Context, address string) error
	// Empty is the body of a response with an empty list.
	Empty string
	// FailureCode is the code of the error of a read that fails.
	FailureCode fault.Code
	Timeout     time.Duration
	// MaxHeapGrowth is in bytes.
	MaxHeapGrowth uint64
}

// Test fails the test if responses whose bytes never end fill the memory, keep the reader from
// its next read, or keep a connection open.
func (l ListReader) Test(t *testing.T) {
	for _, r := range slices.Concat(Heads, Bodies) {
		t.Run(r.Name, func(t *testing.T) {
			c := qt.New(t)
			u := Start(t, r)
			ctx, cancel := context.WithTimeout(t.Context(), l.Timeout)
			defer cancel()
			var err error
			grown := HeapGrowth(func() { err = l.Read(ctx, u.Address) })
			c.Check(fault.CodeOf(err), qt.Equals, l.FailureCode, qt.Commentf("%v", err))
			c.Check(ctx.Err(), qt.IsNil)
			c.Check(grown < l.MaxHeapGrowth, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", grown))
			u.AssertClosed(t)
		})
	}
	for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
		u := Start(t, ExtraBytes(l.Empty, delay))
		qt.Check(t, l.Read(t.Context(), u.Address), qt.IsNil)
		u.AssertClosed(t)
	}
}

// TestInstanceList tests a reader of the list of instances.
func TestInstanceList(t *testing.T, read func(ctx context.Context, address string) error) {
	ListReader{
		Read: read, Empty: `{"instances":[]}`, FailureCode: fault.UpstreamFailed, Timeout: 5 * time.Second, MaxHeapGrowth: 32 << 20,
	}.Test(t)
}

// sampleInterval is the time between two samples of the heap.
const sampleInterval = time.Millisecond

// gcPercent is the garbage, in percent of the live heap, at which HeapGrowth has the heap
// collected. With the default, garbage may double the heap, whatever f holds.
const gcPercent = 10

// HeapGrowth runs f and returns by how many bytes the heap grew at most meanwhile.
func HeapGrowth(f func()) uint64 {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	runtime.GC()
	base := heap()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	peak := base
	for {
		peak = max(peak, heap())
		select {
		case <-done:
			return max(peak, heap()) - base
		case <-time.After(sampleInterval):
		}
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
