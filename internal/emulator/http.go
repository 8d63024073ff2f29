package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (e *Emulator) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /cache/events", e.handleCacheEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /debug/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Debug()) })
	mux.HandleFunc("POST /debug/turn-cold", func(w http.ResponseWriter, _ *http.Request) {
		e.TurnCold()
		writeJSON(w, map[string]string{"instance": e.Instance()})
	})
	mux.HandleFunc("POST /debug/refuse", e.handleRefuse)
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /v1/instances", e.handleInstances)
	mux.HandleFunc(RoutedStreamPath, e.handleRoutedStream)
	mux.HandleFunc("/", e.handleService)
	return e.withRoutedHeaders(mux)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handleRefuse reads for_ms and mode: "connect" (the default) refuses connections, "503"
// refuses requests.
func (e *Emulator) handleRefuse(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.Atoi(r.URL.Query().Get("for_ms"))
	if err != nil || ms <= 0 {
		http.Error(w, "for_ms must be a positive number of milliseconds", http.StatusBadRequest)
		return
	}
	d := time.Duration(ms) * time.Millisecond
	if r.URL.Query().Get("mode") == "503" {
		e.RefuseRequests(d)
		writeJSON(w, map[string]int{"for_ms": ms})
		return
	}
	e.mu.Lock()
	e.refuseConnectionsLocked(d)
	e.mu.Unlock()
	body := fmt.Sprintf("{\"for_ms\":%d}\n", ms)
	// With its length, the response is complete although its connection is closed next.
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, body)
	_ = http.NewResponseController(w).Flush()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failLocked()
}

type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// User is repeated in every event, so that callers can detect a response to another
	// request.
	User string `json:"user"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// bytesPerToken converts request bytes to prompt tokens.
const bytesPerToken = 4

func (e *Emulator) handleChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body not read", http.StatusBadRequest)
		return
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, "body is not JSON", http.StatusBadRequest)
		return
	}
	tokens := e.opts.TokensPerResponse
	if req.MaxTokens > 0 {
		tokens = min(req.MaxTokens, tokens)
	}
	offset := 0
	if e.opts.Resume && req.Stream {
		offset, _ = strconv.Atoi(r.Header.Get("X-Resume-Offset"))
	}
	j := e.admit(w, r, string(body), offset)
	if j == nil {
		return
	}
	complete := false
	defer func() { e.finish(j, complete) }()
	if !e.acquireSlot(j) {
		panic(http.ErrAbortHandler)
	}
	if !j.cached && offset == 0 && !j.pause(e.opts.Prefill) {
		panic(http.ErrAbortHandler)
	}
	u := usage{len(body) / bytesPerToken, tokens, len(body)/bytesPerToken + tokens}
	if req.Stream {
		cut := strings.Contains(string(body), CutTrigger) && e.firstCut(j.id)
		complete = e.streamChat(w, j, req.User, u, offset, cut)
	} else {
		complete = e.writeChat(w, j, req.User, u)
	}
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// firstCut reports whether this is its first call for a request ID.
func (e *Emulator) firstCut(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cutIDs[id] {
		return false
	}
	e.cutIDs[id] = true
	return true
}

// tokenDelay returns the time from the start of a stream to its token n.
func (e *Emulator) tokenDelay(n int) time.Duration {
	if e.opts.TokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / e.opts.TokensPerSecond * float64(time.Second))
}

// Token returns the text of token n in the response to the request id. It is the same on
// every upstream, so that tests can detect responses to other requests.
func Token(id string, n int) string { return fmt.Sprintf("%s/%d ", id, n) }

func (e *Emulator) streamChat(w http.ResponseWriter, j *job, user string, u usage, offset int, cut bool) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	if offset > 0 {
		w.Header().Set("X-Resume-Offset", strconv.Itoa(offset))
	}
	e.setInstanceHeaders(w, j)
	flush := http.NewResponseController(w).Flush
	id, _ := json.Marshal(j.id)
	userJSON, _ := json.Marshal(user)
	start := time.Now()
	for n := offset; n < u.Completion; n++ {
		if !j.pause(e.tokenDelay(n+1-offset) - time.Since(start)) {
			return false
		}
		if cut && n >= u.Completion/2 {
			return false
		}
		text, _ := json.Marshal(Token(j.id, n))
		if _, err := fmt.Fprintf(w, `data: {"id":%s,"user":%s,"choices":[{"index":0,"delta":{"content":%s}}]}`+"\n\n", id, userJSON, text); err != nil {
			return false
		}
		if flush() != nil {
			return false
		}
	}
	last, _ := json.Marshal(u)
	if offset <= u.Completion {
		if _, err := fmt.Fprintf(w, `data: {"id":%s,"user":%s,"choices":[],"usage":%s}`+"\n\n", id, userJSON, last); err != nil {
			return false
		}
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err == nil
}

func (e *Emulator) writeChat(w http.ResponseWriter, j *job, user string, u usage) bool {
	if !j.pause(e.tokenDelay(u.Completion)) {
		return false
	}
	e.setInstanceHeaders(w, j)
	var text strings.Builder
	for n := range u.Completion {
		text.WriteString(Token(j.id, n))
	}
	writeJSON(w, map[string]any{
		"id": j.id, "user": user, "object": "chat.completion", "usage": u,
		"choices": []any{map[string]any{"index": 0, "message": map[string]string{"role": "assistant", "content": text.String()}}},
	})
	return true
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	ID     string `json:"id"`
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Bytes  int    `json:"bytes"`
	// Runs is how often this upstream has run the key, or the request ID if there is no key.
	Runs int `json:"runs"`
}

func (e *Emulator) handleService(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "body not read", http.StatusBadRequest)
		return
	}
	j := e.admit(w, r, string(body), 0)
	if j == nil {
		return
	}
	complete := false
	defer func() { e.finish(j, complete) }()
	if !e.acquireSlot(j) || !j.pause(e.opts.WorkTime) {
		panic(http.ErrAbortHandler)
	}
	a := ServiceResponse{ID: j.id, Key: j.key, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Bytes: len(body)}
	e.mu.Lock()
	if a.Runs = e.debug.Keys[j.key]; j.key == "" {
		a.Runs = e.debug.Requests[j.id]
	}
	e.mu.Unlock()
	e.setInstanceHeaders(w, j)
	writeJSON(w, a)
	complete = true
}
