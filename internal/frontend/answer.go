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

// errIncomplete makes the server close the connection without the terminating chunk.
var errIncomplete = errors.New("answer is incomplete")

// unknownLength selects chunked encoding.
const unknownLength = -1

// answer passes what a service writes to the server's connection goroutine, which
// reads it as a body stream. Each Write returns after its bytes were flushed.
type answer struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	watch  *watch
	head   bool

	beginOnce   sync.Once
	begun       chan struct{}
	status      int
	contentType string
	header      [][2]string
	length      int

	in     chan []byte
	ack    chan struct{}
	done   chan struct{}
	closed chan struct{}
	once   sync.Once
	err    error

	// The fields below belong to the connection goroutine.
	cur     []byte
	pending bool
	left    int
	ended   bool
}

func newAnswer(ctx context.Context, cancel context.CancelCauseFunc, head bool) *answer {
	return &answer{
		ctx: ctx, cancel: cancel, head: head, length: unknownLength,
		begun: make(chan struct{}), in: make(chan []byte), ack: make(chan struct{}),
		done: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Begin implements Answer.
func (a *answer) Begin(status int, contentType string, header [][2]string) error {
	a.beginOnce.Do(func() {
		a.status, a.contentType = status, contentType
		for _, h := range header {
			if strings.EqualFold(h[0], "Content-Length") {
				if n, err := strconv.Atoi(h[1]); err == nil && n >= 0 {
					a.length = n
				}
				continue
			}
			a.header = append(a.header, h)
		}
		a.left = a.length
		close(a.begun)
	})
	return a.gone()
}

// hasBegun says whether Begin was called.
func (a *answer) hasBegun() bool {
	select {
	case <-a.begun:
		return true
	default:
		return false
	}
}

func (a *answer) gone() error {
	select {
	case <-a.closed:
		return errGone
	case <-a.ctx.Done():
		return context.Cause(a.ctx)
	default:
		return nil
	}
}

// Write implements Answer.
func (a *answer) Write(p []byte) error {
	if len(p) == 0 || a.head {
		return a.gone()
	}
	select {
	case a.in <- p:
	case <-a.closed:
		return errGone
	}
	select {
	case <-a.ack:
		return nil
	case <-a.closed:
		return errGone
	}
}

// finish records the end of the service's work.
func (a *answer) finish(err error) {
	a.err = err
	close(a.done)
}

// Read implements io.Reader for the server.
func (a *answer) Read(p []byte) (int, error) {
	for len(a.cur) == 0 {
		if a.ended {
			return 0, errIncomplete
		}
		a.acknowledge()
		select {
		case a.cur = <-a.in:
			a.pending = true
		case <-a.done:
			if a.err == nil {
				return 0, io.EOF
			}
			a.ended = true
			a.cur = a.errorEvent()
		}
	}
	n := copy(p, a.cur)
	a.cur = a.cur[n:]
	if a.length != unknownLength {
		a.left -= n
		if a.left == 0 && len(a.cur) == 0 {
			// The server does not read again after the last byte of a fixed length.
			a.acknowledge()
		}
	}
	return n, nil
}

func (a *answer) acknowledge() {
	if !a.pending {
		return
	}
	a.pending = false
	a.ack <- struct{}{}
}

// errorEvent is the last event of a stream that ends early. Other answers show their
// truncation only by the missing end.
func (a *answer) errorEvent() []byte {
	if !strings.HasPrefix(a.contentType, eventStream) {
		return nil
	}
	e := failure(a.ctx, a.err)
	return append(append([]byte("event: error\ndata: "), encodeError(e)...), "\n\n"...)
}

// failure returns the service's error; a call that the host itself ended names that.
func failure(ctx context.Context, err error) *fault.Error {
	e := fault.As(err)
	if cause := context.Cause(ctx); fault.CodeOf(cause) == fault.HostLeaving && e.Code == fault.CallerGone {
		return fault.New(fault.HostLeaving, runState(e), "host stopped before the request ended")
	}
	return e
}

// Close implements io.Closer. The server calls it after the last byte or a failed write.
func (a *answer) Close() error {
	a.once.Do(func() {
		close(a.closed)
		if !a.complete() {
			a.cancel(errGone)
		}
		a.watch.stop()
	})
	return nil
}

// complete says whether all bytes of the answer were read by the server.
func (a *answer) complete() bool {
	if a.head || (a.length != unknownLength && a.left <= 0) {
		return true
	}
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// respond moves the head of the answer into the response.
func (a *answer) respond(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(a.status)
	ctx.SetContentType(a.contentType)
	for _, h := range a.header {
		ctx.Response.Header.Set(h[0], h[1])
	}
	if a.length == 0 {
		<-a.done
		_ = a.Close()
		return
	}
	ctx.Response.ImmediateHeaderFlush = strings.HasPrefix(a.contentType, eventStream)
	ctx.Response.SetBodyStream(a, a.length)
}
