package raft

import (
	"marigoldshunt/internal/fault"
)

// entryLog is the part of the log after the latest snapshot.
//
// Invariants: snap.Index <= applied <= commit <= last; entries are contiguous from
// snap.Index+1; entries up to stable are saved by the caller, unless a later truncation
// lowered stable again.
type entryLog struct {
	snap    Snapshot
	entries []Entry
	stable  uint64
	commit  uint64
	applied uint64
	// installed is true while the caller has not yet been given a received snapshot.
	installed bool
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
	l.stable, l.applied = l.last(), r.Snapshot.Index
	if l.commit > l.last() {
		return nil, fault.New(fault.StorageCorrupt, "", "restored commit index %d is after the last entry %d", l.commit, l.last())
	}
	return l, nil
}

func (l *entryLog) last() uint64 { return l.snap.Index + uint64(len(l.entries)) }

// term returns the term at index; ok is false outside the snapshot index and the log.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.snap.Index:
		return l.snap.Term, true
	case index < l.snap.Index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.snap.Index-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries with lo < index <= hi. The capacity is cut so that an
// append by the holder cannot write into the log.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	if hi <= lo {
		return nil
	}
	a, b := lo-l.snap.Index, hi-l.snap.Index
	return l.entries[a:b:b]
}

// batch returns entries after lo of at most maxBytes, but at least one if there is one.
func (l *entryLog) batch(lo uint64, maxBytes int) []Entry {
	all := l.slice(lo, l.last())
	size := 0
	for i := range all {
		size += entryBytes(&all[i])
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// entryOverhead is a bound for the encoded size of an entry without data and members.
const entryOverhead = 32

func entryBytes(e *Entry) int {
	size := entryOverhead + len(e.Data)
	for _, m := range e.Members {
		size += entryOverhead + len(m.Host)
	}
	return size
}

// append adds entries that follow an entry known to match. Entries that are already
// there are kept; the first conflicting one replaces the tail. It returns the index of
// the first entry that was written, 0 for none, and an error instead of replacing a
// committed entry.
func (l *entryLog) append(es []Entry) (first uint64, err error) {
	for i, e := range es {
		if l.matches(e.Index, e.Term) || e.Index <= l.snap.Index {
			continue
		}
		if e.Index <= l.commit {
			return 0, fault.New(fault.Internal, "", "entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
		}
		keep := e.Index - l.snap.Index - 1
		// The capacity is cut so that slices handed out earlier keep their entries.
		if e.Index <= l.last() {
			l.entries = l.entries[:keep:keep]
		}
		l.entries = append(l.entries, es[i:]...)
		l.stable = min(l.stable, e.Index-1)
		return e.Index, nil
	}
	return 0, nil
}

// saved marks entries as durable. An entry that was replaced after it was handed out
// does not count; its index is saved again with the replacing entry.
func (l *entryLog) saved(es []Entry) {
	for i := len(es) - 1; i >= 0; i-- {
		if e := es[i]; e.Index > l.snap.Index && l.matches(e.Index, e.Term) {
			l.stable = max(l.stable, e.Index)
			return
		}
	}
}

// install replaces the whole log by a snapshot.
func (l *entryLog) install(s Snapshot) {
	*l = entryLog{snap: s, stable: s.Index, commit: s.Index, applied: s.Index, installed: true}
}

// compact drops entries up to s.Index, which are applied.
func (l *entryLog) compact(s Snapshot) {
	l.entries = append([]Entry(nil), l.slice(s.Index, l.last())...)
	l.snap = s
	l.stable = max(l.stable, s.Index)
}

// conflictHint returns the highest index up to upTo whose term is at most term. Entries
// between it and upTo cannot match a log that has term at upTo, so they are skipped in
// one step.
func (l *entryLog) conflictHint(upTo, term uint64) (index, hintTerm uint64) {
	index = min(upTo, l.last())
	for index > l.snap.Index {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
		index--
	}
	return index, l.snap.Term
}
