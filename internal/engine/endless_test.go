package engine

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// endlessBytes is what an upstream writes in place of a header without end. It exceeds what
// the sockets of a connection hold.
const endlessBytes = 64 << 20

// startEndless starts an upstream that responds with start and then repeats part. sent gets
// the number of bytes of the repeats once the client has closed the connection, or has read
// nearly all of endlessBytes.
func startEndless(t *testing.T, start, part string) (address string, sent <-chan int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	result := make(chan int, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		block, n := []byte(strings.Repeat(part, 1<<20/len(part))), 0
		for n < endlessBytes && err == nil {
			var m int
			m, err = c.Write(block)
			n += m
		}
		result <- n
	}()
	return ln.Addr().String(), result
}

// Guards against a host that ends by memory because an upstream sends bytes without end in
// place of a response header.
func TestHeadersWithoutEndAreBounded(t *testing.T) {
	for name, x := range map[string]struct{ start, part string }{
		"status line": {"", "\x00\x01"}, "field": {"HTTP/1.1 200 OK\r\nX-Fill: ", "f"},
		"fields": {"HTTP/1.1 200 OK\r\n", "X-Fill: f\r\n"}, "interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := startEndless(t, x.start, x.part)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			resp, err := New(Options{}).Forward(ctx, &ForwardRequest{Address: address, Method: "GET", Target: "/", Host: "h"})
			if err == nil {
				resp.Close()
			}
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, fault.As(err).RunState, qt.Equals, fault.MayHaveRun)
			n := <-sent
			qt.Assert(t, n < endlessBytes, qt.IsTrue, qt.Commentf("the client read %d MB", n>>20))
		})
	}
}
