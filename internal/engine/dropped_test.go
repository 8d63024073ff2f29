package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// startDroppingUpstream starts an upstream that resets its first connection at the second
// request, as if it had dropped the connection without notice.
func startDroppingUpstream(t *testing.T) (address string, connections *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			n := connections.Add(1)
			go func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				for i := 1; ; i++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					if n == 1 && i == 2 {
						_ = nc.(*net.TCPConn).SetLinger(0)
						return
					}
					if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), connections
}

// Guards against sending requests that can't be repeated on connections that upstreams drop
// without notice, and against new connections while the idle ones are good.
func TestIdleLimitAfterDroppedConnection(t *testing.T) {
	c := qt.New(t)
	address, connections := startDroppingUpstream(t)
	now := newTestClock()
	client := New(Options{Now: now.Now})
	defer client.Close()
	forward := func(repeatable bool, after time.Duration) error {
		now.Advance(after)
		f, err := client.Forward(t.Context(), &ForwardRequest{Address: address, Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Repeatable: repeatable})
		if err != nil {
			return err
		}
		defer f.Close()
		_, err = io.ReadAll(f.Body)
		return err
	}
	c.Assert(forward(true, 0), qt.IsNil)
	c.Assert(fault.As(forward(true, 400*time.Millisecond)).RunState, qt.Equals, fault.MayHaveRun)
	c.Assert(forward(true, 0), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(2))
	// A connection that was idle for less than half of the 400 ms is used.
	c.Assert(forward(false, 150*time.Millisecond), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(2))
	c.Assert(forward(false, 300*time.Millisecond), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(3))
	// Repeatable requests use any connection, and after minDroppedIdleTTL all requests do.
	c.Assert(forward(true, 300*time.Millisecond), qt.IsNil)
	c.Assert(forward(false, minDroppedIdleTTL+time.Millisecond), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(3))
}

// Guards against losing several requests that can't be repeated to one upstream that drops
// idle connections early. That a connection was dropped after five seconds says little about
// how much earlier it was dropped.
func TestDropAfterALongIdleTimeLimitsShorterOnes(t *testing.T) {
	c := qt.New(t)
	address, connections := startDroppingUpstream(t)
	now := newTestClock()
	client := New(Options{Now: now.Now})
	defer client.Close()
	forward := func(repeatable bool, after time.Duration) error {
		now.Advance(after)
		f, err := client.Forward(t.Context(), &ForwardRequest{Address: address, Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Repeatable: repeatable})
		if err != nil {
			return err
		}
		defer f.Close()
		_, err = io.ReadAll(f.Body)
		return err
	}
	c.Assert(forward(true, 0), qt.IsNil)
	c.Assert(fault.As(forward(true, 5*time.Second)).RunState, qt.Equals, fault.MayHaveRun)
	c.Assert(forward(true, 0), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(2))
	c.Assert(forward(false, maxIdleAfterDrop-time.Millisecond), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(2))
	c.Assert(forward(false, maxIdleAfterDrop+time.Millisecond), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(3))
}

// Guards against requests to pools that can't be repeated and are sent on connections that
// upstreams drop without notice, whichever kind of request noticed that.
func TestDoIdleLimitAfterDroppedConnection(t *testing.T) {
	for _, noticedBy := range []string{"Do", "Forward"} {
		t.Run(noticedBy, func(t *testing.T) {
			c := qt.New(t)
			address, connections := startDroppingUpstream(t)
			now := newTestClock()
			client := New(Options{Now: now.Now})
			defer client.Close()
			do := func(repeatable bool, after time.Duration) error {
				now.Advance(after)
				r := chatRequest(address, false)
				r.Repeatable = repeatable
				if res := client.Do(t.Context(), r, &discardingSink{}); res.Err != nil {
					return res.Err
				}
				return nil
			}
			c.Assert(do(true, 0), qt.IsNil)
			if noticedBy == "Do" {
				c.Assert(fault.As(do(true, 400*time.Millisecond)).RunState, qt.Equals, fault.MayHaveRun)
			} else {
				now.Advance(400 * time.Millisecond)
				_, err := client.Forward(t.Context(), &ForwardRequest{Address: address, Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Repeatable: true})
				c.Assert(fault.As(err).RunState, qt.Equals, fault.MayHaveRun)
			}
			c.Assert(do(true, 0), qt.IsNil)
			c.Assert(do(false, 150*time.Millisecond), qt.IsNil)
			c.Assert(connections.Load(), qt.Equals, int64(2))
			c.Assert(do(false, 300*time.Millisecond), qt.IsNil)
			c.Assert(connections.Load(), qt.Equals, int64(3))
			c.Assert(do(true, 300*time.Millisecond), qt.IsNil)
			c.Assert(do(false, minDroppedIdleTTL+time.Millisecond), qt.IsNil)
			c.Assert(connections.Load(), qt.Equals, int64(3))
		})
	}
}
