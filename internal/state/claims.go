package state

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// claimID names a claim.
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

// accountUse is what one account takes of the bounds.
type accountUse struct{ claims, kept int }

// claimTable holds the claims within the retention period.
//
// A key is refused when its own time lies below floor, and its record is dropped only
// then. The floor never falls, so a key whose record is gone can never run again, also
// when the retention period grows later.
type claimTable struct {
	floor int64
	byID  map[claimID]*claim
	use   map[string]accountUse
	kept  int
	// buckets groups the claims by the minute of their key's time.
	buckets map[int64]map[claimID]struct{}

	// released remembers attempts that gave up, so that a claim that arrives after its
	// own release has no effect.
	released      map[string]struct{}
	releasedOrder []string
}

func newClaimTable() claimTable {
	return claimTable{
		byID:     map[claimID]*claim{},
		use:      map[string]accountUse{},
		buckets:  map[int64]map[claimID]struct{}{},
		released: map[string]struct{}{},
	}
}

// bucketLength is the granularity of expiry in milliseconds.
const bucketLength = int64(time.Minute / time.Millisecond)

// KeyTime returns the Unix milliseconds of an idempotency key.
// It returns KeyInvalid for a key that is not a UUID version 7.
func KeyTime(key string) (uuid.UUID, int64, error) {
	u, err := uuid.Parse(key)
	if err != nil || len(key) != 36 || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return u, 0, fault.New(fault.KeyInvalid, fault.NotRun, "the idempotency key is not a UUID version 7")
	}
	return u, int64(binary.BigEndian.Uint64(u[:8]) >> 16), nil
}

func (t *claimTable) open(now int64, r *ClaimRequest) Result {
	key, at, err := KeyTime(r.Key)
	if err != nil {
		return failed(err)
	}
	if r.Account == "" || len(r.Account) > maxIDLength || r.Attempt == "" || len(r.Attempt) > maxIDLength {
		return refuse(fault.BadRequest, fault.NotRun, "account and attempt have 1 to 64 bytes")
	}
	if at < t.floor {
		return refuse(fault.KeyExpired, fault.NotRun, "the idempotency key is older than the retention period")
	}
	if at > now+MaxKeyAhead.Milliseconds() {
		return refuse(fault.KeyExpired, fault.NotRun, "the idempotency key lies more than 5 minutes in the future")
	}
	if _, gone := t.released[r.Attempt]; gone {
		return refuse(fault.ClaimUnavailable, fault.NotRun, "the attempt was released")
	}
	id := claimID{r.Account, key}
	if known := t.byID[id]; known != nil {
		return known.answer(r)
	}
	use := t.use[r.Account]
	if len(t.byID) >= MaxClaims || use.claims >= MaxClaimsPerAccount {
		return refuse(fault.ClaimUnavailable, fault.NotRun, "too many claims are within the retention period")
	}
	t.insert(id, at, &claim{Body: r.Body, Attempt: r.Attempt})
	return Result{Claim: &ClaimAnswer{Granted: true}}
}

// answer says what a request for an existing claim gets.
func (c *claim) answer(r *ClaimRequest) Result {
	switch {
	case c.Body != r.Body:
		return refuse(fault.KeyReused, fault.NotRun, "the idempotency key was used for another body")
	case !c.Finished && c.Attempt == r.Attempt:
		return Result{Claim: &ClaimAnswer{Granted: true}}
	case !c.Finished:
		return refuse(fault.ClaimOpen, fault.MayHaveRun, "another attempt holds the claim")
	case !c.Kept:
		return refuse(fault.AnswerNotKept, fault.MayHaveRun, "the request ran once, its answer was not kept")
	}
	return Result{Claim: &ClaimAnswer{Answer: c.Answer}}
}

func (t *claimTable) insert(id claimID, at int64, c *claim) {
	t.byID[id] = c
	b := at / bucketLength
	if t.buckets[b] == nil {
		t.buckets[b] = map[claimID]struct{}{}
	}
	t.buckets[b][id] = struct{}{}
	use := t.use[id.Account]
	use.claims++
	use.kept += len(c.Answer)
	t.use[id.Account] = use
	t.kept += len(c.Answer)
}

func (t *claimTable) remove(id claimID, bucket int64) {
	c := t.byID[id]
	delete(t.byID, id)
	delete(t.buckets[bucket], id)
	if len(t.buckets[bucket]) == 0 {
		delete(t.buckets, bucket)
	}
	use := t.use[id.Account]
	use.claims--
	use.kept -= len(c.Answer)
	t.kept -= len(c.Answer)
	if use.claims == 0 {
		delete(t.use, id.Account)
	} else {
		t.use[id.Account] = use
	}
}

func (t *claimTable) finish(r *ClaimFinish) Result {
	key, _, err := KeyTime(r.Key)
	if err != nil {
		return failed(err)
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
	use, n := t.use[id.Account], len(r.Answer)
	if r.TooLarge || n > MaxAnswerBytes || t.kept+n > MaxKeptBytes || use.kept+n > MaxKeptBytesPerAccount {
		return Result{}
	}
	c.Kept, c.Answer = true, r.Answer
	use.kept += n
	t.use[id.Account] = use
	t.kept += n
	return Result{}
}

func (t *claimTable) release(r *ClaimRelease) Result {
	key, at, err := KeyTime(r.Key)
	if err != nil {
		return failed(err)
	}
	if r.Attempt == "" || len(r.Attempt) > maxIDLength {
		return refuse(fault.BadRequest, "", "the attempt has 1 to 64 bytes")
	}
	id := claimID{r.Account, key}
	c := t.byID[id]
	if c != nil && c.Attempt == r.Attempt && c.Finished {
		return refuse(fault.AnswerNotKept, fault.MayHaveRun, "the claim is finished")
	}
	t.remember(r.Attempt)
	if c != nil && c.Attempt == r.Attempt {
		t.remove(id, at/bucketLength)
	}
	return Result{}
}

func (t *claimTable) remember(attempt string) {
	if _, known := t.released[attempt]; known {
		return
	}
	if len(t.releasedOrder) >= MaxReleased {
		delete(t.released, t.releasedOrder[0])
		t.releasedOrder = t.releasedOrder[1:]
	}
	t.released[attempt] = struct{}{}
	t.releasedOrder = append(t.releasedOrder, attempt)
}

// expire raises the floor and drops the buckets that lie below it as a whole.
func (t *claimTable) expire(floor int64) {
	if floor <= t.floor {
		return
	}
	before := t.floor / bucketLength
	t.floor = floor
	if floor/bucketLength == before {
		return
	}
	for b, ids := range t.buckets {
		if (b+1)*bucketLength <= floor {
			for id := range ids {
				t.remove(id, b)
			}
		}
	}
}
