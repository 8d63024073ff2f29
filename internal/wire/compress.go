package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"marigoldshunt/internal/fault"
)

// maxDecompressedBytes bounds a decompressed message. No message of the control group is larger.
const maxDecompressedBytes = 64 << 20

// Compress compresses an encoded message.
func Compress(payload []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(payload)
	}
	if err == nil {
		err = w.Close()
	}
	return buf.Bytes(), fault.Wrap(err, fault.Internal, "", "compress a message")
}

// Decompress returns the message that Compress compressed. It returns FrameInvalid for bytes that are
// no such message, and FrameTooLarge for a message above maxDecompressedBytes.
func Decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	payload, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.FrameInvalid, "", "decompress a message")
	}
	if len(payload) > maxDecompressedBytes {
		return nil, fault.New(fault.FrameTooLarge, "", "a decompressed message exceeds %d bytes", maxDecompressedBytes)
	}
	return payload, nil
}
