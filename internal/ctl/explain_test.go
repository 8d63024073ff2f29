package ctl

import (
	"bytes"
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against output with lines of other requests, out of order or without the cause.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	logs := strings.Join([]string{
		`time="2026-01-01T00:00:02Z" level=info msg="Request failed." cause="the engine would answer after 1.2s" code=queue_full part=gateway request=abc route=notes run=not_run`,
		`time="2026-01-01T00:00:01Z" level=info msg="Request sent again." cause="broke \"off\"" part=gateway request=abc run=may_have_run`,
		`time="2026-01-01T00:00:01Z" level=info msg="Request failed." cause="mentions abc" part=gateway request=abcd`,
	}, "\n")
	var out, errOut bytes.Buffer
	c.Assert(Run(context.Background(), []string{"explain", "abc"}, strings.NewReader(logs), &out, &errOut), qt.Equals, ExitOK, qt.Commentf(errOut.String()))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[0], qt.Contains, "Request sent again.")
	c.Assert(lines[0], qt.Contains, `off`)
	c.Assert(lines[1], qt.Contains, "the engine would answer after 1.2s")
	c.Assert(Run(context.Background(), []string{"explain", "none"}, strings.NewReader(logs), &out, &errOut), qt.Equals, ExitNotFound)
}

// Guards against output that does not say which host wrote a line, when one file has the
// lines of several hosts.
func TestExplainNamesTheHostOfEachLine(t *testing.T) {
	c := qt.New(t)
	logs := strings.Join([]string{
		`time="2026-01-01T00:00:01.000Z" level=info msg="Request sent again." part=gateway request=abc run=not_run host=10.0.0.1`,
		`time="2026-01-01T00:00:02.000Z" level=info msg="Request failed." part=gateway request=abc host="host 2"`,
		`time="2026-01-01T00:00:03.000Z" level=info msg="Request failed." part=gateway request=abc`,
	}, "\n")
	var out, errOut bytes.Buffer
	c.Assert(Run(context.Background(), []string{"explain", "abc"}, strings.NewReader(logs), &out, &errOut), qt.Equals, ExitOK, qt.Commentf(errOut.String()))
	c.Assert(out.String(), qt.Equals, "2026-01-01T00:00:01.000Z 10.0.0.1: Request sent again. run=not_run\n"+
		"2026-01-01T00:00:02.000Z host 2: Request failed.\n"+
		"2026-01-01T00:00:03.000Z input: Request failed.\n")
}

// Guards against output that leaves out fields, such as the age of the load that decided, because
// the tool does not know them.
func TestExplainShowsAllFields(t *testing.T) {
	c := qt.New(t)
	logs := `time="2026-01-01T00:00:01.000Z" level=info msg="Request failed." cause="broke \"off\"" code=stream_cut load_age_ms=40 load_source=gate new_field=1 part=gateway request=abc run=may_have_run host=h1`
	var out, errOut bytes.Buffer
	c.Assert(Run(context.Background(), []string{"explain", "abc"}, strings.NewReader(logs), &out, &errOut), qt.Equals, ExitOK, qt.Commentf(errOut.String()))
	c.Assert(out.String(), qt.Equals, `2026-01-01T00:00:01.000Z h1: Request failed. code=stream_cut run=may_have_run load_source=gate load_age_ms=40 new_field=1 cause="broke \"off\""`+"\n")
}
