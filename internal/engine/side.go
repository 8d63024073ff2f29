package engine

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// maxReportBytes bounds a load report and the response to an order. Several of them are read
// at once, and each takes some hundred bytes.
const maxReportBytes = 64 << 10

// noReport is the result for a response that is not a load report.
var noReport = LoadReport{Running: -1, Queued: -1}

// maxReportedRequests bounds the running and the waiting requests that an upstream may report.
const maxReportedRequests = 1 << 20

// FetchLoad requests the load report of an upstream. A response that is not a load report,
// such as 404 from a plain service, shows that the upstream is reachable; the report then
// has counts of -1. A missing response is an error, and so is 503, with which an upstream
// refuses work.
func (c *Client) FetchLoad(ctx context.Context, address string) (LoadReport, error) {
	status, body, err := c.callUpstream(ctx, address, fasthttp.MethodGet, "/load", nil, maxReportBytes)
	if err != nil {
		return LoadReport{}, fault.Wrap(err, fault.UpstreamFailed, "", "GET %s/load", address)
	}
	if status == fasthttp.StatusServiceUnavailable {
		return LoadReport{}, fault.New(fault.UpstreamFailed, "", "GET %s/load: status %d", address, status)
	}
	var l LoadReport
	if status != fasthttp.StatusOK || json.Unmarshal(body, &l) != nil || !isPlausible(l.Running, maxReportedRequests) || !isPlausible(l.Queued, maxReportedRequests) {
		return noReport, nil
	}
	return l, nil
}

// CacheEvents requests the cache events of an engine after since. Lost events show as gaps
// in the sequence numbers.
func (c *Client) CacheEvents(ctx context.Context, address string, since uint64) (CacheBatch, error) {
	var b CacheBatch
	err := c.getJSON(ctx, address, "/cache/events?since="+strconv.FormatUint(since, 10), &b)
	return b, err
}

// SendOrder sends an order. It returns a StaleFence error if the upstream has seen a higher
// fencing number.
func (c *Client) SendOrder(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.OrderFailed, "", "encode order")
	}
	status, _, err := c.callUpstream(ctx, address, fasthttp.MethodPost, "/orders", body, maxReportBytes)
	switch {
	case err != nil:
		return fault.Wrap(err, fault.OrderFailed, fault.MayHaveRun, "order %d to %s", o.Fence, address)
	case status == fasthttp.StatusConflict:
		return fault.New(fault.StaleFence, fault.NotRun, "%s has seen a higher fence than %d", address, o.Fence)
	case status/100 != 2:
		return fault.New(fault.OrderFailed, fault.RanAndFailed, "order %d to %s: status %d", o.Fence, address, status)
	}
	return nil
}

func (c *Client) getJSON(ctx context.Context, address, path string, v any) error {
	status, body, err := c.callUpstream(ctx, address, fasthttp.MethodGet, path, nil, c.opts.MaxResponseBytes)
	if err != nil {
		return fault.Wrap(err, fault.UpstreamFailed, "", "GET %s%s", address, path)
	}
	if status != fasthttp.StatusOK {
		return fault.New(fault.UpstreamFailed, "", "GET %s%s: status %d", address, path, status)
	}
	return fault.Wrap(json.Unmarshal(body, v), fault.UpstreamFailed, "", "GET %s%s", address, path)
}

// Get requests a path of any server with its own HTTP interface, such as the list of
// instances. A body of more than limit bytes is an error.
func (c *Client) Get(ctx context.Context, address, path string, limit int) (status int, body []byte, err error) {
	return c.callUpstream(ctx, address, fasthttp.MethodGet, path, nil, limit)
}

// callUpstream sends a request of this host itself, rather than one of a caller. A response
// with a body of more than limit bytes is an error. A GET whose reused connection turns out
// to be dropped is sent again on a new one.
func (c *Client) callUpstream(ctx context.Context, address, method, path string, body []byte, limit int) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(address)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	repeatable := method == fasthttp.MethodGet
	x, err := c.connPool.roundTrip(ctx, address, req, true, repeatable)
	if err != nil && x.reused && repeatable && ctx.Err() == nil && isDropped(err) {
		x.finish()
		x, err = c.connPool.roundTrip(ctx, address, req, false, repeatable)
	}
	defer x.finish()
	if err != nil {
		return 0, nil, err
	}
	status := x.resp.StatusCode()
	b, err := x.readAll(limit)
	return status, b, err
}
