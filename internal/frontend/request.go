package frontend

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/config"
)

// request is one HTTP request on its way through the middleware.
type request struct {
	ctx      *fasthttp.RequestCtx
	cfg      *config.Config
	id       string
	account  string
	contract config.Contract
	pool     config.Pool
	// path is the path at the upstream, as the caller spelled it.
	path       string
	idempotent bool
	key        string
	deadline   time.Time
	body       []byte
}

// handler serves a request. Its error becomes a typed answer.
type handler func(r *request) error

// middleware adds one step before a handler.
type middleware func(next handler) handler

// chain returns h behind all steps, the first step outermost.
func chain(h handler, steps ...middleware) handler {
	for _, m := range slices.Backward(steps) {
		h = m(h)
	}
	return h
}

func (r *request) headerValue(name string) string {
	return string(r.ctx.Request.Header.Peek(name))
}

func (r *request) allowed(pool string) bool { return slices.Contains(r.contract.Pools, pool) }

// call returns the parts of a Call that all kinds of pools share.
func (r *request) call(path string) *Call {
	c := &Call{
		ID:          r.id,
		Account:     r.account,
		Pool:        r.pool.Name,
		Kind:        r.pool.Kind,
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
