// Package eventstream states what of an upstream's answer may count as part of an event stream.
package eventstream

import (
	"bytes"
	"errors"
	"mime"
	"unicode/utf8"
)

// MediaType is the media type of an event stream.
const MediaType = "text/event-stream"

// HasMediaType reports whether the values of the header field Content-Type name an event stream. Media
// types are compared without regard to case, and parameters don't matter. Two values contradict each
// other, because readers may take either.
func HasMediaType(values []string) bool {
	if len(values) != 1 {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(values[0])
	return mediaType == MediaType && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// IsText reports whether a line of an event without its end has no control character of ASCII below
// the space, other than tabs. Some of these end a line, or hide one, for some readers, and no format
// of data sends them. Others, from DEL on, may stand in JSON and mean nothing to readers of events.
func IsText(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' {
			return false
		}
	}
	return true
}

// Errors of CheckLine.
var (
	ErrControlCharacter = errors.New("a line has a control character")
	ErrNotUTF8          = errors.New("a line is no UTF-8")
)

// CheckLine checks a whole line of an event without its end.
func CheckLine(line []byte) error {
	switch {
	case !IsText(line):
		return ErrControlCharacter
	case !utf8.Valid(line):
		return ErrNotUTF8
	}
	return nil
}

// TrimLineEnd removes the end of a line, LF or CR LF. A CR that is left is one that only some readers
// take for an end.
func TrimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
