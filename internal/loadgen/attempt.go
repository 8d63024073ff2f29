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

// Codes of outcomes that the fleet did not report itself.
const (
	// codeConnect means that no connection to the host could be made.
	codeConnect fault.Code = "connect_failed"
	// codeBroken means that the connection ended without a typed error.
	codeBroken fault.Code = "connection_broken"
	// codeTimeout means that the request's time ended at the caller.
	codeTimeout fault.Code = "caller_timeout"
	// CodeNotWhole means that an answer looked complete but was not: a fault of the fleet.
	CodeNotWhole fault.Code = "answer_not_whole"
	// CodeForeign means that an answer belongs to another request: a fault of the fleet.
	CodeForeign fault.Code = "answer_foreign"
	// CodeUntyped means that a refusal had no typed body: a fault of the fleet.
	CodeUntyped fault.Code = "refusal_untyped"
)

// Result is the outcome of one request.
type Result struct {
	Pool string
	// Code is empty for a whole answer.
	Code     fault.Code
	RunState fault.RunState
	Status   int
	// Began is true when the refusal came after a part of the answer.
	Began      bool
	RetryAfter time.Duration
	// Start is the time since the beginning of the run, Wait the time to the first byte
	// of the answer's body, Total the time to its end.
	Start  time.Duration
	Wait   time.Duration
	Total  time.Duration
	Tokens int
	Tries  int
	// ID is the fleet's id of the request, Key its idempotency key.
	ID  string
	Key string
	// Replayed is true for the kept answer of an earlier run.
	Replayed bool
}

// attempt sends j to one host.
func (c *client) attempt(ctx context.Context, j *job, address string) Result {
	r := Result{Key: j.key}
	begin := c.o.Now()
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := j.request(httptrace.WithClientTrace(ctx, trace), address, c.account.Key)
	if err != nil {
		r.Code = fault.BadRequest
		return r
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.Code = classify(ctx, err, connected)
		return r
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	r.ID = resp.Header.Get("X-Request-Id")
	r.Replayed = resp.Header.Get("X-Replayed") == "true"
	body := &firstByte{r: resp.Body, now: c.o.Now}
	j.check(body, resp, &r)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && r.Code == codeBroken {
		r.Code = codeTimeout
	}
	if body.at.IsZero() {
		body.at = c.o.Now()
	}
	r.Wait = body.at.Sub(begin)
	return r
}

func (j *job) request(ctx context.Context, address, key string) (*http.Request, error) {
	url := "http://" + address
	if j.work.Kind == config.KindService {
		url += "/services/" + j.work.Pool
	}
	var body io.Reader
	if len(j.body) > 0 {
		body = bytes.NewReader(j.body)
	}
	req, err := http.NewRequestWithContext(ctx, j.method, url+j.path, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send a request again by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+key)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if j.key != "" {
		req.Header.Set("Idempotency-Key", j.key)
	}
	return req, nil
}

func classify(ctx context.Context, err error, connected bool) fault.Code {
	var op *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return codeTimeout
	case !connected && errors.As(err, &op) && op.Op == "dial":
		return codeConnect
	default:
		return codeBroken
	}
}

// firstByte notes when the first byte of a body arrives.
type firstByte struct {
	r   io.Reader
	now func() time.Time
	at  time.Time
}

func (f *firstByte) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if n > 0 && f.at.IsZero() {
		f.at = f.now()
	}
	return n, err
}

// refusal reads a typed error.
func (r *Result) refusal(b []byte) {
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
