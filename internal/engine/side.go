package engine

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/fault"
)

// noReport stands for an answer that is not a load report.
var noReport = Load{Running: -1, Queued: -1}

// Load asks an upstream for its load report. An answer that is not a load report, like
// 404 from a plain service, shows that the upstream is reachable and gives a Load with
// counts of -1. No answer and 503, by which an upstream refuses work, are errors.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	status, body, err := c.side(ctx, address, fasthttp.MethodGet, "/load", nil)
	if err != nil {
		return Load{}, fault.Wrap(err, fault.UpstreamFailed, "", "GET %s/load", address)
	}
	if status == fasthttp.StatusServiceUnavailable {
		return Load{}, fault.New(fault.UpstreamFailed, "", "GET %s/load: status %d", address, status)
	}
	var l Load
	if status != fasthttp.StatusOK || json.Unmarshal(body, &l) != nil || l.Running < 0 || l.Queued < 0 {
		return noReport, nil
	}
	return l, nil
}

// CacheEvents asks an engine for the cache events after since. Gaps show as missing
// sequence numbers.
func (c *Client) CacheEvents(ctx context.Context, address string, since uint64) (CacheBatch, error) {
	var b CacheBatch
	err := c.get(ctx, address, "/cache/events?since="+strconv.FormatUint(since, 10), &b)
	return b, err
}

// Order sends an order. It returns a StaleFence error when the upstream has seen a
// higher fencing number.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(err, fault.OrderFailed, "", "encode order")
	}
	status, _, err := c.side(ctx, address, fasthttp.MethodPost, "/orders", body)
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

func (c *Client) get(ctx context.Context, address, path string, v any) error {
	status, body, err := c.side(ctx, address, fasthttp.MethodGet, path, nil)
	if err != nil {
		return fault.Wrap(err, fault.UpstreamFailed, "", "GET %s%s", address, path)
	}
	if status != fasthttp.StatusOK {
		return fault.New(fault.UpstreamFailed, "", "GET %s%s: status %d", address, path, status)
	}
	return fault.Wrap(json.Unmarshal(body, v), fault.UpstreamFailed, "", "GET %s%s", address, path)
}

// side runs one call beside caller traffic.
func (c *Client) side(ctx context.Context, address, method, path string, body []byte) (int, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(address)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	x, err := c.pool.start(ctx, address, req)
	defer x.finish()
	if err != nil {
		return 0, nil, err
	}
	status := x.resp.StatusCode()
	b, err := x.readAll(c.o.MaxAnswerBytes)
	return status, b, err
}
