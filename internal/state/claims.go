package state

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// claimID identifies a claim.
type claimID struct {
	Account string
	Key     uuid.UUID
}

// claim is the record of one non-idempotent request.
type claim struct {
	Body     wire.Digest
	Attempt  string
	Finished bool
	Kept     bool
	Answer   []byte
}

// accountUsage is what one account uses of the limits.
type accountUsage struct{ claims, keptBytes int }

// claimTable holds the claims within the retention period.
//
// A key is refused when its own time lies below minKeyTime, and its record is dropped only
// then. minKeyTime never decreases, so a key whose record was dropped can never run again,
// even if the retention period is extended later.
type claimTable struct {
	minKeyTime int64
	byID       map[claimID]*claim
	usage      map[string]accountUsage
	keptBytes  int
	// byMinute groups the claims by the minute of their key's time.
	byMinute map[int64]map[claimID]struct{}

	// released holds the attempts that were released, so that a claim that arrives after
	// its own release has no effect.
	released      map[string]struct{}
	releasedOrder []string
}

func newClaimTable() claimTable {
	return claimTable{
		byID:     map[claimID]*claim{},
		usage:    map[string]accountUsage{},
		byMinute: map[int64]map[claimID]struct{}{},
		released: map[string]struct{}{},
	}
}

// minuteMillis is the granularity of expiry, one minute in milliseconds.
const minuteMillis = int64(time.Minute / time.Millisecond)

// ParseKey parses an idempotency key and returns its time in Unix milliseconds. It returns
// IdempotencyKeyInvalid for a key that is not a UUID version 7.
func ParseKey(key string) (uuid.UUID, int64, error) {
	u, err := uuid.Parse(key)
	if err != nil || len(key) != 36 || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return u, 0, fault.New(fault.IdempotencyKeyInvalid, fault.NotRun, "the idempotency key is not a UUID version 7")
	}
	return u, int64(binary.BigEndian.Uint64(u[:8]) >> 16), nil
}

func (t *claimTable) open(now int64, r *ClaimRequest) Result {
	key, keyTime, err := ParseKey(r.Key)
	if err != nil {
		return errorResult(err)
	}
	if r.Account == "" || len(r.Account) > maxIDBytes || r.Attempt == "" || len(r.Attempt) > maxIDBytes {
		return refuse(fault.BadRequest, fault.NotRun, "account and attempt have 1 to 64 bytes")
	}
	if keyTime < t.minKeyTime {
		return refuse(fault.IdempotencyKeyExpired, fault.NotRun, "the idempotency key is older than the retention period")
	}
	if keyTime > now+MaxKeyAhead.Milliseconds() {
		return refuse(fault.IdempotencyKeyExpired, fault.NotRun, "the idempotency key lies more than 5 minutes in the future")
	}
	if _, wasReleased := t.released[r.Attempt]; wasReleased {
		return refuse(fault.ClaimUnavailable, fault.NotRun, "the attempt was released")
	}
	id := claimID{r.Account, key}
	if existing := t.byID[id]; existing != nil {
		return existing.answer(r)
	}
	usage := t.usage[r.Account]
	if len(t.byID) >= MaxClaims || usage.claims >= MaxClaimsPerAccount {
		return refuse(fault.ClaimUnavailable, fault.NotRun, "too many claims are within the retention period")
	}
	t.insert(id, keyTime, &claim{Body: r.Body, Attempt: r.Attempt})
	return Result{Claim: &ClaimAnswer{Granted: true}}
}

// answer returns the result of a request for an existing claim.
func (c *claim) answer(r *ClaimRequest) Result {
	switch {
	case c.Body != r.Body:
		return refuse(fault.IdempotencyKeyReused, fault.NotRun, "the idempotency key was used for another body")
	case !c.Finished && c.Attempt == r.Attempt:
		return Result{Claim: &ClaimAnswer{Granted: true}}
	case !c.Finished:
		return refuse(fault.ClaimOpen, fault.MayHaveRun, "another attempt holds the claim")
	case !c.Kept:
		return refuse(fault.AnswerNotKept, fault.MayHaveRun, "the request ran once, its answer was not kept")
	}
	return Result{Claim: &ClaimAnswer{Answer: c.Answer}}
}

func (t *claimTable) insert(id claimID, keyTime int64, c *claim) {
	t.byID[id] = c
	minute := keyTime / minuteMillis
	if t.byMinute[minute] == nil {
		t.byMinute[minute] = map[claimID]struct{}{}
	}
	t.byMinute[minute][id] = struct{}{}
	usage := t.usage[id.Account]
	usage.claims++
	usage.keptBytes += len(c.Answer)
	t.usage[id.Account] = usage
	t.keptBytes += len(c.Answer)
}

func (t *claimTable) remove(id claimID, minute int64) {
	c := t.byID[id]
	delete(t.byID, id)
	delete(t.byMinute[minute], id)
	if len(t.byMinute[minute]) == 0 {
		delete(t.byMinute, minute)
	}
	usage := t.usage[id.Account]
	usage.claims--
	usage.keptBytes -= len(c.Answer)
	t.keptBytes -= len(c.Answer)
	if usage.claims == 0 {
		delete(t.usage, id.Account)
	} else {
		t.usage[id.Account] = usage
	}
}

func (t *claimTable) finish(r *ClaimFinish) Result {
	key, _, err := ParseKey(r.Key)
	if err != nil {
		return errorResult(err)
	}
	id := claimID{r.Account, key}
	c := t.byID[id]
	if c == nil || c.Attempt != r.Attempt {
		return refuse(fault.NotFound, "", "the attempt does not hold the claim")
	}
	if c.Finished {
		return Result{}
	}
	c.Finished = true
	usage, n := t.usage[id.Account], len(r.Answer)
	if r.TooLarge || n > MaxClaimAnswerBytes || t.keptBytes+n > MaxClaimAnswersBytes || usage.keptBytes+n > MaxClaimAnswersBytesPerAccount {
		return Result{}
	}
	c.Kept, c.Answer = true, r.Answer
	usage.keptBytes += n
	t.usage[id.Account] = usage
	t.keptBytes += n
	return Result{}
}

func (t *claimTable) release(r *ClaimRelease) Result {
	key, keyTime, err := ParseKey(r.Key)
	if err != nil {
		return errorResult(err)
	}
	if r.Attempt == "" || len(r.Attempt) > maxIDBytes {
		return refuse(fault.BadRequest, "", "the attempt has 1 to 64 bytes")
	}
	id := claimID{r.Account, key}
	c := t.byID[id]
	if c != nil && c.Attempt == r.Attempt && c.Finished {
		return refuse(fault.AnswerNotKept, fault.MayHaveRun, "the claim is finished")
	}
	t.rememberReleased(r.Attempt)
	if c != nil && c.Attempt == r.Attempt {
		t.remove(id, keyTime/minuteMillis)
	}
	return Result{}
}

func (t *claimTable) rememberReleased(attempt string) {
	if _, exists := t.released[attempt]; exists {
		return
	}
	if len(t.releasedOrder) >= MaxReleasedAttempts {
		delete(t.released, t.releasedOrder[0])
		t.releasedOrder = t.releasedOrder[1:]
	}
	t.released[attempt] = struct{}{}
	t.releasedOrder = append(t.releasedOrder, attempt)
}

// expire raises minKeyTime and drops the claims of the minutes that lie entirely below it.
func (t *claimTable) expire(minKeyTime int64) {
	if minKeyTime <= t.minKeyTime {
		return
	}
	oldMinute := t.minKeyTime / minuteMillis
	t.minKeyTime = minKeyTime
	if minKeyTime/minuteMillis == oldMinute {
		return
	}
	for minute, ids := range t.byMinute {
		if (minute+1)*minuteMillis <= minKeyTime {
			for id := range ids {
				t.remove(id, minute)
			}
		}
	}
}
