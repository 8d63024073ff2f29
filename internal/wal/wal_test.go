package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/raft"
)

// faultFS fails every sync from the one numbered failSync on, and every write after
// writeBudget bytes. Its crash removes the bytes and the new names that were not synced.
type faultFS struct {
	OSFS
	syncs, failSync, writeBudget int
	// synced holds the synced size of each file.
	synced map[string]int64
	// renamed holds the new names that were not synced.
	renamed []string
}

type faultFile struct {
	File
	fs   *faultFS
	path string
	size int64
}

func (f *faultFS) sync(done func()) error {
	if f.syncs++; f.failSync != 0 && f.syncs >= f.failSync {
		return syscall.EIO
	}
	done()
	return nil
}

func (f *faultFS) Create(path string) (File, error) {
	file, err := f.OSFS.Create(path)
	path = strings.TrimSuffix(path, tempSuffix)
	f.synced[path] = 0
	return &faultFile{File: file, fs: f, path: path}, err
}

func (f *faultFS) Rename(from, to string) error {
	f.renamed = append(f.renamed, to)
	return f.OSFS.Rename(from, to)
}

func (f *faultFS) SyncDir(dir string) error { return f.sync(func() { f.renamed = nil }) }

func (f *faultFile) Write(b []byte) (int, error) {
	if f.fs.writeBudget -= len(b); f.fs.writeBudget < 0 {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	f.size += int64(len(b))
	return f.File.Write(b)
}

func (f *faultFile) Sync() error { return f.fs.sync(func() { f.fs.synced[f.path] = f.size }) }

func (f *faultFS) crash() {
	for path, size := range f.synced {
		_ = os.Truncate(path, size) // the file may be gone
	}
	for _, path := range f.renamed {
		_ = os.Remove(path)
	}
}

func testEntries(term, from, to uint64) (list []raft.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, raft.Entry{Index: i, Term: term, Kind: raft.EntryCommand, Data: fmt.Appendf(nil, "command %d of term %d", i, term)})
	}
	return list
}

// logCall is a call of Save or, if snapshot is set, calls of SaveSnapshot and TruncateFront.
// Its method apply is the model: it returns the state that a restart must restore.
type logCall struct {
	hard     *raft.HardState
	entries  []raft.Entry
	snapshot *raft.Snapshot
}

func (call logCall) run(l *Log) error {
	if call.snapshot != nil {
		return errors.Join(l.SaveSnapshot(*call.snapshot), l.TruncateFront(call.snapshot.Index))
	}
	return l.Save(call.hard, call.entries)
}

func (call logCall) apply(r raft.Restored) raft.Restored {
	if s := call.snapshot; s != nil {
		i := slices.IndexFunc(r.Entries, func(e raft.Entry) bool { return e.Index == s.Index && e.Term == s.Term })
		if r.Entries = slices.Clone(r.Entries[i+1:]); i < 0 {
			r.Entries = nil
		}
		r.Snapshot = *s
		return r
	}
	if len(call.entries) > 0 {
		r.Entries = append(slices.Clone(r.Entries[:call.entries[0].Index-r.Snapshot.Index-1]), call.entries...)
	}
	if call.hard != nil {
		r.Hard = *call.hard
	}
	return r
}

var members = []raft.Member{{ID: 7, Host: "h1"}, {ID: 9, Host: "h2", Learner: true}}

// testCalls covers entries that are replaced, a snapshot of an entry in the log and one
// beyond its end, and several segments.
func testCalls() []logCall {
	return []logCall{
		{hard: &raft.HardState{Term: 1, Vote: 7}, entries: testEntries(1, 1, 4)},
		{entries: []raft.Entry{{Index: 5, Term: 1, Kind: raft.EntryMembers, Members: members}}},
		{hard: &raft.HardState{Term: 2, Commit: 3}, entries: testEntries(2, 4, 6)},
		{snapshot: &raft.Snapshot{Index: 3, Term: 1, Members: members, Data: []byte("three")}},
		{entries: testEntries(2, 7, 9)},
		{snapshot: &raft.Snapshot{Index: 20, Term: 3, Data: []byte("twenty")}},
		{hard: &raft.HardState{Term: 3, Commit: 20}, entries: testEntries(3, 21, 23)},
		{hard: &raft.HardState{Term: 4, Commit: 22}, entries: testEntries(4, 23, 55)},
	}
}

func statesAfter(calls []logCall) []raft.Restored {
	out := []raft.Restored{{}}
	for _, call := range calls {
		out = append(out, call.apply(out[len(out)-1]))
	}
	return out
}

func equalStates(a, b raft.Restored) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// buildLog makes testCalls on a new log. It returns the directory and the state before the
// first and after each call.
func buildLog(t testing.TB, segmentBytes int) (dir string, want []raft.Restored) {
	c := qt.New(t)
	dir = t.TempDir()
	l, _, err := Open(dir, Options{SegmentBytes: segmentBytes})
	c.Assert(err, qt.IsNil)
	for _, call := range testCalls() {
		c.Assert(call.run(l), qt.IsNil)
	}
	c.Assert(l.Close(), qt.IsNil)
	return dir, statesAfter(testCalls())
}

func reopen(dir string) (raft.Restored, error) {
	l, r, err := Open(dir, Options{})
	if err == nil {
		err = l.Close()
	}
	return r, err
}

// openWith overwrites a file with data and opens the log. It returns the restored state or
// the code of the error.
func openWith(c *qt.C, path string, data []byte) (raft.Restored, fault.Code) {
	c.Assert(os.WriteFile(path, data, fileMode), qt.IsNil)
	r, err := reopen(filepath.Dir(path))
	return r, fault.CodeOf(err)
}

func readFile(c *qt.C, path string) []byte {
	data, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	return data
}

func dataFiles(dir string) []string {
	a, _ := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	b, _ := filepath.Glob(filepath.Join(dir, "*"+snapshotSuffix))
	return append(b, a...) // the last segment is the last file
}

// Guards against a sequence of calls and restarts that loses or changes what was saved.
func TestRecovery(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := qt.New(t)
		dir, err := os.MkdirTemp(t.TempDir(), "")
		c.Assert(err, qt.IsNil)
		opts := Options{SegmentBytes: rapid.SampledFrom([]int{1, 300, 1 << 20}).Draw(rt, "segment")}
		l, want, err := Open(dir, opts)
		c.Assert(err, qt.IsNil)
		id, term := l.ReplicaID(), uint64(1)
		restart := func() {
			c.Assert(l.Close(), qt.IsNil)
			var got raft.Restored
			l, got, err = Open(dir, opts)
			c.Assert(err, qt.IsNil)
			c.Assert(equalStates(got, want) && l.ReplicaID() == id, qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
		}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			term += rapid.Uint64Range(0, 1).Draw(rt, "term")
			first, last := want.Snapshot.Index+1, want.Snapshot.Index+uint64(len(want.Entries))
			call := logCall{hard: &raft.HardState{Term: term, Commit: first - 1}}
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0, 1:
				from := rapid.Uint64Range(first, last+1).Draw(rt, "from")
				call.entries = testEntries(term, from, from+rapid.Uint64Range(0, 4).Draw(rt, "count"))
			case 2:
				call.snapshot = &raft.Snapshot{Index: last + 5, Term: term, Members: members}
				if last >= first && rapid.Bool().Draw(rt, "own") {
					e := rapid.SampledFrom(want.Entries).Draw(rt, "at")
					// A term above that of the entry makes a snapshot that the log diverged from.
					term += rapid.Uint64Range(0, 1).Draw(rt, "other")
					call.snapshot.Index, call.snapshot.Term = e.Index, max(e.Term, term-1)
				}
			case 3:
				restart()
			}
			c.Assert(call.run(l), qt.IsNil)
			want = call.apply(want)
		}
		restart()
		c.Assert(l.Close(), qt.IsNil)
	})
}

// Guards against a torn last record that prevents a restart, that is taken for complete,
// or that damages what is saved after it.
func TestTornTail(t *testing.T) {
	c := qt.New(t)
	dir, want := buildLog(t, 0)
	calls, last := testCalls(), len(want)-1
	path := dataFiles(dir)[1]
	whole, start, before := readFile(c, path), 0, 0
	for next := 0; next < len(whole); {
		before, start = start, next
		next += frameLength(1, whole, start)
	}
	// A valid record after a bad one shows that the bad one was synced, whatever the end of
	// the file looks like.
	bad := append(slices.Clone(whole), make([]byte, 2*sectorBytes)...)
	bad[before+headerBytes] ^= 1
	_, code := openWith(c, path, bad)
	c.Assert(code, qt.Equals, fault.StorageCorrupt)
	for cut := start; cut < len(whole); cut++ {
		torn := [][]byte{whole[:cut]}
		if cut == start { // zeros that end in the same sector
			torn = append(torn, append(slices.Clone(whole[:cut]), make([]byte, headerBytes)...))
		}
		if cut == start || cut%sectorBytes == 0 {
			torn = append(torn, append(slices.Clone(whole[:cut]), make([]byte, len(whole)-cut)...))
		}
		for _, data := range torn {
			got, code := openWith(c, path, data)
			c.Assert(code == "" && equalStates(got, want[last-1]), qt.IsTrue, qt.Commentf("cut at %d: %v %v", cut, code, got))
			l, _, err := Open(dir, Options{})
			c.Assert(err, qt.IsNil)
			c.Assert(errors.Join(calls[last-1].run(l), l.Close()), qt.IsNil)
			c.Assert(string(readFile(c, path)), qt.Equals, string(whole))
		}
	}
}

// Guards against a damaged byte that is not detected or is cut off as a torn tail.
func TestFlippedByte(t *testing.T) {
	c := qt.New(t)
	for _, segmentBytes := range []int{200, 0} {
		dir, _ := buildLog(t, segmentBytes)
		for _, path := range dataFiles(dir) {
			whole := readFile(c, path)
			for i := range whole {
				for _, flip := range []byte{0x01, 0x80, 0xff, whole[i]} {
					bad := slices.Clone(whole)
					bad[i] ^= flip
					_, code := openWith(c, path, bad)
					c.Assert(code == fault.StorageCorrupt || flip == 0, qt.IsTrue, qt.Commentf("byte %d of %s, flip %x", i, filepath.Base(path), flip))
				}
			}
			_, code := openWith(c, path, whole)
			c.Assert(code, qt.Equals, fault.Code(""))
		}
	}
}

// Guards against a missing file that is taken for an empty or shorter log.
func TestMissingFile(t *testing.T) {
	c := qt.New(t)
	for want, damage := range map[string]func(files []string){
		"segment 7 is missing":                func(files []string) { _ = os.Remove(files[2]) },
		"there are snapshots but no segments": func(files []string) { _, _, _ = os.Remove(files[1]), os.Remove(files[2]), os.Remove(files[3]) },
		"the log begins after entry .*":       func(files []string) { _ = os.Remove(files[0]) },
		"segment 8 continues after .*": func(files []string) {
			_ = os.Truncate(files[2], int64(frameLength(7, readFile(c, files[2]), 0)))
		},
	} {
		dir, _ := buildLog(t, 1)
		damage(dataFiles(dir)) // snapshot 20 and segments 6 to 8
		_, err := reopen(dir)
		c.Assert(err, qt.ErrorMatches, "storage_corrupt: "+want)
	}
}

// Guards against a snapshot that is used although another replica took it.
func TestSnapshotOfAnotherReplica(t *testing.T) {
	c := qt.New(t)
	dir, _ := buildLog(t, 1)
	other, _ := buildLog(t, 1)
	data := readFile(c, dataFiles(other)[0])
	_, code := openWith(c, dataFiles(dir)[0], data)
	c.Assert(code, qt.Equals, fault.StorageCorrupt)

	frame, err := encodeFrame(20, 0, snapshotFile{Version: formatVersion, Segment: 1, Snapshot: raft.Snapshot{Index: 20, Term: 3}})
	c.Assert(err, qt.IsNil)
	_, code = openWith(c, dataFiles(dir)[0], frame)
	c.Assert(code, qt.Equals, fault.StorageCorrupt)
}

// Guards against a host that runs the replica of another host, from whose data directory or
// disk it was started.
func TestOpenRefusesTheDiskOfAnotherHost(t *testing.T) {
	c := qt.New(t)
	listed := func(host string) []raft.Member { return []raft.Member{{ID: 42, Host: host}, {ID: 43, Host: "h9"}} }
	snapshot := &raft.Snapshot{Index: 3, Term: 1, Members: listed("h1")}
	entry := raft.Entry{Index: 4, Term: 1, Kind: raft.EntryMembers, Members: listed("h2")}
	for _, x := range []struct {
		snapshot *raft.Snapshot
		entries  []raft.Entry
		host     string
		want     fault.Code
	}{
		{nil, nil, "h2", ""},
		{snapshot, nil, "h1", ""},
		{snapshot, nil, "h2", fault.StorageForeign},
		{snapshot, nil, "", ""},
		{snapshot, []raft.Entry{entry}, "h2", ""},
		{snapshot, []raft.Entry{entry}, "h1", fault.StorageForeign},
		{&raft.Snapshot{Index: 3, Term: 1, Members: []raft.Member{{ID: 43, Host: "h9"}}}, nil, "h2", ""},
	} {
		dir := t.TempDir()
		l, _, err := Open(dir, Options{NewReplicaID: func() raft.ReplicaID { return 42 }})
		c.Assert(err, qt.IsNil)
		if x.snapshot != nil {
			c.Assert(l.SaveSnapshot(*x.snapshot), qt.IsNil)
		}
		c.Assert(l.Save(nil, x.entries), qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
		l, _, err = Open(dir, Options{Host: x.host})
		c.Assert(fault.CodeOf(err), qt.Equals, x.want, qt.Commentf("%+v", x))
		if err == nil {
			c.Assert(l.Close(), qt.IsNil)
		}
	}
}

// Guards against a failed sync or a full disk after which acknowledged data is lost, the
// next call succeeds, or the error has no code.
func TestStorageFailures(t *testing.T) {
	calls, want, failures := testCalls(), statesAfter(testCalls()), 0
	for n := 1; n < 400; n++ {
		c := qt.New(t)
		dir, fs := t.TempDir(), &faultFS{writeBudget: 1 << 30, synced: map[string]int64{}}
		if n < 60 {
			fs.failSync = n
		} else {
			fs.writeBudget = (n - 60) * 16
		}
		acked := 0
		l, _, err := Open(dir, Options{FS: fs, SegmentBytes: 200})
		for ; err == nil && acked < len(calls); acked++ {
			if err = calls[acked].run(l); err != nil {
				break
			}
		}
		if err != nil {
			failures++
			c.Assert(fault.CodeOf(err), qt.Equals, fault.StorageFailed)
		}
		if l != nil {
			c.Assert(int(l.Syncs()), qt.Equals, fs.syncs)
			fs.failSync, fs.writeBudget = 0, 1<<30
			if err != nil {
				c.Assert(fault.CodeOf(l.Save(&raft.HardState{Term: 9}, nil)), qt.Equals, fault.StorageFailed)
				c.Assert(fault.CodeOf(l.SaveSnapshot(raft.Snapshot{Index: 99})), qt.Equals, fault.StorageFailed)
			}
			c.Assert(l.Close(), qt.IsNil)
		}
		fs.crash()
		l, got, err := Open(dir, Options{})
		c.Assert(err, qt.IsNil)
		if !equalStates(got, want[acked]) {
			acked++ // the call that failed may be completely durable
		}
		c.Assert(equalStates(got, want[min(acked, len(calls))]), qt.IsTrue, qt.Commentf("failure %d, call %d: got %v", n, acked, got))
		for ; acked < len(calls); acked++ {
			c.Assert(calls[acked].run(l), qt.IsNil)
		}
		c.Assert(l.Close(), qt.IsNil)
		got, err = reopen(dir)
		c.Assert(err, qt.IsNil)
		c.Assert(equalStates(got, want[len(calls)]), qt.IsTrue)
	}
	qt.Assert(t, failures > 20, qt.IsTrue)
}

// Guards against two processes in one directory, and against calls that would leave a
// gap in the log.
func TestLockAndInvalidCalls(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir, Options{NewReplicaID: func() raft.ReplicaID { return 42 }})
	c.Assert(err, qt.IsNil)
	_, _, err = Open(dir, Options{})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.StorageFailed)
	c.Assert(fault.CodeOf(l.Save(nil, testEntries(1, 2, 3))), qt.Equals, fault.Internal)
	c.Assert(fault.CodeOf(l.Save(nil, testEntries(1, 0, 1))), qt.Equals, fault.Internal)
	c.Assert(l.Save(nil, append(testEntries(1, 1, 1), testEntries(1, 3, 3)...)), qt.IsNotNil)
	c.Assert(fault.CodeOf(l.SaveSnapshot(raft.Snapshot{})), qt.Equals, fault.Internal)
	before := l.Syncs()
	c.Assert(l.Save(nil, nil), qt.IsNil)
	c.Assert(l.Save(nil, testEntries(1, 1, 100)), qt.IsNil)
	c.Assert(l.Syncs(), qt.Equals, before+1)
	c.Assert(l.Close(), qt.IsNil)
	c.Assert(fault.CodeOf(l.Save(nil, testEntries(1, 101, 101))), qt.Equals, fault.StorageFailed)
	l, r, err := Open(dir, Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(l.ReplicaID(), qt.Equals, raft.ReplicaID(42))
	c.Assert(r.Entries, qt.HasLen, 100)
	c.Assert(l.Close(), qt.IsNil)
}

// Guards against damage of any form that causes a panic, an error without a code, or a
// state that was never saved. Only a shorter file may yield an earlier state.
func FuzzRecovery(f *testing.F) {
	f.Add(uint(0), uint(0), byte(0), []byte(nil))
	f.Add(uint(1), uint(40), byte(0xff), []byte("x"))
	f.Add(uint(300), uint(700), byte(1), make([]byte, 600))
	// A log cut back to before the snapshot would lose a vote that was acknowledged.
	f.Add(uint(373), uint(700), byte(1), []byte("000000"))
	f.Fuzz(func(t *testing.T, cut, at uint, flip byte, tail []byte) {
		c := qt.New(t)
		dir, want := buildLog(t, 0)
		path := dataFiles(dir)[1]
		data := readFile(c, path)
		full := uint(len(data))
		data = append(data[:full-cut%full], tail...)
		data[at%uint(len(data))] ^= flip
		got, code := openWith(c, path, data)
		if code == fault.StorageCorrupt {
			return
		}
		whole := cut%full == 0
		i := slices.IndexFunc(want, func(r raft.Restored) bool { return equalStates(r, got) })
		c.Assert(code == "" && i >= 0 && (!whole || i == len(want)-1), qt.IsTrue, qt.Commentf("%s, state %d: %v", code, i, got))
	})
}

func BenchmarkSave(b *testing.B) {
	for _, batch := range []uint64{1, 16, 256} {
		b.Run(fmt.Sprint("entries=", batch), func(b *testing.B) {
			l, _, err := Open(b.TempDir(), Options{})
			qt.Assert(b, err, qt.IsNil)
			es := testEntries(1, 1, batch)
			for i := range es {
				es[i].Data = make([]byte, 200)
			}
			before := l.Syncs()
			for b.Loop() {
				if err := l.Save(&raft.HardState{Term: 1}, es); err != nil {
					b.Fatal(err)
				}
			}
			n := float64(b.N) * float64(batch)
			b.ReportMetric(n/b.Elapsed().Seconds(), "entries/s")
			b.ReportMetric(float64(l.Syncs()-before)/n, "syncs/entry")
			qt.Assert(b, l.Close(), qt.IsNil)
		})
	}
}
