package frontend

import (
	"net/url"
	"strings"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

const servicesPath = "/services/"

// route finds the pool and the route of a plain service call. It runs before the body
// is read, so that calls without a route are refused early.
func (s *Server) route(next handler) handler {
	return func(r *request) error {
		raw := string(r.ctx.URI().PathOriginal())
		pool, rest, _ := strings.Cut(strings.TrimPrefix(raw, servicesPath), "/")
		rest = "/" + rest
		path, ok := plainPath(rest)
		if !ok {
			return fault.New(fault.BadRequest, fault.NotRun, "the path must be in its normal form")
		}
		if err := r.choosePool(pool, config.KindService); err != nil {
			return err
		}
		rt, ok := matchRoute(r.pool.Routes, string(r.ctx.Method()), path)
		if !ok {
			return fault.New(fault.NotFound, fault.NotRun, "pool %q has no route for this method and path", pool)
		}
		r.path, r.idempotent = rest, rt.Idempotent
		return next(r)
	}
}

// plainPath decodes a path. It refuses paths that an upstream could read as another
// path than the one matched here, since that would change whether a request may repeat.
func plainPath(raw string) (string, bool) {
	lower := strings.ToLower(raw)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.ContainsAny(raw, "\\;") {
		return "", false
	}
	p, err := url.PathUnescape(raw)
	if err != nil {
		return "", false
	}
	segments := strings.Split(p[1:], "/")
	for i, seg := range segments {
		if seg == "." || seg == ".." || (seg == "" && i < len(segments)-1) {
			return "", false
		}
	}
	return p, true
}

// matchRoute returns the route with the longest matching prefix; an exact method wins
// over a route for any method.
func matchRoute(routes []config.Route, method, path string) (config.Route, bool) {
	best, found := config.Route{}, false
	for _, rt := range routes {
		if rt.Method != method && rt.Method != "" && rt.Method != "*" {
			continue
		}
		if !hasPathPrefix(path, rt.PathPrefix) {
			continue
		}
		longer := len(rt.PathPrefix) > len(best.PathPrefix)
		same := len(rt.PathPrefix) == len(best.PathPrefix)
		if !found || longer || (same && rt.Method == method) {
			best, found = rt, true
		}
	}
	return best, found
}

// hasPathPrefix matches whole path segments.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// passedHeaders are the request headers that plain services receive.
var passedHeaders = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "If-Match", "If-None-Match",
	"If-Modified-Since", "If-Unmodified-Since", "Traceparent", "Tracestate",
}

// passedHeader returns the caller's values of the passed headers.
func (r *request) passedHeader() [][2]string {
	var out [][2]string
	for _, name := range passedHeaders {
		if v := r.ctx.Request.Header.Peek(name); len(v) > 0 {
			out = append(out, [2]string{name, string(v)})
		}
	}
	return out
}

// plain serves a call of a plain service.
func (s *Server) plain(r *request) error {
	c := r.call(r.path)
	c.Idempotent, c.Key = r.idempotent, r.key
	c.Header = r.passedHeader()
	return s.serveCall(r, c)
}
