package wal

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
)

// diskUse returns the bytes and the names of the log's files.
func diskUse(c *qt.C, dir string) (size int64, names []string) {
	list, err := os.ReadDir(dir)
	c.Assert(err, qt.IsNil)
	for _, e := range list {
		info, err := e.Info()
		c.Assert(err, qt.IsNil)
		size += info.Size()
		names = append(names, e.Name())
	}
	return size, names
}

// Guards against a disk that stays full, because a snapshot that did not fit stays as a temporary file.
func TestSnapshotThatDoesNotFitLeavesNothing(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	fs := &faultFS{synced: map[string]int64{}, writeBudget: 10_000}
	l, _, err := Open(dir, Options{FS: fs})
	c.Assert(err, qt.IsNil)
	c.Assert(l.Save(&raft.HardState{Term: 1}, testEntries(1, 1, 20)), qt.IsNil)
	before, names := diskUse(c, dir)
	err = l.SaveSnapshot(raft.Snapshot{Index: 10, Term: 1, Members: members, Data: make([]byte, 50_000)})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.StorageFailed)
	after, namesAfter := diskUse(c, dir)
	c.Assert(after, qt.Equals, before)
	c.Assert(namesAfter, qt.DeepEquals, names)
	c.Assert(l.Close(), qt.IsNil)
	r, err := reopen(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Entries, qt.HasLen, 20)
}

// Guards against segments that a snapshot covers and that a restart keeps until the next snapshot, for
// which they leave no room.
func TestReopenFreesWhatTheSnapshotCovers(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir, Options{SegmentBytes: 200})
	c.Assert(err, qt.IsNil)
	for i := range uint64(40) {
		c.Assert(l.Save(&raft.HardState{Term: 1, Commit: i}, testEntries(1, i+1, i+1)), qt.IsNil)
	}
	c.Assert(l.SaveSnapshot(raft.Snapshot{Index: 38, Term: 1, Members: members, Data: []byte("state")}), qt.IsNil)
	c.Assert(l.Close(), qt.IsNil) // the process ends before it truncates the log
	before, _ := diskUse(c, dir)
	want, err := reopen(dir)
	c.Assert(err, qt.IsNil)
	after, names := diskUse(c, dir)
	c.Assert(after < before/2, qt.IsTrue, qt.Commentf("%d bytes before, %d after: %v", before, after, names))
	c.Assert(want.Snapshot.Index, qt.Equals, uint64(38))
	c.Assert(want.Entries, qt.HasLen, 2)
	again, err := reopen(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(equalStates(again, want), qt.IsTrue)
}
