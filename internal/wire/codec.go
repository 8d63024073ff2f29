package wire

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldshunt/internal/fault"
)

// extended is a message with an extension: fields that were added after hosts with the message
// were released. The extension follows the message as a second array, because a host refuses an
// array of another length than its own but ignores what follows it. Fields that are added to a
// released extension need one more: an extension may have one itself.
type extended interface {
	// Extension returns nil if there is nothing to add.
	Extension() any
}

// extensionTarget is implemented by pointers to extended messages.
type extensionTarget interface{ ExtensionTarget() any }

// Encoded is a message that Marshal has encoded, for a message that goes to many hosts.
type Encoded []byte

// Marshal encodes a message. Structs are encoded as arrays, without field names. Fields that are
// added to a released message belong into its extension. It returns an Encoded as it is.
func Marshal(v any) ([]byte, error) {
	if b, ok := v.(Encoded); ok {
		return b, nil
	}
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fault.Wrap(err, fault.FrameInvalid, "", "encode %T", v)
	}
	for m, ok := v.(extended); ok; {
		extension := m.Extension()
		if extension == nil {
			break
		}
		if err := enc.Encode(extension); err != nil {
			return nil, fault.Wrap(err, fault.FrameInvalid, "", "encode the extension of %T", m)
		}
		m, ok = extension.(extended)
	}
	return buf.Bytes(), nil
}

// Unmarshal decodes a message that Marshal encoded. It returns a FrameInvalid error
// for bytes that are not such a message.
func Unmarshal(b []byte, v any) error {
	m, ok := v.(extensionTarget)
	if !ok {
		return fault.Wrap(msgpack.Unmarshal(b, v), fault.FrameInvalid, "", "decode %T", v)
	}
	r := bytes.NewReader(b)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.UsePreallocateValues(true)
	dec.Reset(r)
	if err := dec.Decode(v); err != nil {
		return fault.Wrap(err, fault.FrameInvalid, "", "decode %T", v)
	}
	for ; ok && r.Len() > 0; m, ok = v.(extensionTarget) {
		v = m.ExtensionTarget()
		if err := dec.Decode(v); err != nil {
			return fault.Wrap(err, fault.FrameInvalid, "", "decode the extension of %T", m)
		}
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
