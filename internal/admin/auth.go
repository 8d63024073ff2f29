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
	operatorUserValue = "operator"
	bearerPrefix      = "Bearer "
	healthPath        = "/healthz"
)

// authenticate returns the name of the operator whose credential the request carries, and
// whether there is one. Every known hash is compared in constant time, so that the
// response time reveals nothing about the hashes.
func (s *Server) authenticate(h *fasthttp.RequestHeader) (string, bool) {
	value := string(h.Peek(fasthttp.HeaderAuthorization))
	if !strings.HasPrefix(value, bearerPrefix) || len(value) == len(bearerPrefix) {
		return "", false
	}
	sum := sha256.Sum256([]byte(value[len(bearerPrefix):]))
	givenHash := []byte(hex.EncodeToString(sum[:]))
	name, found, configured := "", 0, false
	match := func(owner, hash string) {
		if subtle.ConstantTimeCompare(givenHash, []byte(strings.ToLower(hash))) == 1 {
			name, found = owner, 1
		}
	}
	for _, o := range s.opts.OperatorActions.Config().Operators {
		for _, hash := range o.KeyHashes {
			configured = true
			match(o.Name, hash)
		}
	}
	if !configured {
		for _, hash := range s.opts.BootstrapHashes {
			match(config.BootstrapOperator, hash)
		}
	}
	return name, found == 1
}

// withOperator refuses requests without the credential of an operator. Only the health
// check needs none: it reveals only that the process answers.
func (s *Server) withOperator(next handler) handler {
	return func(ctx *fasthttp.RequestCtx) error {
		if string(ctx.URI().PathOriginal()) == healthPath {
			return next(ctx)
		}
		name, ok := s.authenticate(&ctx.Request.Header)
		if !ok {
			s.unauthenticated.Inc(1)
			ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
			return fault.New(fault.Unauthenticated, fault.NotRun, "the credential of an operator is required")
		}
		ctx.SetUserValue(operatorUserValue, name)
		return next(ctx)
	}
}

// limitUnauthenticatedBody keeps the server from reading large bodies of unauthenticated
// requests.
func (s *Server) limitUnauthenticatedBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if _, ok := s.authenticate(h); ok {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: unauthenticatedBodyBytes}
}
