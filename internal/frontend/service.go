package frontend

import (
	"net/url"
	"strings"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

const servicesPath = "/services/"

// findRoute finds the pool and the route of a request to a plain service. It runs before the
// body is read, so that requests without a route are refused early.
func (s *Server) findRoute(next handler) handler {
	return func(r *request) error {
		raw := string(r.ctx.URI().PathOriginal())
		pool, rest, _ := strings.Cut(strings.TrimPrefix(raw, servicesPath), "/")
		rest = "/" + rest
		path, ok := decodePath(rest)
		if !ok {
			return fault.New(fault.BadRequest, fault.NotRun, "the path must be in its normal form")
		}
		if err := r.choosePool(pool, config.KindService); err != nil {
			return err
		}
		route, ok := matchRoute(r.pool.Routes, string(r.ctx.Method()), path)
		if !ok {
			return fault.New(fault.NotFound, fault.NotRun, "pool %q has no route for this method and path", pool)
		}
		r.path, r.idempotent = rest, route.Idempotent
		return next(r)
	}
}

// decodePath decodes a path. It refuses paths that an upstream could interpret as another
// path than the one matched here, since that could make a request count as idempotent, and
// thus be retried, or the reverse.
func decodePath(raw string) (string, bool) {
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

// matchRoute returns the route with the longest matching prefix. Among routes with the same
// prefix, one for the given method takes precedence over one for any method.
func matchRoute(routes []config.ServiceRoute, method, path string) (config.ServiceRoute, bool) {
	best, found := config.ServiceRoute{}, false
	for _, route := range routes {
		if route.Method != method && route.Method != "" && route.Method != "*" {
			continue
		}
		if !hasPathPrefix(path, route.PathPrefix) {
			continue
		}
		longer := len(route.PathPrefix) > len(best.PathPrefix)
		same := len(route.PathPrefix) == len(best.PathPrefix)
		if !found || longer || (same && route.Method == method) {
			best, found = route, true
		}
	}
	return best, found
}

// hasPathPrefix reports whether prefix matches whole segments of path.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// forwardedHeaders are the request headers that are passed on to plain services.
var forwardedHeaders = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "If-Match", "If-None-Match",
	"If-Modified-Since", "If-Unmodified-Since", "Traceparent", "Tracestate",
}

// forwardedHeader returns the names and values of forwardedHeaders in the request.
func (r *request) forwardedHeader() [][2]string {
	var out [][2]string
	for _, name := range forwardedHeaders {
		if v := r.ctx.Request.Header.Peek(name); len(v) > 0 {
			out = append(out, [2]string{name, string(v)})
		}
	}
	return out
}

// serveService serves a request to a plain service.
func (s *Server) serveService(r *request) error {
	c := r.newCall(r.path)
	c.Idempotent, c.IdempotencyKey = r.idempotent, r.idempotencyKey
	c.Header = r.forwardedHeader()
	return s.serveCall(r, c)
}
