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

// Guards against members whose similar names get very different numbers of keys.
func TestBestIsEven(t *testing.T) {
	c := qt.New(t)
	const keys, n = 40_000, 16
	count := map[string]int{}
	for k := range uint64(keys) {
		count[Best(k, members(n))]++
	}
	for _, m := range members(n) {
		c.Assert(count[m] > keys/n*8/10 && count[m] < keys/n*12/10, qt.IsTrue, qt.Commentf("%s has %d keys", m, count[m]))
	}
}

// Guards against keys that move between members which are both still there.
func TestLossMovesOnlyTheKeysOfTheLost(t *testing.T) {
	c := qt.New(t)
	all := members(12)
	for k := range uint64(2_000) {
		before, after := Best(k, all), Best(k, all[1:])
		if before != all[0] {
			c.Assert(after, qt.Equals, before)
		}
	}
}

// Guards against a choice that depends on the order of the members.
func TestBestIgnoresOrder(t *testing.T) {
	c := qt.New(t)
	c.Assert(Best(7, []string{"a", "b", "c"}), qt.Equals, Best(7, []string{"c", "a", "b"}))
	c.Assert(Best(7, nil), qt.Equals, "")
}

// Guards against names that run into each other.
func TestHashSeparatesParts(t *testing.T) {
	c := qt.New(t)
	c.Assert(Hash("ab", "c") == Hash("a", "bc"), qt.IsFalse)
	c.Assert(Hash("ab") == Hash("ab", ""), qt.IsFalse)
}
