package frontend

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/config"
)

// request is the state of one HTTP request that the middleware builds up.
type request struct {
	ctx      *fasthttp.RequestCtx
	cfg      *config.Config
	id       string
	account  string
	contract config.Contract
	pool     config.Pool
	// path is the path sent to the upstream, as the caller spelled it.
	path           string
	idempotent     bool
	idempotencyKey string
	deadline       time.Time
	body           []byte
}

// handler serves a request. Its error becomes a typed error response.
type handler func(r *request) error

// middleware returns a handler that runs one step before next.
type middleware func(next handler) handler

// chain wraps h in all steps, the first step outermost.
func chain(h handler, steps ...middleware) handler {
	for _, m := range slices.Backward(steps) {
		h = m(h)
	}
	return h
}

func (r *request) header(name string) string {
	return string(r.ctx.Request.Header.Peek(name))
}

func (r *request) poolAllowed(pool string) bool { return slices.Contains(r.contract.Pools, pool) }

// newCall returns a Call with the fields that are set for all kinds of pools.
func (r *request) newCall(path string) *Call {
	c := &Call{
		ID:          r.id,
		Account:     r.account,
		Pool:        r.pool.Name,
		PoolKind:    r.pool.Kind,
		Method:      string(r.ctx.Method()),
		Path:        path,
		Query:       string(r.ctx.URI().QueryString()),
		ContentType: string(r.ctx.Request.Header.ContentType()),
		Body:        r.body,
		Deadline:    r.deadline,
	}
	c.Fingerprint = fingerprint(r.account, c.Method+" "+c.Pool+c.Path+"?"+c.Query, r.body)
	return c
}
