package peer

import (
	"bufio"
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

func encodeFrames(bodies ...[]byte) []byte {
	var buf bytes.Buffer
	w := frameWriter{w: bufio.NewWriter(&buf), mac: newFrameMAC(testKey)}
	for _, b := range bodies {
		w.write(b)
	}
	w.w.Flush()
	return buf.Bytes()
}

func newTestReader(b []byte) *frameReader {
	return &frameReader{r: bufio.NewReader(bytes.NewReader(b)), mac: newFrameMAC(testKey)}
}

// Guards against the acceptance of frames that are repeated, omitted, changed, truncated,
// too long or too short.
func TestInvalidFramesAreRejected(t *testing.T) {
	c := qt.New(t)
	one, two := encodeFrames([]byte("one")), encodeFrames([]byte("one"), []byte("two"))
	tampered := bytes.Clone(one)
	tampered[len(tampered)-1] ^= 1
	for _, test := range []struct {
		name  string
		data  []byte
		valid int
		code  fault.Code
	}{
		{"replayed", append(bytes.Clone(one), one...), 1, fault.FrameInvalid},
		{"omitted", two[len(one):], 0, fault.FrameInvalid},
		{"tampered", tampered, 0, fault.FrameInvalid},
		{"too long", []byte{0xff, 0xff, 0xff, 0xff}, 0, fault.FrameTooLarge},
		{"too short", []byte{0, 0, 0, 15}, 0, fault.FrameInvalid},
		{"cut", two[:len(two)-1], 1, fault.Internal},
	} {
		c.Run(test.name, func(c *qt.C) {
			r := newTestReader(test.data)
			for range test.valid {
				_, err := r.read()
				c.Assert(err, qt.IsNil)
			}
			_, err := r.read()
			c.Assert(fault.CodeOf(err), qt.Equals, test.code)
		})
	}
}

// Guards against a panic, an unbounded read, or the acceptance of a frame that was not
// written with the key.
func FuzzReadFrame(f *testing.F) {
	f.Add(encodeFrames([]byte("one"), nil, []byte("three")))
	f.Add(encodeFrames(make([]byte, 70_000)))
	f.Add([]byte{0, 0, 0, 16})
	f.Add([]byte{0, 16, 0, 17, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newTestReader(data)
		var accepted [][]byte
		for {
			body, err := r.read()
			if err != nil {
				break
			}
			accepted = append(accepted, bytes.Clone(body))
		}
		if written := encodeFrames(accepted...); !bytes.HasPrefix(data, written) {
			t.Fatalf("accepted %d frames that were not written with the key", len(accepted))
		}
	})
}

// Guards against a panic on a message of an unauthenticated peer, and against decoding it
// wrongly.
func FuzzDecodeHello(f *testing.F) {
	f.Add(newHello("a", "b", 7).encode())
	f.Add(append(newHello("host-1", "host-2", 1<<63).encode(), make([]byte, proofBytes)...))
	f.Add([]byte{protocolVersion})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, rest, err := decodeHello(data)
		if err != nil {
			if fault.CodeOf(err) != fault.FrameInvalid {
				t.Fatalf("error without the code of an invalid frame: %v", err)
			}
			return
		}
		if got := append(h.encode(), rest...); !bytes.Equal(got, data) {
			t.Fatalf("decoded %x from %x", got, data)
		}
	})
}
