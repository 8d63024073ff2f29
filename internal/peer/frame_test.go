package peer

import (
	"bufio"
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/fault"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

func frames(bodies ...[]byte) []byte {
	var buf bytes.Buffer
	w := frameWriter{w: bufio.NewWriter(&buf), seal: newSealer(testKey)}
	for _, b := range bodies {
		w.write(b)
	}
	w.w.Flush()
	return buf.Bytes()
}

func reader(b []byte) *frameReader {
	return &frameReader{r: bufio.NewReader(bytes.NewReader(b)), seal: newSealer(testKey)}
}

// Guards against acceptance of frames that were repeated, changed, cut or are too long.
func TestFrameRefusals(t *testing.T) {
	c := qt.New(t)
	one, two := frames([]byte("one")), frames([]byte("one"), []byte("two"))
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
			r := reader(test.data)
			for range test.valid {
				_, err := r.read()
				c.Assert(err, qt.IsNil)
			}
			_, err := r.read()
			c.Assert(fault.CodeOf(err), qt.Equals, test.code)
		})
	}
}

// Guards against a panic, an unbounded read, or acceptance of a frame that the holder
// of the key did not write.
func FuzzReadFrame(f *testing.F) {
	f.Add(frames([]byte("one"), nil, []byte("three")))
	f.Add(frames(make([]byte, 70_000)))
	f.Add([]byte{0, 0, 0, 16})
	f.Add([]byte{0, 16, 0, 17, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := reader(data)
		var accepted [][]byte
		for {
			body, err := r.read()
			if err != nil {
				break
			}
			accepted = append(accepted, bytes.Clone(body))
		}
		if written := frames(accepted...); !bytes.HasPrefix(data, written) {
			t.Fatalf("accepted %d frames that were not written with the key", len(accepted))
		}
	})
}

// Guards against a panic on, or a misreading of, messages of unauthenticated peers.
func FuzzDecodeHello(f *testing.F) {
	f.Add(newHello("a", "b", 7).encode())
	f.Add(append(newHello("host-1", "host-2", 1<<63).encode(), make([]byte, proofBytes)...))
	f.Add([]byte{protocolVersion})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, rest, err := decodeHello(data)
		if err != nil {
			if fault.CodeOf(err) != fault.FrameInvalid {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if got := append(h.encode(), rest...); !bytes.Equal(got, data) {
			t.Fatalf("decoded %x from %x", got, data)
		}
	})
}
