package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"marigoldshunt/internal/config"
)

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

type messageText struct {
	Content string `json:"content"`
}

// chatMessage is one event of a stream, or a complete chat response.
type chatMessage struct {
	ID      string `json:"id"`
	User    string `json:"user"`
	Choices []struct {
		Delta   messageText `json:"delta"`
		Message messageText `json:"message"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

// check reads a response and checks that it is complete and belongs to the request.
func (q *request) check(body io.Reader, resp *http.Response, r *Result) {
	if resp.StatusCode/100 == 2 && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		q.checkStream(body, r)
		return
	}
	b, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	switch {
	case err != nil:
		r.Code = codeConnectionBroken
	case resp.StatusCode/100 != 2:
		r.parseRefusal(b)
	case q.spec.Kind == config.KindService:
		q.checkService(b, r)
	case q.spec.Stream:
		r.Code = CodeIncomplete
	default:
		q.checkChat(b, r)
	}
}

func (q *request) checkService(b []byte, r *Result) {
	var v struct {
		Path  string `json:"path"`
		Key   string `json:"key"`
		Bytes int    `json:"bytes"`
	}
	switch {
	case json.Unmarshal(b, &v) != nil:
		r.Code = CodeIncomplete
	case v.Path != q.path || v.Bytes != len(q.body) || (q.key != "" && v.Key != q.key):
		r.Code = CodeForeign
	}
}

func (q *request) checkChat(b []byte, r *Result) {
	var v chatMessage
	if json.Unmarshal(b, &v) != nil || v.Usage == nil || len(v.Choices) == 0 {
		r.Code = CodeIncomplete
		return
	}
	if v.User != q.user {
		r.Code = CodeForeign
		return
	}
	n := 0
	for part := range strings.FieldsSeq(v.Choices[0].Message.Content) {
		if !isExpectedToken(part, v.ID, n) {
			r.Code = CodeIncomplete
			return
		}
		n++
	}
	r.Tokens = n
	if n != v.Usage.Completion {
		r.Code = CodeIncomplete
	}
}

// isExpectedToken reports whether part is token n of the emulator's response to the request
// id.
func isExpectedToken(part, id string, n int) bool {
	return strings.TrimSpace(part) == id+"/"+strconv.Itoa(n)
}

// checkStream reads events up to [DONE] and the end of the body.
func (q *request) checkStream(body io.Reader, r *Result) {
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxResponseBytes)
	var reported *usage
	done, failed := false, false
	for s.Scan() {
		line := s.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
		case failed:
			r.PartialResponse = true
			r.parseRefusal(data)
			return
		case done:
			r.Code = CodeIncomplete
			return
		case string(data) == "[DONE]":
			done = true
		default:
			if reported = q.checkEvent(data, reported, r); r.Code != "" {
				return
			}
		}
	}
	switch {
	case s.Err() != nil:
		r.Code = codeConnectionBroken
		r.PartialResponse = true
	case !done || reported == nil || reported.Completion != r.Tokens || !q.spec.Stream:
		r.Code = CodeIncomplete
	}
}

// checkEvent checks one event and returns the usage seen so far.
func (q *request) checkEvent(data []byte, reported *usage, r *Result) *usage {
	var v chatMessage
	if json.Unmarshal(data, &v) != nil {
		r.Code = CodeIncomplete
		return reported
	}
	if v.User != q.user {
		r.Code = CodeForeign
		return reported
	}
	if v.Usage != nil {
		reported = v.Usage
	}
	if len(v.Choices) == 0 {
		return reported
	}
	if !isExpectedToken(v.Choices[0].Delta.Content, v.ID, r.Tokens) {
		r.Code = CodeIncomplete
	}
	r.Tokens++
	return reported
}
