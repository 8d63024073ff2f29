package raft

import (
	"marigoldshunt/internal/fault"
)

// entryLog is the part of the log after the latest snapshot.
//
// Invariants: snap.Index <= applied <= commit <= last; entries are contiguous from
// snap.Index+1; entries up to stable are saved by the caller. Truncating the log can
// lower stable.
type entryLog struct {
	snap    Snapshot
	entries []Entry
	stable  uint64
	commit  uint64
	applied uint64
	// snapshotPending is true until Ready hands a received snapshot to the caller.
	snapshotPending bool
}

func newEntryLog(r Restored) (*entryLog, error) {
	l := &entryLog{snap: r.Snapshot, entries: r.Entries, commit: max(r.Hard.Commit, r.Snapshot.Index)}
	term := r.Snapshot.Term
	for i, e := range r.Entries {
		if e.Index != r.Snapshot.Index+uint64(i)+1 || e.Term < term || e.Term > r.Hard.Term {
			return nil, fault.New(fault.StorageCorrupt, "", "restored entry %d of term %d does not follow index %d of term %d", e.Index, e.Term, r.Snapshot.Index+uint64(i), term)
		}
		term = e.Term
	}
	l.stable, l.applied = l.lastIndex(), r.Snapshot.Index
	if l.commit > l.lastIndex() {
		return nil, fault.New(fault.StorageCorrupt, "", "restored commit index %d is after the last entry %d", l.commit, l.lastIndex())
	}
	return l, nil
}

func (l *entryLog) lastIndex() uint64 { return l.snap.Index + uint64(len(l.entries)) }

// term returns the term at index; ok is false before the snapshot index and after the
// last entry.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.snap.Index:
		return l.snap.Term, true
	case index < l.snap.Index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snap.Index-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries with lo < index <= hi. The capacity is limited so that an
// append by the caller cannot write into the log.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	if hi <= lo {
		return nil
	}
	a, b := lo-l.snap.Index, hi-l.snap.Index
	return l.entries[a:b:b]
}

// batch returns entries after lo with at most maxBytes in total, but at least one entry
// if there is one.
func (l *entryLog) batch(lo uint64, maxBytes int) []Entry {
	all := l.slice(lo, l.lastIndex())
	size := 0
	for i := range all {
		size += entryBytes(&all[i])
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// entryOverhead bounds the encoded size of an entry without its data and members, and of
// a member without its host.
const entryOverhead = 32

func entryBytes(e *Entry) int {
	size := entryOverhead + len(e.Data)
	for _, m := range e.Members {
		size += entryOverhead + len(m.Host)
	}
	return size
}

// append adds entries that follow an entry known to match. Entries that the log already
// holds are kept; from the first conflicting one on, the rest of the log is replaced. It
// returns the index of the first entry that was written, 0 for none, and an error
// instead of replacing a committed entry.
func (l *entryLog) append(es []Entry) (first uint64, err error) {
	for i, e := range es {
		if l.matches(e.Index, e.Term) || e.Index <= l.snap.Index {
			continue
		}
		if e.Index <= l.commit {
			return 0, fault.New(fault.Internal, "", "entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
		}
		keepCount := e.Index - l.snap.Index - 1
		// The capacity is limited so that slices returned earlier keep their entries.
		if e.Index <= l.lastIndex() {
			l.entries = l.entries[:keepCount:keepCount]
		}
		l.entries = append(l.entries, es[i:]...)
		l.stable = min(l.stable, e.Index-1)
		return e.Index, nil
	}
	return 0, nil
}

// markStable marks entries as saved. An entry that was replaced after Ready returned it
// does not count; its index is saved again with the new entry.
func (l *entryLog) markStable(es []Entry) {
	for i := len(es) - 1; i >= 0; i-- {
		if e := es[i]; e.Index > l.snap.Index && l.matches(e.Index, e.Term) {
			l.stable = max(l.stable, e.Index)
			return
		}
	}
}

// install replaces the whole log with a snapshot.
func (l *entryLog) install(s Snapshot) {
	*l = entryLog{snap: s, stable: s.Index, commit: s.Index, applied: s.Index, snapshotPending: true}
}

// compact drops the entries up to s.Index, all of which are applied.
func (l *entryLog) compact(s Snapshot) {
	l.entries = append([]Entry(nil), l.slice(s.Index, l.lastIndex())...)
	l.snap = s
	l.stable = max(l.stable, s.Index)
}

// conflictHint returns the highest index up to upTo whose term is at most term, and its
// term. Entries between that index and upTo cannot match a log that has term at upTo, so
// they are skipped in one step.
func (l *entryLog) conflictHint(upTo, term uint64) (index, hintTerm uint64) {
	index = min(upTo, l.lastIndex())
	for index > l.snap.Index {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
		index--
	}
	return index, l.snap.Term
}
