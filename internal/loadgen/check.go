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

type text struct {
	Content string `json:"content"`
}

// chunk is one event of a stream, or a whole chat answer.
type chunk struct {
	ID      string `json:"id"`
	User    string `json:"user"`
	Choices []struct {
		Delta   text `json:"delta"`
		Message text `json:"message"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

// check reads an answer and decides whether it is whole and belongs to the request.
func (j *job) check(body io.Reader, resp *http.Response, r *Result) {
	if resp.StatusCode/100 == 2 && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		j.checkStream(body, r)
		return
	}
	b, err := io.ReadAll(io.LimitReader(body, maxSmall))
	switch {
	case err != nil:
		r.Code = codeBroken
	case resp.StatusCode/100 != 2:
		r.refusal(b)
	case j.work.Kind == config.KindService:
		j.checkService(b, r)
	case j.work.Stream:
		r.Code = CodeNotWhole
	default:
		j.checkChat(b, r)
	}
}

func (j *job) checkService(b []byte, r *Result) {
	var v struct {
		Path  string `json:"path"`
		Key   string `json:"key"`
		Bytes int    `json:"bytes"`
	}
	switch {
	case json.Unmarshal(b, &v) != nil:
		r.Code = CodeNotWhole
	case v.Path != j.path || v.Bytes != len(j.body) || (j.key != "" && v.Key != j.key):
		r.Code = CodeForeign
	}
}

func (j *job) checkChat(b []byte, r *Result) {
	var v chunk
	if json.Unmarshal(b, &v) != nil || v.Usage == nil || len(v.Choices) == 0 {
		r.Code = CodeNotWhole
		return
	}
	if v.User != j.user {
		r.Code = CodeForeign
		return
	}
	n := 0
	for part := range strings.FieldsSeq(v.Choices[0].Message.Content) {
		if !isToken(part, v.ID, n) {
			r.Code = CodeNotWhole
			return
		}
		n++
	}
	r.Tokens = n
	if n != v.Usage.Completion {
		r.Code = CodeNotWhole
	}
}

// isToken says whether part is token n of the emulator's answer to id.
func isToken(part, id string, n int) bool {
	return strings.TrimSpace(part) == id+"/"+strconv.Itoa(n)
}

// checkStream reads events up to [DONE] and the end of the body.
func (j *job) checkStream(body io.Reader, r *Result) {
	s := bufio.NewScanner(body)
	s.Buffer(nil, maxSmall)
	var use *usage
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
			r.Began = true
			r.refusal(data)
			return
		case done:
			r.Code = CodeNotWhole
			return
		case string(data) == "[DONE]":
			done = true
		default:
			if use = j.checkEvent(data, use, r); r.Code != "" {
				return
			}
		}
	}
	switch {
	case s.Err() != nil:
		r.Code = codeBroken
		r.Began = true
	case !done || use == nil || use.Completion != r.Tokens || !j.work.Stream:
		r.Code = CodeNotWhole
	}
}

// checkEvent checks one event and returns the usage seen so far.
func (j *job) checkEvent(data []byte, use *usage, r *Result) *usage {
	var v chunk
	if json.Unmarshal(data, &v) != nil {
		r.Code = CodeNotWhole
		return use
	}
	if v.User != j.user {
		r.Code = CodeForeign
		return use
	}
	if v.Usage != nil {
		use = v.Usage
	}
	if len(v.Choices) == 0 {
		return use
	}
	if !isToken(v.Choices[0].Delta.Content, v.ID, r.Tokens) {
		r.Code = CodeNotWhole
	}
	r.Tokens++
	return use
}
