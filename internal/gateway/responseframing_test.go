package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a response whose end is taken for another one than its sender meant.
func TestResponseFraming(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		response string
		closes   bool
	}{
		{response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{response: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nConnection: close\r\n\r\nhello", closes: true},
		{response: "HTTP/1.1 204 No Content\r\n\r\n"},
		{response: chunked + "0\r\n\r\n"},
		{response: chunked + "5\r\nhello\r\nA;ext=1\r\n0123456789\r\n0\r\n\r\n"},
		{response: chunked + "5\r\nhello\r\n0\r\nTrailer: a\r\nOther: b\r\n\r\n"},
	} {
		for part := 1; part <= len(test.response); part++ {
			whole := test.response + "HTTP/1.1"
			f, headBytes, err := parseResponseHead([]byte(whole))
			qt.Assert(t, err, qt.IsNil)
			end := headBytes
			for !f.ended() {
				n, err := f.consume([]byte(whole[end:min(end+part, len(whole))]))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, n > 0, qt.IsTrue)
				end += n
			}
			qt.Assert(t, whole[:end], qt.Equals, test.response)
			qt.Assert(t, f.closes, qt.Equals, test.closes)
		}
	}
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
	} {
		_, _, err := parseResponseHead([]byte(head))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", head))
	}
	for _, body := range []string{"\r\n", "x\r\n", "1\r\nab\r\n", "1g\r\n", "1000000000000000\r\n", ";\r\n"} {
		f, headBytes, err := parseResponseHead([]byte(chunked + body))
		qt.Assert(t, err, qt.IsNil)
		_, err = f.consume([]byte((chunked + body)[headBytes:]))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", body))
	}
}

// FuzzResponseFraming compares the end of a response with the one that the HTTP client finds.
func FuzzResponseFraming(f *testing.F) {
	f.Add("5\r\nhello\r\n0\r\n\r\nrest")
	f.Add("0005;a=b\r\nhello\r\n0\r\nT: v\r\n\r\n")
	f.Add("f\r\n0123456789abcde\r\n00\r\n\r\n")
	f.Fuzz(func(t *testing.T, body string) {
		response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body
		framing, headBytes, err := parseResponseHead([]byte(response))
		if err != nil {
			t.Fatal(err)
		}
		n, err := framing.consume([]byte(response[headBytes:]))
		if err != nil || !framing.ended() {
			return
		}
		// Whatever counts as whole here must be whole to the caller.
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(response[:headBytes+n])), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err == io.ErrUnexpectedEOF {
			t.Fatalf("%q of %q is not whole", body[:n], body)
		}
	})
}
