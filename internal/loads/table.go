package loads

import (
	"encoding/binary"
	"math"
	"time"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// valuesPerEntry is the most values that an entry of a table has.
const valuesPerEntry = 3

// A code is a value on a logarithmic scale: code n stands for codeBase^(n/codeSteps) - 1. In
// fleets of less than coarseHosts hosts, codes are sent in two bytes and rounding changes a
// value by at most 0.2 %. In larger ones, codes are rounded to whole codeSteps and sent in one
// byte, which changes a value by at most 3 % and whole numbers up to 16 not at all.
const (
	codeBase  = 1.06
	codeSteps = 16
	maxCode   = 254 * codeSteps
	// goneCode in the first value marks an entry that is no longer in the loads.
	goneCode = 255 * codeSteps
)

// A value that differs from the last sent one by no more than changeFraction of it, or by
// no more than the smallest change of its kind, is sent again only after refreshVersions.
// Both are lower in proportion in fleets of less than coarseHosts hosts, which have fewer
// loads to send.
const (
	changeFraction  = 0.1
	refreshVersions = 8
	coarseHosts     = 100
)

// smallestChange holds the smallest changes that matter to the choice of an instance or
// to an account's rank in a large fleet.
var smallestChange = map[wire.LoadEntryKind][valuesPerEntry]float64{
	// A backlog of 600 tokens is read in about 15 ms. Running requests matter when they reach
	// the slots of the engine.
	wire.LoadEntryGate:     {600, 3, 2},
	wire.LoadEntryInstance: {0, 600, 0},
	wire.LoadEntryAccount:  {25, 25, 0},
}

// encode returns the code of a value, rounded to whole codeSteps if coarse.
func encode(v float64, coarse bool) uint16 {
	if v <= 0 || math.IsNaN(v) {
		return 0
	}
	steps := math.Log1p(v) / math.Log(codeBase)
	if coarse {
		return uint16(min(math.Round(steps)*codeSteps, maxCode))
	}
	return uint16(min(math.Round(steps*codeSteps), maxCode))
}

// decodedValues holds the value of each code.
var decodedValues = func() (list [maxCode + 1]float64) {
	for code := range list {
		list[code] = math.Pow(codeBase, float64(code)/codeSteps) - 1
	}
	return list
}()

type codes [valuesPerEntry]uint16

// table holds loads as numbered entries with versions, so that a message can carry what
// changed since a version. Receivers hold it as a replica.
type table struct {
	id, version uint64
	entries     []tableEntry
	index       map[wire.LoadEntry]int
	gone        int
	// coarseness is the part of changeFraction and smallestChange that applies; 1 means that
	// codes are sent in one byte.
	coarseness float64
}

type tableEntry struct {
	wire.LoadEntry
	codes codes
	// added is the version in which the entry came, changed those of the last changes of
	// its values.
	added   uint64
	changed [valuesPerEntry]uint64
	// seen is the last version in which the loads held the entry.
	seen uint64
}

// minGoneEntries is the number of entries that are no longer in the loads from which a table
// is numbered anew, if they are more than half of its entries.
const minGoneEntries = 64

// update makes loads the next version of the table, in a fleet of a number of hosts. A table
// with many entries that are gone, or whose codes change their length, begins anew.
func (t *table) update(l wire.Loads, hosts int, now time.Time) {
	coarseness := min(float64(hosts)/coarseHosts, 1)
	if t.index == nil || t.gone > minGoneEntries && t.gone > len(t.entries)/2 || t.coarse() != (coarseness >= 1) {
		*t = table{id: uint64(now.UnixNano()), index: map[wire.LoadEntry]int{}}
	}
	t.version++
	t.coarseness = coarseness
	for _, g := range l.Gates {
		t.set(wire.LoadEntry{Kind: wire.LoadEntryGate, ID: g.ID, Born: g.Born}, float64(g.Backlog), float64(g.Running), g.PerMs)
	}
	for _, i := range l.Instances {
		t.set(wire.LoadEntry{Kind: wire.LoadEntryInstance, ID: i.ID, Born: i.Born}, float64(i.Running), float64(i.Reading), 0)
	}
	for _, account := range sortedKeys(l.Rates) {
		r := l.Rates[account]
		t.set(wire.LoadEntry{Kind: wire.LoadEntryAccount, ID: account}, float64(r.Asked), float64(r.Served), 0)
	}
	t.gone = 0
	for i := range t.entries {
		e := &t.entries[i]
		if e.seen == t.version {
			continue
		}
		t.gone++
		if e.codes[0] != goneCode {
			e.codes, e.changed[0] = codes{goneCode}, t.version
		}
	}
}

func (t *table) set(name wire.LoadEntry, values ...float64) {
	i, known := t.index[name]
	if !known {
		i = len(t.entries)
		t.index[name] = i
		t.entries = append(t.entries, tableEntry{LoadEntry: name, added: t.version, codes: codes{goneCode}})
	}
	e := &t.entries[i]
	e.seen = t.version
	returned := e.codes[0] == goneCode
	for k, v := range values {
		code := encode(v, t.coarse())
		due := t.version-e.changed[k] >= refreshVersions
		if returned || code != e.codes[k] && (due || t.matters(v, decodedValues[e.codes[k]], smallestChange[name.Kind][k])) {
			e.codes[k], e.changed[k] = code, t.version
		}
	}
}

func (t *table) coarse() bool { return t.coarseness >= 1 }

// matters reports whether a value differs enough from the one that was sent.
func (t *table) matters(v, sent, smallest float64) bool {
	return math.Abs(v-sent) > t.coarseness*max(smallest, changeFraction*sent)
}

// changes returns the changes since a version of the table.
func (t *table) changes(from uint64) wire.LoadChanges {
	m := wire.LoadChanges{Table: t.id, From: from, To: t.version, FirstEntry: len(t.entries)}
	for i := len(t.entries); i > 0 && t.entries[i-1].added > from; i-- {
		m.FirstEntry = i - 1
	}
	for _, e := range t.entries[m.FirstEntry:] {
		m.Entries = append(m.Entries, e.LoadEntry)
	}
	m.Values = []byte{fineCodes}
	if t.coarse() {
		m.Values[0] = coarseCodes
	}
	for k := range valuesPerEntry {
		m.Values = t.appendChanged(m.Values, k, from)
	}
	return m
}

// The first byte of encoded values is the number of bytes of a code.
const (
	coarseCodes = 1
	fineCodes   = 2
)

// appendChanged appends the changed values number k: their count, and for each the
// distance of its entry from the one before and its code.
func (t *table) appendChanged(out []byte, k int, from uint64) []byte {
	count := 0
	for i := range t.entries {
		if t.entries[i].changed[k] > from {
			count++
		}
	}
	out = binary.AppendUvarint(out, uint64(count))
	next := 0
	for i := range t.entries {
		if e := &t.entries[i]; e.changed[k] > from {
			out = binary.AppendUvarint(out, uint64(i-next))
			if t.coarse() {
				out = append(out, uint8(e.codes[k]/codeSteps))
			} else {
				out = binary.BigEndian.AppendUint16(out, e.codes[k])
			}
			next = i + 1
		}
	}
	return out
}

// replica is a receiver's copy of a table.
type replica struct {
	origin      string
	id, version uint64
	entries     []wire.LoadEntry
	codes       []codes
	// at is when the last change was applied.
	at time.Time
}

// maxEntries bounds the entries of a replica.
const maxEntries = 100_000

// apply applies changes. It returns false if the replica lacks an earlier version or has a
// later one already, and a FrameInvalid error for changes that are malformed; the replica
// is then unchanged or, after the error, has to be replaced.
func (r *replica) apply(m *wire.LoadChanges, now time.Time) (bool, error) {
	if m.From == 0 && m.Table != r.id {
		*r = replica{origin: m.Origin, id: m.Table}
	}
	if m.Table != r.id || m.From > r.version || m.To <= r.version {
		return false, nil
	}
	if m.FirstEntry < 0 || m.FirstEntry > len(r.entries) || m.FirstEntry+len(m.Entries) > maxEntries {
		return false, r.invalid("entries from %d on, after %d", m.FirstEntry, len(r.entries))
	}
	for _, e := range m.Entries[min(len(r.entries)-m.FirstEntry, len(m.Entries)):] {
		r.entries, r.codes = append(r.entries, e), append(r.codes, codes{goneCode})
	}
	if len(m.Values) == 0 || m.Values[0] != coarseCodes && m.Values[0] != fineCodes {
		return false, r.invalid("unknown length of codes")
	}
	values, codeBytes := m.Values[1:], int(m.Values[0])
	for k := range valuesPerEntry {
		var err error
		if values, err = r.applyValues(values, codeBytes, k); err != nil {
			return false, err
		}
	}
	r.version, r.at = m.To, now
	return true, nil
}

// applyValues sets the values number k and returns the rest of the encoded values.
func (r *replica) applyValues(in []byte, codeBytes, k int) ([]byte, error) {
	count, n := binary.Uvarint(in)
	if n <= 0 {
		return nil, r.invalid("no count of values")
	}
	in = in[n:]
	next := uint64(0)
	for range min(count, maxEntries+1) {
		gap, n := binary.Uvarint(in)
		if n <= 0 || n+codeBytes > len(in) || gap >= maxEntries || next+gap >= uint64(len(r.codes)) {
			return nil, r.invalid("a value of an unknown entry")
		}
		r.codes[next+gap][k] = decodeCode(in[n:], codeBytes)
		next += gap + 1
		in = in[n+codeBytes:]
	}
	return in, nil
}

func decodeCode(in []byte, codeBytes int) uint16 {
	if codeBytes == coarseCodes {
		return uint16(in[0]) * codeSteps
	}
	return min(binary.BigEndian.Uint16(in), goneCode)
}

// invalid empties the replica, so that the sender is asked for the whole table.
func (r *replica) invalid(format string, args ...any) error {
	*r = replica{}
	return fault.New(fault.FrameInvalid, "", "changes of loads: "+format, args...)
}

// loads returns the loads that the replica holds.
func (r *replica) loads() wire.Loads {
	out := wire.Loads{Rates: map[string]wire.AccountRate{}}
	for i, e := range r.entries {
		c := r.codes[i]
		if c[0] == goneCode {
			continue
		}
		v := func(k int) float64 { return decodedValues[min(c[k], maxCode)] }
		whole := func(k int) int { return int(math.Round(v(k))) }
		switch e.Kind {
		case wire.LoadEntryGate:
			out.Gates = append(out.Gates, wire.GateLoad{ID: e.ID, Born: e.Born, Backlog: whole(0), Running: whole(1), PerMs: v(2)})
		case wire.LoadEntryInstance:
			out.Instances = append(out.Instances, wire.InstanceLoad{ID: e.ID, Born: e.Born, Running: whole(0), Reading: whole(1)})
		case wire.LoadEntryAccount:
			out.Rates[e.ID] = wire.AccountRate{Asked: float32(v(0)), Served: float32(v(1))}
		}
	}
	return out
}
