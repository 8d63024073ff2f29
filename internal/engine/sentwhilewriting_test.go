package engine

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// Guards against a request that an upstream has begun to read and that counts as not sent, and so is
// sent again, because its answer fails while its body is still being written.
func TestRequestWhoseAnswerFailsWhileItIsWrittenMayHaveRun(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	read := make(chan struct{})
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		_, _ = io.ReadFull(nc, make([]byte, 1000)) // the head and the begin of the body
		_, _ = io.WriteString(nc, "no HTTP\r\n\r\n")
		<-read
	}()
	client := New(Options{})
	// The body is larger than the buffers of a connection, so its write blocks.
	_, err = client.Forward(t.Context(), &ForwardRequest{
		Address: ln.Addr().String(), Method: "POST", Target: "/order/x", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 64<<20),
	})
	close(read)
	c.Assert(fault.As(err).RunState, qt.Equals, fault.MayHaveRun)
}
