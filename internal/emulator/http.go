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
	mux.HandleFunc("GET /cache/events", e.handleEvents)
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
	return e.routed(mux)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handleRefuse takes for_ms and mode: "connect" (default) refuses connections, "503"
// refuses requests.
func (e *Emulator) handleRefuse(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.Atoi(r.URL.Query().Get("for_ms"))
	if err != nil || ms <= 0 {
		http.Error(w, "for_ms must be a positive number of milliseconds", http.StatusBadRequest)
		return
	}
	writeJSON(w, map[string]int{"for_ms": ms})
	d := time.Duration(ms) * time.Millisecond
	if r.URL.Query().Get("mode") == "503" {
		e.RefuseRequests(d)
		return
	}
	_ = http.NewResponseController(w).Flush()
	e.Refuse(d)
}

type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// User comes back in every event, so that callers can detect an answer to another
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
	var q chatRequest
	if err := json.Unmarshal(body, &q); err != nil {
		http.Error(w, "body is not JSON", http.StatusBadRequest)
		return
	}
	tokens := e.o.TokensPerAnswer
	if q.MaxTokens > 0 {
		tokens = min(q.MaxTokens, tokens)
	}
	offset := 0
	if e.o.Resume && q.Stream {
		offset, _ = strconv.Atoi(r.Header.Get("X-Resume-Offset"))
	}
	j := e.admit(w, r, string(body), offset)
	if j == nil {
		return
	}
	whole := false
	defer func() { e.release(j, whole) }()
	if !e.run(j) {
		panic(http.ErrAbortHandler)
	}
	if !j.cached && offset == 0 && !j.pause(e.o.Prefill) {
		panic(http.ErrAbortHandler)
	}
	u := usage{len(body) / bytesPerToken, tokens, len(body)/bytesPerToken + tokens}
	if q.Stream {
		cut := strings.Contains(string(body), CutTrigger) && e.cutOnce(j.id)
		whole = e.stream(w, j, q.User, u, offset, cut)
	} else {
		whole = e.answer(w, j, q.User, u)
	}
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

// cutOnce returns true at the first call for an id.
func (e *Emulator) cutOnce(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cut[id] {
		return false
	}
	e.cut[id] = true
	return true
}

// due is the time from the start of a stream to its token n.
func (e *Emulator) due(n int) time.Duration {
	if e.o.TokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / e.o.TokensPerSecond * float64(time.Second))
}

// Token returns the text of token n in the answer to the request id. It is the same on
// every upstream, so that tests can detect answers to other requests.
func Token(id string, n int) string { return fmt.Sprintf("%s/%d ", id, n) }

func (e *Emulator) stream(w http.ResponseWriter, j *job, user string, u usage, offset int, cut bool) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	if offset > 0 {
		w.Header().Set("X-Resume-Offset", strconv.Itoa(offset))
	}
	e.head(w, j)
	flush := http.NewResponseController(w).Flush
	id, _ := json.Marshal(j.id)
	name, _ := json.Marshal(user)
	start := time.Now()
	for n := offset; n < u.Completion; n++ {
		if !j.pause(e.due(n+1-offset) - time.Since(start)) {
			return false
		}
		if cut && n >= u.Completion/2 {
			return false
		}
		text, _ := json.Marshal(Token(j.id, n))
		if _, err := fmt.Fprintf(w, `data: {"id":%s,"user":%s,"choices":[{"index":0,"delta":{"content":%s}}]}`+"\n\n", id, name, text); err != nil {
			return false
		}
		if flush() != nil {
			return false
		}
	}
	last, _ := json.Marshal(u)
	if offset <= u.Completion {
		if _, err := fmt.Fprintf(w, `data: {"id":%s,"user":%s,"choices":[],"usage":%s}`+"\n\n", id, name, last); err != nil {
			return false
		}
	}
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err == nil
}

func (e *Emulator) answer(w http.ResponseWriter, j *job, user string, u usage) bool {
	if !j.pause(e.due(u.Completion)) {
		return false
	}
	e.head(w, j)
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

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	ID     string `json:"id"`
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Bytes  int    `json:"bytes"`
	// Runs is how often this upstream has run the key, or the id without a key.
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
	whole := false
	defer func() { e.release(j, whole) }()
	if !e.run(j) || !j.pause(e.o.WorkTime) {
		panic(http.ErrAbortHandler)
	}
	a := ServiceAnswer{ID: j.id, Key: j.key, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Bytes: len(body)}
	e.mu.Lock()
	if a.Runs = e.debug.Keys[j.key]; j.key == "" {
		a.Runs = e.debug.Requests[j.id]
	}
	e.mu.Unlock()
	e.head(w, j)
	writeJSON(w, a)
	whole = true
}
