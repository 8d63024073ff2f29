package frontend

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// errIncomplete makes the HTTP server close the connection without the terminating chunk.
var errIncomplete = errors.New("answer is incomplete")

// unknownLength selects chunked encoding.
const unknownLength = -1

// streamedResponse passes what the CallHandler writes to the connection goroutine of the
// HTTP server, which reads it as a body stream. Each Write returns after its bytes were
// flushed.
type streamedResponse struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	callerWatch *callerWatch
	isHead      bool

	beginOnce   sync.Once
	begun       chan struct{}
	status      int
	contentType string
	header      [][2]string
	length      int

	writes          chan []byte
	flushed         chan struct{}
	handlerReturned chan struct{}
	readerClosed    chan struct{}
	closeOnce       sync.Once
	err             error

	// The fields below belong to the connection goroutine.
	current        []byte
	unacknowledged bool
	remaining      int
	failed         bool
}

func newStreamedResponse(ctx context.Context, cancel context.CancelCauseFunc, isHead bool) *streamedResponse {
	return &streamedResponse{
		ctx: ctx, cancel: cancel, isHead: isHead, length: unknownLength,
		begun: make(chan struct{}), writes: make(chan []byte), flushed: make(chan struct{}),
		handlerReturned: make(chan struct{}), readerClosed: make(chan struct{}),
	}
}

// Begin implements ResponseWriter.
func (resp *streamedResponse) Begin(status int, contentType string, header [][2]string) error {
	resp.beginOnce.Do(func() {
		resp.status, resp.contentType = status, contentType
		for _, h := range header {
			if strings.EqualFold(h[0], "Content-Length") {
				if n, err := strconv.Atoi(h[1]); err == nil && n >= 0 {
					resp.length = n
				}
				continue
			}
			resp.header = append(resp.header, h)
		}
		resp.remaining = resp.length
		close(resp.begun)
	})
	return resp.cancelCause()
}

// hasBegun reports whether Begin was called.
func (resp *streamedResponse) hasBegun() bool {
	select {
	case <-resp.begun:
		return true
	default:
		return false
	}
}

func (resp *streamedResponse) cancelCause() error {
	select {
	case <-resp.readerClosed:
		return errGone
	case <-resp.ctx.Done():
		return context.Cause(resp.ctx)
	default:
		return nil
	}
}

// Write implements ResponseWriter.
func (resp *streamedResponse) Write(p []byte) error {
	if len(p) == 0 || resp.isHead {
		return resp.cancelCause()
	}
	select {
	case resp.writes <- p:
	case <-resp.readerClosed:
		return errGone
	}
	select {
	case <-resp.flushed:
		return nil
	case <-resp.readerClosed:
		return errGone
	}
}

// finish records that CallHandler.Serve has returned err.
func (resp *streamedResponse) finish(err error) {
	resp.err = err
	close(resp.handlerReturned)
}

// Read implements io.Reader for the HTTP server.
func (resp *streamedResponse) Read(p []byte) (int, error) {
	for len(resp.current) == 0 {
		if resp.failed {
			return 0, errIncomplete
		}
		resp.acknowledge()
		select {
		case resp.current = <-resp.writes:
			resp.unacknowledged = true
		case <-resp.handlerReturned:
			if resp.err == nil {
				return 0, io.EOF
			}
			resp.failed = true
			resp.current = resp.errorEvent()
		}
	}
	n := copy(p, resp.current)
	resp.current = resp.current[n:]
	if resp.length != unknownLength {
		resp.remaining -= n
		if resp.remaining == 0 && len(resp.current) == 0 {
			// The HTTP server does not read again after the last byte of a fixed length.
			resp.acknowledge()
		}
	}
	return n, nil
}

func (resp *streamedResponse) acknowledge() {
	if !resp.unacknowledged {
		return
	}
	resp.unacknowledged = false
	resp.flushed <- struct{}{}
}

// errorEvent returns the last event of a stream that ends early. Other responses show their
// truncation only by the missing end.
func (resp *streamedResponse) errorEvent() []byte {
	if !strings.HasPrefix(resp.contentType, eventStream) {
		return nil
	}
	e := failure(resp.ctx, resp.err)
	return append(append([]byte("event: error\ndata: "), encodeError(e)...), "\n\n"...)
}

// failure converts an error of the CallHandler. If the host stopped and thereby cancelled
// the call, it returns HostLeaving instead of CallerGone.
func failure(ctx context.Context, err error) *fault.Error {
	e := fault.As(err)
	if cause := context.Cause(ctx); fault.CodeOf(cause) == fault.HostLeaving && e.Code == fault.CallerGone {
		return fault.New(fault.HostLeaving, runState(e), "host stopped before the request ended")
	}
	return e
}

// Close implements io.Closer. The HTTP server calls it after the last byte or a failed write.
func (resp *streamedResponse) Close() error {
	resp.closeOnce.Do(func() {
		close(resp.readerClosed)
		if !resp.complete() {
			resp.cancel(errGone)
		}
		resp.callerWatch.stop()
	})
	return nil
}

// complete reports whether no more bytes are expected: the response has no body, all bytes
// of its fixed length were read, or Serve has returned.
func (resp *streamedResponse) complete() bool {
	if resp.isHead || (resp.length != unknownLength && resp.remaining <= 0) {
		return true
	}
	select {
	case <-resp.handlerReturned:
		return true
	default:
		return false
	}
}

// writeTo sets the status, header and body stream of the HTTP response.
func (resp *streamedResponse) writeTo(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(resp.status)
	ctx.SetContentType(resp.contentType)
	for _, h := range resp.header {
		ctx.Response.Header.Set(h[0], h[1])
	}
	if resp.length == 0 {
		<-resp.handlerReturned
		_ = resp.Close()
		return
	}
	ctx.Response.ImmediateHeaderFlush = strings.HasPrefix(resp.contentType, eventStream)
	ctx.Response.SetBodyStream(resp, resp.length)
}
