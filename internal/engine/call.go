package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// errTooLarge reports an answer beyond MaxAnswerBytes.
var errTooLarge = errors.New("answer exceeds the size limit")

// exchange is one request and its answer on one connection.
type exchange struct {
	p       *pool
	address string
	conn    *conn
	resp    *fasthttp.Response
	body    io.Reader
	stop    func() bool
	// sent is true once the kernel accepted any byte of the request.
	sent bool
	// dialled is true once a connection existed.
	dialled bool
	whole   bool
}

// start sends req and reads the header of the answer. Cancelling ctx closes the
// connection at any point until finish is called.
//
// A kept connection that accepts no byte of the request is replaced by a new one: the
// upstream cannot have seen the request. After the first byte nothing is repeated.
func (p *pool) start(ctx context.Context, address string, req *fasthttp.Request) (*exchange, error) {
	x := &exchange{p: p, address: address}
	for kept := true; ; kept = false {
		var c *conn
		if kept {
			c = p.take(address, true)
		}
		if c == nil {
			var err error
			if c, err = p.dial(ctx, address); err != nil {
				return x, err
			}
			kept = false
		}
		x.dialled = true
		x.conn = c
		x.stop = context.AfterFunc(ctx, func() { c.Close() })
		err := req.Write(c.bw)
		if err == nil {
			err = c.bw.Flush()
		}
		x.sent = c.sent.Load() > 0
		if err == nil {
			return x, x.readHeader(req)
		}
		if kept && !x.sent && ctx.Err() == nil {
			x.stop()
			c.Close()
			continue
		}
		return x, x.earlyAnswer(req, err)
	}
}

// earlyAnswer reads an answer that the upstream gave before it had read the whole
// request, such as a refusal of a large body. Without one it returns cause.
func (x *exchange) earlyAnswer(req *fasthttp.Request, cause error) error {
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
		return err
	}
	x.body = x.resp.BodyStream()
	return nil
}

// framed says whether the end of the answer is visible in the protocol: by its length,
// by the terminating chunk, or because answers of its kind have no body.
func (x *exchange) framed() bool {
	return x.body == nil || x.resp.Header.ContentLength() >= -1
}

// readAll reads an answer that is not streamed.
func (x *exchange) readAll(limit int) ([]byte, error) {
	if x.body == nil {
		x.whole = true
		return nil, nil
	}
	if x.resp.Header.ContentLength() > limit {
		return nil, errTooLarge
	}
	b, err := io.ReadAll(io.LimitReader(x.body, int64(limit)+1))
	if err != nil {
		return b, err
	}
	if len(b) > limit {
		return nil, errTooLarge
	}
	x.whole = x.framed()
	if !x.whole {
		return b, io.ErrUnexpectedEOF
	}
	return b, nil
}

// header returns a response header as a string.
func (x *exchange) header(name string) string {
	return string(x.resp.Header.Peek(name))
}

// queued returns the queue length carried in the answer, -1 when there is none.
func (x *exchange) queued() int {
	n, err := strconv.Atoi(x.header(headerQueue))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// finish keeps the connection when the answer ended cleanly and closes it otherwise.
func (x *exchange) finish() {
	if x.conn == nil {
		return
	}
	live := x.stop()
	keep := live && x.whole && x.resp != nil && !x.resp.ConnectionClose()
	if x.resp != nil {
		if x.body != nil {
			_ = x.resp.CloseBodyStream()
		}
		fasthttp.ReleaseResponse(x.resp)
		x.resp, x.body = nil, nil
	}
	if keep {
		x.conn.bw = resetWriter(x.conn)
		x.p.put(x.address, x.conn)
		return
	}
	x.conn.Close()
}

func resetWriter(c *conn) *bufio.Writer {
	c.bw.Reset(c)
	return c.bw
}
