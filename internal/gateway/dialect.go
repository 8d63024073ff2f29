package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"marigoldshunt/internal/dispatch"
)

// HeaderNames holds the names of the HTTP headers that callers, hosts and upstreams
// exchange. An empty name turns that header off.
type HeaderNames struct {
	// RequestID carries the request id, which differs for each attempt of a caller;
	// upstreams echo it in responses.
	RequestID string
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
	// RateLimit in a response is the number of requests per second, a decimal number, that the
	// upstream takes from all hosts together until it names none.
	RateLimit string
	// Leaving is 1 in the responses of an upstream that is about to stop and takes no new requests.
	Leaving string
	// NotRun in a response proves that the upstream did not run the request.
	NotRun string
	// UpstreamProof is in every response that an upstream itself produced.
	UpstreamProof string
	// Usage carries the number of prompt tokens and the maximum number of output tokens.
	Usage string
	// PromptParts lists the parts of a prompt as ID:TOKENS, with a hexadecimal id, separated
	// by commas.
	PromptParts string
	// LastEventID carries the id of the last event delivered before a stream is resumed.
	LastEventID string
	// EventVersion is the name of a line that may come before the id of a stream's event, with the
	// version of the model weights as a number, in the lower case in which it is written there.
	EventVersion string
	// Resumes names the request whose response brought the first event of the stream that the
	// caller resumes.
	Resumes string
	// Dropped lists further headers that callers may not set; they are removed.
	Dropped []string
}

// NativeHeaderNames returns the header names of the project's own callers and upstreams.
func NativeHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: "X-Request-Id", Deadline: "X-Deadline-Ms", Credential: "X-Api-Key", Account: "X-Account",
		ExpectInstance: "X-Instance-Id", Load: "X-Load", RateLimit: "X-Rate-Limit", Leaving: "X-Leaving", NotRun: "X-Not-Run", Usage: "X-Token-Usage",
		PromptParts: "X-Prompt-Parts", LastEventID: "Last-Event-Id", Resumes: "X-Resumes",
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
	for _, name := range connectionOptions(h) {
		out.Del(name)
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// connectionOptions returns the names of the fields that concern only the connection, as h says.
func connectionOptions(h http.Header) (names []string) {
	for _, field := range h.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// endToEnd reports whether a field of h reaches the other end, which it doesn't if the field Connection
// names it.
func endToEnd(h http.Header, name string) bool {
	return !slices.ContainsFunc(connectionOptions(h), func(option string) bool { return strings.EqualFold(option, name) })
}

// upstreamHeader returns the request header for upstreams, without the fields that differ
// between attempts.
func (names *HeaderNames) upstreamHeader(h http.Header, account string) http.Header {
	out := withoutHopByHop(h)
	for _, name := range names.Dropped {
		out.Del(name)
	}
	for _, name := range []string{names.Credential, names.Account, names.ExpectInstance} {
		out.Del(name)
	}
	if account != "" && names.Account != "" {
		out.Set(names.Account, account)
	}
	if _, ok := out["User-Agent"]; !ok {
		// An empty value keeps the encoder from adding its own User-Agent.
		out.Del("User-Agent")
	}
	return out
}

// callerTimeout returns how long the caller will wait; ok is false if the header is missing
// or invalid.
func (names *HeaderNames) callerTimeout(h http.Header) (timeout time.Duration, ok bool) {
	ms, err := parseNumber(h.Get(names.Deadline))
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// parseNumber parses a number of a header. Numbers are limited to 32 bits, so that sums of
// them don't overflow. With the error for a larger number it returns the limit.
func parseNumber(s string) (int, error) {
	n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 32)
	return int(n), err
}

// promptParts parses the parts of a prompt. Invalid entries are skipped: the parts only help
// to choose an upstream.
func (names *HeaderNames) promptParts(h http.Header) []dispatch.Part {
	var out []dispatch.Part
	for _, field := range strings.Split(h.Get(names.PromptParts), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(field), ":")
		n, err := strconv.ParseUint(id, 16, 64)
		t, err2 := parseNumber(tokens)
		if ok && err == nil && err2 == nil && t >= 0 {
			out = append(out, dispatch.Part{ID: n, Tokens: t})
		}
	}
	return out
}

// usage parses the number of prompt tokens and the maximum number of output tokens.
func (names *HeaderNames) usage(h http.Header) (input, output int) {
	in, out, _ := strings.Cut(h.Get(names.Usage), ",")
	input, _ = parseNumber(in)
	output, _ = parseNumber(out)
	return max(input, 0), max(output, 0)
}

// proven reports whether a response has the proof of its upstream, and callers will see it, if upstreams
// give one.
func (names *HeaderNames) proven(h http.Header) bool {
	return names.UpstreamProof == "" || h.Get(names.UpstreamProof) != "" && endToEnd(h, names.UpstreamProof)
}

// notRun reports whether a response says that the upstream did not run the request.
func (names *HeaderNames) notRun(h http.Header) bool {
	return names.NotRun != "" && h.Get(names.NotRun) != ""
}

// refused reports whether a response proves that the upstream refused the request without running it.
// A success can't prove that.
func (names *HeaderNames) refused(status int, h http.Header) bool {
	return status >= http.StatusMultipleChoices && names.notRun(h)
}

// ownResponse reports whether the upstream itself produced a response, which then has its proof or
// is a refusal.
func (names *HeaderNames) ownResponse(status int, h http.Header) bool {
	return names.proven(h) || names.refused(status, h)
}

// leaving reports whether the upstream says that it is about to stop.
func (names *HeaderNames) leaving(h http.Header) bool {
	return names.Leaving != "" && strings.TrimSpace(h.Get(names.Leaving)) == "1"
}

// rateLimit returns the limit that a response names, in requests per second. named is false if
// the header is missing or invalid.
func (names *HeaderNames) rateLimit(h http.Header) (perSecond float64, named bool) {
	v, err := strconv.ParseFloat(strings.TrimSpace(h.Get(names.RateLimit)), 64)
	if err != nil || !(v >= 0 && v <= maxRateLimit) {
		return 0, false
	}
	return max(v, minRateLimit), true
}

// Bounds of a rate limit in requests per second. A limit of 0 counts as minRateLimit, since only
// an answer can end it.
const (
	minRateLimit = 0.1
	maxRateLimit = 1e6
)

// load returns the numbers of running and waiting requests in the load header; ok is false
// if the header is missing or invalid.
func (names *HeaderNames) load(h http.Header) (running, waiting int, ok bool) {
	fields := strings.Split(h.Get(names.Load), ",")
	if len(fields) < 2 {
		return 0, 0, false
	}
	running, err := parseNumber(fields[0])
	waiting, err2 := parseNumber(fields[1])
	if err != nil || err2 != nil || running < 0 || waiting < 0 {
		return 0, 0, false
	}
	return running, waiting, true
}
