package ctl

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against metrics of fewer hosts than asked for, without their hosts, and against a host
// that does not answer unnoticed.
func TestMetricsOfSeveralHosts(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	h1, h2 := startHost(c, g, "h1"), startHost(c, g, "h2")
	closed := closedAddress(c)
	ctx := context.Background()
	for _, test := range []struct {
		hosts, args string
		code        int
		out, err    string
	}{
		{h1.address + "," + h2.address, "metrics --all", ExitOK, "(?s)HOST +METRIC +FIELD +VALUE\n.*h1 +admin.requests +count +[0-9]+\n.*h2 +admin.requests +count +[0-9]+\n.*", ""},
		{h1.address + "," + h2.address, "metrics h2", ExitOK, "(?s)HOST +METRIC +FIELD +VALUE\nh2 [^\n]*\n(h2 [^\n]*\n)*", ""},
		{h1.address + "," + h2.address, "metrics " + h1.address + " h2", ExitOK, "(?s).*\nh1 .*\nh2 .*", ""},
		{h1.address + "," + closed, "metrics --all", ExitUnavailable, "(?s).*\nh1 +admin.requests +count.*", "(?s)marigoldshuntctl: " + closed + ": peer_unreachable: .*\nmarigoldshuntctl: peer_unreachable: 1 of 2 hosts gave no metrics.*"},
		{h1.address, "metrics h9", ExitUsage, "", "(?s).*unknown host \"h9\".*"},
		{h1.address, "metrics --all h1", ExitUsage, "", "(?s).*-all.*"},
	} {
		code, o := run(ctx, test.hosts, strings.Fields(test.args)...)
		comment := qt.Commentf("%s: %s%s", test.args, &o.out, &o.err)
		c.Check(code, qt.Equals, test.code, comment)
		c.Check(o.out.String(), qt.Matches, test.out, comment)
		c.Check(o.err.String(), qt.Matches, test.err, comment)
	}
	code, o := run(ctx, h1.address+","+h2.address, "--json", "metrics", "--all")
	c.Assert(code, qt.Equals, ExitOK)
	var shown []struct {
		Host, Address string
		Metrics       map[string]map[string]any
	}
	c.Assert(json.Unmarshal(o.out.Bytes(), &shown), qt.IsNil)
	c.Assert(shown, qt.HasLen, 2)
	c.Assert([]string{shown[0].Host, shown[1].Host, shown[1].Address}, qt.DeepEquals, []string{"h1", "h2", h2.address})
	c.Assert(len(shown[1].Metrics) > 0, qt.IsTrue)
}
