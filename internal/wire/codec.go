package wire

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldshunt/internal/fault"
)

// Marshal encodes a message. Structs are encoded as arrays, which keeps field names
// off the wire; fields are therefore only ever added at the end.
func Marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fault.Wrap(err, fault.FrameInvalid, "", "encode %T", v)
	}
	return buf.Bytes(), nil
}

// Unmarshal decodes a message that Marshal encoded. It returns a FrameInvalid error
// for bytes that are not such a message.
func Unmarshal(b []byte, v any) error {
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fault.Wrap(err, fault.FrameInvalid, "", "decode %T", v)
	}
	return nil
}
