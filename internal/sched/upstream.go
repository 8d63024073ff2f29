package sched

import (
	"time"

	"marigoldshunt/internal/wire"
)

const (
	// reportMaxAge is the age from which a load report is ignored.
	reportMaxAge = 2 * time.Second
	// adaptInterval is the least time between two changes of a warm limit by load values
	// that came with replies. Without it, the many replies of one queued moment would
	// lower the limit to its floor.
	adaptInterval = 200 * time.Millisecond
	// slowFactor and slowAnswers define the latency rule of the cold start.
	slowFactor  = 4
	slowAnswers = 3
	// latencySamples is the number of answers before the moving mean is used.
	latencySamples = 8
	// latencyWeight is the share of the newest answer in the moving mean.
	latencyWeight = 1.0 / 8
	// maxBroken bounds the broken connections of one upstream that wait for a decision.
	maxBroken = 256
	// transit covers the way of a grant to the upstream and of a Finish back.
	transit = 100 * time.Millisecond
)

// broken is a connection that ended before the answer did and may mean a crash.
type broken struct {
	fp      *fingerprint
	at      time.Duration
	granted time.Duration
}

// upstream is the state of one upstream.
type upstream struct {
	name, dataCentre, address string
	// removed is true when the configuration no longer names the upstream.
	removed bool
	out     bool
	state   State
	suspect bool
	// suspectAt is when the last connection failed; a report sampled later clears it.
	suspectAt time.Duration
	// refusedAt is when a connection was last refused.
	refusedAt time.Duration

	limit     int
	successes int
	// epoch counts cold starts. A grant of an earlier epoch does not warm the upstream.
	epoch uint64

	instance, previous string
	reportAt           time.Duration
	adaptedAt          time.Duration

	// live counts grants of live routers, orphans those of lost routers, and other the
	// reported requests that no known grant explains.
	live, orphans, other int
	otherUntil           time.Duration
	// first is the latest of the items that run here.
	first  *item
	window liveWindow
	// grantedAt is the time of the first grant by this scheduler, if there was one.
	granted   bool
	grantedAt time.Duration
	inherited inherited

	latency     float64
	latencySeen int
	slow        int

	broken   []broken
	cache    prefixSet
	cacheSeq uint64
	cacheSet bool
}

func (u *upstream) occupied() int { return u.live + u.orphans + u.other }

// attach adds an item that runs here.
func (u *upstream) attach(it *item) {
	it.after = u.first
	if u.first != nil {
		u.first.before = it
	}
	u.first = it
}

// detach removes an item that ran here.
func (u *upstream) detach(it *item) {
	if it.before != nil {
		it.before.after = it.after
	} else {
		u.first = it.after
	}
	if it.after != nil {
		it.after.before = it.before
	}
	it.before, it.after = nil, nil
}

// runsSuspected reports whether a suspected fingerprint other than f runs here.
func (u *upstream) runsSuspected(f *fingerprint) bool {
	for it := u.first; it != nil; it = it.after {
		if it.fp != nil && it.fp != f && it.fp.suspected() {
			return true
		}
	}
	return false
}

func (u *upstream) usable() bool { return !u.out && !u.suspect }

func (u *upstream) free() bool { return u.usable() && u.occupied() < u.limit }

func (u *upstream) status() State {
	switch {
	case u.out:
		return StateOut
	case u.suspect:
		return StateSuspect
	}
	return u.state
}

func (p *Pool) coldLimit() int { return max(p.pool.Profile.ColdConcurrency, 1) }

func (p *Pool) maxLimit() int { return max(p.pool.Profile.MaxConcurrency, p.coldLimit()) }

// cool returns an upstream to cold start.
func (p *Pool) cool(u *upstream) {
	u.epoch++
	u.inherited.closed = true
	u.state = StateCold
	u.limit = p.coldLimit()
	u.successes = 0
	u.latency, u.latencySeen, u.slow = 0, 0, 0
}

// warm counts a success; every WarmAfter of them double the limit.
func (p *Pool) warm(u *upstream) {
	if u.state == StateWarm {
		return
	}
	u.successes++
	if u.successes < max(p.pool.Profile.WarmAfter, 1) {
		return
	}
	u.successes = 0
	u.state = StateWarming
	u.limit = min(u.limit*2, p.maxLimit())
	if u.limit == p.maxLimit() {
		u.state = StateWarm
	}
}

// observe applies the latency rule to the first-byte latency of an answer.
func (p *Pool) observe(u *upstream, firstByte time.Duration) {
	if firstByte <= 0 {
		return
	}
	x := firstByte.Seconds()
	if u.latencySeen >= latencySamples && x > slowFactor*u.latency {
		u.slow++
		if u.slow >= slowAnswers {
			p.cool(u)
		}
		return
	}
	u.slow = 0
	u.latencySeen++
	if u.latencySeen == 1 {
		u.latency = x
		return
	}
	u.latency += (x - u.latency) * latencyWeight
}

// adapt moves the limit of a warm upstream by the length of the engine's queue.
func (p *Pool) adapt(now time.Duration, u *upstream, queued int) {
	if u.state != StateWarm {
		return
	}
	switch {
	case queued > 0:
		u.limit = max(u.limit-max(u.limit/10, 1), p.coldLimit())
	case u.occupied() >= u.limit:
		u.limit = min(u.limit+1, p.maxLimit())
	}
	u.adaptedAt = now
}

// markSuspect stops new work until a load report answers.
func (u *upstream) markSuspect(now time.Duration) {
	u.suspect = true
	u.suspectAt = now
}

// noteInstance compares the instance identity of an answer with the known one. A
// change means a restart: cold start, empty cache, and a crash for every connection
// that broke before.
func (p *Pool) noteInstance(now time.Duration, u *upstream, instance string, eff *Effects) {
	if instance == "" || instance == u.instance || instance == u.previous {
		return
	}
	known := u.instance != ""
	u.previous, u.instance = u.instance, instance
	if !known {
		return
	}
	p.cool(u)
	u.cache.clear()
	u.cacheSet = false
	p.crashed(now, u, eff)
}

// crashed marks every fingerprint whose connection to the upstream broke.
func (p *Pool) crashed(now time.Duration, u *upstream, eff *Effects) {
	for i, b := range u.broken {
		u.broken[i] = broken{}
		b.fp.settle(u.name)
		p.mark(now, b.fp, u, b.granted, eff)
		p.unref(b.fp)
	}
	u.broken = u.broken[:0]
}

// clearBroken drops the broken connections from before the time: the same instance answers,
// so it did not crash.
func (p *Pool) clearBroken(u *upstream, before time.Duration) {
	kept := u.broken[:0]
	for _, b := range u.broken {
		if b.at > before {
			kept = append(kept, b)
			continue
		}
		b.fp.settle(u.name)
		p.unref(b.fp)
	}
	clear(u.broken[len(kept):])
	u.broken = kept
}

// broke records a connection that ended before the answer did.
func (p *Pool) broke(now time.Duration, it *item, eff *Effects) {
	u, fp := it.upstream, it.fp
	restarted := it.instance != "" && u.instance != it.instance
	refuses := u.suspect && u.refusedAt > it.granted
	switch {
	case fp == nil:
	case restarted || refuses:
		p.mark(now, fp, u, it.granted, eff)
	default:
		if len(u.broken) == maxBroken {
			oldest := u.broken[0].fp
			u.broken = append(u.broken[:0], u.broken[1:]...)
			oldest.settle(u.name)
			p.unref(oldest)
		}
		fp.suspectAt(u.name)
		fp.refs++
		u.broken = append(u.broken, broken{fp: fp, at: now, granted: it.granted})
	}
	if !restarted {
		u.markSuspect(now)
	}
}

// Report applies a load report. Reports older than 2 s or older than the last one are
// ignored. An answer without a report clears the suspicion, on the upstream and on the
// requests whose connections broke there, and changes neither slots nor limit.
func (p *Pool) Report(now time.Duration, r LoadReport) Effects {
	var eff Effects
	u := p.upstreams[r.Upstream]
	r.At = min(r.At, now)
	if u == nil || now-r.At > reportMaxAge || r.At < u.reportAt {
		return eff
	}
	u.reportAt = r.At
	p.noteInstance(now, u, r.Instance, &eff)
	if r.Instance != "" && r.Instance == u.instance {
		u.inherited.confirmed = true
		p.takeOver(now, u)
	}
	if u.suspect && r.At >= u.suspectAt {
		u.suspect = false
	}
	p.clearBroken(u, r.At)
	if r.Running >= 0 && r.Queued >= 0 {
		p.explain(now, u, r.Running+r.Queued, r.At)
		p.adapt(now, u, r.Queued)
	}
	p.wakeHeld()
	return eff
}

// explain compares the reported number of requests with the known grants around the
// time of the sample. What no grant explains occupies slots; what the report rules out
// is released, orphans last. The known number is taken as a range over that time, so a
// lagging report neither occupies nor frees a slot by its lag alone.
func (p *Pool) explain(now time.Duration, u *upstream, reported int, at time.Duration) {
	u.window.record(now, u.live)
	least, most := u.window.since(at - transit)
	extra := u.other + u.orphans
	if low := reported - most; low > extra {
		u.other += low - extra
		u.otherUntil = now + p.longestRun
		return
	}
	surplus := extra - max(reported-least, 0)
	if surplus <= 0 {
		return
	}
	n := min(surplus, u.other)
	u.other -= n
	if surplus > n {
		p.releaseOrphans(surplus-n, u)
	}
}

// record keeps the extremes of the number of known grants for the explanation of later
// reports. It is called when no more grants are possible, so that the moment between
// the end of one request and the start of the next does not count.
func (p *Pool) record(now time.Duration) {
	for _, u := range p.order {
		u.window.record(now, u.live)
	}
}

// liveWindow keeps the least and the most known grants per half second.
type liveWindow struct {
	least, most [windowBuckets]int
	bucket      int64
	live        int
}

const (
	windowStep    = 500 * time.Millisecond
	windowBuckets = 6
)

func (w *liveWindow) record(now time.Duration, live int) {
	b := int64(now / windowStep)
	if b-w.bucket > windowBuckets {
		w.bucket = b - windowBuckets
	}
	for w.bucket < b {
		w.bucket++
		i := w.bucket % windowBuckets
		w.least[i], w.most[i] = w.live, w.live
	}
	i := w.bucket % windowBuckets
	w.live = live
	w.least[i] = min(w.least[i], live)
	w.most[i] = max(w.most[i], live)
}

// since returns the extremes from the time on.
func (w *liveWindow) since(at time.Duration) (least, most int) {
	first := max(int64(max(at, 0)/windowStep), w.bucket-windowBuckets+1, 0)
	least, most = w.live, w.live
	for b := first; b <= w.bucket; b++ {
		least = min(least, w.least[b%windowBuckets])
		most = max(most, w.most[b%windowBuckets])
	}
	return least, most
}

// CacheEvent records prefixes that an upstream's cache gained and lost. A repeated or
// late event is ignored; after a gap in the sequence nothing known before is trusted.
func (p *Pool) CacheEvent(now time.Duration, upstream string, seq uint64, added, removed []wire.Digest) {
	u := p.upstreams[upstream]
	if u == nil || (u.cacheSet && seq <= u.cacheSeq) {
		return
	}
	if u.cacheSet && seq != u.cacheSeq+1 {
		u.cache.clear()
	}
	u.cacheSeq, u.cacheSet = seq, true
	for _, d := range removed {
		u.cache.remove(d)
	}
	for _, d := range added {
		u.cache.add(d)
	}
}
