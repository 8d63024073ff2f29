package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldshunt/internal/dispatch"
)

// Dialect names the headers between callers, hosts and upstreams. An empty name switches
// its use off.
type Dialect struct {
	// AttemptID identifies one attempt of a caller; upstreams repeat it in answers.
	AttemptID string
	// Deadline is the time in ms that the caller, towards upstreams the host, will wait.
	Deadline string
	// Credential carries a caller's key; it is never passed on.
	Credential string
	// Account names the caller's account to upstreams.
	Account string
	// ExpectInstance makes any other instance than the named one refuse the request.
	ExpectInstance string
	// Load carries running requests, waiting requests and slots, separated by commas.
	Load string
	// NotRun proves in an answer that the upstream did not run the request.
	NotRun string
	// Proof is in every answer that an upstream has made itself.
	Proof string
	// Usage carries the number of prompt tokens and the most output tokens.
	Usage string
	// PromptParts lists the parts of a prompt as hexadecimal id, colon, tokens.
	PromptParts string
	// LastEvent is the id of the last event that a resumed stream has delivered.
	LastEvent string
	// Dropped are further headers that callers may not set.
	Dropped []string
}

// Native is the dialect of the project's own callers and upstreams.
func Native() Dialect {
	return Dialect{
		AttemptID: "X-Request-Id", Deadline: "X-Deadline-Ms", Credential: "X-Api-Key", Account: "X-Account",
		ExpectInstance: "X-Instance-Id", Load: "X-Load", NotRun: "X-Not-Run", Usage: "X-Token-Usage",
		PromptParts: "X-Prompt-Parts", LastEvent: "Last-Event-Id",
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// withoutHop copies a header without the fields that concern one connection.
func withoutHop(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// forwarded returns the header of a request towards an upstream, but for what differs
// between attempts.
func (d *Dialect) forwarded(h http.Header, account string) http.Header {
	out := withoutHop(h)
	for _, name := range d.Dropped {
		out.Del(name)
	}
	for _, name := range []string{d.Credential, d.Account, d.ExpectInstance} {
		out.Del(name)
	}
	if account != "" && d.Account != "" {
		out.Set(d.Account, account)
	}
	if _, ok := out["User-Agent"]; !ok {
		// An empty value keeps the encoder from adding one of its own.
		out.Del("User-Agent")
	}
	return out
}

// deadline returns the time that the caller will wait; ok is false without a valid one.
func (d *Dialect) deadline(h http.Header) (left time.Duration, ok bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(d.Deadline)), 10, 32)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// promptParts parses the parts of a prompt. Fields that cannot be read are left out: the
// parts only help to choose an upstream.
func (d *Dialect) promptParts(h http.Header) []dispatch.Part {
	var out []dispatch.Part
	for _, field := range strings.Split(h.Get(d.PromptParts), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(field), ":")
		n, err := strconv.ParseUint(id, 16, 64)
		t, err2 := strconv.Atoi(tokens)
		if ok && err == nil && err2 == nil && t >= 0 {
			out = append(out, dispatch.Part{ID: n, Tokens: t})
		}
	}
	return out
}

// usage parses the prompt tokens and the most output tokens.
func (d *Dialect) usage(h http.Header) (input, output int) {
	in, out, _ := strings.Cut(h.Get(d.Usage), ",")
	input, _ = strconv.Atoi(strings.TrimSpace(in))
	output, _ = strconv.Atoi(strings.TrimSpace(out))
	return max(input, 0), max(output, 0)
}

// load parses a load header.
func (d *Dialect) load(h http.Header) (running, waiting int, ok bool) {
	fields := strings.Split(h.Get(d.Load), ",")
	if len(fields) < 2 {
		return 0, 0, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(fields[1]))
	return running, waiting, err == nil && err2 == nil
}
