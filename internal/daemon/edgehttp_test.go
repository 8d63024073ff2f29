package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/freeport"
)

// Guards against a host that ends by memory because callers open any number of connections to
// its discovery port, and against one that then answers no readiness check.
func TestConnectionsOfTheEdgesOtherPortsAreBounded(t *testing.T) {
	const callers, most = 512, 192
	c := qt.New(t)
	reserved, err := freeport.Reserve("127.0.0.1", 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(reserved.Close(), qt.IsNil) })
	address := reserved.Address()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- serveHTTP(ctx, address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	}()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	dial := func() net.Conn {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			nc, err := net.Dial("tcp", address)
			if err == nil {
				c.Cleanup(func() { nc.Close() })
				c.Assert(nc.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
				return nc
			}
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%v", err))
		}
	}
	get := func() (*bufio.Reader, error) {
		nc := dial()
		if _, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return nil, err
		}
		br := bufio.NewReader(nc)
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return br, err
	}
	ended := make(chan error, callers)
	for range callers {
		br, err := get()
		c.Assert(err, qt.IsNil)
		go func() {
			_, err := br.ReadByte()
			ended <- err
		}()
	}
	for n := range callers - most {
		c.Assert(errors.Is(<-ended, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("%d of %d idle connections were closed", n, callers))
	}
	_, err = get()
	c.Assert(err, qt.IsNil)
}
