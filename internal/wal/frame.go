package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/wire"
)

// A record on disk is a frame:
//
//	length of payload  4 bytes, little endian
//	CRC32C of payload  4 bytes
//	CRC32C of header   4 bytes, over file number, offset, length and payload CRC
//	payload            a message encoded by package wire
//	end mark           4 bytes, none of them zero
//
// The header CRC protects the length also when the payload is missing. It covers the file
// number and the offset, so that bytes inside a payload, or bytes of another file, are not
// taken for a frame.
//
// A damaged end of the log is a torn tail or corruption. A record is acknowledged after a
// sync, and the next one is written after that, so a crash damages at most the last record
// of the last segment: it is missing, is cut short, or its last sectors are allocated but
// zero. A bad frame counts as a torn tail only if no valid frame follows and one of these
// holds:
//
//  1. fewer bytes than a header are left;
//  2. the header is valid and the file ends before the frame does;
//  3. everything from the start of the frame, or from a sector boundary inside it, to the
//     end of the file is zero. At least two bytes must be zero: the end mark of a complete
//     frame has no zero byte, so one damaged byte can produce only one.
//
// A bad frame that meets none of these conditions is corruption. That includes any complete
// frame with one damaged byte, even the last: the file is long enough, and the header CRC
// detects a damaged length. A crash that wrote the sectors of the last record out of order
// is also reported as corruption: the log then refuses to start rather than drop a record
// that may have been acknowledged.
const (
	headerBytes  = 12
	endMarkBytes = 4
	sectorBytes  = 512
	// maxPayloadBytes bounds the payload of a frame; a snapshot is the largest payload.
	maxPayloadBytes = 1 << 30
)

var (
	endMark    = [endMarkBytes]byte{0xc3, 0x5a, 0xa5, 0x3c}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func headerChecksum(fileNumber uint64, offset int, lengthAndCRC []byte) uint32 {
	var location [16]byte
	binary.LittleEndian.PutUint64(location[:8], fileNumber)
	binary.LittleEndian.PutUint64(location[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(location[:], castagnoli), castagnoli, lengthAndCRC)
}

// encodeFrame returns v as a frame to be written at the given offset of a file.
func encodeFrame(fileNumber uint64, offset int, v any) ([]byte, error) {
	payload, err := wire.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxPayloadBytes {
		return nil, fault.New(fault.Internal, "", "record of %d bytes exceeds %d", len(payload), maxPayloadBytes)
	}
	b := make([]byte, headerBytes, headerBytes+len(payload)+endMarkBytes)
	binary.LittleEndian.PutUint32(b[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[8:], headerChecksum(fileNumber, offset, b[:8]))
	return append(append(b, payload...), endMark[:]...), nil
}

// frameLength returns the length of the frame at offset if its header is valid, else 0.
func frameLength(fileNumber uint64, data []byte, offset int) int {
	if len(data)-offset < headerBytes {
		return 0
	}
	header := data[offset : offset+headerBytes]
	length := binary.LittleEndian.Uint32(header)
	if length == 0 || length > maxPayloadBytes || binary.LittleEndian.Uint32(header[8:]) != headerChecksum(fileNumber, offset, header[:8]) {
		return 0
	}
	return headerBytes + int(length) + endMarkBytes
}

// framePayload returns the payload of the frame at offset and the offset after it; ok is
// false for a frame that is not valid.
func framePayload(fileNumber uint64, data []byte, offset int) (payload []byte, next int, ok bool) {
	n := frameLength(fileNumber, data, offset)
	if n == 0 || n > len(data)-offset {
		return nil, 0, false
	}
	next = offset + n
	payload = data[offset+headerBytes : next-endMarkBytes]
	ok = crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(data[offset+4:]) &&
		bytes.Equal(data[next-endMarkBytes:next], endMark[:])
	return payload, next, ok
}

// isTornTail reports whether the bad frame at offset is a torn tail by the rules above.
func isTornTail(fileNumber uint64, data []byte, offset int) bool {
	for next := offset + 1; next+headerBytes <= len(data); next++ {
		if _, _, ok := framePayload(fileNumber, data, next); ok {
			return false
		}
	}
	length := frameLength(fileNumber, data, offset)
	if len(data)-offset < headerBytes || length > len(data)-offset {
		return true
	}
	zerosFrom := len(bytes.TrimRight(data, "\x00"))
	if zerosFrom <= offset {
		return true
	}
	sector := (zerosFrom + sectorBytes - 1) / sectorBytes * sectorBytes
	return len(data)-sector >= 2
}
