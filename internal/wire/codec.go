package wire

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldshunt/internal/fault"
)

// Marshal encodes a message. Structs are encoded as arrays, without field names. Unmarshal
// refuses an array whose length differs from the number of fields, so hosts of another
// version can't decode a struct with a new field: new content needs a new kind of message.
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

// PoolOf returns the pool named in a message to a scheduler without decoding the whole
// message. It returns an empty string for other kinds and for malformed payloads.
func PoolOf(kind Kind, payload []byte) string {
	skip := 0
	switch kind {
	case KindTicket, KindCancel, KindFinish, KindGrantReturn:
		// The id comes first.
		skip = 1
	case KindRouterHeartbeat, KindSync:
	default:
		return ""
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(payload))
	if n, err := dec.DecodeArrayLen(); err != nil || n <= skip {
		return ""
	}
	for range skip {
		if dec.Skip() != nil {
			return ""
		}
	}
	pool, err := dec.DecodeString()
	if err != nil {
		return ""
	}
	return pool
}
