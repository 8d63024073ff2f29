package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldshunt/internal/dispatch"
)

// Dialect holds the names of the HTTP headers that callers, hosts and upstreams exchange.
// An empty name turns that header off.
type Dialect struct {
	// AttemptID carries the request id, which differs for each attempt of a caller; upstreams
	// echo it in responses.
	AttemptID string
	// Deadline is the time in ms that the sender will wait: the caller for the host, the host
	// for the upstream.
	Deadline string
	// Credential carries a caller's API key; it is never forwarded.
	Credential string
	// Account tells upstreams the name of the caller's account.
	Account string
	// ExpectInstance names the intended instance; any other refuses the request.
	ExpectInstance string
	// Load carries the numbers of running requests, waiting requests and slots, separated by
	// commas.
	Load string
	// NotRun in a response proves that the upstream did not run the request.
	NotRun string
	// Proof is in every response that an upstream itself produced.
	Proof string
	// Usage carries the number of prompt tokens and the maximum number of output tokens.
	Usage string
	// PromptParts lists the parts of a prompt as ID:TOKENS, with a hexadecimal id, separated
	// by commas.
	PromptParts string
	// LastEvent carries the id of the last event delivered before a stream is resumed.
	LastEvent string
	// Dropped lists further headers that callers may not set; they are removed.
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

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// withoutHopByHop returns a copy of h without hop-by-hop fields.
func withoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// upstreamHeader returns the request header for upstreams, without the fields that differ
// between attempts.
func (d *Dialect) upstreamHeader(h http.Header, account string) http.Header {
	out := withoutHopByHop(h)
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
		// An empty value keeps the encoder from adding its own User-Agent.
		out.Del("User-Agent")
	}
	return out
}

// callerTimeout returns how long the caller will wait; ok is false if the header is missing
// or invalid.
func (d *Dialect) callerTimeout(h http.Header) (timeout time.Duration, ok bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(d.Deadline)), 10, 32)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// promptParts parses the parts of a prompt. Invalid entries are skipped: the parts only help
// to choose an upstream.
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

// usage parses the number of prompt tokens and the maximum number of output tokens.
func (d *Dialect) usage(h http.Header) (input, output int) {
	in, out, _ := strings.Cut(h.Get(d.Usage), ",")
	input, _ = strconv.Atoi(strings.TrimSpace(in))
	output, _ = strconv.Atoi(strings.TrimSpace(out))
	return max(input, 0), max(output, 0)
}

// load returns the numbers of running and waiting requests in the load header; ok is false
// if the header is missing or invalid.
func (d *Dialect) load(h http.Header) (running, waiting int, ok bool) {
	fields := strings.Split(h.Get(d.Load), ",")
	if len(fields) < 2 {
		return 0, 0, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(fields[1]))
	return running, waiting, err == nil && err2 == nil
}
