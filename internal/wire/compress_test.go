package wire

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

// Guards against a small message that fills a host's memory, and against damaged ones.
func TestDecompressRefuses(t *testing.T) {
	c := qt.New(t)
	payload := bytes.Repeat([]byte("route "), 5_000)
	compressed, err := Compress(payload)
	c.Assert(err, qt.IsNil)
	c.Assert(len(compressed) < len(payload)/10, qt.IsTrue)
	got, err := Decompress(compressed)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, payload)

	_, err = Decompress(compressed[:len(compressed)/2])
	c.Assert(fault.CodeOf(err), qt.Equals, fault.FrameInvalid)
	huge, err := Compress(make([]byte, maxDecompressedBytes+1))
	c.Assert(err, qt.IsNil)
	_, err = Decompress(huge)
	c.Assert(fault.CodeOf(err), qt.Equals, fault.FrameTooLarge)
}
