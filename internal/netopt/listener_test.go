package netopt

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// exhaustedListener fails to accept once, as at the limit of file descriptors.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because one of its ports finds no free file descriptor
// for a moment.
func TestExhaustedDescriptorsEndNoServer(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }}
	done := make(chan error, 1)
	go func() { done <- s.Serve(RetryAccept(&exhaustedListener{Listener: ln})) }()
	defer func() {
		c.Check(s.Shutdown(), qt.IsNil)
		c.Check(<-done, qt.IsNil)
	}()
	status, _, err := fasthttp.GetTimeout(nil, "http://"+ln.Addr().String()+"/", 5*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, 200)
}
