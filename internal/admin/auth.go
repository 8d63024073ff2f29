package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

const (
	operatorKey  = "operator"
	bearerPrefix = "Bearer "
	healthPath   = "/healthz"
)

// operator returns the name of the operator whose credential the request carries, and
// whether there is one. Every known hash is compared in constant time, so that the time
// tells nothing about the hashes.
func (s *Server) operator(h *fasthttp.RequestHeader) (string, bool) {
	value := string(h.Peek(fasthttp.HeaderAuthorization))
	if !strings.HasPrefix(value, bearerPrefix) || len(value) == len(bearerPrefix) {
		return "", false
	}
	sum := sha256.Sum256([]byte(value[len(bearerPrefix):]))
	given := []byte(hex.EncodeToString(sum[:]))
	name, found, configured := "", 0, false
	match := func(owner, hash string) {
		if subtle.ConstantTimeCompare(given, []byte(strings.ToLower(hash))) == 1 {
			name, found = owner, 1
		}
	}
	for _, o := range s.o.Controller.Config().Operators {
		for _, hash := range o.KeyHashes {
			configured = true
			match(o.Name, hash)
		}
	}
	if !configured {
		for _, hash := range s.o.BootstrapHashes {
			match(config.BootstrapOperator, hash)
		}
	}
	return name, found == 1
}

// withOperator refuses requests without the credential of an operator. Only the health
// check, which tells nothing but that the process answers, needs none.
func (s *Server) withOperator(next handler) handler {
	return func(ctx *fasthttp.RequestCtx) error {
		if string(ctx.URI().PathOriginal()) == healthPath {
			return next(ctx)
		}
		name, ok := s.operator(&ctx.Request.Header)
		if !ok {
			s.refused.Inc(1)
			ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
			return fault.New(fault.Unauthenticated, fault.NotRun, "the credential of an operator is required")
		}
		ctx.SetUserValue(operatorKey, name)
		return next(ctx)
	}
}

// limitStrangers keeps the server from reading large bodies of unauthenticated requests.
func (s *Server) limitStrangers(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if _, ok := s.operator(h); ok {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: strangerBodyBytes}
}
