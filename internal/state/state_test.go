package state

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

const startMillis = int64(1_800_000_000_000)

type fixture struct {
	state *State
	index uint64
	now   int64
}

func newFixture() *fixture { return &fixture{state: New("f"), now: startMillis} }

func mustEncode(c Command) []byte {
	b, err := c.Encode()
	if err != nil {
		panic(err)
	}
	return b
}

func mustEncodeBatch(now int64, cs ...Command) []byte {
	b := Batch{Time: now}
	for _, c := range cs {
		b.Commands = append(b.Commands, mustEncode(c))
	}
	out, err := b.Encode()
	if err != nil {
		panic(err)
	}
	return out
}

func (f *fixture) apply(c Command) Result {
	f.index++
	return f.state.ApplyBatch(f.index, mustEncodeBatch(f.now, c))[0]
}

func (f *fixture) setup() {
	r := f.apply(Command{Config: &ConfigChange{RequestID: "setup", Operator: "op", Changes: []config.Change{
		{DataCentre: &config.DataCentre{Name: "dc"}},
		{Pool: &config.Pool{Name: "p", Kind: config.KindModel, MaxCost: 9, DefaultCost: 1,
			Profile: config.Profile{ColdConcurrency: 1, MaxConcurrency: 2, WarmAfter: 1}}},
		{Upstream: &config.Upstream{Name: "u", Pool: "p", DataCentre: "dc", Address: "127.0.0.1:1"}},
	}}})
	if err := r.Err(); err != nil {
		panic(err)
	}
}

// keyAt returns a UUID version 7 with the given time.
func keyAt(at int64, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", at>>16, at&0xffff, n)
}

func changeDataCentre(id string, rev uint64, out bool) Command {
	return Command{Config: &ConfigChange{RequestID: id, Operator: "op",
		Changes: []config.Change{{DataCentre: &config.DataCentre{Name: "dc", Out: out}, IfRevision: rev}}}}
}

// A resent change is not applied again and gets the first answer. A request id that was
// used for another request is refused.
func TestResendReturnsFirstAnswer(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.setup()
	first := f.apply(changeDataCentre("a", 1, true))
	rejected := f.apply(changeDataCentre("b", 1, false))
	c.Assert(first.Revision, qt.Equals, uint64(2))
	c.Assert(rejected.Code, qt.Equals, fault.RevisionConflict)
	c.Assert(rejected.Revision, qt.Equals, uint64(2))
	c.Assert(f.apply(changeDataCentre("a", 1, true)), qt.DeepEquals, first)
	c.Assert(f.apply(changeDataCentre("b", 1, false)), qt.DeepEquals, rejected)
	c.Assert(f.state.Config().Revision, qt.Equals, uint64(2))
	c.Assert(f.apply(changeDataCentre("a", 2, false)).Code, qt.Equals, fault.BadRequest)
	for i := range MaxOperatorAnswers {
		f.apply(changeDataCentre(fmt.Sprint("fill-", i), 1, true))
	}
	c.Assert(len(f.state.answers), qt.Equals, MaxOperatorAnswers)
	c.Assert(f.apply(changeDataCentre("a", 1, true)).Code, qt.Equals, fault.RevisionConflict)
}

// A non-idempotent request must not run twice: only one attempt at a time holds the claim
// of its key.
func TestClaims(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	openClaim := func(key, attempt string, body byte) Result {
		return f.apply(Command{Claim: &ClaimRequest{Account: "a", Key: key, Body: wire.Digest{body}, Attempt: attempt}})
	}
	finishClaim := func(key, attempt string, answer []byte) Result {
		return f.apply(Command{Finish: &ClaimFinish{Account: "a", Key: key, Attempt: attempt, Answer: answer}})
	}
	releaseClaim := func(key, attempt string) Result {
		return f.apply(Command{Unclaim: &ClaimRelease{Account: "a", Key: key, Attempt: attempt}})
	}
	key := keyAt(startMillis, 1)
	c.Assert(openClaim(key, "t1", 1).Claim.Granted, qt.IsTrue)
	c.Assert(openClaim(key, "t1", 1).Claim.Granted, qt.IsTrue)
	second := openClaim(key, "t2", 1)
	c.Assert(second.Code, qt.Equals, fault.ClaimOpen)
	c.Assert(second.Run, qt.Equals, fault.MayHaveRun)
	c.Assert(openClaim(key, "t3", 2).Code, qt.Equals, fault.IdempotencyKeyReused)
	c.Assert(finishClaim(key, "t2", nil).Code, qt.Equals, fault.NotFound)
	c.Assert(finishClaim(key, "t1", []byte("done")).Err(), qt.IsNil)
	replay := openClaim(key, "t4", 1)
	c.Assert(replay.Claim.Granted, qt.IsFalse)
	c.Assert(string(replay.Claim.Answer), qt.Equals, "done")
	c.Assert(releaseClaim(key, "t1").Code, qt.Equals, fault.AnswerNotKept)

	// An answer above the limit is not kept, and the claim still prevents a second run.
	largeKey := keyAt(startMillis, 2)
	openClaim(largeKey, "t5", 1)
	c.Assert(finishClaim(largeKey, "t5", make([]byte, MaxClaimAnswerBytes+1)).Err(), qt.IsNil)
	c.Assert(openClaim(largeKey, "t6", 1).Code, qt.Equals, fault.AnswerNotKept)

	// A released key may run again, but never under the released attempt.
	releasedKey := keyAt(startMillis, 3)
	openClaim(releasedKey, "t7", 1)
	c.Assert(releaseClaim(releasedKey, "t7").Err(), qt.IsNil)
	c.Assert(openClaim(releasedKey, "t7", 1).Code, qt.Equals, fault.ClaimUnavailable)
	c.Assert(openClaim(releasedKey, "t8", 1).Claim.Granted, qt.IsTrue)

	// A claim that arrives after its own release fails.
	lateKey := keyAt(startMillis, 4)
	c.Assert(releaseClaim(lateKey, "t9").Err(), qt.IsNil)
	c.Assert(openClaim(lateKey, "t9", 1).Code, qt.Equals, fault.ClaimUnavailable)

	c.Assert(openClaim("6ba7b810-9dad-11d1-80b4-00c04fd430c8", "t10", 1).Code, qt.Equals, fault.IdempotencyKeyInvalid)
	c.Assert(openClaim(keyAt(startMillis+6*60_000, 5), "t10", 1).Code, qt.Equals, fault.IdempotencyKeyExpired)
}

// A key must not run again after its record expired, even when the clock of a new leader is
// behind or the retention period is extended.
func TestExpiredKeyNeverRunsAgain(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	futureKey := keyAt(startMillis+4*60_000, 1)
	openClaim := func(attempt string) Result {
		return f.apply(Command{Claim: &ClaimRequest{Account: "a", Key: futureKey, Attempt: attempt}})
	}
	c.Assert(openClaim("t1").Claim.Granted, qt.IsTrue)
	f.now = startMillis + 24*3_600_000 + 60_000
	c.Assert(openClaim("t2").Code, qt.Equals, fault.ClaimOpen)
	f.now += 5 * 60_000
	c.Assert(openClaim("t3").Code, qt.Equals, fault.IdempotencyKeyExpired)
	n, _ := f.state.ClaimUsage()
	c.Assert(n, qt.Equals, 0)
	f.now = startMillis
	c.Assert(openClaim("t4").Code, qt.Equals, fault.IdempotencyKeyExpired)
	// The state's time has not gone back, so the clock of the old leader still counts.
	freshKey := keyAt(startMillis+24*3_600_000+6*60_000, 2)
	c.Assert(f.apply(Command{Claim: &ClaimRequest{Account: "a", Key: freshKey, Attempt: "t6"}}).Err(), qt.IsNil)
	p := config.DefaultPolicy
	p.ClaimRetention = 7 * 24 * time.Hour
	r := f.apply(Command{Config: &ConfigChange{RequestID: "x", Operator: "op", Changes: []config.Change{{Policy: &p}}}})
	c.Assert(r.Err(), qt.IsNil)
	c.Assert(openClaim("t5").Code, qt.Equals, fault.IdempotencyKeyExpired)
}

// One account must not use up all the space for claims and answers.
func TestClaimBounds(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	claim := func(account string, n int) Result {
		return f.apply(Command{Claim: &ClaimRequest{Account: account, Key: keyAt(startMillis, n), Attempt: fmt.Sprint(account, n)}})
	}
	f.state.claims.usage["a"] = accountUsage{claims: MaxClaimsPerAccount}
	c.Assert(claim("a", 1).Code, qt.Equals, fault.ClaimUnavailable)
	c.Assert(claim("a", 1).Run, qt.Equals, fault.NotRun)
	c.Assert(claim("b", 1).Err(), qt.IsNil)
	f.state.claims.usage["b"] = accountUsage{claims: 1, keptBytes: MaxClaimAnswersBytesPerAccount}
	c.Assert(f.apply(Command{Finish: &ClaimFinish{Account: "b", Key: keyAt(startMillis, 1), Attempt: "b1", Answer: []byte("x")}}).Err(), qt.IsNil)
	c.Assert(f.apply(Command{Claim: &ClaimRequest{Account: "b", Key: keyAt(startMillis, 1), Attempt: "b2"}}).Code, qt.Equals, fault.AnswerNotKept)
}

// No two leases of a pool have the same fence, and a late acquisition does not replace a
// newer lease.
func TestLeases(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.setup()
	acquire := func(host string, previous uint64) Command {
		return Command{Acquire: &LeaseAcquire{Pool: "p", Host: host, Boot: 1, Previous: previous}}
	}
	c.Assert(f.apply(acquire("h1", 0)).Err(), qt.IsNil)
	l := f.state.Lease("p")
	c.Assert(l.Fence, qt.Equals, f.index)
	c.Assert(f.apply(acquire("h2", 0)).Code, qt.Equals, fault.StaleFence)
	f.index++
	rs := f.state.ApplyBatch(f.index, mustEncodeBatch(f.now, Command{Release: &LeaseRelease{l}}, acquire("h2", l.Fence),
		Command{Release: &LeaseRelease{wire.Lease{Pool: "p", Host: "h2", Boot: 1, Fence: f.index}}}, acquire("h3", f.index)))
	c.Assert(rs[1].Err(), qt.IsNil)
	c.Assert(rs[2].Err(), qt.IsNil)
	c.Assert(rs[3].Code, qt.Equals, fault.StaleFence)
	c.Assert(f.apply(acquire("h3", f.state.Lease("p").Fence)).Err(), qt.IsNil)
}

// An order has the log index as its fencing number and keeps its result.
func TestOrders(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.setup()
	issue := Command{Order: &OrderIssue{RequestID: "o", Order: Order{Upstream: "u", Kind: OrderLoadModel, Name: "m"}}}
	r := f.apply(issue)
	c.Assert(*r.Order, qt.Equals, OrderResult{Fence: f.index, Status: OrderPending})
	c.Assert(f.state.Orders(), qt.HasLen, 1)
	done := OrderResult{Fence: r.Order.Fence, Status: OrderAccepted}
	c.Assert(f.apply(Command{OrderDone: &OrderDone{Fence: done.Fence, Status: OrderAccepted}}).Err(), qt.IsNil)
	c.Assert(*f.apply(issue).Order, qt.Equals, done)
	c.Assert(f.state.Orders(), qt.HasLen, 0)
	issue.Order.RequestID, issue.Order.Order.Upstream = "o2", "none"
	c.Assert(f.apply(issue).Code, qt.Equals, fault.NotFound)
}

// Replicas must not diverge, and a snapshot must hold the whole state: a restored replica
// has to return the same results from then on.
func TestDeterminismAndRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New("f"), New("f")
		now, index := startMillis, uint64(0)
		step := func(label string) {
			index++
			now += rapid.Int64Range(-1000, 3_000_000).Draw(t, label)
			n := rapid.IntRange(0, 5).Draw(t, "n")
			upstream := fmt.Sprint("u", n)
			account, key, attempt := fmt.Sprint("a", n%2), keyAt(startMillis+int64(n)*600_000, n), fmt.Sprint("t", rapid.IntRange(0, 9).Draw(t, "t"))
			rev := uint64(rapid.IntRange(0, 4).Draw(t, "rev"))
			cmds := []Command{
				changeDataCentre(fmt.Sprint("r", rev), rev, n > 2),
				{Config: &ConfigChange{RequestID: attempt, Operator: "o", Changes: []config.Change{{Pool: &config.Pool{Name: "p",
					Kind: config.KindModel, MaxCost: 9, DefaultCost: 1, Profile: config.Profile{ColdConcurrency: 1, MaxConcurrency: 2, WarmAfter: 1}}},
					{Upstream: &config.Upstream{Name: upstream, Pool: "p", DataCentre: "dc", Address: fmt.Sprint("127.0.0.1:", 1+n)}}}}},
				{Acquire: &LeaseAcquire{Pool: "p", Host: "h", Boot: 1, Previous: a.Lease("p").Fence}},
				{Release: &LeaseRelease{a.Lease("p")}},
				{Claim: &ClaimRequest{Account: account, Key: key, Attempt: attempt}},
				{Finish: &ClaimFinish{Account: account, Key: key, Attempt: attempt, Answer: []byte(attempt)}},
				{Unclaim: &ClaimRelease{Account: account, Key: key, Attempt: attempt}},
				{Mark: &CrashMark{Pool: "p", Upstream: upstream}},
				{CrashMarks: &CrashMarkChange{Added: []CrashMark{{Pool: "p", Upstream: upstream}, {Pool: "p", Fingerprint: wire.Digest{byte(n)}, Upstream: "u1"}}}},
				{CrashMarks: &CrashMarkChange{Disproved: []CrashMark{{Upstream: upstream}}}},
				{Order: &OrderIssue{RequestID: attempt, Order: Order{Upstream: upstream, Kind: OrderDrain}}},
				{OrderDone: &OrderDone{Fence: index - rev, Status: OrderFailed}},
			}
			first := cmds[rapid.IntRange(0, len(cmds)-1).Draw(t, "first")]
			second := cmds[rapid.IntRange(0, len(cmds)-1).Draw(t, "second")]
			data := mustEncodeBatch(now, first, second)
			ra, rb := a.ApplyBatch(index, data), b.ApplyBatch(index, data)
			if fmt.Sprintf("%+v", mustEncodeResults(ra)) != fmt.Sprintf("%+v", mustEncodeResults(rb)) {
				t.Fatalf("results differ: %+v and %+v", ra, rb)
			}
		}
		compare := func() {
			sa, errA := a.Snapshot()
			sb, errB := b.Snapshot()
			if errA != nil || errB != nil || !bytes.Equal(sa, sb) {
				t.Fatalf("snapshots differ (%v, %v)", errA, errB)
			}
			b = New("other")
			if err := b.Restore(sa); err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step("advance")
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				compare()
			}
		}
		compare()
		compare()
	})
}

func mustEncodeResults(rs []Result) []byte {
	b, err := wire.Marshal(rs)
	if err != nil {
		panic(err)
	}
	return b
}

// The bootstrap credential ends when operators are configured, even through a host that has
// not received the configuration yet. A resend of the change that added them still gets its
// answer.
func TestBootstrapOperatorEnds(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	first := Command{Config: &ConfigChange{RequestID: "a", Operator: config.BootstrapOperator, Changes: []config.Change{
		{Operator: &config.Operator{Name: "op", KeyHashes: []string{strings.Repeat("0", 64)}}}}}}
	r := f.apply(first)
	c.Assert(r.Err(), qt.IsNil)
	c.Assert(f.apply(first), qt.DeepEquals, r)
	late := Command{Config: &ConfigChange{RequestID: "b", Operator: config.BootstrapOperator, Changes: []config.Change{
		{DataCentre: &config.DataCentre{Name: "x"}}}}}
	c.Assert(f.apply(late).Code, qt.Equals, fault.Forbidden)
	order := Command{Order: &OrderIssue{RequestID: "c", Order: Order{Upstream: "u", Kind: OrderDrain, Operator: config.BootstrapOperator}}}
	c.Assert(f.apply(order).Code, qt.Equals, fault.Forbidden)
}

// Damaged input causes neither a panic nor a partially restored state.
func TestDamagedInputLeavesStateUnchanged(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.setup()
	c.Assert(f.state.Apply(99, []byte{0xc1}).Code, qt.Equals, fault.BadRequest)
	before, err := f.state.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(fault.CodeOf(f.state.Restore(before[:len(before)/2])), qt.Equals, fault.StorageCorrupt)
	after, err := f.state.Snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(before, after), qt.IsTrue)
}

// A delta skips no change; without all changes there is no delta.
func TestDeltaSkipsNoChange(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.setup()
	for rev := uint64(1); rev < maxRecentChanges*2; rev++ {
		c.Assert(f.apply(changeDataCentre(fmt.Sprint(rev), rev, rev%2 == 0)).Err(), qt.IsNil)
	}
	last := f.state.Config().Revision
	_, ok := f.state.Delta(1)
	c.Assert(ok, qt.IsFalse)
	d, ok := f.state.Delta(last - 3)
	c.Assert(ok, qt.IsTrue)
	c.Assert(d.Changes, qt.HasLen, 3)
	c.Assert(d.Changes[0].Revision, qt.Equals, last-2)
}

func BenchmarkClaim(b *testing.B) {
	f := newFixture()
	for i := 0; b.Loop(); i++ {
		k := keyAt(startMillis, i)
		f.apply(Command{Claim: &ClaimRequest{Account: fmt.Sprint("a", i%1000), Key: k, Attempt: k}})
		f.apply(Command{Unclaim: &ClaimRelease{Account: fmt.Sprint("a", i%1000), Key: k, Attempt: k}})
	}
}

// IsOrder must find every order. A new field of Command could make it miss them, and two
// orders would then share a log index.
func TestIsOrder(t *testing.T) {
	c := qt.New(t)
	c.Assert(IsOrder(mustEncode(Command{Order: &OrderIssue{RequestID: "o"}})), qt.IsTrue)
	for _, cmd := range []Command{{}, {Config: &ConfigChange{}}, {Acquire: &LeaseAcquire{}}, {Release: &LeaseRelease{}}, {Claim: &ClaimRequest{}},
		{Finish: &ClaimFinish{}}, {Unclaim: &ClaimRelease{}}, {Mark: &CrashMark{}}, {OrderDone: &OrderDone{}}} {
		c.Assert(IsOrder(mustEncode(cmd)), qt.IsFalse)
	}
}

// BenchmarkSnapshot encodes a state of the target scale with 100,000 claims, a tenth of
// them with an answer of 1 KiB.
func BenchmarkSnapshot(b *testing.B) {
	f := newFixture()
	f.setup()
	chs := make([]config.Change, 6800)
	for i := range chs {
		chs[i] = config.Change{Contract: &config.Contract{Account: fmt.Sprint("a", i), KeyHashes: []string{fmt.Sprintf("%064x", i)}, Weight: 1,
			RequestsPerSecond: 1, Burst: 1, Concurrency: 1, MaxBodyBytes: 1, MaxRun: time.Second, MaxWait: time.Second, Pools: []string{"p"}}}
	}
	f.apply(Command{Config: &ConfigChange{RequestID: "many", Operator: "op", Changes: chs}})
	for i := range 100_000 {
		account, k := fmt.Sprint("a", i%6800), keyAt(startMillis, i)
		f.apply(Command{Claim: &ClaimRequest{Account: account, Key: k, Attempt: k}})
		if i%10 == 0 {
			f.apply(Command{Finish: &ClaimFinish{Account: account, Key: k, Attempt: k, Answer: make([]byte, 1024)}})
		}
	}
	for b.Loop() {
		data, err := f.state.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(data)))
		b.ReportMetric(float64(len(data)), "bytes")
	}
}
