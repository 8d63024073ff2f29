// Package wal keeps the durable state of one replica under one directory: its id, the
// log in segments, and the latest snapshot.
//
// Invariants:
//
//   - When Save or SaveSnapshot returns nil, what it wrote survives a crash.
//   - One Save is one record: after a crash it is there as a whole or not at all.
//   - After a failed write or sync every later write fails. The pages of a failed sync
//     may be dropped from memory, so a repeated sync proves nothing.
//   - Every file but the last segment is complete: segments and snapshots are written
//     under a temporary name, synced, renamed, and the directory is synced.
//   - Segments have consecutive numbers. The header of each repeats the replica id, the
//     hard state and the end of the log before it, so a missing segment is noticed and
//     old segments can go.
//   - A directory with files but without a usable log is never taken as an empty one,
//     since a new replica id must not appear next to an old log.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
)

// DefaultSegmentBytes is the size after which a new segment is begun. It bounds what a
// restart reads beyond the snapshot.
const DefaultSegmentBytes = 16 << 20

const (
	formatVersion  = 1
	segmentSuffix  = ".wal"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
	lockName       = "lock"
)

// Options holds the parameters of Open. Zero values mean OSFS, DefaultSegmentBytes and
// ids from the system's random source.
type Options struct {
	FS           FS
	SegmentBytes int
	NewReplicaID func() raft.ReplicaID
	// OnSync is told how long each sync took; nil tells nobody.
	OnSync func(time.Duration)
}

// position names an entry.
type position struct{ Index, Term uint64 }

// segmentHeader is the first record of a segment.
type segmentHeader struct {
	Version uint64
	Replica raft.ReplicaID
	// Before is the last entry of the log when the segment was begun.
	Before position
	Hard   raft.HardState
}

// batch is a record of a segment. Reset, if set, drops the whole log first and lets it
// continue after a snapshot.
type batch struct {
	Reset   *position
	Entries []raft.Entry
	Hard    *raft.HardState
}

// snapshotFile is the only record of a snapshot file. Segment and Size say how far the
// log was synced before. A log that ends earlier has lost acknowledged records, among
// them possibly a vote, so it is corrupt and not torn.
type snapshotFile struct {
	Version       uint64
	Replica       raft.ReplicaID
	Segment, Size uint64
	Snapshot      raft.Snapshot
}

// segment is a segment file; max is the highest index written to it.
type segment struct{ number, max uint64 }

// Log is the durable state of one replica. Its methods must not be called concurrently.
type Log struct {
	dir     string
	fs      FS
	limit   int
	lock    io.Closer
	replica raft.ReplicaID
	failed  error
	syncs   uint64
	onSync  func(time.Duration)

	segments []segment
	file     File // the last segment
	size     int
	hard     raft.HardState
	snapshot position
	// base is the entry before the first one in terms, the terms of the entries kept.
	base  position
	terms []uint64
}

// randomID draws a replica id. Ids of 63 random bits do not repeat in practice, and the
// highest bit is clear for programs without unsigned integers.
func randomID() raft.ReplicaID {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return raft.ReplicaID(binary.LittleEndian.Uint64(b[:])>>1 | 1)
}

// ReplicaID returns the replica id that was created with the directory.
func (l *Log) ReplicaID() raft.ReplicaID { return l.replica }

// Syncs returns the number of syncs of files and directories so far.
func (l *Log) Syncs() uint64 { return l.syncs }

// Close releases the directory. Everything acknowledged is durable already.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if e := l.lock.Close(); err == nil {
		err = e
	}
	l.failed = fault.New(fault.StorageFailed, "", "the log is closed")
	return fault.Wrap(err, fault.StorageFailed, "", "close the log")
}

func (l *Log) path(number uint64, suffix string) string {
	return filepath.Join(l.dir, fmt.Sprintf("%016x%s", number, suffix))
}

func (l *Log) last() position {
	if len(l.terms) == 0 {
		return l.base
	}
	return position{l.base.Index + uint64(len(l.terms)), l.terms[len(l.terms)-1]}
}

// has reports whether the log, or its base, holds the entry.
func (l *Log) has(p position) bool {
	return p == l.base || (p.Index > l.base.Index && p.Index <= l.last().Index && l.terms[p.Index-l.base.Index-1] == p.Term)
}

// fail makes the failure permanent.
func (l *Log) fail(err error, what string) error {
	if err != nil && l.failed == nil {
		l.failed = fault.Wrap(err, fault.StorageFailed, "", "%s", what)
	}
	return l.failed
}

func (l *Log) sync(f File) error {
	defer l.timeSync(time.Now())
	return f.Sync()
}

func (l *Log) timeSync(began time.Time) {
	l.syncs++
	if l.onSync != nil {
		l.onSync(time.Since(began))
	}
}

func (l *Log) syncDir() error {
	defer l.timeSync(time.Now())
	return l.fs.SyncDir(l.dir)
}

// create writes a file with one record so that it is either complete or absent, and
// returns it open.
func (l *Log) create(number uint64, suffix string, v any) (File, int, error) {
	frame, err := encodeFrame(number, 0, v)
	if err != nil {
		return nil, 0, err
	}
	path := l.path(number, suffix)
	f, err := l.fs.Create(path + tempSuffix)
	if err != nil {
		return nil, 0, err
	}
	if _, err = f.Write(frame); err == nil {
		err = l.sync(f)
	}
	if err == nil {
		err = l.fs.Rename(path+tempSuffix, path)
	}
	if err == nil {
		err = l.syncDir()
	}
	if err != nil {
		_ = f.Close()
		return nil, 0, err
	}
	return f, len(frame), nil
}

// beginSegment makes a new segment the last one.
func (l *Log) beginSegment() error {
	number := uint64(1)
	if k := len(l.segments); k > 0 {
		number = l.segments[k-1].number + 1
	}
	f, size, err := l.create(number, segmentSuffix, segmentHeader{formatVersion, l.replica, l.last(), l.hard})
	if err != nil {
		return l.fail(err, "begin a segment")
	}
	if l.file != nil {
		_ = l.file.Close() // its records are synced
	}
	l.file, l.size = f, size
	l.segments = append(l.segments, segment{number: number})
	return nil
}

// Save makes a hard state and entries durable with one sync (more when a segment is
// full). The entries are contiguous; an entry whose index exists replaces it and all
// that follow. It returns StorageFailed after any failure of a write, and Internal,
// without writing, for entries that do not continue the log.
func (l *Log) Save(hard *raft.HardState, entries []raft.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	for i, e := range entries {
		if e.Index != entries[0].Index+uint64(i) || e.Index <= l.base.Index || entries[0].Index > l.last().Index+1 {
			return fault.New(fault.Internal, "", "entry %d does not continue the log from %d to %d", e.Index, l.base.Index, l.last().Index)
		}
	}
	return l.write(batch{Entries: entries, Hard: hard})
}

func (l *Log) write(b batch) error {
	if l.size >= l.limit {
		if err := l.beginSegment(); err != nil {
			return err
		}
	}
	tail := &l.segments[len(l.segments)-1]
	frame, err := encodeFrame(tail.number, l.size, b)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(frame); err != nil {
		return l.fail(err, "write a record")
	}
	if err := l.sync(l.file); err != nil {
		return l.fail(err, "sync a record")
	}
	l.size += len(frame)
	l.note(b, tail)
	return nil
}

// note takes a record into the summary of the log in memory.
func (l *Log) note(b batch, s *segment) {
	if b.Reset != nil {
		l.base, l.terms = *b.Reset, nil
	}
	if len(b.Entries) > 0 {
		l.terms = l.terms[:b.Entries[0].Index-l.base.Index-1]
		for _, e := range b.Entries {
			l.terms = append(l.terms, e.Term)
		}
		s.max = max(s.max, l.last().Index)
	}
	if b.Hard != nil {
		l.hard = *b.Hard
	}
}

// SaveSnapshot makes a snapshot durable. Entries after it are kept if the log holds the
// snapshot's last entry; otherwise the log is of another history or ends before, and
// continues after the snapshot. A snapshot older than the current one is refused with
// Internal. It returns StorageFailed after any failure of a write.
func (l *Log) SaveSnapshot(s raft.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	at := position{s.Index, s.Term}
	if s.Index <= l.snapshot.Index {
		return fault.New(fault.Internal, "", "snapshot at index %d is not after the current one at %d", s.Index, l.snapshot.Index)
	}
	tail := l.segments[len(l.segments)-1].number
	f, _, err := l.create(s.Index, snapshotSuffix, snapshotFile{formatVersion, l.replica, tail, uint64(l.size), s})
	if err != nil {
		return l.fail(err, "save a snapshot")
	}
	_ = f.Close() // it is synced
	old := l.snapshot
	l.snapshot = at
	if err := l.trim(); err != nil {
		return err
	}
	if old.Index > 0 {
		return l.fail(l.fs.Remove(l.path(old.Index, snapshotSuffix)), "remove the previous snapshot")
	}
	return nil
}

// trim lets the log begin after the snapshot. The same rule applies after a crash
// between the snapshot and the reset record.
func (l *Log) trim() error {
	if !l.has(l.snapshot) {
		return l.write(batch{Reset: &l.snapshot})
	}
	l.terms = append([]uint64(nil), l.terms[l.snapshot.Index-l.base.Index:]...)
	l.base = l.snapshot
	return nil
}

// Release removes segments whose entries all have an index of at most index, as far as
// the snapshot covers them.
func (l *Log) Release(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	for len(l.segments) > 1 && l.segments[0].max <= min(index, l.snapshot.Index) {
		err := l.fs.Remove(l.path(l.segments[0].number, segmentSuffix))
		if err == nil {
			// A sync after each removal keeps a crash from leaving a gap in the numbers.
			err = l.syncDir()
		}
		if err != nil {
			return l.fail(err, "remove a segment")
		}
		l.segments = l.segments[1:]
	}
	return nil
}
