// Package wal is the write-ahead log of one replica. It keeps the replica's durable state
// in one directory: its id, the log in segments, and the latest snapshot.
//
// Invariants:
//
//   - When Save or SaveSnapshot returns nil, what it wrote survives a crash.
//   - One Save is one record: after a crash the record is complete or absent.
//   - After a failed write or sync every later write fails. The kernel may drop the pages
//     of a failed sync from memory, so a later sync that succeeds proves nothing.
//   - Every file but the last segment is complete: segments and snapshots are written
//     under a temporary name, synced, renamed, and the directory is synced.
//   - Segments have consecutive numbers. The header of each repeats the replica id, the
//     hard state and the last entry before the segment, so a missing segment is detected
//     and old segments can be removed.
//   - A directory with files but without a usable log is never treated as empty, since a
//     replica with an old log must not get a new replica id.
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

// DefaultSegmentBytes is the size after which a new segment is begun. It bounds how much a
// restart reads besides the snapshot.
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
	// Host is the host that opens the log. If set, data that the group's membership assigns
	// to another host is refused.
	Host         string
	FS           FS
	SegmentBytes int
	NewReplicaID func() raft.ReplicaID
	// OnSync, if set, is called with the duration of each sync.
	OnSync func(time.Duration)
}

// position identifies an entry of the log.
type position struct{ Index, Term uint64 }

// segmentHeader is the first record of a segment.
type segmentHeader struct {
	Version uint64
	Replica raft.ReplicaID
	// Before is the last entry of the log when the segment was begun.
	Before position
	Hard   raft.HardState
}

// logRecord is one record of a segment after the header. Reset, if set, first drops all
// entries; the log then continues after the entry at Reset, which a snapshot covers.
type logRecord struct {
	Reset   *position
	Entries []raft.Entry
	Hard    *raft.HardState
}

// snapshotFile is the only record of a snapshot file. Segment and Size say how far the
// log was synced before the snapshot was written. A log that ends earlier has lost
// acknowledged records, possibly a vote among them, so it is corrupt and has no torn tail.
type snapshotFile struct {
	Version       uint64
	Replica       raft.ReplicaID
	Segment, Size uint64
	Snapshot      raft.Snapshot
}

// segment is a segment file; maxIndex is the highest entry index written to it.
type segment struct{ number, maxIndex uint64 }

// Log is the durable state of one replica. Its methods must not be called concurrently.
type Log struct {
	dir          string
	fs           FS
	segmentBytes int
	dirLock      io.Closer
	replica      raft.ReplicaID
	failed       error
	syncs        uint64
	onSync       func(time.Duration)

	segments []segment
	file     File // the last segment
	size     int  // of the last segment
	hard     raft.HardState
	snapshot position
	// base is the entry before the first one of the log. terms are the terms of the entries
	// after base.
	base  position
	terms []uint64
}

// randomReplicaID returns a random replica id, never zero. Random 63-bit ids do not repeat
// in practice, and the highest bit is clear for programs without unsigned integers.
func randomReplicaID() raft.ReplicaID {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return raft.ReplicaID(binary.LittleEndian.Uint64(b[:])>>1 | 1)
}

// ReplicaID returns the replica id that was created with the directory.
func (l *Log) ReplicaID() raft.ReplicaID { return l.replica }

// Syncs returns the number of syncs of files and directories so far.
func (l *Log) Syncs() uint64 { return l.syncs }

// Close releases the directory. All acknowledged writes are already durable.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if e := l.dirLock.Close(); err == nil {
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

// contains reports whether the entry is in the log or is its base.
func (l *Log) contains(p position) bool {
	return p == l.base || (p.Index > l.base.Index && p.Index <= l.last().Index && l.terms[p.Index-l.base.Index-1] == p.Term)
}

// recordFailure makes the first failure permanent and returns it. It returns nil if err is
// nil and nothing has failed.
func (l *Log) recordFailure(err error, what string) error {
	if err != nil && l.failed == nil {
		l.failed = fault.Wrap(err, fault.StorageFailed, "", "%s", what)
	}
	return l.failed
}

func (l *Log) sync(f File) error {
	defer l.recordSync(time.Now())
	return f.Sync()
}

func (l *Log) recordSync(began time.Time) {
	l.syncs++
	if l.onSync != nil {
		l.onSync(time.Since(began))
	}
}

func (l *Log) syncDir() error {
	defer l.recordSync(time.Now())
	return l.fs.SyncDir(l.dir)
}

// createFile writes a file with one record so that the file is complete or absent after a
// crash. It returns the open file and its size.
func (l *Log) createFile(number uint64, suffix string, v any) (File, int, error) {
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
		// On a full disk its bytes are needed. If it can't be removed now, the next Open removes it.
		_ = l.fs.Remove(path + tempSuffix)
		return nil, 0, err
	}
	return f, len(frame), nil
}

// beginSegment makes a new segment the last one.
func (l *Log) beginSegment() error {
	number := uint64(1)
	if count := len(l.segments); count > 0 {
		number = l.segments[count-1].number + 1
	}
	f, size, err := l.createFile(number, segmentSuffix, segmentHeader{formatVersion, l.replica, l.last(), l.hard})
	if err != nil {
		return l.recordFailure(err, "begin a segment")
	}
	if l.file != nil {
		_ = l.file.Close() // its records are synced
	}
	l.file, l.size = f, size
	l.segments = append(l.segments, segment{number: number})
	return nil
}

// Save makes a hard state and entries durable with one sync (more when a segment is
// full). The entries must be contiguous. An entry whose index exists in the log replaces
// that entry and all that follow it. Save returns StorageFailed after any failed write, and
// Internal, without writing, for entries that do not continue the log.
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
	return l.writeRecord(logRecord{Entries: entries, Hard: hard})
}

func (l *Log) writeRecord(r logRecord) error {
	if l.size >= l.segmentBytes {
		if err := l.beginSegment(); err != nil {
			return err
		}
	}
	tail := &l.segments[len(l.segments)-1]
	frame, err := encodeFrame(tail.number, l.size, r)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(frame); err != nil {
		return l.recordFailure(err, "write a record")
	}
	if err := l.sync(l.file); err != nil {
		return l.recordFailure(err, "sync a record")
	}
	l.size += len(frame)
	l.applyRecord(r, tail)
	return nil
}

// applyRecord updates the state in memory for a record of the segment s.
func (l *Log) applyRecord(r logRecord, s *segment) {
	if r.Reset != nil {
		l.base, l.terms = *r.Reset, nil
	}
	if len(r.Entries) > 0 {
		l.terms = l.terms[:r.Entries[0].Index-l.base.Index-1]
		for _, e := range r.Entries {
			l.terms = append(l.terms, e.Term)
		}
		s.maxIndex = max(s.maxIndex, l.last().Index)
	}
	if r.Hard != nil {
		l.hard = *r.Hard
	}
}

// SaveSnapshot makes a snapshot durable. Entries after it are kept if the log holds the
// snapshot's last entry. Otherwise the log has diverged from the snapshot or ends before
// it; all entries are then dropped and the log continues after the snapshot. SaveSnapshot
// returns Internal for a snapshot that is not newer than the current one, and
// StorageFailed after any failed write.
func (l *Log) SaveSnapshot(s raft.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	at := position{s.Index, s.Term}
	if s.Index <= l.snapshot.Index {
		return fault.New(fault.Internal, "", "snapshot at index %d is not after the current one at %d", s.Index, l.snapshot.Index)
	}
	tail := l.segments[len(l.segments)-1].number
	f, _, err := l.createFile(s.Index, snapshotSuffix, snapshotFile{formatVersion, l.replica, tail, uint64(l.size), s})
	if err != nil {
		return l.recordFailure(err, "save a snapshot")
	}
	_ = f.Close() // it is synced
	old := l.snapshot
	l.snapshot = at
	if err := l.startAfterSnapshot(); err != nil {
		return err
	}
	if old.Index > 0 {
		return l.recordFailure(l.fs.Remove(l.path(old.Index, snapshotSuffix)), "remove the previous snapshot")
	}
	return nil
}

// startAfterSnapshot makes the log begin after the snapshot. Recovery calls it too, for a
// crash between the writes of the snapshot and of the reset record.
func (l *Log) startAfterSnapshot() error {
	if !l.contains(l.snapshot) {
		return l.writeRecord(logRecord{Reset: &l.snapshot})
	}
	l.terms = append([]uint64(nil), l.terms[l.snapshot.Index-l.base.Index:]...)
	l.base = l.snapshot
	return nil
}

// TruncateFront removes the oldest segments whose entries all have an index of at most
// index and are covered by the snapshot.
func (l *Log) TruncateFront(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= min(index, l.snapshot.Index) {
		err := l.fs.Remove(l.path(l.segments[0].number, segmentSuffix))
		if err == nil {
			// A sync after each removal keeps a crash from leaving a gap in the numbers.
			err = l.syncDir()
		}
		if err != nil {
			return l.recordFailure(err, "remove a segment")
		}
		l.segments = l.segments[1:]
	}
	return nil
}
