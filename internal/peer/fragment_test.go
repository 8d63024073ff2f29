package peer

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// Guards against a message that is joined from the fragments of two, or of which the first are
// missing because they were lost with an earlier session, and against one that fills the memory.
func TestReassembly(t *testing.T) {
	c := qt.New(t)
	payload := bytes.Repeat([]byte("0123456789"), fragmentBytes/4)
	parts := fragments(wire.KindCatalog, payload)
	c.Assert(parts, qt.HasLen, 3)
	var r reassembly
	add := func(f wire.Fragment) []byte {
		whole, err := r.add(f)
		c.Assert(err, qt.IsNil)
		return whole
	}
	c.Assert(add(parts[1]), qt.IsNil)
	c.Assert(add(parts[2]), qt.IsNil)
	c.Assert(add(parts[0]), qt.IsNil)
	c.Assert(add(parts[2]), qt.IsNil)
	for range 2 {
		c.Assert(add(parts[0]), qt.IsNil)
		c.Assert(add(parts[1]), qt.IsNil)
		c.Assert(bytes.Equal(add(parts[2]), payload), qt.IsTrue)
	}
	var err error
	for i := 0; err == nil; i++ {
		_, err = r.add(wire.Fragment{Kind: wire.KindCatalog, Part: i, Data: make([]byte, fragmentBytes)})
	}
	c.Assert(fault.CodeOf(err), qt.Equals, fault.FrameTooLarge)
	c.Assert(len(r.data) <= MaxMessageBytes, qt.IsTrue)
}
