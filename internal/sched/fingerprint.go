package sched

import (
	"time"

	"marigoldshunt/internal/wire"
)

const (
	// CrashMarkDuration is how long a crash mark lasts.
	CrashMarkDuration = time.Hour
	// maxProven and maxMarked bound the fingerprints that are kept without a reference. The
	// lists are separate, so that many successes do not evict a crash mark.
	maxProven = 8192
	maxMarked = 4096
	// quarantineCrashMarks is the number of crash marks at which a fingerprint is
	// quarantined.
	quarantineCrashMarks = 2
)

// trialUpstream is one of the two upstreams that an unproven fingerprint may use.
type trialUpstream struct {
	upstream string
	running  int
	// pending counts broken connections whose cause, a crash or not, is still unknown.
	pending int
	marked  bool
	// markedAt is when the mark was set. The crash of a grant made no later than that is
	// the same crash and adds no mark.
	markedAt time.Duration
	// retained is true once a marked fingerprint ran here. The entry stays in use, so that
	// the fingerprint gets no third upstream.
	retained bool
}

// fingerprint is what the pool knows of one request body. It is proven after a success.
// An unproven fingerprint uses one of the two entries of trials for each upstream where it
// runs, where its connection broke or where it is marked, so it can reach at most two
// upstreams.
type fingerprint struct {
	digest wire.Digest
	trials [2]trialUpstream
	// generation changes when trials is cleared. Grants of an earlier generation hold no
	// entry.
	generation  uint32
	proven      bool
	markCount   int
	markedUntil time.Duration
	// unwritten counts the crash marks that are not known to be in the replicated log.
	unwritten int
	// refs counts tickets and broken connections that refer to the fingerprint.
	refs       int
	lru        *lruList
	prev, next *fingerprint
}

func (f *fingerprint) quarantined() bool { return f.markCount >= quarantineCrashMarks }

// refusable reports whether requests are refused. While marks are not written, requests wait:
// if the scheduler's host is lost, the next scheduler would let a refused request run when
// its caller sends it again.
func (f *fingerprint) refusable() bool { return f.quarantined() && f.unwritten == 0 }

// crashCandidate reports whether the fingerprint has a crash mark or a broken connection
// that may become one. The client may repeat the request before the cause is known.
func (f *fingerprint) crashCandidate() bool {
	return f.markCount > 0 || f.trials[0].pending > 0 || f.trials[1].pending > 0
}

func (f *fingerprint) trialAt(upstream string) *trialUpstream {
	for i := range f.trials {
		if f.trials[i].upstream == upstream {
			return &f.trials[i]
		}
	}
	return nil
}

func (f *fingerprint) clearTrials() {
	f.trials = [2]trialUpstream{}
	f.generation++
}

// expireCrashMarks removes the marks once they have expired.
func (f *fingerprint) expireCrashMarks(now time.Duration) {
	if f.markCount == 0 || now < f.markedUntil {
		return
	}
	f.markCount = 0
	for i := range f.trials {
		f.trials[i].marked, f.trials[i].retained = false, false
		f.freeIfUnused(&f.trials[i])
	}
}

// freeIfUnused frees an entry that nothing uses.
func (f *fingerprint) freeIfUnused(t *trialUpstream) {
	if t.running == 0 && t.pending == 0 && !t.marked && !t.retained {
		*t = trialUpstream{}
	}
}

// addBroken holds the upstream's entry until the cause of a broken connection is known.
func (f *fingerprint) addBroken(upstream string) {
	t := f.trialAt(upstream)
	if t == nil {
		t = f.trialAt("")
	}
	if t != nil {
		t.upstream = upstream
		t.pending++
	}
}

// removeBroken undoes one addBroken.
func (f *fingerprint) removeBroken(upstream string) {
	if t := f.trialAt(upstream); t != nil && t.pending > 0 {
		t.pending--
		f.freeIfUnused(t)
	}
}

// allows reports whether the fingerprint may run at the upstream. It may not run again before
// its earlier crash marks are written, so that the loss of a scheduler's host loses at most
// one. An upstream marked for the fingerprint gets the request again only when it is the
// pool's only one in service. A crash candidate does not run beside another one, since a crash
// caused by one would give the other its second mark.
func (p *Pool) allows(now time.Duration, f *fingerprint, u *upstream) bool {
	if f == nil {
		return true
	}
	f.expireCrashMarks(now)
	if f.quarantined() || f.unwritten > 0 || f.crashCandidate() && u.runsCrashCandidate(f) {
		return false
	}
	if f.proven {
		return true
	}
	if t := f.trialAt(u.name); t != nil {
		return !t.marked || p.inService == 1
	}
	return f.trialAt("") != nil
}

// startTrial takes an entry of an unproven fingerprint for a new grant.
func (p *Pool) startTrial(ts *ticketState, u *upstream) {
	f := ts.fp
	if f == nil || f.proven {
		return
	}
	t := f.trialAt(u.name)
	if t == nil {
		t = f.trialAt("")
	}
	if t == nil {
		return
	}
	t.upstream = u.name
	t.running++
	ts.trialGeneration = f.generation
}

// endTrial releases the entry that a grant uses.
func (p *Pool) endTrial(ts *ticketState, notRun bool) {
	f := ts.fp
	if f == nil || ts.trialGeneration == 0 || ts.trialGeneration != f.generation {
		return
	}
	ts.trialGeneration = 0
	t := f.trialAt(ts.upstream.name)
	if t == nil || t.running == 0 {
		return
	}
	t.running--
	t.retained = t.retained || (f.markCount > 0 && !notRun)
	f.freeIfUnused(t)
}

// recordSuccess marks the fingerprint as proven. It clears a single crash mark, since the
// request did not cause the crash.
func (p *Pool) recordSuccess(f *fingerprint) {
	if f == nil || f.quarantined() {
		return
	}
	f.proven = true
	f.markCount = 0
	f.clearTrials()
}

// recordCrash records that the fingerprint crashed the upstream. Two grants ended by the
// same crash give one mark. A quarantined fingerprint still gets marks for further
// upstreams, because the replicated state keeps one mark per upstream and a later scheduler
// must find two.
func (p *Pool) recordCrash(now time.Duration, f *fingerprint, u *upstream, grantedAt time.Duration, eff *Effects) {
	f.expireCrashMarks(now)
	t := f.trialAt(u.name)
	if t != nil && t.marked && (f.quarantined() || grantedAt <= t.markedAt) {
		return
	}
	f.unwritten++
	p.applyCrashMark(f, u.name, now, now+CrashMarkDuration)
	eff.Marks = append(eff.Marks, CrashMark{Fingerprint: f.digest, Upstream: u.name, Until: now + CrashMarkDuration})
}

func (p *Pool) applyCrashMark(f *fingerprint, name string, now, until time.Duration) {
	if f.proven {
		f.proven = false
		f.clearTrials()
	}
	t := f.trialAt(name)
	if t == nil {
		t = f.trialAt("")
	}
	for i := range f.trials {
		if t == nil && !f.trials[i].marked {
			t = &f.trials[i]
			*t = trialUpstream{}
		}
	}
	if t == nil {
		return
	}
	t.upstream, t.marked, t.markedAt = name, true, now
	for i := range f.trials {
		other := &f.trials[i]
		other.retained = other.retained || other.running > 0
	}
	f.markCount++
	f.markedUntil = max(f.markedUntil, until)
	if f.refusable() {
		p.refuseQuarantined(f, now)
	}
}

// RestoreMark sets a crash mark from the replicated state. A known mark is not changed.
func (p *Pool) RestoreMark(digest wire.Digest, upstream string, until time.Duration) {
	if digest == (wire.Digest{}) || upstream == "" {
		return
	}
	f := p.ref(digest)
	defer p.unref(f)
	if t := f.trialAt(upstream); f.quarantined() || (t != nil && t.marked) {
		return
	}
	p.applyCrashMark(f, upstream, until-CrashMarkDuration, until)
}

// AwaitMark tells that a restored crash mark of the fingerprint is still being written.
func (p *Pool) AwaitMark(digest wire.Digest) {
	if f := p.fingerprints[digest]; f != nil {
		f.unwritten++
	}
}

// MarkWritten tells that a crash mark of the fingerprint, from Effects or AwaitMark, was
// written or is given up. Next and Expire then grant or refuse the requests that waited.
func (p *Pool) MarkWritten(now time.Duration, digest wire.Digest) {
	f := p.fingerprints[digest]
	if f == nil || f.unwritten == 0 {
		return
	}
	if f.unwritten--; f.unwritten > 0 {
		return
	}
	f.expireCrashMarks(now)
	if f.quarantined() {
		p.refuseQuarantined(f, now)
	}
	p.wakeParked()
}

// refuseQuarantined refuses the waiting tickets of a quarantined fingerprint.
func (p *Pool) refuseQuarantined(f *fingerprint, now time.Duration) {
	for _, ts := range p.tickets {
		if ts.fp == f && ts.upstream == nil {
			p.refuse(ts, crashesUpstreams, f.markedUntil-now)
		}
	}
}

// ref returns the fingerprint of a digest, nil for the zero digest, and adds a reference.
func (p *Pool) ref(digest wire.Digest) *fingerprint {
	if digest == (wire.Digest{}) {
		return nil
	}
	f := p.fingerprints[digest]
	if f == nil {
		if f = p.freeFingerprints; f != nil {
			p.freeFingerprints = f.next
			*f = fingerprint{}
		} else {
			f = &fingerprint{}
		}
		f.digest, f.generation = digest, 1
		p.fingerprints[digest] = f
	}
	if f.lru != nil {
		f.lru.remove(f)
	}
	f.refs++
	return f
}

// unref drops a reference. Proven and marked fingerprints without a reference are kept up
// to a bound, others are removed.
func (p *Pool) unref(f *fingerprint) {
	if f == nil {
		return
	}
	f.refs--
	if f.refs > 0 {
		return
	}
	lru, limit := &p.provenLRU, maxProven
	switch {
	case f.markCount > 0:
		lru, limit = &p.markedLRU, maxMarked
	case !f.proven:
		p.forgetFingerprint(f)
		return
	}
	lru.add(f)
	if lru.size > limit {
		oldest := lru.first
		lru.remove(oldest)
		p.forgetFingerprint(oldest)
	}
}

func (p *Pool) forgetFingerprint(f *fingerprint) {
	delete(p.fingerprints, f.digest)
	f.next = p.freeFingerprints
	p.freeFingerprints = f
}

// lruList is a list of fingerprints without references, least recently used first.
type lruList struct {
	first, last *fingerprint
	size        int
}

func (l *lruList) add(f *fingerprint) {
	f.lru, f.prev, f.next = l, l.last, nil
	if l.last != nil {
		l.last.next = f
	} else {
		l.first = f
	}
	l.last = f
	l.size++
}

func (l *lruList) remove(f *fingerprint) {
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		l.first = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		l.last = f.prev
	}
	f.lru, f.prev, f.next = nil, nil, nil
	l.size--
}
