package gateway

import (
	"bytes"
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lines returns the lines with a message, without their time.
func (b *logBuffer) lines(message string) (out []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buf.String()) {
		if strings.Contains(line, message) {
			out = append(out, line)
		}
	}
	return out
}

// logTo has a gateway log to b.
func logTo(b *logBuffer) func(*Options) {
	return func(opts *Options) {
		log := logrus.New()
		log.SetOutput(b)
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true})
		opts.Log = log.WithField("part", "gateway")
	}
}

// fieldsOf returns the fields of a log line with some of the names.
func fieldsOf(line string, names ...string) map[string]string {
	out := map[string]string{}
	for _, name := range names {
		if m := regexp.MustCompile(` ` + name + `=("[^"]*"|\S+)`).FindStringSubmatch(line); m != nil {
			out[name] = strings.Trim(m[1], `"`)
		}
	}
	return out
}

// Guards against a failed request whose line does not say by which load, configuration and list
// of instances it was placed.
func TestFailureNamesTheInputsOfItsPlacing(t *testing.T) {
	u := newUpstream(t, closeConn)
	var log logBuffer
	gw := newTestGatewayWith(t, document(), logTo(&log), u)
	gw.setView(func(v *View) { v.Age, v.ListAge, v.ListVersion = 120*time.Millisecond, 450*time.Millisecond, 0xab12 })
	gw.server.opts.Dispatcher.Update(func(d *dispatch.Dispatcher, now time.Time) {
		d.SetPeerLoads("dc", []dispatch.Load{{ID: "i0", Running: 3}}, now.Add(-300*time.Millisecond), now)
	})
	resp, _, _ := gw.do("POST", "/order/x", "")
	gw.Assert(resp.StatusCode, qt.Equals, 502)
	lines := log.lines("Request failed.")
	gw.Assert(lines, qt.HasLen, 1)
	gw.Assert(fieldsOf(lines[0], "instance", "candidates", "instances", "load_source", "load_running", "config_age_ms", "version", "list_age_ms", "list_version"), qt.DeepEquals, map[string]string{
		"instance": "i0", "candidates": "1", "instances": "1", "load_source": "all_hosts", "load_running": "3",
		"config_age_ms": "120", "version": "1", "list_age_ms": "450", "list_version": "000000000000ab12",
	}, qt.Commentf("%s", lines[0]))
	gw.Assert(fieldsOf(lines[0], "load_age_ms")["load_age_ms"], qt.Matches, "3[0-9][0-9]", qt.Commentf("%s", lines[0]))
}

// Guards against a line with the configuration of the time at which the request failed, which
// had no part in the decision.
func TestFailureNamesTheConfigurationThatDecided(t *testing.T) {
	var gw *testGateway
	var log logBuffer
	u := newUpstream(t, func(req *receivedRequest) {
		d := document()
		d.Version = 2
		gw.setView(func(v *View) { v.Table, v.Age = routing.NewTable(d), 900*time.Millisecond })
		closeConn(req)
	})
	gw = newTestGatewayWith(t, document(), logTo(&log), u)
	gw.do("POST", "/order/x", "")
	lines := log.lines("Request failed.")
	gw.Assert(lines, qt.HasLen, 1)
	gw.Assert(fieldsOf(lines[0], "version", "config_age_ms"), qt.DeepEquals, map[string]string{"version": "1", "config_age_ms": "0"})
}

// Guards against a refusal that does not say why no instance could take the request, and against
// a line about a repeated request without the instance that failed.
func TestRefusalCountsTheInstancesLeftOut(t *testing.T) {
	var log logBuffer
	u := newUpstream(t, closeConn)
	gw := newTestGatewayWith(t, document(), logTo(&log), u)
	gw.server.opts.Dispatcher.SetInstances(catalog.List{Instances: []catalog.Instance{
		{ID: "i0", Service: "svc", Address: u.ln.Addr().String(), DataCentre: "dc", Slots: 4},
		{ID: "i1", Service: "svc", Address: u.ln.Addr().String(), DataCentre: "dc", Slots: 4, Draining: true},
	}})
	gw.do("GET", "/read/x", "")
	repeated, failed := log.lines("Request sent again."), log.lines("Request failed.")
	gw.Assert(len(repeated) > 0, qt.IsTrue)
	gw.Assert(fieldsOf(repeated[0], "instance", "candidates", "load_source", "left_out"), qt.DeepEquals, map[string]string{
		"instance": "i0", "candidates": "1", "load_source": "this_host", "left_out": "draining:1",
	}, qt.Commentf("%s", repeated[0]))
	gw.Assert(failed, qt.HasLen, 1)
	gw.Assert(fieldsOf(failed[0], "candidates", "instances", "left_out", "load_source"), qt.DeepEquals, map[string]string{
		"candidates": "0", "instances": "2", "left_out": "tried:1,draining:1",
	}, qt.Commentf("%s", failed[0]))
}

// Guards against spending the budget of retries on a request for which no instance is left.
func TestNoInstanceLeftEndsTheRequest(t *testing.T) {
	var log logBuffer
	gw := newTestGatewayWith(t, document(), logTo(&log), newUpstream(t, closeConn))
	gw.do("GET", "/read/x", "")
	gw.Assert(log.lines("Request sent again."), qt.HasLen, 1)
	gw.Assert(metrics.GetOrRegisterCounter("gateway.repeat_budget_spent", gw.server.opts.Registry).Count(), qt.Equals, int64(0))
}

// Guards against a line with the rank as a bare number, and with a rank for a request that was
// refused before it was ranked.
func TestFailureNamesTheRank(t *testing.T) {
	d := document()
	d.Accounts = []routing.Account{{Name: "acc", Credentials: []string{"secret"}}}
	d.Services = []routing.Service{{Name: "svc", Engine: &routing.Engine{Slots: 4}}}
	var log logBuffer
	gw := newTestGatewayWith(t, d, func(opts *Options) { logTo(&log)(opts); opts.MaxRunning = 1 }, newUpstream(t, closeConn))
	for _, header := range [][]string{{"X-Token-Usage: 100,10"}, nil} {
		gw.do("POST", "/order/x", "", append(header, "X-Api-Key: secret")...)
	}
	gw.server.running.Add(1)
	gw.do("POST", "/order/x", "", "X-Token-Usage: 100,10", "X-Api-Key: secret")
	gw.server.running.Add(-1)
	lines := log.lines("Request failed.")
	gw.Assert(lines, qt.HasLen, 3)
	gw.Check(fieldsOf(lines[0], "rank", "account", "code"), qt.DeepEquals, map[string]string{"rank": "within_configured_share", "account": "acc", "code": "upstream_failed"})
	gw.Check(fieldsOf(lines[1], "rank", "account", "code"), qt.DeepEquals, map[string]string{"account": "acc", "code": "upstream_failed"})
	gw.Check(fieldsOf(lines[2], "rank", "account", "code"), qt.DeepEquals, map[string]string{"account": "acc", "code": "host_overloaded"})
}

// refusingGates stands in for gates of other hosts that refuse every request.
type refusingGates struct{ lastAttempts []bool }

func (g *refusingGates) Admit(_ context.Context, r *admission.Request) (*admission.Permit, error) {
	g.lastAttempts = append(g.lastAttempts, r.LastAttempt)
	r.Gate = admission.GateAnswer{
		Owner: "10.0.0.7", Seq: 41, Result: admission.GateRefused, ReceivedAt: time.Now(), Wait: time.Second,
		Refusal: &dispatch.Refusal{Reason: dispatch.RefusedLate, Expected: time.Second, Limit: 300 * time.Millisecond, UnreadTokens: 3_000, QueuedTokens: 20_000, Tokens: 400, Waiting: 9, Running: 12, PerMs: 23.5},
	}
	return nil, fault.New(fault.QueueFull, fault.NotRun, "the engine would answer after 1s").WithRetryAfter(time.Second)
}

// Guards against a line that does not say which host's gate refused a request and why, and
// against a line of the owner about a request that another engine may still serve.
func TestFailureNamesTheGateThatRefused(t *testing.T) {
	d := document()
	d.Services = []routing.Service{{Name: "svc", Engine: &routing.Engine{Slots: 4}}}
	for upstreams, want := range map[int][]bool{1: {true}, 2: {false, true}, 3: {false, true}} {
		var log logBuffer
		gates := &refusingGates{}
		var list []*upstream
		for range upstreams {
			list = append(list, newUpstream(t, closeConn))
		}
		gw := newTestGatewayWith(t, d, func(opts *Options) { logTo(&log)(opts); opts.Admission = gates }, list...)
		resp, _, _ := gw.do("POST", "/stream/x", "", "X-Token-Usage: 100,10")
		gw.Assert(resp.StatusCode, qt.Equals, 503)
		gw.Check(gates.lastAttempts, qt.DeepEquals, want)
		lines := log.lines("Request failed.")
		gw.Assert(lines, qt.HasLen, 1)
		gw.Check(fieldsOf(lines[0], "request", "gate_owner", "gate_seq", "gate_result", "gate_reason", "gate_expected_ms", "gate_limit_ms", "gate_unread_tokens", "gate_queued_tokens", "gate_prompt_tokens", "gate_waiting", "gate_running", "gate_tokens_per_ms"), qt.DeepEquals, map[string]string{
			"request": "r1", "gate_owner": "10.0.0.7", "gate_seq": "41", "gate_result": "refused", "gate_reason": "would_be_late", "gate_expected_ms": "1000", "gate_limit_ms": "300",
			"gate_unread_tokens": "3000", "gate_queued_tokens": "20000", "gate_prompt_tokens": "400", "gate_waiting": "9", "gate_running": "12", "gate_tokens_per_ms": "23.5",
		}, qt.Commentf("%s", lines[0]))
	}
}
