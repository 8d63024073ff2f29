package sched

import (
	"time"

	"marigoldshunt/internal/wire"
)

const (
	// reportMaxAge is the age above which a load report is ignored.
	reportMaxAge = 2 * time.Second
	// adaptInterval is the minimum time between two changes of a warm upstream's limit by
	// queue lengths that came with replies. Without it, many replies during one short queue
	// would lower the limit to its minimum.
	adaptInterval = 200 * time.Millisecond
	// An upstream returns to cold start after slowAnswerLimit answers in a row with a
	// first-byte latency above slowFactor times the moving mean.
	slowFactor      = 4
	slowAnswerLimit = 3
	// minLatencySamples is the number of answers needed before the moving mean is used.
	minLatencySamples = 8
	// latencyWeight is the weight of the newest answer in the moving mean.
	latencyWeight = 1.0 / 8
	// maxBroken bounds the broken connections of one upstream whose cause is still unknown.
	maxBroken = 256
	// transitTime allows for the delay of a grant to the upstream and of a Finish back.
	transitTime = 100 * time.Millisecond
)

// brokenConnection is a connection that closed before the end of the answer, possibly
// because the upstream crashed.
type brokenConnection struct {
	fp        *fingerprint
	at        time.Duration
	grantedAt time.Duration
}

// upstream is the state of one upstream.
type upstream struct {
	name, dataCentre, address string
	// removed is true when the configuration no longer names the upstream.
	removed bool
	out     bool
	state   UpstreamState
	suspect bool
	// suspectAt is when the last connection failed. A report sampled no earlier clears
	// suspect.
	suspectAt time.Duration
	// unreachableAt is when an attempt last failed to connect.
	unreachableAt time.Duration

	limit     int
	successes int
	// epoch counts cold starts. A success of a grant from an earlier epoch does not raise
	// the limit.
	epoch uint64

	instance, previousInstance string
	reportAt                   time.Duration
	adaptedAt                  time.Duration

	// live counts grants of live routers, orphans those of lost routers, and unattributed
	// the reported requests without a known grant.
	live, orphans, unattributed int
	unattributedUntil           time.Duration
	// firstRunning is the head of the list of tickets that run here, newest first.
	firstRunning *ticketState
	liveWindow   liveCountWindow
	// hasGranted is true after the first grant by this scheduler, made at firstGrantAt.
	hasGranted   bool
	firstGrantAt time.Duration
	inherited    inheritedLimit

	meanLatency float64
	latencySeen int
	slowCount   int

	broken      []brokenConnection
	prefixes    prefixSet
	cacheSeq    uint64
	hasCacheSeq bool
}

func (u *upstream) occupied() int { return u.live + u.orphans + u.unattributed }

// attach adds a ticket that runs here.
func (u *upstream) attach(ts *ticketState) {
	ts.nextRunning = u.firstRunning
	if u.firstRunning != nil {
		u.firstRunning.prevRunning = ts
	}
	u.firstRunning = ts
}

// detach removes a ticket that ran here.
func (u *upstream) detach(ts *ticketState) {
	if ts.prevRunning != nil {
		ts.prevRunning.nextRunning = ts.nextRunning
	} else {
		u.firstRunning = ts.nextRunning
	}
	if ts.nextRunning != nil {
		ts.nextRunning.prevRunning = ts.prevRunning
	}
	ts.prevRunning, ts.nextRunning = nil, nil
}

// runsCrashCandidate reports whether a crash candidate other than f runs here.
func (u *upstream) runsCrashCandidate(f *fingerprint) bool {
	for ts := u.firstRunning; ts != nil; ts = ts.nextRunning {
		if ts.fp != nil && ts.fp != f && ts.fp.crashCandidate() {
			return true
		}
	}
	return false
}

func (u *upstream) usable() bool { return !u.out && !u.suspect }

func (u *upstream) hasFreeSlot() bool { return u.usable() && u.occupied() < u.limit }

func (u *upstream) status() UpstreamState {
	switch {
	case u.out:
		return UpstreamOut
	case u.suspect:
		return UpstreamSuspect
	}
	return u.state
}

func (p *Pool) coldLimit() int { return max(p.pool.Profile.ColdConcurrency, 1) }

func (p *Pool) maxLimit() int { return max(p.pool.Profile.MaxConcurrency, p.coldLimit()) }

// resetToCold returns an upstream to cold start.
func (p *Pool) resetToCold(u *upstream) {
	u.epoch++
	u.inherited.void = true
	u.state = UpstreamCold
	u.limit = p.coldLimit()
	u.successes = 0
	u.meanLatency, u.latencySeen, u.slowCount = 0, 0, 0
}

// countSuccess counts a success. Every WarmAfter successes double the limit.
func (p *Pool) countSuccess(u *upstream) {
	if u.state == UpstreamWarm {
		return
	}
	u.successes++
	if u.successes < max(p.pool.Profile.WarmAfter, 1) {
		return
	}
	u.successes = 0
	u.state = UpstreamWarming
	u.limit = min(u.limit*2, p.maxLimit())
	if u.limit == p.maxLimit() {
		u.state = UpstreamWarm
	}
}

// recordLatency adds the first-byte latency of an answer to the moving mean, or counts the
// answer as slow and returns the upstream to cold start at slowAnswerLimit.
func (p *Pool) recordLatency(u *upstream, firstByte time.Duration) {
	if firstByte <= 0 {
		return
	}
	seconds := firstByte.Seconds()
	if u.latencySeen >= minLatencySamples && seconds > slowFactor*u.meanLatency {
		u.slowCount++
		if u.slowCount >= slowAnswerLimit {
			p.resetToCold(u)
		}
		return
	}
	u.slowCount = 0
	u.latencySeen++
	if u.latencySeen == 1 {
		u.meanLatency = seconds
		return
	}
	u.meanLatency += (seconds - u.meanLatency) * latencyWeight
}

// adaptLimit adjusts the limit of a warm upstream to the length of the engine's queue.
func (p *Pool) adaptLimit(now time.Duration, u *upstream, queued int) {
	if u.state != UpstreamWarm {
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

// setSuspect stops new grants until a load report arrives.
func (u *upstream) setSuspect(now time.Duration) {
	u.suspect = true
	u.suspectAt = now
}

// updateInstance compares the instance identity in an answer or report with the known one.
// A change means that the upstream has restarted: it starts cold with an empty cache, and
// every connection that broke before counts as a crash.
func (p *Pool) updateInstance(now time.Duration, u *upstream, instance string, eff *Effects) {
	if instance == "" || instance == u.instance || instance == u.previousInstance {
		return
	}
	known := u.instance != ""
	u.previousInstance, u.instance = u.instance, instance
	if !known {
		return
	}
	p.resetToCold(u)
	u.prefixes.clear()
	u.hasCacheSeq = false
	p.confirmCrash(now, u, eff)
}

// confirmCrash sets a crash mark for every broken connection to the upstream.
func (p *Pool) confirmCrash(now time.Duration, u *upstream, eff *Effects) {
	for i, b := range u.broken {
		u.broken[i] = brokenConnection{}
		b.fp.removeBroken(u.name)
		p.recordCrash(now, b.fp, u, b.grantedAt, eff)
		p.unref(b.fp)
	}
	u.broken = u.broken[:0]
}

// clearBroken drops the connections that broke no later than the given time: the same
// instance answers, so it did not crash.
func (p *Pool) clearBroken(u *upstream, before time.Duration) {
	kept := u.broken[:0]
	for _, b := range u.broken {
		if b.at > before {
			kept = append(kept, b)
			continue
		}
		b.fp.removeBroken(u.name)
		p.unref(b.fp)
	}
	clear(u.broken[len(kept):])
	u.broken = kept
}

// recordBroken records a connection that closed before the end of the answer.
func (p *Pool) recordBroken(now time.Duration, ts *ticketState, eff *Effects) {
	u, fp := ts.upstream, ts.fp
	restarted := ts.instance != "" && u.instance != ts.instance
	unreachable := u.suspect && u.unreachableAt > ts.grantedAt
	switch {
	case fp == nil:
	case restarted || unreachable:
		p.recordCrash(now, fp, u, ts.grantedAt, eff)
	default:
		if len(u.broken) == maxBroken {
			oldest := u.broken[0].fp
			u.broken = append(u.broken[:0], u.broken[1:]...)
			oldest.removeBroken(u.name)
			p.unref(oldest)
		}
		fp.addBroken(u.name)
		fp.refs++
		u.broken = append(u.broken, brokenConnection{fp: fp, at: now, grantedAt: ts.grantedAt})
	}
	if !restarted {
		u.setSuspect(now)
	}
}

// ApplyLoadReport applies a load report. Reports older than 2 s or older than the last one
// are ignored. Every other report ends the suspect state unless a connection failed after
// r.SampledAt, and drops the broken connections up to r.SampledAt. Without Running and
// Queued the load changes neither slots nor limit.
func (p *Pool) ApplyLoadReport(now time.Duration, r LoadReport) Effects {
	var eff Effects
	u := p.upstreams[r.Upstream]
	r.SampledAt = min(r.SampledAt, now)
	if u == nil || now-r.SampledAt > reportMaxAge || r.SampledAt < u.reportAt {
		return eff
	}
	u.reportAt = r.SampledAt
	p.updateInstance(now, u, r.Instance, &eff)
	if r.Instance != "" && r.Instance == u.instance {
		u.inherited.confirmed = true
		p.applyInheritedLimit(now, u)
	}
	if u.suspect && r.SampledAt >= u.suspectAt {
		u.suspect = false
	}
	p.clearBroken(u, r.SampledAt)
	if r.Running >= 0 && r.Queued >= 0 {
		p.reconcile(now, u, r.Running+r.Queued, r.SampledAt)
		p.adaptLimit(now, u, r.Queued)
	}
	p.wakeParked()
	return eff
}

// reconcile compares the reported number of requests with the known grants around the time
// of the sample. Reported requests without a known grant occupy slots. Slots that the
// report shows to be free are freed, those of orphans last. The report is compared with the
// minimum and the maximum number of live grants since shortly before the sample, so the
// delay of a report alone neither occupies nor frees a slot.
func (p *Pool) reconcile(now time.Duration, u *upstream, reported int, at time.Duration) {
	u.liveWindow.record(now, u.live)
	least, most := u.liveWindow.since(at - transitTime)
	extra := u.unattributed + u.orphans
	if minReported := reported - most; minReported > extra {
		u.unattributed += minReported - extra
		u.unattributedUntil = now + p.longestRun
		return
	}
	surplus := extra - max(reported-least, 0)
	if surplus <= 0 {
		return
	}
	n := min(surplus, u.unattributed)
	u.unattributed -= n
	if surplus > n {
		p.releaseOrphans(surplus-n, u)
	}
	p.forgetIfUnused(u)
}

// recordLive records the number of live grants for the reconciliation of later reports. It
// is called when no more grants are possible, so that the moment between the end of one
// request and the start of the next does not count.
func (p *Pool) recordLive(now time.Duration) {
	for _, u := range p.sortedUpstreams {
		u.liveWindow.record(now, u.live)
	}
}

// liveCountWindow keeps the minimum and the maximum number of live grants per half second.
type liveCountWindow struct {
	least, most [windowBuckets]int
	bucket      int64
	live        int
}

const (
	windowBucketLength = 500 * time.Millisecond
	windowBuckets      = 6
)

func (w *liveCountWindow) record(now time.Duration, live int) {
	b := int64(now / windowBucketLength)
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

// since returns the minimum and the maximum since the given time.
func (w *liveCountWindow) since(at time.Duration) (least, most int) {
	first := max(int64(max(at, 0)/windowBucketLength), w.bucket-windowBuckets+1, 0)
	least, most = w.live, w.live
	for b := first; b <= w.bucket; b++ {
		least = min(least, w.least[b%windowBuckets])
		most = max(most, w.most[b%windowBuckets])
	}
	return least, most
}

// ApplyCacheEvent records prefixes that were added to and removed from an upstream's cache.
// A repeated or late event is ignored. A gap in the sequence discards all earlier
// knowledge.
func (p *Pool) ApplyCacheEvent(now time.Duration, upstream string, seq uint64, added, removed []wire.Digest) {
	u := p.upstreams[upstream]
	if u == nil || (u.hasCacheSeq && seq <= u.cacheSeq) {
		return
	}
	if u.hasCacheSeq && seq != u.cacheSeq+1 {
		u.prefixes.clear()
	}
	u.cacheSeq, u.hasCacheSeq = seq, true
	for _, d := range removed {
		u.prefixes.remove(d)
	}
	for _, d := range added {
		u.prefixes.add(d)
	}
}
