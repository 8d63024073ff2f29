package gateway

import (
	"bytes"
	"strconv"
)

// maxEarlyBodyBytes is the size of a body up to which its request is refused or passed on early.
// The body has to be read before the next request on the connection.
const maxEarlyBodyBytes = 256 << 10

// requestHead is what an early refusal needs to know about a request, and what passing it on to
// another host does.
type requestHead struct {
	credential, id []byte
	// target is the request target of the request line.
	host, target, deadline []byte
	// headBytes and bodyBytes are the sizes of the head and the body.
	headBytes, bodyBytes int
}

var crlf = []byte("\r\n")

// parseHead parses the head of a request at the beginning of p. ok is false if the head is not
// complete or anything about it is unusual; the HTTP server then decides what it means.
func (names *HeaderNames) parseHead(p []byte) (h requestHead, ok bool) {
	end := bytes.Index(p, []byte("\r\n\r\n"))
	if end < 0 {
		return h, false
	}
	h.headBytes, h.bodyBytes = end+2*len(crlf), -1
	requestLine, fields, _ := bytes.Cut(p[:end+len(crlf)], crlf)
	if !bytes.HasSuffix(requestLine, []byte(" HTTP/1.1")) || bytes.HasPrefix(requestLine, []byte("HEAD ")) || bytes.HasPrefix(requestLine, []byte("CONNECT ")) {
		return h, false
	}
	_, h.target, _ = bytes.Cut(bytes.TrimSuffix(requestLine, []byte(" HTTP/1.1")), []byte(" "))
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, crlf)
		if !names.parseField(&h, line) {
			return h, false
		}
	}
	h.bodyBytes = max(h.bodyBytes, 0)
	return h, h.bodyBytes <= maxEarlyBodyBytes
}

// parseField adds one header field to h. It returns false for a field that changes how the
// message is framed or that is repeated, and for a line that is not a plain field.
func (names *HeaderNames) parseField(h *requestHead, line []byte) bool {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.ContainsAny(line, "\r\n") {
		return false
	}
	value = bytes.Trim(value, " \t")
	switch {
	case isField(name, names.Credential):
		return setOnce(&h.credential, value)
	case isField(name, names.RequestID):
		return setOnce(&h.id, value)
	case isField(name, names.Deadline):
		return setOnce(&h.deadline, value)
	case isField(name, "Host"):
		return setOnce(&h.host, value)
	case isField(name, "Content-Length"):
		return h.bodyBytes < 0 && parseLength(value, &h.bodyBytes)
	case isField(name, "Connection"):
		return isField(value, "keep-alive")
	case isField(name, "Transfer-Encoding"), isField(name, "Expect"), isField(name, "Upgrade"):
		return false
	}
	return true
}

// setOnce sets a field of a head and returns false if it was set before.
func setOnce(field *[]byte, value []byte) bool {
	repeated := *field != nil
	*field = value
	return !repeated
}

// isField compares without regard to case.
func isField(name []byte, field string) bool {
	return len(name) == len(field) && bytes.EqualFold(name, []byte(field))
}

func parseLength(value []byte, n *int) bool {
	v, err := strconv.ParseUint(string(value), 10, 31)
	*n = int(v)
	return err == nil
}
