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

// forgetful is an upstream that resets the second request of its first connection, as if it
// had dropped that connection without notice.
func forgetful(t *testing.T) (address string, connections *atomic.Int64) {
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

// Guards against requests that can't be repeated on connections that upstreams drop without
// notice, and against new connections where the kept ones are good.
func TestDroppedConnectionsAreLearnt(t *testing.T) {
	c := qt.New(t)
	address, connections := forgetful(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	client := New(Options{Now: func() time.Time { return now }})
	defer client.Close()
	ask := func(repeatable bool, after time.Duration) error {
		now = now.Add(after)
		f, err := client.Forward(t.Context(), &ForwardRequest{Address: address, Method: "GET", Target: "/", Host: "h", Header: http.Header{}, Repeatable: repeatable})
		if err != nil {
			return err
		}
		defer f.Close()
		_, err = io.ReadAll(f.Body)
		return err
	}
	c.Assert(ask(true, 0), qt.IsNil)
	c.Assert(fault.As(ask(true, 400*time.Millisecond)).Run, qt.Equals, fault.MayHaveRun)
	c.Assert(ask(true, 0), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(2))
	// What rested for less than half of the 400 ms is trusted.
	c.Assert(ask(false, 150*time.Millisecond), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(2))
	c.Assert(ask(false, 300*time.Millisecond), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(3))
	// Repeatable requests take any connection, and after a while all do.
	c.Assert(ask(true, 300*time.Millisecond), qt.IsNil)
	c.Assert(ask(false, forgetTime+time.Millisecond), qt.IsNil)
	c.Assert(connections.Load(), qt.Equals, int64(3))
}
