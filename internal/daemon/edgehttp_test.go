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
	"syscall"
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

// Operators and platforms saw pages cut that a stopping host had begun to serve.
func TestPageThatIsServedAtTheEndOfAHostIsAnswered(t *testing.T) {
	c := qt.New(t)
	reserved, err := freeport.Reserve("127.0.0.1", 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(reserved.Close(), qt.IsNil) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun, done := make(chan struct{}, 1), make(chan error, 1)
	go func() {
		done <- serveHTTP(ctx, reserved.Address(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			begun <- struct{}{}
			<-ctx.Done()
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				nc, err := net.Dial("tcp", reserved.Address())
				if err != nil {
					break // the server is being stopped
				}
				nc.Close()
			}
			fmt.Fprint(w, "ok")
		}))
	}()
	page := make(chan string, 1)
	go func() {
		var body []byte
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			resp, err := http.Get("http://" + reserved.Address())
			if errors.Is(err, syscall.ECONNREFUSED) {
				continue // it does not listen yet
			}
			if err == nil {
				body, _ = io.ReadAll(resp.Body)
			}
			break
		}
		page <- string(body)
	}()
	<-begun
	cancel()
	c.Assert(<-page, qt.Equals, "ok")
	c.Assert(<-done, qt.IsNil)
}
