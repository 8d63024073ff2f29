package frontend

import (
	"time"

	"github.com/google/uuid"

	"marigoldshunt/internal/fault"
)

const (
	// maxClockAhead is how far the clock of a caller may be ahead.
	maxClockAhead = 5 * time.Minute
	// keyUUIDVersion is the UUID version whose timestamp gives the age of a key.
	keyUUIDVersion = 7
	// keyLength is the length of the canonical form; others are refused, so that each key has
	// one spelling.
	keyLength = 36
	// defaultClaimRetention applies if the policy sets no retention.
	defaultClaimRetention = 24 * time.Hour
)

// requireIdempotencyKey checks the key of a request that must run at most once.
func (s *Server) requireIdempotencyKey(next handler) handler {
	return func(r *request) error {
		if r.idempotent {
			return next(r)
		}
		v := r.header("Idempotency-Key")
		if v == "" {
			return fault.New(fault.IdempotencyKeyRequired, fault.NotRun, "this route needs an Idempotency-Key, a UUID version 7")
		}
		id, err := uuid.Parse(v)
		if err != nil || len(v) != keyLength || id.Version() != keyUUIDVersion || id.Variant() != uuid.RFC4122 {
			return fault.New(fault.IdempotencyKeyInvalid, fault.NotRun, "the Idempotency-Key is not a UUID version 7")
		}
		retention := r.cfg.Policy.ClaimRetention
		if retention <= 0 {
			retention = defaultClaimRetention
		}
		age := s.opts.Now().Sub(uuidTime(id))
		switch {
		case age > retention:
			return fault.New(fault.IdempotencyKeyExpired, fault.NotRun, "the Idempotency-Key is older than %v", retention)
		case age < -maxClockAhead:
			return fault.New(fault.IdempotencyKeyInvalid, fault.NotRun, "the Idempotency-Key is more than %v in the future", maxClockAhead)
		}
		r.idempotencyKey = id.String()
		return next(r)
	}
}

// uuidTime returns the time in a UUID version 7: its first 48 bits are milliseconds.
func uuidTime(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
