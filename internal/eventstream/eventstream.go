// Package eventstream states what of an upstream's answer may count as part of an event stream.
package eventstream

import (
	"errors"
	"mime"
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
