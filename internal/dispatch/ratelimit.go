package dispatch

import "time"

const (
	// rateLimitLifetime is the time without an answer that names it after which a rate limit is
	// dropped. Without it, a limit whose end was not reported would last for good.
	rateLimitLifetime = 10 * time.Second
	// rateLimitBurst is the time whose requests may be sent at once.
	rateLimitBurst = 250 * time.Millisecond
)

// RateLimit paces requests to the rate that an upstream takes. Its zero value is no limit.
type RateLimit struct {
	perSecond   float64
	confirmedAt time.Time
	bucket      bucket
}

// Set sets the limit in requests per second; 0 ends it.
func (l *RateLimit) Set(perSecond float64, now time.Time) {
	if !l.active(now) {
		l.bucket = bucket{at: now}
	}
	l.perSecond, l.confirmedAt = perSecond, now
}

func (l *RateLimit) active(now time.Time) bool {
	return l.perSecond > 0 && now.Sub(l.confirmedAt) < rateLimitLifetime
}

// Wait returns the time until the limit allows a request after ahead others.
func (l *RateLimit) Wait(ahead int, now time.Time) time.Duration {
	if !l.active(now) {
		return 0
	}
	l.bucket.fill(l.perSecond, max(1, l.perSecond*rateLimitBurst.Seconds()), now)
	missing := float64(ahead+1) - l.bucket.tokens
	return max(time.Duration(missing/l.perSecond*float64(time.Second)), 0)
}

// Take counts a request that is sent. A request that could not wait for its turn delays the
// next ones.
func (l *RateLimit) Take(now time.Time) {
	if l.active(now) {
		l.Wait(0, now)
		l.bucket.tokens--
	}
}
