package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/logsink"
	"marigoldshunt/internal/netopt"
	"marigoldshunt/internal/routing"
)

// Limits for requests that are passed on to other hosts.
const (
	// crowdedRunning is the number of running requests of one account above which a host passes its
	// others on. It is several times what an even spread over the hosts gives one of them.
	crowdedRunning = 32
	// offloadRequestBytes bounds the size of such a request, which is read whole first, so that a
	// slow caller holds nothing at the other host.
	offloadRequestBytes = 64 << 10
	// offloadBufferBytes is the size of one read of a response. It is small, because it is held while
	// the response is waited for. maxOffloadHeadBytes bounds the head.
	offloadBufferBytes  = 4 << 10
	maxOffloadHeadBytes = 64 << 10
	// offloadConnectTimeout bounds the connect to a host of the same data centre.
	offloadConnectTimeout = 300 * time.Millisecond
	// maxOffloadConnects is the number of hosts that are tried for one request.
	maxOffloadConnects = 2
	// offloadIdleTime is how long a connection to another host is kept without a request, less
	// than that host keeps it.
	offloadIdleTime = 3 * time.Second
	// offloadGrace is how long after the deadline of a request the response of the other host,
	// which knows the same deadline, may begin.
	offloadGrace = 200 * time.Millisecond
	// offloadPollInterval is the interval at which a host looks whether the caller of a request
	// that it has passed on is still connected.
	offloadPollInterval = 200 * time.Millisecond
	// offloadVersionHeader names the routing document of the host that passes a request on. It is
	// between hosts only and not forwarded.
	offloadVersionHeader = "Offload-Document-Version"
	// offloadWaitedHeader is how long the request has waited at that host, in ms and with
	// offloadWaitedDigits digits. The caller's own time counts from before that.
	offloadWaitedHeader = "Offload-Waited-Ms"
	offloadWaitedDigits = 5
	maxOffloadWaited    = 99_999 * time.Millisecond
	// maxOffloadFieldBytes bounds both header fields.
	maxOffloadFieldBytes = len(offloadVersionHeader) + len(": 18446744073709551615\r\n") + len(offloadWaitedHeader) + len(": 00000\r\n")
)

var (
	offloadRequestBuffers  = sync.Pool{New: func() any { return new([offloadRequestBytes]byte) }}
	offloadResponseBuffers = sync.Pool{New: func() any { return new([offloadBufferBytes]byte) }}
)

// errEndConnection ends the connection of a caller without another response.
var errEndConnection = errors.New("the connection of the caller ends")

// earlyRequest is a request that is refused, or passed on to another host, before the HTTP server sees
// it.
type earlyRequest struct {
	server *Server
	caller *headerConn
	head   *requestHead
	// deadline is when the other host must have responded.
	deadline time.Time
	view     View
	// isolated is true if the host must not serve any request; the route and the account are then not looked up.
	isolated bool
	route    *routing.Route
	// account is empty if the HTTP server has to look at the request.
	account string
	arrived time.Time
	// waitedAt is the position of the digits of offloadWaitedHeader in the copy of the request.
	waitedAt int
	// announcedClose is true if the response of this host says that the connection ends after it.
	announcedClose bool
	// responded is true once bytes of a response were written to the caller.
	responded bool
}

// offloadDeadline returns the time until which the host waits for the response to a request.
func (s *Server) offloadDeadline(h *requestHead, r *routing.Route, arrived time.Time) time.Time {
	timeout := r.Timeout
	if ms, err := parseNumber(string(h.deadline)); err == nil && ms >= 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return arrived.Add(timeout + offloadGrace)
}

// passOn passes the request that begins with p on and its response back. The error is that of the
// caller's connection.
func (q *earlyRequest) passOn(p []byte) error {
	hc, err := q.readAndSend(p)
	if err != nil {
		return q.fail(err)
	}
	q.server.count("offloaded")
	if q.view.Leaving {
		q.server.count("offloaded_leaving")
	}
	q.log(hc)
	whole, keep, err := q.copyResponse(hc)
	// A response that breaks off may be one that the upstream broke off.
	hostFailed := err != nil && !errors.Is(err, errEndConnection) && !q.responded
	q.server.offloader.release(hc, keep, hostFailed)
	if err != nil {
		return q.fail(err)
	}
	if !whole {
		return errEndConnection
	}
	return q.caller.SetWriteDeadline(time.Time{})
}

// readAndSend reads the whole request that begins with p and sends it to another host. It holds a
// large buffer, which is given back before the response is waited for.
func (q *earlyRequest) readAndSend(p []byte) (*hostConn, error) {
	buf := offloadRequestBuffers.Get().(*[offloadRequestBytes]byte)
	defer offloadRequestBuffers.Put(buf)
	n := q.copyWithOwnFields(buf[:], p)
	request := buf[:n+q.head.headBytes+q.head.bodyBytes-len(p)]
	if err := q.readRest(request[n:]); err != nil {
		return nil, errEndConnection
	}
	return q.send(request)
}

// copyWithOwnFields copies the beginning p of the request and adds the fields between hosts to its head: the
// version of the routing document that this host knows, and room for the time that the request has waited.
// It returns the size of the copy.
func (q *earlyRequest) copyWithOwnFields(buf, p []byte) int {
	lineEnd := bytes.Index(p, crlf) + len(crlf)
	n := copy(buf, p[:lineEnd])
	fields := append(buf[n:n], offloadVersionHeader+": "...)
	fields = strconv.AppendUint(fields, q.view.Table.Document.Version, 10)
	fields = append(append(fields, crlf...), offloadWaitedHeader+": "...)
	q.waitedAt = n + len(fields)
	fields = append(fields, "00000\r\n"...)
	n += len(fields)
	return n + copy(buf[n:], p[lineEnd:])
}

// setWaited writes how long the request has waited into its copy.
func (q *earlyRequest) setWaited(request []byte, waited time.Duration) {
	digits := request[q.waitedAt : q.waitedAt+offloadWaitedDigits]
	left := min(waited, maxOffloadWaited).Milliseconds()
	for i := len(digits) - 1; i >= 0; i-- {
		digits[i] = byte('0' + left%10)
		left /= 10
	}
}

// takeOffloadWaited returns how long a request had waited at the host that passed it on, and removes the
// field from the header.
func takeOffloadWaited(h http.Header) time.Duration {
	ms, err := parseNumber(h.Get(offloadWaitedHeader))
	h.Del(offloadWaitedHeader)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// checkOffloadVersion refuses a request that was passed on by a host that knows a newer routing
// document: its callers would see an older one in force again.
func checkOffloadVersion(h http.Header, own uint64) error {
	value := h.Get(offloadVersionHeader)
	if value == "" {
		return nil
	}
	h.Del(offloadVersionHeader)
	version, err := strconv.ParseUint(value, 10, 64)
	if err != nil || version <= own {
		return nil
	}
	return fault.New(fault.HostIsolated, fault.NotRun, "the request was passed on by a host with version %d of the routing document, this host has %d", version, own).WithRetryAfter(shortRetryAfter)
}

// readRest reads the rest of the request.
func (q *earlyRequest) readRest(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := q.caller.SetReadDeadline(time.Now().Add(q.server.opts.ReadHeaderTimeout)); err != nil {
		return err
	}
	_, err := io.ReadFull(q.caller.TCPConn, p)
	return err
}

// send sends the request to a host. Without an error it has been sent whole.
func (q *earlyRequest) send(request []byte) (*hostConn, error) {
	o := q.server.offloader
	for range maxOffloadConnects {
		hc := o.connect(context.Background())
		if hc == nil {
			break
		}
		if err := q.checkSend(); err != nil {
			o.release(hc, true, false)
			return nil, err
		}
		q.setWaited(request, time.Since(q.arrived))
		_ = hc.SetDeadline(q.deadline) // fails only if it is already closed, and then so does the write
		n, err := hc.Write(request)
		if err == nil {
			return hc, nil
		}
		o.release(hc, false, true)
		if n > 0 {
			return nil, fault.Wrap(err, fault.PeerUnreachable, fault.MayHaveRun, "host %s broke off the request", hc.host)
		}
	}
	return nil, fault.New(fault.HostOverloaded, fault.NotRun, "no other host took the request").WithRetryAfter(overloadRetryAfter)
}

// checkSend checks whether the request may still be sent: reading it and connecting may have taken a while.
func (q *earlyRequest) checkSend() error {
	if !q.callerConnected() {
		return errEndConnection
	}
	return q.server.checkStop(q.deadline)
}

// copyResponse copies the response from a host to the caller. whole is false if the connection to
// the caller must be closed after it, keep is true if the one to the host can be used again.
func (q *earlyRequest) copyResponse(hc *hostConn) (whole, keep bool, err error) {
	buf := offloadResponseBuffers.Get().(*[offloadBufferBytes]byte)
	defer offloadResponseBuffers.Put(buf)
	framing, part, headBytes, err := q.readResponseHead(hc, buf[:])
	if err != nil {
		return false, false, err
	}
	if err := q.caller.SetWriteDeadline(q.deadline.Add(writeGrace)); err != nil {
		return false, false, errEndConnection
	}
	closing := q.closing()
	if closing && !framing.closes {
		part, headBytes = announceClose(part), headBytes+len(connectionClose)
	}
	for begin := headBytes; ; begin = 0 {
		bodyBytes, err := framing.consume(part[begin:])
		if err != nil {
			return false, false, err
		}
		end := begin + bodyBytes
		q.responded = true
		if _, err := q.caller.TCPConn.Write(part[:end]); err != nil {
			return false, false, errEndConnection
		}
		if framing.ended() {
			// Bytes after the response belong to no request.
			return !framing.closes && !closing, !framing.closes && end == len(part), nil
		}
		n, err := q.readPart(hc, buf[:])
		if err != nil {
			return false, false, err
		}
		part = buf[:n]
	}
}

// announceClose returns a response whose beginning is p with the announcement that the connection ends after it.
func announceClose(p []byte) []byte {
	lineEnd := bytes.Index(p, crlf) + len(crlf)
	return slices.Concat(p[:lineEnd], []byte(connectionClose), p[lineEnd:])
}

// readResponseHead reads until the head of the response is complete, into buf or a larger buffer.
// part is what was read, and headBytes the size of the head in it.
func (q *earlyRequest) readResponseHead(hc *hostConn, buf []byte) (framing responseFraming, part []byte, headBytes int, err error) {
	n := 0
	for headBytes == 0 {
		if n == maxOffloadHeadBytes {
			return framing, nil, 0, malformedResponse("its head is too long")
		}
		if n == len(buf) {
			buf = append(buf[:n:n], make([]byte, maxOffloadHeadBytes-n)...)
		}
		read, err := q.readPart(hc, buf[n:])
		if err != nil {
			return framing, nil, 0, err
		}
		n += read
		if framing, headBytes, err = parseResponseHead(buf[:n]); err != nil {
			return framing, nil, 0, err
		}
	}
	return framing, buf[:n], headBytes, nil
}

// readPart reads from the host while the caller is connected, until the deadline.
func (q *earlyRequest) readPart(hc *hostConn, p []byte) (int, error) {
	for {
		poll := time.Now().Add(offloadPollInterval)
		if poll.After(q.deadline) {
			poll = q.deadline
		}
		if err := hc.SetReadDeadline(poll); err != nil {
			return 0, err
		}
		n, err := hc.Read(p)
		if n > 0 {
			return n, nil
		}
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return 0, fault.Wrap(err, fault.PeerUnreachable, fault.MayHaveRun, "host %s broke off the response", hc.host)
		case !time.Now().Before(q.deadline):
			return 0, fault.New(fault.RunExpired, fault.MayHaveRun, "no response of host %s within the deadline", hc.host)
		case !q.callerConnected():
			return 0, errEndConnection
		}
	}
}

func (q *earlyRequest) callerConnected() bool {
	raw, ok := netopt.RawConn(q.caller)
	if !ok {
		return true
	}
	open, _ := netopt.CheckConn(raw)
	return open
}

// fail responds to the caller with a failure, or ends the connection if a response has begun.
func (q *earlyRequest) fail(err error) error {
	if errors.Is(err, errEndConnection) {
		return err
	}
	e := fault.As(err)
	q.server.count("failed." + string(e.Code))
	if !logsink.Drops(q.server.log, logrus.InfoLevel) {
		q.logFailure(e)
	}
	if q.responded {
		return errEndConnection
	}
	body := failureBody(e.Code, e.RunState)
	if err := q.answer(failureHead(statusOf(e), e.RetryAfter, len(body)), body); err != nil {
		return err
	}
	return q.endIfClosing()
}

func (q *earlyRequest) logFailure(e *fault.Error) {
	failed := &request{server: q.server, id: string(q.head.id), arrived: q.arrived, account: q.account, view: q.view, route: q.route}
	failed.logFailure(e)
}

// log logs that the request was passed on. The other host logs its outcome.
func (q *earlyRequest) log(hc *hostConn) {
	if logsink.DropsSecondary(q.server.log, logrus.InfoLevel) {
		return
	}
	fields := logrus.Fields{"request": string(q.head.id), "account": q.account, "route": q.route.Name, "host": hc.host, "per_second": math.Round(q.server.AccountRateLimit())}
	q.server.log.WithFields(fields).Info("Request was passed on to another host.")
}

// ServeOffloaded accepts the requests that other hosts pass on, until Shutdown or Close. It never
// passes them on again.
func (s *Server) ServeOffloaded(ln net.Listener) error {
	return s.serve(newShedListener(ln, s, false), s.refuseEarly)
}
