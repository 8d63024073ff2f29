package gateway

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"marigoldshunt/internal/wire"
)

// crashMarks holds the instances that each request, or prompt part, crashed, by its
// fingerprint, with the time of each crash in Unix milliseconds.
type crashMarks map[wire.Digest]map[string]int64

func (m crashMarks) add(fp wire.Digest, instance string, at int64) {
	if m[fp] == nil {
		m[fp] = map[string]int64{}
	}
	m[fp][instance] = at
}

func (m crashMarks) has(fp wire.Digest, instance string) bool {
	_, ok := m[fp][instance]
	return ok
}

// minCrashGap separates crashes that count as separate for a prompt part. Upstreams that crash
// together have a common cause, such as a lost data centre, and a popular part is then read at
// several of them.
const minCrashGap = 200 * time.Millisecond

// separateCrashes returns the number of crashes that lie at least minCrashGap apart.
func separateCrashes(marks []wire.CrashMark) (n int) {
	slices.SortFunc(marks, func(a, b wire.CrashMark) int { return cmp.Compare(a.At, b.At) })
	var last int64
	for _, m := range marks {
		if n == 0 || m.At-last >= minCrashGap.Milliseconds() {
			n++
			last = m.At
		}
	}
	return n
}

// maxOwnCrashMarks bounds the requests with marks of the host's own, which the control group
// may not have confirmed.
const maxOwnCrashMarks = 4_096

// ownCrashMarks holds the marks of at most maxOwnCrashMarks requests. It drops the oldest
// request that is not quarantined first: a single mark proves nothing, and a sender of
// distinct requests can cause many.
type ownCrashMarks struct {
	marks crashMarks
	// suspects and quarantined hold the fingerprints with fewer than maxCrashes marks and the
	// others, the oldest first.
	suspects, quarantined *list.List
	// elements holds the place of each fingerprint in its list.
	elements map[wire.Digest]*list.Element
}

func newOwnCrashMarks() *ownCrashMarks {
	return &ownCrashMarks{marks: crashMarks{}, suspects: list.New(), quarantined: list.New(), elements: map[wire.Digest]*list.Element{}}
}

func (m *ownCrashMarks) len() int { return len(m.marks) }

func (m *ownCrashMarks) add(fp wire.Digest, instance string, at int64) {
	if e := m.elements[fp]; e != nil {
		m.remove(e)
	} else if len(m.marks) >= maxOwnCrashMarks {
		m.dropOldest()
	}
	m.marks.add(fp, instance, at)
	m.list(fp)
}

// drop removes one mark.
func (m *ownCrashMarks) drop(fp wire.Digest, instance string) {
	if !m.marks.has(fp, instance) {
		return
	}
	m.remove(m.elements[fp])
	delete(m.marks[fp], instance)
	if len(m.marks[fp]) == 0 {
		delete(m.marks, fp)
		delete(m.elements, fp)
		return
	}
	m.list(fp)
}

// list puts a fingerprint at the end of the list that it belongs to.
func (m *ownCrashMarks) list(fp wire.Digest) {
	l := m.suspects
	if len(m.marks[fp]) >= maxCrashes {
		l = m.quarantined
	}
	m.elements[fp] = l.PushBack(fp)
}

// remove removes an element from the list that it is in; list.Remove ignores elements of
// other lists.
func (m *ownCrashMarks) remove(e *list.Element) {
	m.suspects.Remove(e)
	m.quarantined.Remove(e)
}

func (m *ownCrashMarks) dropOldest() {
	e := m.suspects.Front()
	if e == nil {
		e = m.quarantined.Front()
	}
	m.remove(e)
	fp := e.Value.(wire.Digest)
	delete(m.marks, fp)
	delete(m.elements, fp)
}
