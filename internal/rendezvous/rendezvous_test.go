package rendezvous

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func members(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("10.1.0.%d", i+1))
	}
	return list
}

// Guards against an uneven distribution of keys, for example because the names of the
// members are similar.
func TestBestIsEven(t *testing.T) {
	c := qt.New(t)
	const keys, n = 40_000, 16
	count := map[string]int{}
	m := NewMembers(members(n)[0], members(n))
	for k := range uint64(keys) {
		count[m.Best(k)]++
	}
	for _, m := range members(n) {
		c.Assert(count[m] > keys/n*8/10 && count[m] < keys/n*12/10, qt.IsTrue, qt.Commentf("%s has %d keys", m, count[m]))
	}
}

// Guards against moving keys between remaining members when another member is lost.
func TestLossMovesOnlyKeysOfLostMember(t *testing.T) {
	c := qt.New(t)
	all := members(12)
	whole, remaining := NewMembers(all[0], all), NewMembers(all[1], all[1:])
	for k := range uint64(2_000) {
		before, after := whole.Best(k), remaining.Best(k)
		if before != all[0] {
			c.Assert(after, qt.Equals, before)
		}
	}
}

// Guards against a choice that depends on the order of the members.
func TestBestIgnoresOrder(t *testing.T) {
	c := qt.New(t)
	for k := range uint64(100) {
		c.Assert(NewMembers("a", []string{"a", "b", "c"}).Best(k), qt.Equals, NewMembers("c", []string{"c", "a", "b"}).Best(k))
	}
	c.Assert(Members{}.Best(7), qt.Equals, "")
}

// Guards against a member that is missing from its own list or counted twice.
func TestMembersHoldSelfOnce(t *testing.T) {
	c := qt.New(t)
	c.Assert(NewMembers("a", nil).Len(), qt.Equals, 1)
	c.Assert(NewMembers("a", []string{"b", "a"}).Len(), qt.Equals, 2)
	c.Assert(NewMembers("a", []string{"b"}).Len(), qt.Equals, 2)
}

// Guards against ranks that disagree with Best, and against two members of the same rank.
func TestRank(t *testing.T) {
	c := qt.New(t)
	names := members(6)
	m := NewMembers(names[0], names)
	for k := range uint64(200) {
		c.Assert(m.Rank(k, m.Best(k)), qt.Equals, 0)
		places := map[int]bool{}
		for _, n := range names {
			places[m.Rank(k, n)] = true
		}
		c.Assert(places, qt.HasLen, len(names))
	}
}

// Guards against equal hashes of names whose parts differ but are equal when joined.
func TestHashSeparatesParts(t *testing.T) {
	c := qt.New(t)
	c.Assert(Hash("ab", "c") == Hash("a", "bc"), qt.IsFalse)
	c.Assert(Hash("ab") == Hash("ab", ""), qt.IsFalse)
}
