package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// errTooLarge reports a response larger than MaxResponseBytes.
var errTooLarge = errors.New("answer exceeds the size limit")

// maxErrorBytes bounds the text of an error that may repeat the bytes of an upstream.
const maxErrorBytes = 256

// shortError shortens the text of an error to maxErrorBytes.
type shortError struct{ error }

// Error implements error.
func (e shortError) Error() string {
	text := e.error.Error()
	return text[:min(len(text), maxErrorBytes)]
}

// Unwrap returns the error with its whole text.
func (e shortError) Unwrap() error { return e.error }

// exchange is one request and its response on one connection.
type exchange struct {
	connPool         *connPool
	address          string
	conn             *conn
	resp             *fasthttp.Response
	body             io.Reader
	stopContextWatch func() bool
	// sent is true once the kernel has accepted any byte of the request.
	sent bool
	// connected is true once there was a connection.
	connected bool
	// reused is true if the connection had carried another request before.
	reused   bool
	complete bool
}

// roundTrip sends req, on an idle connection if reuse is set and there is one, and reads the
// header of the response. Until finish is called, cancelling ctx closes the connection.
//
// A reused connection that accepts no byte of the request is replaced by a new one: the
// upstream cannot have seen the request. Once a byte was accepted, nothing is sent again.
func (p *connPool) roundTrip(ctx context.Context, address string, req *fasthttp.Request, reuse, repeatable bool) (*exchange, error) {
	x := &exchange{connPool: p, address: address}
	for ; ; reuse = false {
		c, reused, err := p.acquire(ctx, address, reuse, repeatable, 0)
		if err != nil {
			return x, err
		}
		x.connected, x.reused = true, reused
		x.conn = c
		x.stopContextWatch = context.AfterFunc(ctx, func() { c.Close() })
		if err = x.send(req); err == nil {
			return x, nil
		}
		p.closeFailed(ctx, c, reused, err)
		if !reused || x.sent || ctx.Err() != nil {
			return x, err
		}
		x.stopContextWatch()
	}
}

// send writes the request and reads the header of its response.
func (x *exchange) send(req *fasthttp.Request) error {
	err := req.Write(x.conn.bw)
	if err == nil {
		err = x.conn.bw.Flush()
	}
	x.sent = x.conn.bytesSent.Load() > 0
	if err != nil {
		return x.readEarlyResponse(req, err)
	}
	return x.readHeader(req)
}

// readEarlyResponse reads a response that the upstream sent before it had read the whole
// request, such as a refusal of a large body. If there is none, it returns cause.
func (x *exchange) readEarlyResponse(req *fasthttp.Request, cause error) error {
	if !x.sent {
		return cause
	}
	if x.readHeader(req) != nil {
		return cause
	}
	x.resp.SetConnectionClose()
	return nil
}

func (x *exchange) readHeader(req *fasthttp.Request) error {
	x.resp = fasthttp.AcquireResponse()
	x.resp.StreamBody = true
	x.resp.SkipBody = req.Header.IsHead()
	if err := x.resp.ReadLimitBody(x.conn.br, 0); err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return shortError{err}
	}
	x.body = x.resp.BodyStream()
	return nil
}

// framed reports whether HTTP marks the end of the response: by its length, by the
// terminating chunk, or because responses of its kind have no body.
func (x *exchange) framed() bool {
	return x.body == nil || x.resp.Header.ContentLength() >= -1
}

// readAll reads the body of a response that is not streamed.
func (x *exchange) readAll(limit int) ([]byte, error) {
	if x.body == nil {
		x.complete = true
		return nil, nil
	}
	if x.resp.Header.ContentLength() > limit {
		return nil, errTooLarge
	}
	b, err := io.ReadAll(io.LimitReader(x.body, int64(limit)+1))
	if err != nil {
		return b, shortError{err}
	}
	if len(b) > limit {
		return nil, errTooLarge
	}
	x.complete = x.framed()
	if !x.complete {
		return b, io.ErrUnexpectedEOF
	}
	return b, nil
}

// header returns a response header as a string.
func (x *exchange) header(name string) string {
	return string(x.resp.Header.Peek(name))
}

// queueLength returns the queue length in the response header, -1 if there is none.
func (x *exchange) queueLength() int {
	n, err := strconv.Atoi(x.header(headerQueueLength))
	if err != nil || !isPlausible(n, maxReportedRequests) {
		return -1
	}
	return n
}

// finish keeps the connection for reuse if the response ended cleanly, and closes it
// otherwise.
func (x *exchange) finish() {
	if x.conn == nil {
		return
	}
	live := x.stopContextWatch()
	reusable := live && x.complete && x.resp != nil && !x.resp.ConnectionClose()
	if x.resp != nil {
		if x.body != nil {
			_ = x.resp.CloseBodyStream()
		}
		fasthttp.ReleaseResponse(x.resp)
		x.resp, x.body = nil, nil
	}
	if reusable {
		x.conn.bw = resetWriter(x.conn)
		x.connPool.put(x.address, x.conn)
		return
	}
	x.conn.Close()
}

func resetWriter(c *conn) *bufio.Writer {
	c.bw.Reset(c)
	return c.bw
}
