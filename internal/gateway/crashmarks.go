package gateway

import (
	"container/list"

	"marigoldshunt/internal/wire"
)

// crashMarks holds the instances that each request crashed, by fingerprint.
type crashMarks map[wire.Digest]map[string]bool

func (m crashMarks) add(fp wire.Digest, instance string) {
	if m[fp] == nil {
		m[fp] = map[string]bool{}
	}
	m[fp][instance] = true
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

func (m *ownCrashMarks) add(fp wire.Digest, instance string) {
	if e := m.elements[fp]; e != nil {
		m.remove(e)
	} else if len(m.marks) >= maxOwnCrashMarks {
		m.dropOldest()
	}
	m.marks.add(fp, instance)
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
