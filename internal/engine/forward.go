package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"marigoldshunt/internal/fault"
)

// Bounds of forwarded requests.
const (
	// inlineBytes is the size up to which a request is written before its answer is read.
	// Larger ones are written beside, because an upstream may answer early and read on.
	inlineBytes = 8 << 10
	// writeEndWait is how long the rest of a request may take after its whole answer.
	writeEndWait = 200 * time.Millisecond
	// maxForeign is the number of answers to earlier requests that are skipped.
	maxForeign = 2
	// keepMargin is subtracted from the idle time that an upstream states, so that a
	// request does not cross the upstream's close.
	keepMargin = 500 * time.Millisecond
)

// ForwardRequest is one request that goes to an upstream unchanged but for its header.
type ForwardRequest struct {
	Address string
	Method  string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader is the header in which an upstream repeats ID; both are empty where it
	// does not. An answer that repeats another id belongs to an earlier request.
	IDHeader, ID string
	// Repeatable requests may go on a connection that the upstream may have dropped.
	Repeatable bool
	// MaxConnections bounds the connections of this host to the address; 0 means no limit.
	MaxConnections int
}

// Forwarded is an answer that has begun.
type Forwarded struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 when unknown.
	Length int64
	// Framed is true when the end of the body is visible in the protocol.
	Framed bool
	// Body returns io.EOF only after the last byte of the body.
	Body io.Reader

	p       *pool
	address string
	conn    *conn
	stop    func() bool
	written chan error
	resp    *http.Response
	atEnd   bool
}

// Forward sends a request and returns when the header of its answer was read. Cancelling
// ctx closes the connection until Close is called.
//
// An error has run state NotRun if the upstream provably cannot have read the request:
// there was no connection, or no byte was accepted. It is MayHaveRun otherwise.
func (c *Client) Forward(ctx context.Context, r *ForwardRequest) (*Forwarded, error) {
	request := r.encode()
	for kept := true; ; kept = false {
		var cn *conn
		if kept {
			cn = c.pool.take(r.Address, r.Repeatable)
		}
		if cn == nil {
			var err error
			if cn, err = c.pool.dialCounted(ctx, r.Address, r.MaxConnections); err != nil {
				return nil, err
			}
			kept = false
		}
		f := &Forwarded{p: c.pool, address: r.Address, conn: cn}
		f.stop = context.AfterFunc(ctx, func() { cn.Close() })
		err := f.exchange(r, request)
		if err == nil {
			return f, nil
		}
		f.stop()
		cn.Close()
		if kept && ctx.Err() == nil && droppedEarly(err) {
			c.pool.noteDropped(cn)
		}
		if cn.sent.Load() > 0 {
			return nil, fault.Wrap(err, fault.UpstreamFailed, fault.MayHaveRun, "connection to upstream %s ended before its answer", r.Address)
		}
		if !kept || ctx.Err() != nil {
			return nil, fault.Wrap(err, fault.UpstreamFailed, fault.NotRun, "upstream %s accepted nothing", r.Address)
		}
	}
}

// droppedEarly reports whether a kept connection ended before any byte of an answer, as it
// does when the upstream had forgotten it.
func droppedEarly(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF)
}

// headBytes is room for the usual head of a request.
const headBytes = 1 << 10

// encode returns the request line, the header and the body.
func (r *ForwardRequest) encode() []byte {
	var b bytes.Buffer
	b.Grow(headBytes + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer takes everything
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func (f *Forwarded) exchange(r *ForwardRequest, request []byte) error {
	f.written = make(chan error, 1)
	if len(request) <= inlineBytes {
		_, err := f.conn.Write(request)
		if f.written <- err; err != nil {
			return err
		}
	} else {
		go func() {
			_, err := f.conn.Write(request)
			f.written <- err
		}()
	}
	for range maxForeign + 1 {
		resp, err := f.readHeader(r.Method)
		if err != nil {
			return err
		}
		if id := resp.Header.Get(r.IDHeader); r.IDHeader == "" || id == "" || id == r.ID {
			f.begin(resp)
			return nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return fault.New(fault.UpstreamFailed, "", "the answers belong to other requests")
}

func (f *Forwarded) readHeader(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(f.conn.br, &http.Request{Method: method})
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

func (f *Forwarded) begin(resp *http.Response) {
	f.resp = resp
	f.Status, f.Header, f.Length = resp.StatusCode, resp.Header, resp.ContentLength
	f.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	f.Body = readerFunc(func(p []byte) (int, error) {
		n, err := resp.Body.Read(p)
		f.atEnd = f.atEnd || errors.Is(err, io.EOF)
		return n, err
	})
}

type readerFunc func(p []byte) (int, error)

func (r readerFunc) Read(p []byte) (int, error) { return r(p) }

// Close keeps the connection for other requests if the answer ended cleanly, and closes
// it otherwise, which cancels the request at most upstreams.
func (f *Forwarded) Close() {
	live := f.stop()
	if !live || !f.atEnd || !f.Framed || f.resp.Close || f.conn.br.Buffered() > 0 || !f.requestWritten() {
		f.conn.Close()
		return
	}
	f.conn.keep = statedIdle(f.Header.Get("Keep-Alive"))
	f.p.put(f.address, f.conn)
}

// requestWritten waits a moment for the end of a request that was answered early.
func (f *Forwarded) requestWritten() bool {
	select {
	case err := <-f.written:
		return err == nil
	case <-time.After(writeEndWait):
		return false
	}
}

// statedIdle returns for how long a connection may be kept by the upstream's Keep-Alive
// header, 0 when the header states no time.
func statedIdle(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s > 0 {
				return max(time.Duration(s)*time.Second-keepMargin, keepMargin)
			}
		}
	}
	return 0
}
