package engine

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a data race between the sweep of idle connections and requests that take and
// return them meanwhile.
func TestSweepBesideRequests(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	p := New(Options{}).connPool
	defer p.close()
	address := ln.Addr().String()
	conn, err := p.dialLimited(context.Background(), address, 0)
	c.Assert(err, qt.IsNil)
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		for range 500 {
			p.sweep()
		}
	}()
	for done := false; !done; {
		conn.maxIdle = time.Minute
		p.put(address, conn)
		conn = nil
		for conn == nil {
			conn = p.takeIdle(address, true)
		}
		select {
		case <-swept:
			done = true
		default:
		}
	}
	conn.Close()
}
