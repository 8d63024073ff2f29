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

// faultFS fails from its nth sync on and when a budget of written bytes is used up. A
// crash takes away the bytes and the new names that were not synced.
type faultFS struct {
	OSFS
	syncs, failSync, budget int
	synced                  map[string]int64
	renamed                 []string
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
	if f.fs.budget -= len(b); f.fs.budget < 0 {
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

func entries(term, from, to uint64) (es []raft.Entry) {
	for i := from; i <= to; i++ {
		es = append(es, raft.Entry{Index: i, Term: term, Kind: raft.EntryCommand, Data: fmt.Appendf(nil, "command %d of term %d", i, term)})
	}
	return es
}

// op is one call; exactly one part is used. The model is the state that a restart has to
// return.
type op struct {
	hard     *raft.HardState
	entries  []raft.Entry
	snapshot *raft.Snapshot
}

func (o op) run(l *Log) error {
	if o.snapshot != nil {
		return errors.Join(l.SaveSnapshot(*o.snapshot), l.Release(o.snapshot.Index))
	}
	return l.Save(o.hard, o.entries)
}

func (o op) model(r raft.Restored) raft.Restored {
	if s := o.snapshot; s != nil {
		i := slices.IndexFunc(r.Entries, func(e raft.Entry) bool { return e.Index == s.Index && e.Term == s.Term })
		if r.Entries = slices.Clone(r.Entries[i+1:]); i < 0 {
			r.Entries = nil
		}
		r.Snapshot = *s
		return r
	}
	if len(o.entries) > 0 {
		r.Entries = append(slices.Clone(r.Entries[:o.entries[0].Index-r.Snapshot.Index-1]), o.entries...)
	}
	if o.hard != nil {
		r.Hard = *o.hard
	}
	return r
}

var members = []raft.Member{{ID: 7, Host: "h1"}, {ID: 9, Host: "h2", Learner: true}}

// history covers a replaced tail, an own and a foreign snapshot, and several segments.
func history() []op {
	return []op{
		{hard: &raft.HardState{Term: 1, Vote: 7}, entries: entries(1, 1, 4)},
		{entries: []raft.Entry{{Index: 5, Term: 1, Kind: raft.EntryMembers, Members: members}}},
		{hard: &raft.HardState{Term: 2, Commit: 3}, entries: entries(2, 4, 6)},
		{snapshot: &raft.Snapshot{Index: 3, Term: 1, Members: members, Data: []byte("three")}},
		{entries: entries(2, 7, 9)},
		{snapshot: &raft.Snapshot{Index: 20, Term: 3, Data: []byte("twenty")}},
		{hard: &raft.HardState{Term: 3, Commit: 20}, entries: entries(3, 21, 23)},
		{hard: &raft.HardState{Term: 4, Commit: 22}, entries: entries(4, 23, 55)},
	}
}

func states(ops []op) []raft.Restored {
	out := []raft.Restored{{}}
	for _, o := range ops {
		out = append(out, o.model(out[len(out)-1]))
	}
	return out
}

func same(a, b raft.Restored) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// build runs the history and returns its states and the directory.
func build(t testing.TB, segmentBytes int) (dir string, want []raft.Restored) {
	c := qt.New(t)
	dir = t.TempDir()
	l, _, err := Open(dir, Options{SegmentBytes: segmentBytes})
	c.Assert(err, qt.IsNil)
	for _, o := range history() {
		c.Assert(o.run(l), qt.IsNil)
	}
	c.Assert(l.Close(), qt.IsNil)
	return dir, states(history())
}

func reopen(dir string) (raft.Restored, error) {
	l, r, err := Open(dir, Options{})
	if err == nil {
		err = l.Close()
	}
	return r, err
}

// damaged overwrites a file and reports the state, or the code of the error, after it.
func damaged(c *qt.C, path string, data []byte) (raft.Restored, fault.Code) {
	c.Assert(os.WriteFile(path, data, fileMode), qt.IsNil)
	r, err := reopen(filepath.Dir(path))
	return r, fault.CodeOf(err)
}

func read(c *qt.C, path string) []byte {
	data, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	return data
}

func dataFiles(dir string) []string {
	a, _ := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	b, _ := filepath.Glob(filepath.Join(dir, "*"+snapshotSuffix))
	return append(b, a...) // the last segment is the last file
}

// Guards against any sequence of calls and restarts that loses or changes what was saved.
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
			c.Assert(same(got, want) && l.ReplicaID() == id, qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
		}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			term += rapid.Uint64Range(0, 1).Draw(rt, "term")
			first, last := want.Snapshot.Index+1, want.Snapshot.Index+uint64(len(want.Entries))
			o := op{hard: &raft.HardState{Term: term, Commit: first - 1}}
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0, 1:
				from := rapid.Uint64Range(first, last+1).Draw(rt, "from")
				o.entries = entries(term, from, from+rapid.Uint64Range(0, 4).Draw(rt, "count"))
			case 2:
				o.snapshot = &raft.Snapshot{Index: last + 5, Term: term, Members: members}
				if last >= first && rapid.Bool().Draw(rt, "own") {
					e := rapid.SampledFrom(want.Entries).Draw(rt, "at")
					// A term above that of the entry stands for a snapshot of another history.
					term += rapid.Uint64Range(0, 1).Draw(rt, "other")
					o.snapshot.Index, o.snapshot.Term = e.Index, max(e.Term, term-1)
				}
			case 3:
				restart()
			}
			c.Assert(o.run(l), qt.IsNil)
			want = o.model(want)
		}
		restart()
		c.Assert(l.Close(), qt.IsNil)
	})
}

// Guards against a torn last record that stops the restart, that is taken for whole, or
// that spoils what is saved after it.
func TestTornTail(t *testing.T) {
	c := qt.New(t)
	dir, want := build(t, 0)
	ops, k := history(), len(want)-1
	path := dataFiles(dir)[1]
	whole, start, before := read(c, path), 0, 0
	for next := 0; next < len(whole); {
		before, start = start, next
		next += frameLength(1, whole, start)
	}
	// Records after a bad one show that it was synced, whatever the end looks like.
	bad := append(slices.Clone(whole), make([]byte, 2*sectorBytes)...)
	bad[before+headerBytes] ^= 1
	_, code := damaged(c, path, bad)
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
			got, code := damaged(c, path, data)
			c.Assert(code == "" && same(got, want[k-1]), qt.IsTrue, qt.Commentf("cut at %d: %v %v", cut, code, got))
			l, _, err := Open(dir, Options{})
			c.Assert(err, qt.IsNil)
			c.Assert(errors.Join(ops[k-1].run(l), l.Close()), qt.IsNil)
			c.Assert(string(read(c, path)), qt.Equals, string(whole))
		}
	}
}

// Guards against a damaged byte that goes unnoticed or is cut off as a torn tail.
func TestFlippedByte(t *testing.T) {
	c := qt.New(t)
	for _, segmentBytes := range []int{200, 0} {
		dir, _ := build(t, segmentBytes)
		for _, path := range dataFiles(dir) {
			whole := read(c, path)
			for i := range whole {
				for _, flip := range []byte{0x01, 0x80, 0xff, whole[i]} {
					bad := slices.Clone(whole)
					bad[i] ^= flip
					_, code := damaged(c, path, bad)
					c.Assert(code == fault.StorageCorrupt || flip == 0, qt.IsTrue, qt.Commentf("byte %d of %s, flip %x", i, filepath.Base(path), flip))
				}
			}
			_, code := damaged(c, path, whole)
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
			_ = os.Truncate(files[2], int64(frameLength(7, read(c, files[2]), 0)))
		},
	} {
		dir, _ := build(t, 1)
		damage(dataFiles(dir)) // snapshot 20 and segments 6 to 8
		_, err := reopen(dir)
		c.Assert(err, qt.ErrorMatches, "storage_corrupt: "+want)
	}
}

// Guards against a failed sync or a full disk that loses acknowledged data, that is
// forgotten by the next call, or that has no type.
func TestFailures(t *testing.T) {
	ops, want, failures := history(), states(history()), 0
	for n := 1; n < 400; n++ {
		c := qt.New(t)
		dir, fs := t.TempDir(), &faultFS{budget: 1 << 30, synced: map[string]int64{}}
		if n < 60 {
			fs.failSync = n
		} else {
			fs.budget = (n - 60) * 16
		}
		acked := 0
		l, _, err := Open(dir, Options{FS: fs, SegmentBytes: 200})
		for ; err == nil && acked < len(ops); acked++ {
			if err = ops[acked].run(l); err != nil {
				break
			}
		}
		if err != nil {
			failures++
			c.Assert(fault.CodeOf(err), qt.Equals, fault.StorageFailed)
		}
		if l != nil {
			c.Assert(int(l.Syncs()), qt.Equals, fs.syncs)
			fs.failSync, fs.budget = 0, 1<<30
			if err != nil {
				c.Assert(fault.CodeOf(l.Save(&raft.HardState{Term: 9}, nil)), qt.Equals, fault.StorageFailed)
				c.Assert(fault.CodeOf(l.SaveSnapshot(raft.Snapshot{Index: 99})), qt.Equals, fault.StorageFailed)
			}
			c.Assert(l.Close(), qt.IsNil)
		}
		fs.crash()
		l, got, err := Open(dir, Options{})
		c.Assert(err, qt.IsNil)
		if !same(got, want[acked]) {
			acked++ // the call that failed may be durable as a whole
		}
		c.Assert(same(got, want[min(acked, len(ops))]), qt.IsTrue, qt.Commentf("failure %d, call %d: got %v", n, acked, got))
		for ; acked < len(ops); acked++ {
			c.Assert(ops[acked].run(l), qt.IsNil)
		}
		c.Assert(l.Close(), qt.IsNil)
		got, err = reopen(dir)
		c.Assert(err, qt.IsNil)
		c.Assert(same(got, want[len(ops)]), qt.IsTrue)
	}
	qt.Assert(t, failures > 20, qt.IsTrue)
}

// Guards against two processes in one directory, and against calls that would leave a
// gap in the log.
func TestLockAndMisuse(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir, Options{NewReplicaID: func() raft.ReplicaID { return 42 }})
	c.Assert(err, qt.IsNil)
	_, _, err = Open(dir, Options{})
	c.Assert(fault.CodeOf(err), qt.Equals, fault.StorageFailed)
	c.Assert(fault.CodeOf(l.Save(nil, entries(1, 2, 3))), qt.Equals, fault.Internal)
	c.Assert(fault.CodeOf(l.Save(nil, entries(1, 0, 1))), qt.Equals, fault.Internal)
	c.Assert(l.Save(nil, append(entries(1, 1, 1), entries(1, 3, 3)...)), qt.IsNotNil)
	c.Assert(fault.CodeOf(l.SaveSnapshot(raft.Snapshot{})), qt.Equals, fault.Internal)
	before := l.Syncs()
	c.Assert(l.Save(nil, nil), qt.IsNil)
	c.Assert(l.Save(nil, entries(1, 1, 100)), qt.IsNil)
	c.Assert(l.Syncs(), qt.Equals, before+1)
	c.Assert(l.Close(), qt.IsNil)
	c.Assert(fault.CodeOf(l.Save(nil, entries(1, 101, 101))), qt.Equals, fault.StorageFailed)
	l, r, err := Open(dir, Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(l.ReplicaID(), qt.Equals, raft.ReplicaID(42))
	c.Assert(r.Entries, qt.HasLen, 100)
	c.Assert(l.Close(), qt.IsNil)
}

// Guards against damage of any form that panics, has no type, or yields a state that was
// never saved. Only a shorter file may yield an earlier state.
func FuzzRecovery(f *testing.F) {
	f.Add(uint(0), uint(0), byte(0), []byte(nil))
	f.Add(uint(1), uint(40), byte(0xff), []byte("x"))
	f.Add(uint(300), uint(700), byte(1), make([]byte, 600))
	// A log cut back to before the snapshot would lose a vote that was acknowledged.
	f.Add(uint(373), uint(700), byte(1), []byte("000000"))
	f.Fuzz(func(t *testing.T, cut, at uint, flip byte, tail []byte) {
		c := qt.New(t)
		dir, want := build(t, 0)
		path := dataFiles(dir)[1]
		data := read(c, path)
		full := uint(len(data))
		data = append(data[:full-cut%full], tail...)
		data[at%uint(len(data))] ^= flip
		got, code := damaged(c, path, data)
		if code == fault.StorageCorrupt {
			return
		}
		whole := cut%full == 0
		i := slices.IndexFunc(want, func(r raft.Restored) bool { return same(r, got) })
		c.Assert(code == "" && i >= 0 && (!whole || i == len(want)-1), qt.IsTrue, qt.Commentf("%s, state %d: %v", code, i, got))
	})
}

func BenchmarkSave(b *testing.B) {
	for _, batch := range []uint64{1, 16, 256} {
		b.Run(fmt.Sprint("entries=", batch), func(b *testing.B) {
			l, _, err := Open(b.TempDir(), Options{})
			qt.Assert(b, err, qt.IsNil)
			es := entries(1, 1, batch)
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
