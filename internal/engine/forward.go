package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldshunt/internal/fault"
)

// Limits of forwarded requests.
const (
	// maxInlineWriteBytes is the size up to which a request is written before its response
	// is read. Larger ones are written concurrently, because an upstream may respond early
	// and then read on.
	maxInlineWriteBytes = 8 << 10
	// writeEndWait is how long the rest of a request may take after its whole response was
	// read.
	writeEndWait = 200 * time.Millisecond
	// maxHeadBytes bounds the head of a response together with the interim responses before
	// it. A head may be several times as large as that of a request.
	maxHeadBytes = 64 << 10
	// maxStaleResponses is the number of responses to earlier requests that are skipped.
	maxStaleResponses = 2
	// keepAliveMargin is subtracted from the timeout in the Keep-Alive header of an upstream,
	// so that no request is sent while the upstream closes the connection.
	keepAliveMargin = 500 * time.Millisecond
)

// ForwardRequest is one request that is sent to an upstream unchanged except for its header.
type ForwardRequest struct {
	Address string
	Method  string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader is the response header in which the upstream returns ID. Both are empty if the
	// upstream returns no id. A response with another id belongs to an earlier request.
	IDHeader, ID string
	// Repeatable requests may be sent on a connection that the upstream may have dropped.
	Repeatable bool
	// MaxConnections limits the connections of this host to Address; 0 means no limit.
	MaxConnections int
}

// ForwardResponse is a response whose header has been read.
type ForwardResponse struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Framed is true if HTTP marks the end of the body, by its length or by chunks.
	Framed bool
	// Body returns io.EOF only after the last byte of the body.
	Body io.Reader

	connPool         *connPool
	address          string
	conn             *conn
	stopContextWatch func() bool
	writeResult      chan error
	resp             *http.Response
	bodyEnded        bool
	connClosed       bool
}

// Forward sends a request and returns once the header of its response is read. Until Close
// is called, cancelling ctx closes the connection.
//
// An error has run state NotRun if the upstream cannot have read the request: there was
// no connection, or the kernel accepted no byte. Otherwise it is MayHaveRun.
func (c *Client) Forward(ctx context.Context, r *ForwardRequest) (*ForwardResponse, error) {
	request := r.encode()
	for reuse := true; ; reuse = false {
		cn, reused, err := c.connPool.acquire(ctx, r.Address, reuse, r.Repeatable, r.MaxConnections)
		if err != nil {
			return nil, err
		}
		f := &ForwardResponse{connPool: c.connPool, address: r.Address, conn: cn}
		f.stopContextWatch = context.AfterFunc(ctx, func() { cn.Close() })
		err = f.roundTrip(r, request)
		if err == nil {
			return f, nil
		}
		f.stopContextWatch()
		c.connPool.closeFailed(ctx, cn, reused, err)
		<-f.writeResult // a write that was under way ends with the connection, and counts its bytes
		if cn.bytesSent.Load() > 0 {
			return nil, fault.Wrap(err, fault.UpstreamFailed, fault.MayHaveRun, "connection to upstream %s ended before its answer", r.Address)
		}
		if !reused || ctx.Err() != nil {
			return nil, fault.Wrap(err, fault.UpstreamFailed, fault.NotRun, "upstream %s accepted nothing", r.Address)
		}
	}
}

// typicalHeaderBytes is the buffer space for the request line and header of a typical
// request.
const typicalHeaderBytes = 1 << 10

// encode returns the request line, the header and the body.
func (r *ForwardRequest) encode() []byte {
	var b bytes.Buffer
	b.Grow(typicalHeaderBytes + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer returns no error
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func (f *ForwardResponse) roundTrip(r *ForwardRequest, request []byte) error {
	f.writeResult = make(chan error, 1)
	if len(request) <= maxInlineWriteBytes {
		_, err := f.conn.Write(request)
		if f.writeResult <- err; err != nil {
			return err
		}
	} else {
		go func() {
			_, err := f.conn.Write(request)
			f.writeResult <- err
		}()
	}
	for range maxStaleResponses + 1 {
		resp, err := f.readHeader(r.Method)
		if err != nil {
			return err
		}
		id := resp.Header.Get(r.IDHeader)
		switch {
		case r.IDHeader == "" || f.conn.answers(id, r.ID):
			f.setResponse(resp)
			return nil
		case id == "":
			// It may be an earlier response once more. As a refusal it would prove that this request
			// did not run.
			return errNoRequestNamed
		}
		if err := f.skipBody(resp); err != nil {
			return err
		}
	}
	return fault.New(fault.UpstreamFailed, "", "the answers belong to other requests")
}

// errNoRequestNamed reports a response that may belong to another request.
var errNoRequestNamed = errors.New("the response names no request although earlier ones of the upstream did")

// skipBody reads the body of a response to an earlier request.
func (f *ForwardResponse) skipBody(resp *http.Response) error {
	limit := int64(f.connPool.opts.MaxResponseBytes)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		return errTooLarge
	}
	return err
}

func (f *ForwardResponse) readHeader(method string) (*http.Response, error) {
	f.conn.headBytesLeft = maxHeadBytes
	defer func() { f.conn.headBytesLeft = -1 }()
	for {
		resp, err := http.ReadResponse(f.conn.br, &http.Request{Method: method})
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, shortError{err}
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

func (f *ForwardResponse) setResponse(resp *http.Response) {
	f.resp = resp
	f.Status, f.Header, f.Length = resp.StatusCode, resp.Header, resp.ContentLength
	f.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	f.Body = readerFunc(func(p []byte) (int, error) {
		n, err := resp.Body.Read(p)
		f.bodyEnded = f.bodyEnded || errors.Is(err, io.EOF)
		return n, err
	})
}

type readerFunc func(p []byte) (int, error)

func (r readerFunc) Read(p []byte) (int, error) { return r(p) }

// CloseConnection closes the connection, so that neither the rest of the response nor a later one is
// read from it. Close must be called all the same.
func (f *ForwardResponse) CloseConnection() {
	f.connClosed = true
	f.conn.Close()
}

// Close keeps the connection for other requests if the response ended cleanly. Otherwise it
// closes the connection, which cancels the request at most upstreams.
func (f *ForwardResponse) Close() {
	live := f.stopContextWatch()
	if !live || f.connClosed || !f.bodyEnded || !f.Framed || f.resp.Close || !f.requestWritten() {
		f.conn.Close()
		return
	}
	f.conn.maxIdle = keepAliveTimeout(f.Header.Get("Keep-Alive"))
	f.connPool.put(f.address, f.conn)
}

// requestWritten reports whether the whole request was written. It waits for at most
// writeEndWait, because the response may have come early.
func (f *ForwardResponse) requestWritten() bool {
	select {
	case err := <-f.writeResult:
		return err == nil
	case <-time.After(writeEndWait):
		return false
	}
}

// keepAliveTimeout returns how long a connection may stay idle according to the upstream's
// Keep-Alive header, 0 if the header has no timeout.
func keepAliveTimeout(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s > 0 {
				return max(time.Duration(s)*time.Second-keepAliveMargin, keepAliveMargin)
			}
		}
	}
	return 0
}
