package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that was read whole and gets no response, because the shutdown
// began before the HTTP server called its handler.
func TestRequestReadAtShutdownIsAnswered(t *testing.T) {
	gw := newTestGateway(t, document(), newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	stopped := make(chan error, 1)
	addresses := make(chan string, 1)
	begin := func(s *Server, state http.ConnState) {
		if state != http.StateActive {
			return
		}
		address := <-addresses
		go func() { stopped <- s.Shutdown(context.Background()) }()
		for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			nc, err := net.Dial("tcp", address)
			if err != nil {
				return // the shutdown has begun
			}
			nc.Close()
		}
	}
	nc := gw.serveWithHook(begin, func(*Server, http.ConnState) {})
	addresses <- nc.RemoteAddr().String()
	fmt.Fprint(nc, "GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n")
	answer, err := io.ReadAll(nc)
	gw.Check(err, qt.IsNil)
	gw.Check(string(answer), qt.Contains, "HTTP/1.1 200 ")
	gw.Check(<-stopped, qt.IsNil)
}
