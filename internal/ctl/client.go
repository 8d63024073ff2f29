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
	// attemptTimeout is above the 5 s that a host waits for the control group.
	attemptTimeout = 6 * time.Second
	// roundPause is the wait after all hosts have failed. An election takes about 1 s.
	roundPause       = 250 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// resend says whether a request may be sent again after its outcome is unknown.
type resend bool

// Requests that change nothing, or carry a request id by which the fleet recognises
// them, are safe to repeat.
const (
	safe resend = true
	once resend = false
)

// client sends requests to the admin API of the first host that can answer.
type client struct {
	hosts   []string
	key     string
	timeout time.Duration
	http    *fasthttp.Client
}

// dialError marks failures before any byte was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

func newClient(hosts []string, key string, timeout time.Duration) *client {
	return &client{hosts: hosts, key: key, timeout: timeout, http: &fasthttp.Client{
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
// into out. Failures that another host or a later attempt may not have are tried again
// until the time limit. Once the outcome of an attempt is unknown, a request that is
// not safe to repeat fails.
func (c *client) do(ctx context.Context, method, path string, body, out any, again resend) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	unknown := false
	for {
		var last error
		for _, host := range c.hosts {
			err := c.attempt(ctx, host, method, path, body, out)
			if err == nil || !temporary(err) {
				return err
			}
			last = err
			if fault.As(err).Run != fault.NotRun {
				unknown = true
				if again == once {
					return err
				}
			}
			if ctx.Err() != nil {
				break
			}
		}
		select {
		case <-time.After(roundPause):
		case <-ctx.Done():
			return finalError(last, unknown && method != fasthttp.MethodGet)
		}
	}
}

// finalError reports the last failure; an earlier attempt may have had an effect.
func finalError(last error, unknown bool) error {
	if unknown {
		return fault.Wrap(last, fault.CodeOf(last), fault.MayHaveRun, "the outcome is unknown")
	}
	return last
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
func (c *client) attempt(ctx context.Context, host, method, path string, body, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + host + path)
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
		return fault.Wrap(err, fault.PeerUnreachable, run, "host %s did not answer", host)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answeredError(host, resp)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fault.Wrap(err, fault.Internal, fault.MayHaveRun, "host %s sent a malformed answer", host)
	}
	return nil
}

func answeredError(host string, resp *fasthttp.Response) error {
	var b admin.ErrorBody
	if err := json.Unmarshal(resp.Body(), &b); err != nil || b.Error.Code == "" {
		return fault.New(fault.Internal, fault.MayHaveRun, "host %s answered with status %d", host, resp.StatusCode())
	}
	e := fault.New(b.Error.Code, b.Error.RunState, "%s", b.Error.Message).
		After(time.Duration(b.Error.RetryAfterMS) * time.Millisecond)
	e.Revision = b.Error.Revision
	return e
}

func (c *client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, fasthttp.MethodGet, path, nil, out, safe)
}

func (c *client) post(ctx context.Context, path string, body, out any, again resend) error {
	return c.do(ctx, fasthttp.MethodPost, path, body, out, again)
}

func segment(name string) string { return url.PathEscape(name) }
