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
