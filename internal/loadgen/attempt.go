package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
)

// Codes of outcomes that the generator detects and the fleet doesn't report.
const (
	// codeConnectFailed means that no connection to the host could be opened.
	codeConnectFailed fault.Code = "connect_failed"
	// codeConnectionBroken means that the connection ended without a typed error.
	codeConnectionBroken fault.Code = "connection_broken"
	// codeTimeout means that the request timed out at the caller.
	codeTimeout fault.Code = "caller_timeout"
	// CodeIncomplete means that a response looked complete but was not: a fault of the
	// fleet.
	CodeIncomplete fault.Code = "answer_not_whole"
	// CodeForeign means that a response belongs to another request: a fault of the fleet.
	CodeForeign fault.Code = "answer_foreign"
	// CodeUntyped means that a refusal had no typed body: a fault of the fleet.
	CodeUntyped fault.Code = "refusal_untyped"
)

// Result is the outcome of one request.
type Result struct {
	Pool string
	// Code is empty for a complete response.
	Code     fault.Code
	RunState fault.RunState
	Status   int
	// PartialResponse is true if a part of the response preceded the error.
	PartialResponse bool
	RetryAfter      time.Duration
	// Start is the time from the start of the run to the start of the request,
	// TimeToFirstByte the time from the start of the last attempt to the first byte of the
	// response body, Total the time from Start to the end of the response.
	Start           time.Duration
	TimeToFirstByte time.Duration
	Total           time.Duration
	Tokens          int
	// Retries is the number of retries.
	Retries int
	// ID is the fleet's ID of the request, Key its idempotency key.
	ID  string
	Key string
	// Replayed is true for the stored response of an earlier run.
	Replayed bool
}

// attempt sends q to one host once.
func (c *client) attempt(ctx context.Context, q *request, address string) Result {
	r := Result{Key: q.key}
	started := c.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := q.httpRequest(httptrace.WithClientTrace(ctx, trace), address, c.account.Key)
	if err != nil {
		r.Code = fault.BadRequest
		return r
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.Code = classifyError(ctx, err, connected)
		return r
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	r.ID = resp.Header.Get("X-Request-Id")
	r.Replayed = resp.Header.Get("X-Replayed") == "true"
	body := &firstByteReader{r: resp.Body, now: c.opts.Now}
	q.check(body, resp, &r)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && r.Code == codeConnectionBroken {
		r.Code = codeTimeout
	}
	if body.at.IsZero() {
		body.at = c.opts.Now()
	}
	r.TimeToFirstByte = body.at.Sub(started)
	return r
}

func (q *request) httpRequest(ctx context.Context, address, key string) (*http.Request, error) {
	url := "http://" + address
	if q.spec.Kind == config.KindService {
		url += "/services/" + q.spec.Pool
	}
	var body io.Reader
	if len(q.body) > 0 {
		body = bytes.NewReader(q.body)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, url+q.path, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot resend a request on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	return req, nil
}

func classifyError(ctx context.Context, err error, connected bool) fault.Code {
	var op *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return codeTimeout
	case !connected && errors.As(err, &op) && op.Op == "dial":
		return codeConnectFailed
	default:
		return codeConnectionBroken
	}
}

// firstByteReader records when the first byte of a body arrives.
type firstByteReader struct {
	r   io.Reader
	now func() time.Time
	at  time.Time
}

func (f *firstByteReader) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if n > 0 && f.at.IsZero() {
		f.at = f.now()
	}
	return n, err
}

// parseRefusal parses the body of a typed error.
func (r *Result) parseRefusal(b []byte) {
	var v struct {
		Error struct {
			Code       fault.Code     `json:"code"`
			RunState   fault.RunState `json:"run_state"`
			RetryAfter int64          `json:"retry_after_ms"`
		} `json:"error"`
	}
	if json.Unmarshal(b, &v) != nil || v.Error.Code == "" || v.Error.RunState == "" {
		r.Code = CodeUntyped
		return
	}
	r.Code, r.RunState = v.Error.Code, v.Error.RunState
	r.RetryAfter = time.Duration(v.Error.RetryAfter) * time.Millisecond
}
