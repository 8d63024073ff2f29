package frontend

import (
	"time"

	"github.com/google/uuid"

	"marigoldshunt/internal/fault"
)

const (
	// maxFuture is how far the clock of a caller may be ahead.
	maxFuture = 5 * time.Minute
	// keyVersion is the UUID version whose timestamp gives a key's age.
	keyVersion = 7
	// keyLength is the canonical form, so that one key has one spelling.
	keyLength = 36
	// defaultRetention applies where the policy sets no retention.
	defaultRetention = 24 * time.Hour
)

// requireKey checks the idempotency key of a request that must run at most once.
func (s *Server) requireKey(next handler) handler {
	return func(r *request) error {
		if r.idempotent {
			return next(r)
		}
		v := r.headerValue("Idempotency-Key")
		if v == "" {
			return fault.New(fault.KeyRequired, fault.NotRun, "this route needs an Idempotency-Key, a UUID version 7")
		}
		id, err := uuid.Parse(v)
		if err != nil || len(v) != keyLength || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
			return fault.New(fault.KeyInvalid, fault.NotRun, "the Idempotency-Key is not a UUID version 7")
		}
		retention := r.cfg.Policy.ClaimRetention
		if retention <= 0 {
			retention = defaultRetention
		}
		age := s.o.Now().Sub(keyTime(id))
		switch {
		case age > retention:
			return fault.New(fault.KeyExpired, fault.NotRun, "the Idempotency-Key is older than %v", retention)
		case age < -maxFuture:
			return fault.New(fault.KeyInvalid, fault.NotRun, "the Idempotency-Key is more than %v in the future", maxFuture)
		}
		r.key = id.String()
		return next(r)
	}
}

// keyTime returns the time in a UUID version 7: its first 48 bits are milliseconds.
func keyTime(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
