package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/fault"
)

const (
	dialTimeout = time.Second
	// attemptTimeout exceeds the 5 s that a host waits for the control group.
	attemptTimeout = 6 * time.Second
	// roundDelay is the delay after all hosts have failed. An election takes about 1 s.
	roundDelay       = 250 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// retryMode says whether a request may be sent again after its outcome is unknown.
type retryMode bool

// retryAlways is for requests that change nothing, or carry a request ID by which the
// control group recognises a resend. With retryIfNotRun, a request is sent again only if no
// earlier attempt can have run.
const (
	retryAlways   retryMode = true
	retryIfNotRun retryMode = false
)

// client sends requests to the admin API of the first host that answers.
type client struct {
	addresses []string
	key       string
	timeout   time.Duration
	http      *fasthttp.Client
}

// dialError marks errors that occurred before any byte was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

func newClient(addresses []string, key string, timeout time.Duration) *client {
	return &client{addresses: addresses, key: key, timeout: timeout, http: &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			nc, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return nil, dialError{err}
			}
			return nc, nil
		},
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
		DisablePathNormalizing:    true,
	}}
}

// do sends a request to the hosts in turn until one answers it, and decodes the answer
// into out. Temporary errors are retried until the time limit. With retryIfNotRun, the
// request fails once the outcome of an attempt is unknown.
func (c *client) do(ctx context.Context, method, path string, body, out any, mode retryMode) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	outcomeUnknown := false
	for {
		var lastErr error
		for _, address := range c.addresses {
			err := c.attempt(ctx, address, method, path, body, out)
			if err == nil || !temporary(err) {
				return err
			}
			lastErr = err
			if fault.As(err).RunState != fault.NotRun {
				outcomeUnknown = true
				if mode == retryIfNotRun {
					return err
				}
			}
			if ctx.Err() != nil {
				break
			}
		}
		select {
		case <-time.After(roundDelay):
		case <-ctx.Done():
			return finalError(lastErr, outcomeUnknown && method != fasthttp.MethodGet)
		}
	}
}

// finalError returns the last error. If the outcome of an earlier attempt is unknown,
// the error says that the request may have had an effect.
func finalError(lastErr error, outcomeUnknown bool) error {
	if outcomeUnknown {
		return fault.Wrap(lastErr, fault.CodeOf(lastErr), fault.MayHaveRun, "the outcome is unknown")
	}
	return lastErr
}

// temporary reports whether another host or a later attempt may succeed.
func temporary(err error) bool {
	switch fault.CodeOf(err) {
	case fault.PeerUnreachable, fault.Timeout, fault.NotLeader, fault.NoQuorum, fault.HostIsolated,
		fault.HostLeaving, fault.StorageFailed:
		return true
	}
	return false
}

// attempt sends a request to one host.
func (c *client) attempt(ctx context.Context, address, method, path string, body, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fault.Wrap(err, fault.BadRequest, fault.NotRun, "encode the request")
		}
		req.Header.SetContentType("application/json")
		req.SetBody(data)
	}
	deadline := time.Now().Add(attemptTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		run := fault.MayHaveRun
		if errors.As(err, new(dialError)) {
			run = fault.NotRun
		}
		return fault.Wrap(err, fault.PeerUnreachable, run, "host %s did not answer", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return responseError(address, resp)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fault.Wrap(err, fault.Internal, fault.MayHaveRun, "host %s sent a malformed answer", address)
	}
	return nil
}

func responseError(address string, resp *fasthttp.Response) error {
	var b admin.ErrorBody
	if err := json.Unmarshal(resp.Body(), &b); err != nil || b.Error.Code == "" {
		return fault.New(fault.Internal, fault.MayHaveRun, "host %s answered with status %d", address, resp.StatusCode())
	}
	e := fault.New(b.Error.Code, b.Error.RunState, "%s", b.Error.Message).
		WithRetryAfter(time.Duration(b.Error.RetryAfterMS) * time.Millisecond)
	e.Revision = b.Error.Revision
	return e
}

func (c *client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, fasthttp.MethodGet, path, nil, out, retryAlways)
}

func (c *client) post(ctx context.Context, path string, body, out any, mode retryMode) error {
	return c.do(ctx, fasthttp.MethodPost, path, body, out, mode)
}

func pathSegment(name string) string { return url.PathEscape(name) }
