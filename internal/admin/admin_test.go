package admin

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/hlc"
	"marigoldshunt/internal/timeline"
	"marigoldshunt/internal/wire"
)

const (
	bootstrapCredential = "bootstrap-credential"
	operatorCredential  = "operator-credential"
)

func hashCredential(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// fakeActions is a fake OperatorActions that records calls and returns err.
type fakeActions struct {
	cfg   *config.Config
	calls []string
	err   error
	panic bool
}

func (f *fakeActions) Config() *config.Config { return f.cfg }

func (f *fakeActions) call(format string, args ...any) error {
	if f.panic {
		panic("panic in the operator actions")
	}
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
	return f.err
}

func (f *fakeActions) Change(_ context.Context, id, operator string, changes []config.Change) (uint64, error) {
	b, _ := json.Marshal(changes)
	return 8, f.call("change %s %s %s", id, operator, b)
}
func (f *fakeActions) FormGroup(_ context.Context, hosts []string) error {
	return f.call("init %v", hosts)
}
func (f *fakeActions) ReplaceReplica(_ context.Context, host string) error {
	return f.call("replace %s", host)
}
func (f *fakeActions) Order(_ context.Context, id, operator string, o Order) (OrderResponse, error) {
	return OrderResponse{Fence: 5, Status: "pending"}, f.call("order %s %s %v", id, operator, o)
}
func (f *fakeActions) LiftQuarantine(_ context.Context, fingerprint wire.Digest) error {
	return f.call("lift %s", fingerprint)
}
func (f *fakeActions) Status() any { return Status{Host: "h1"} }

type fixture struct {
	*fakeActions
	url string
	log *bytes.Buffer
}

func startServer(c *qt.C) *fixture {
	f := &fixture{fakeActions: &fakeActions{cfg: config.New()}, log: &bytes.Buffer{}}
	f.cfg.DataCentres["suva"] = config.DataCentre{Name: "suva", Revision: 4}
	f.cfg.Upstreams["u/1"] = config.Upstream{Name: "u/1", Pool: "p", Revision: 6, Out: true}
	clock := hlc.New(func() time.Time { return time.UnixMilli(1) })
	ring := timeline.NewRing("h1", clock)
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterGaugeFloat64("empty", reg).Update(zero() / zero())
	log := logrus.New()
	log.SetOutput(f.log)
	s := New(Options{
		Host: "h1", OperatorActions: f, Timeline: ring, Metrics: reg, Clock: clock,
		BootstrapHashes: []string{hashCredential(bootstrapCredential)}, Log: log, Registry: reg,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f.url = "http://" + ln.Addr().String()
	go s.Serve(ln)
	c.Cleanup(func() { s.Shutdown(context.Background()) })
	return f
}

// client sends paths without normalizing them.
var client = fasthttp.Client{DisablePathNormalizing: true}

func zero() float64 { return 0 }

// do sends a request and returns the status, the error code header and the body of the
// response.
func (f *fixture) do(c *qt.C, method, path, authorization, body string) (int, string, string) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(f.url + path)
	req.Header.SetMethod(method)
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	req.SetBodyString(body)
	c.Assert(client.DoTimeout(req, resp, 20*time.Second), qt.IsNil)
	return resp.StatusCode(), string(resp.Header.Peek(headerErrorCode)), string(resp.Body())
}

// Guards against serving requests without the credential of an operator, and against a
// bootstrap credential that stays valid once there are operators.
func TestAuthentication(t *testing.T) {
	c := qt.New(t)
	f := startServer(c)
	requests := []string{
		"GET /metrics", "GET /v1/status", "GET /v1/timeline", "GET /v1/config", "POST /v1/config",
		"POST /v1/control/init", "POST /v1/control/replace", "POST /v1/orders", "POST /v1/quarantine/lift",
		"POST /v1/data-centres/suva/out", "POST /v1/hosts/h1/back", "POST /v1/upstreams/u1/out",
		"GET /absent", "GET //healthz", "GET /healthz/../metrics", "GET /metrics/../healthz",
	}
	for _, request := range requests {
		method, path, _ := strings.Cut(request, " ")
		for _, authorization := range []string{"", "Bearer ", "Bearer wrong", "Basic " + bootstrapCredential, bootstrapCredential, "Bearer " + hashCredential(bootstrapCredential)} {
			body := ""
			if method == "POST" {
				body = strings.Repeat("x", 4096)
			}
			status, code, text := f.do(c, method, path, authorization, body)
			c.Assert(status, qt.Equals, 401, qt.Commentf("%s %s", request, authorization))
			c.Assert(code, qt.Equals, "unauthenticated")
			c.Assert(text, qt.Contains, `"run_state":"not_run"`)
		}
	}
	c.Assert(f.calls, qt.HasLen, 0)
	status, _, _ := f.do(c, "GET", "/healthz", "", "")
	c.Assert(status, qt.Equals, 200)

	status, _, _ = f.do(c, "GET", "/v1/status", "Bearer "+bootstrapCredential, "")
	c.Assert(status, qt.Equals, 200)
	f.cfg.Operators["ops"] = config.Operator{Name: "ops", KeyHashes: []string{hashCredential(operatorCredential)}}
	status, _, _ = f.do(c, "GET", "/v1/status", "Bearer "+bootstrapCredential, "")
	c.Assert(status, qt.Equals, 401)
	status, _, _ = f.do(c, "GET", "/v1/status", "Bearer "+operatorCredential, "")
	c.Assert(status, qt.Equals, 200)
	c.Assert(f.log.String(), qt.Not(qt.Contains), operatorCredential)
}

// Guards against requests that reach OperatorActions with other content or under another
// operator.
func TestActions(t *testing.T) {
	c := qt.New(t)
	f := startServer(c)
	f.cfg.Operators["ops"] = config.Operator{Name: "ops", KeyHashes: []string{hashCredential(operatorCredential)}}
	for _, test := range []struct{ path, body, call, answer string }{
		{"/v1/config", `{"request_id":"r1","changes":[{"data_centre":{"name":"nadi","out":false},"if_revision":0}]}`,
			`change r1 ops [{"data_centre":{"name":"nadi","out":false,"revision":0},"if_revision":0}]`, `{"revision":8}`},
		{"/v1/data-centres/suva/out", `{"request_id":"r2","if_revision":4}`,
			`change r2 ops [{"data_centre":{"name":"suva","out":true,"revision":0},"if_revision":4}]`, `{"revision":8}`},
		{"/v1/data-centres/suva/back", `{"request_id":"r3","if_revision":3}`,
			`change r3 ops [{"data_centre":{"name":"suva","out":false,"revision":0},"if_revision":3}]`, `{"revision":8}`},
		{"/v1/upstreams/u%2F1/back", `{"request_id":"r4","if_revision":6}`,
			`change r4 ops [{"upstream":{"name":"u/1","pool":"p","data_centre":"","address":"","checks_fence":false,` +
				`"checks_sender":false,"out":false,"revision":0},"if_revision":6}]`, `{"revision":8}`},
		{"/v1/control/init", `{"hosts":["h1","h2"]}`, `init [h1 h2]`, `{}`},
		{"/v1/control/replace", `{"host":"h2"}`, `replace h2`, `{}`},
		{"/v1/quarantine/lift", `{"fingerprint":"0102030405060708090a0b0c0d0e0f10"}`, `lift 0102030405060708090a0b0c0d0e0f10`, `{}`},
		{"/v1/orders", `{"request_id":"r5","upstream":"u","kind":"drain"}`, `order r5 ops {u drain }`, `{"fence":5,"status":"pending"}`},
	} {
		f.calls = nil
		status, _, body := f.do(c, "POST", test.path, "Bearer "+operatorCredential, test.body)
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
		c.Assert(f.calls, qt.DeepEquals, []string{test.call})
		c.Assert(body, qt.Equals, test.answer+"\n")
	}
	_, _, body := f.do(c, "GET", "/v1/timeline?max=2", "Bearer "+operatorCredential, "")
	var events TimelineResponse
	c.Assert(json.Unmarshal([]byte(body), &events), qt.IsNil)
	c.Assert(events.Events, qt.HasLen, 2)
	c.Assert(events.UpTo, qt.Equals, events.Events[1].HLC)
	c.Assert(events.Events[0].Fields, qt.DeepEquals, map[string]string{"operator": "ops", "request_id": "r1", "result": "ok"})
	_, _, body = f.do(c, "GET", fmt.Sprintf("/v1/timeline?since=%d", events.UpTo), "Bearer "+operatorCredential, "")
	c.Assert(json.Unmarshal([]byte(body), &events), qt.IsNil)
	c.Assert(events.Events, qt.HasLen, 6)
	c.Assert(events.UpTo > events.Events[5].HLC, qt.IsTrue)
	status, _, body := f.do(c, "GET", "/metrics", "Bearer "+operatorCredential, "")
	c.Assert(status, qt.Equals, 200)
	c.Assert(body, qt.Contains, `"empty":{"value":null}`)
}

// Guards against invalid requests that reach OperatorActions, and against error responses
// without a code.
func TestErrorCodes(t *testing.T) {
	c := qt.New(t)
	f := startServer(c)
	for _, test := range []struct {
		request, body string
		status        int
		code          fault.Code
	}{
		{"GET /absent", "", 404, fault.NotFound},
		{"POST /v1/status", "{}", 400, fault.BadRequest},
		{"DELETE /v1/config", "", 400, fault.BadRequest},
		{"POST /v1/config", "{", 400, fault.BadRequest},
		{"POST /v1/config", `{"request_id":"r","changes":[]}`, 400, fault.BadRequest},
		{"POST /v1/config", `{"changes":[{}]}`, 400, fault.BadRequest},
		{"POST /v1/config", `{"request_id":"r","changes":[{}],"extra":1}`, 400, fault.BadRequest},
		{"POST /v1/config", `{"request_id":"r","changes":[{}]}{}`, 400, fault.BadRequest},
		{"POST /v1/hosts/absent/out", `{"request_id":"r"}`, 404, fault.NotFound},
		{"POST /v1/hosts/absent/away", `{"request_id":"r"}`, 404, fault.NotFound},
		{"POST /v1/data-centres/suva/out", `{"request_id":""}`, 400, fault.BadRequest},
		{"POST /v1/data-centres/suva/out", `{"request_id":"r"}`, 409, fault.RevisionConflict},
		{"POST /v1/upstreams/u%2F1/back", `{"request_id":"r","if_revision":0}`, 409, fault.RevisionConflict},
		{"POST /v1/control/init", `{"hosts":[]}`, 400, fault.BadRequest},
		{"POST /v1/control/replace", `{}`, 400, fault.BadRequest},
		{"POST /v1/quarantine/lift", `{}`, 400, fault.BadRequest},
		{"POST /v1/quarantine/lift", `{"fingerprint":"01020304"}`, 400, fault.BadRequest},
		{"POST /v1/quarantine/lift", `{"fingerprint":"0102030405060708090a0b0c0d0e0fzz"}`, 400, fault.BadRequest},
		{"POST /v1/orders", `{"request_id":"r","upstream":"u","kind":"dance","name":"n"}`, 400, fault.BadRequest},
		{"POST /v1/orders", `{"request_id":"r","upstream":"u","kind":"load_model"}`, 400, fault.BadRequest},
		{"GET /v1/timeline?since=-1", "", 400, fault.BadRequest},
		{"GET /v1/timeline?max=100000", "", 400, fault.BadRequest},
	} {
		method, path, _ := strings.Cut(test.request, " ")
		status, code, body := f.do(c, method, path, "Bearer "+bootstrapCredential, test.body)
		comment := qt.Commentf("%s %.60s: %s", test.request, test.body, body)
		c.Assert([]any{status, code}, qt.DeepEquals, []any{test.status, string(test.code)}, comment)
		var e ErrorBody
		c.Assert(json.Unmarshal([]byte(body), &e), qt.IsNil, comment)
		c.Assert(e.Error.Code, qt.Equals, test.code)
		c.Assert(e.Error.RunState, qt.Equals, fault.NotRun)
	}
	c.Assert(f.calls, qt.HasLen, 0)

	conflict := fault.New(fault.RevisionConflict, fault.NotRun, "the revision is 9").WithRetryAfter(time.Second)
	conflict.Revision = 9
	f.err = conflict
	status, _, body := f.do(c, "POST", "/v1/data-centres/suva/out", "Bearer "+bootstrapCredential, `{"request_id":"r","if_revision":4}`)
	c.Assert(status, qt.Equals, 409)
	c.Assert(body, qt.Equals, `{"error":{"code":"revision_conflict","message":"the revision is 9","run_state":"not_run","retry_after_ms":1000,"revision":9}}`)
	for _, test := range []struct {
		err    error
		panic  bool
		status int
		code   fault.Code
	}{
		{context.DeadlineExceeded, false, 504, fault.Timeout},
		{errors.New("unexpected"), false, 500, fault.Internal},
		{nil, true, 500, fault.Internal},
	} {
		f.err, f.panic = test.err, test.panic
		status, code, body := f.do(c, "POST", "/v1/control/replace", "Bearer "+bootstrapCredential, `{"host":"h"}`)
		c.Assert([]any{status, code}, qt.DeepEquals, []any{test.status, string(test.code)})
		c.Assert(body, qt.Contains, `"run_state":"may_have_run"`)
	}
}

// Guards against reading a body above the limit, with or without the credential of an
// operator.
func TestBodyLimits(t *testing.T) {
	c := qt.New(t)
	f := startServer(c)
	for _, test := range []struct{ credential, size, status string }{
		{"wrong", "2", "401"},
		{bootstrapCredential, fmt.Sprint(maxBodyBytes + 1), "413"},
	} {
		nc, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		c.Assert(err, qt.IsNil)
		defer nc.Close()
		// The body is never sent: an answer shows that the server did not wait for it.
		fmt.Fprintf(nc, "POST /v1/config HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %s\r\n\r\n", test.credential, test.size)
		line, err := bufio.NewReader(nc).ReadString('\n')
		c.Assert(err, qt.IsNil)
		c.Assert(line, qt.Contains, " "+test.status+" ")
	}
}

// Guards against connections with an incomplete request that keep the server from
// answering others.
func TestIncompleteRequests(t *testing.T) {
	c := qt.New(t)
	f := startServer(c)
	for range 20 {
		nc, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		c.Assert(err, qt.IsNil)
		defer nc.Close()
		_, err = io.WriteString(nc, "GET /v1/st")
		c.Assert(err, qt.IsNil)
	}
	status, _, _ := f.do(c, "GET", "/v1/status", "Bearer "+bootstrapCredential, "")
	c.Assert(status, qt.Equals, 200)
}
