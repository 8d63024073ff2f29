package sched

import (
	"time"

	"marigoldshunt/internal/wire"
)

const (
	// MarkDuration is how long a crash mark lasts.
	MarkDuration = time.Hour
	// maxProven and maxMarked bound the fingerprints that are remembered without a ticket.
	// They are kept apart, so that many successes do not push out a crash mark.
	maxProven = 8192
	maxMarked = 4096
	// quarantineMarks is the number of crash marks that quarantine a fingerprint.
	quarantineMarks = 2
)

// place is one of the two upstreams that an unproven fingerprint may use.
type place struct {
	upstream string
	running  int
	// pending counts broken connections without a decision yet.
	pending int
	marked  bool
	// markedAt is when the mark was set; a crash of an earlier grant is the same crash.
	markedAt time.Duration
	// kept is true once a marked fingerprint ran here: it gets no third upstream.
	kept bool
}

// fingerprint is what is known of one request body. An unproven fingerprint holds one of
// two places per upstream on which it runs, broke or is marked, so it can reach at most
// two upstreams.
type fingerprint struct {
	digest wire.Digest
	places [2]place
	// generation changes when the places are cleared; grants of an earlier one hold none.
	generation uint32
	proven     bool
	crashes    int
	until      time.Duration
	// refs counts tickets and broken connections that refer to the entry.
	refs       int
	list       *fpList
	prev, next *fingerprint
}

func (f *fingerprint) quarantined() bool { return f.crashes >= quarantineMarks }

// suspected reports whether the fingerprint has a crash mark or a broken connection that
// may become one. Its caller repeats the request before the decision.
func (f *fingerprint) suspected() bool {
	return f.crashes > 0 || f.places[0].pending > 0 || f.places[1].pending > 0
}

func (f *fingerprint) find(upstream string) *place {
	for i := range f.places {
		if f.places[i].upstream == upstream {
			return &f.places[i]
		}
	}
	return nil
}

func (f *fingerprint) clearPlaces() {
	f.places = [2]place{}
	f.generation++
}

// lapse forgets marks whose time is over.
func (f *fingerprint) lapse(now time.Duration) {
	if f.crashes == 0 || now < f.until {
		return
	}
	f.crashes = 0
	for i := range f.places {
		f.places[i].marked, f.places[i].kept = false, false
		f.tidy(&f.places[i])
	}
}

// tidy frees a place that nothing holds.
func (f *fingerprint) tidy(s *place) {
	if s.running == 0 && s.pending == 0 && !s.marked && !s.kept {
		*s = place{}
	}
}

// suspectAt holds the upstream's place until the decision on a broken connection.
func (f *fingerprint) suspectAt(upstream string) {
	s := f.find(upstream)
	if s == nil {
		s = f.find("")
	}
	if s != nil {
		s.upstream = upstream
		s.pending++
	}
}

// settle ends one broken connection's hold.
func (f *fingerprint) settle(upstream string) {
	if s := f.find(upstream); s != nil && s.pending > 0 {
		s.pending--
		f.tidy(s)
	}
}

// allows reports whether the fingerprint's limits admit the upstream. A marked upstream
// gets the request again only when the pool has no other one in service. A suspected
// fingerprint does not run beside another one, since the crash of one would give the
// other request its second mark.
func (p *Pool) allows(now time.Duration, f *fingerprint, u *upstream) bool {
	if f == nil {
		return true
	}
	f.lapse(now)
	if f.quarantined() || f.suspected() && u.runsSuspected(f) {
		return false
	}
	if f.proven {
		return true
	}
	if s := f.find(u.name); s != nil {
		return !s.marked || p.inService == 1
	}
	return f.find("") != nil
}

// occupy takes a place for a new grant.
func (p *Pool) occupy(it *item, u *upstream) {
	f := it.fp
	if f == nil || f.proven {
		return
	}
	s := f.find(u.name)
	if s == nil {
		s = f.find("")
	}
	if s == nil {
		return
	}
	s.upstream = u.name
	s.running++
	it.fpGeneration = f.generation
}

// vacate ends a grant's hold on its place.
func (p *Pool) vacate(it *item, notRun bool) {
	f := it.fp
	if f == nil || it.fpGeneration == 0 || it.fpGeneration != f.generation {
		return
	}
	it.fpGeneration = 0
	s := f.find(it.upstream.name)
	if s == nil || s.running == 0 {
		return
	}
	s.running--
	s.kept = s.kept || (f.crashes > 0 && !notRun)
	f.tidy(s)
}

// prove records a success. It clears a single mark: the request is not what crashed the
// upstream.
func (p *Pool) prove(f *fingerprint) {
	if f == nil || f.quarantined() {
		return
	}
	f.proven = true
	f.crashes = 0
	f.clearPlaces()
}

// mark records that the fingerprint crashed the upstream. Two grants that one crash cut
// off give one mark. A quarantined fingerprint still gets marks for further upstreams,
// because the replicated state keeps one mark per upstream and a later scheduler must
// find two.
func (p *Pool) mark(now time.Duration, f *fingerprint, u *upstream, granted time.Duration, eff *Effects) {
	f.lapse(now)
	s := f.find(u.name)
	if s != nil && s.marked && (f.quarantined() || granted <= s.markedAt) {
		return
	}
	p.setMark(f, u.name, now, now+MarkDuration)
	eff.Marks = append(eff.Marks, CrashMark{Fingerprint: f.digest, Upstream: u.name, Until: now + MarkDuration})
}

func (p *Pool) setMark(f *fingerprint, name string, now, until time.Duration) {
	if f.proven {
		f.proven = false
		f.clearPlaces()
	}
	s := f.find(name)
	if s == nil {
		s = f.find("")
	}
	for i := range f.places {
		if s == nil && !f.places[i].marked {
			s = &f.places[i]
			*s = place{}
		}
	}
	if s == nil {
		return
	}
	s.upstream, s.marked, s.markedAt = name, true, now
	for i := range f.places {
		other := &f.places[i]
		other.kept = other.kept || other.running > 0
	}
	f.crashes++
	f.until = max(f.until, until)
	if f.quarantined() {
		p.refuseQuarantined(f, now)
	}
}

// RestoreMark records a crash mark from the replicated state. A known mark is left as it
// is.
func (p *Pool) RestoreMark(digest wire.Digest, upstream string, until time.Duration) {
	if digest == (wire.Digest{}) || upstream == "" {
		return
	}
	f := p.ref(digest)
	defer p.unref(f)
	if s := f.find(upstream); f.quarantined() || (s != nil && s.marked) {
		return
	}
	p.setMark(f, upstream, until-MarkDuration, until)
}

// refuseQuarantined refuses the waiting tickets of a quarantined fingerprint.
func (p *Pool) refuseQuarantined(f *fingerprint, now time.Duration) {
	for _, it := range p.items {
		if it.fp == f && it.upstream == nil {
			p.reject(it, crashesUpstreams, f.until-now)
		}
	}
}

// ref returns the entry of a digest, nil for the zero digest, and adds a reference.
func (p *Pool) ref(digest wire.Digest) *fingerprint {
	if digest == (wire.Digest{}) {
		return nil
	}
	f := p.fingerprints[digest]
	if f == nil {
		if f = p.freeFP; f != nil {
			p.freeFP = f.next
			*f = fingerprint{}
		} else {
			f = &fingerprint{}
		}
		f.digest, f.generation = digest, 1
		p.fingerprints[digest] = f
	}
	if f.list != nil {
		f.list.remove(f)
	}
	f.refs++
	return f
}

// unref drops a reference. Entries without one are kept, up to a bound, while they are
// proven or marked.
func (p *Pool) unref(f *fingerprint) {
	if f == nil {
		return
	}
	f.refs--
	if f.refs > 0 {
		return
	}
	list, limit := &p.proven, maxProven
	switch {
	case f.crashes > 0:
		list, limit = &p.marked, maxMarked
	case !f.proven:
		p.forget(f)
		return
	}
	list.add(f)
	if list.size > limit {
		oldest := list.first
		list.remove(oldest)
		p.forget(oldest)
	}
}

func (p *Pool) forget(f *fingerprint) {
	delete(p.fingerprints, f.digest)
	f.next = p.freeFP
	p.freeFP = f
}

// fpList is a list of fingerprints without references, least recently used first.
type fpList struct {
	first, last *fingerprint
	size        int
}

func (l *fpList) add(f *fingerprint) {
	f.list, f.prev, f.next = l, l.last, nil
	if l.last != nil {
		l.last.next = f
	} else {
		l.first = f
	}
	l.last = f
	l.size++
}

func (l *fpList) remove(f *fingerprint) {
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
	f.list, f.prev, f.next = nil, nil, nil
	l.size--
}
