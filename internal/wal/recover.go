package wal

import (
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
	"marigoldshunt/internal/wire"
)

// Open locks the directory, creates it if needed, and returns the state that was saved
// there. It returns StorageCorrupt for files that are damaged, missing or of different
// replicas, StorageForeign for the replica of another host, and StorageFailed when the file
// system fails or another process holds the lock. It changes files only after it found all
// of them intact.
func Open(dir string, opts Options) (*Log, raft.Restored, error) {
	if opts.FS == nil {
		opts.FS = OSFS{}
	}
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	if opts.NewReplicaID == nil {
		opts.NewReplicaID = randomReplicaID
	}
	l := &Log{dir: dir, fs: opts.FS, segmentBytes: opts.SegmentBytes, onSync: opts.OnSync}
	if err := l.fs.MkdirAll(dir); err != nil {
		return nil, raft.Restored{}, fault.Wrap(err, fault.StorageFailed, "", "create directory %s", dir)
	}
	lock, err := l.fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, raft.Restored{}, fault.Wrap(err, fault.StorageFailed, "", "lock directory %s", dir)
	}
	l.dirLock = lock
	r, err := l.open(opts.Host, opts.NewReplicaID)
	if err != nil {
		_ = l.Close()
		return nil, raft.Restored{}, err
	}
	return l, r, nil
}

// dirListing holds the numbers of the segments and snapshots in a directory, in ascending
// order, and the names of its temporary files.
type dirListing struct {
	segments, snapshots []uint64
	tempFiles           []string
}

func (l *Log) listFiles() (dirListing, error) {
	var out dirListing
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return out, l.recordFailure(err, "list the directory")
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			out.tempFiles = append(out.tempFiles, name)
			continue
		}
		suffix := filepath.Ext(name)
		number, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
		switch {
		case err != nil:
		case suffix == segmentSuffix:
			out.segments = append(out.segments, number)
		case suffix == snapshotSuffix:
			out.snapshots = append(out.snapshots, number)
		}
	}
	slices.Sort(out.segments)
	slices.Sort(out.snapshots)
	return out, nil
}

func (l *Log) open(host string, newID func() raft.ReplicaID) (raft.Restored, error) {
	var r raft.Restored
	var file snapshotFile
	files, err := l.listFiles()
	if err != nil {
		return r, err
	}
	if len(files.segments) == 0 {
		if len(files.snapshots) > 0 {
			return r, corruptf("there are snapshots but no segments")
		}
		if err := l.removeTempFiles(files.tempFiles); err != nil {
			return r, err
		}
		l.replica = newID()
		return r, l.beginSegment()
	}
	if count := len(files.snapshots); count > 0 {
		if file, err = l.readSnapshot(files.snapshots[count-1]); err != nil {
			return r, err
		}
		r.Snapshot = file.Snapshot
		l.snapshot = position{r.Snapshot.Index, r.Snapshot.Term}
	}
	entries, end, err := l.readSegments(files.segments)
	if err != nil {
		return r, err
	}
	if tail := l.segments[len(l.segments)-1].number; tail < file.Segment || (tail == file.Segment && uint64(end) < file.Size) {
		return r, corruptf("the log ends at offset %d of segment %d, before that of the snapshot", end, tail)
	}
	if l.snapshot.Index < l.base.Index || (l.snapshot.Index == l.base.Index && l.snapshot.Term != l.base.Term) {
		return r, corruptf("the log begins after entry %v, the snapshot is at %v", l.base, l.snapshot)
	}
	if l.contains(l.snapshot) {
		r.Entries = slices.Clone(entries[l.snapshot.Index-l.base.Index:])
	}
	r.Hard = l.hard
	if err := l.checkHost(host, r); err != nil {
		return r, err
	}
	return r, l.finishRecovery(files, end)
}

// checkHost returns StorageForeign if the latest membership assigns the replica to another
// host. A membership without the replica says nothing about its host.
func (l *Log) checkHost(host string, r raft.Restored) error {
	members := r.Snapshot.Members
	for _, e := range r.Entries {
		if e.Kind == raft.EntryMembers {
			members = e.Members
		}
	}
	for _, m := range members {
		if m.ID == l.replica && host != "" && m.Host != host {
			return fault.New(fault.StorageForeign, "", "directory %s holds replica %d of host %q, this is host %q", l.dir, m.ID, m.Host, host)
		}
	}
	return nil
}

func corruptf(format string, args ...any) error {
	return fault.New(fault.StorageCorrupt, "", format, args...)
}

func (l *Log) removeTempFiles(names []string) error {
	for _, name := range names {
		if err := l.fs.Remove(filepath.Join(l.dir, name)); err != nil {
			return l.recordFailure(err, "remove a temporary file")
		}
	}
	return nil
}

// finishRecovery completes what a crash or a full disk interrupted. First it frees room: it removes
// temporary files and older snapshots. Then it cuts off a torn record after end, writes a missing
// reset record, and removes the segments that the snapshot covers. It syncs the last segment, because
// a record that was read may have been written but not synced before the process ended.
func (l *Log) finishRecovery(files dirListing, end int) error {
	if err := l.removeTempFiles(files.tempFiles); err != nil {
		return err
	}
	for _, number := range files.snapshots[:max(len(files.snapshots)-1, 0)] {
		if err := l.fs.Remove(l.path(number, snapshotSuffix)); err != nil {
			return l.recordFailure(err, "remove an old snapshot")
		}
	}
	if err := l.openTail(end); err != nil {
		return err
	}
	if err := l.startAfterSnapshot(); err != nil {
		return err
	}
	if err := l.recordFailure(l.syncDir(), "sync the directory"); err != nil {
		return err
	}
	return l.TruncateFront(l.snapshot.Index)
}

// openTail opens the last segment and cuts it after its last intact record.
func (l *Log) openTail(end int) error {
	f, err := l.fs.Append(l.path(l.segments[len(l.segments)-1].number, segmentSuffix))
	if err != nil {
		return l.recordFailure(err, "open the last segment")
	}
	l.file, l.size = f, end
	if err = f.Truncate(int64(end)); err == nil {
		err = l.sync(f)
	}
	return l.recordFailure(err, "cut the last segment")
}

func (l *Log) readSnapshot(number uint64) (f snapshotFile, err error) {
	data, err := l.fs.ReadFile(l.path(number, snapshotSuffix))
	if err != nil {
		return f, l.recordFailure(err, "read a snapshot")
	}
	payload, next, ok := framePayload(number, data, 0)
	if !ok || next != len(data) || wire.Unmarshal(payload, &f) != nil || f.Version != formatVersion || f.Replica == 0 || f.Snapshot.Index != number {
		return f, corruptf("snapshot %d is damaged", number)
	}
	l.replica = f.Replica
	return f, nil
}

// readSegments replays all segments. It returns the entries after l.base and the offset at
// which the last intact record of the last segment ends.
func (l *Log) readSegments(numbers []uint64) (entries []raft.Entry, end int, err error) {
	for i, number := range numbers {
		if number != numbers[0]+uint64(i) {
			return nil, 0, corruptf("segment %d is missing", numbers[0]+uint64(i))
		}
		data, err := l.fs.ReadFile(l.path(number, segmentSuffix))
		if err != nil {
			return nil, 0, l.recordFailure(err, "read a segment")
		}
		if end, err = l.readSegmentHeader(number, data); err != nil {
			return nil, 0, err
		}
		l.segments = append(l.segments, segment{number: number})
		for end < len(data) {
			payload, next, ok := framePayload(number, data, end)
			if !ok && i == len(numbers)-1 && isTornTail(number, data, end) {
				break
			}
			var r logRecord
			if !ok || wire.Unmarshal(payload, &r) != nil {
				return nil, 0, corruptf("the record at offset %d of segment %d is damaged", end, number)
			}
			if entries, err = l.replayRecord(r, entries); err != nil {
				return nil, 0, err
			}
			end = next
		}
	}
	return entries, end, nil
}

func (l *Log) readSegmentHeader(number uint64, data []byte) (end int, err error) {
	var h segmentHeader
	payload, next, ok := framePayload(number, data, 0)
	if !ok || wire.Unmarshal(payload, &h) != nil || h.Version != formatVersion || h.Replica == 0 {
		return 0, corruptf("the header of segment %d is damaged", number)
	}
	if l.replica != 0 && l.replica != h.Replica {
		return 0, corruptf("segment %d is of replica %d, not %d", number, h.Replica, l.replica)
	}
	if len(l.segments) == 0 {
		l.base, l.hard = h.Before, h.Hard
	} else if h.Before != l.last() || h.Hard != l.hard {
		return 0, corruptf("segment %d continues after entry %v, the log ends at %v", number, h.Before, l.last())
	}
	l.replica = h.Replica
	return next, nil
}

func (l *Log) replayRecord(r logRecord, entries []raft.Entry) ([]raft.Entry, error) {
	if r.Reset != nil {
		entries = nil
		l.base, l.terms = *r.Reset, nil
	}
	if len(r.Entries) == 0 {
		l.applyRecord(r, &l.segments[len(l.segments)-1])
		return entries, nil
	}
	first := r.Entries[0].Index
	if first > 0 && first <= l.base.Index && l.base.Index <= l.snapshot.Index {
		// The record replaces entries from a segment that has since been removed. The
		// snapshot covers them, so the term of the entry before first does not matter.
		entries = nil
		l.base, l.terms = position{Index: first - 1}, nil
	}
	for i, e := range r.Entries {
		if e.Index != first+uint64(i) || first <= l.base.Index || first > l.last().Index+1 {
			return nil, corruptf("entry %d does not continue the log from %d to %d", e.Index, l.base.Index, l.last().Index)
		}
	}
	entries = append(entries[:first-l.base.Index-1], r.Entries...)
	l.applyRecord(r, &l.segments[len(l.segments)-1])
	return entries, nil
}
