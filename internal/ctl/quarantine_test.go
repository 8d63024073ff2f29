package ctl

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/admin"
	"marigoldshunt/internal/wire"
)

// Guards against a list that leaves out, or names twice, what hosts refuse.
func TestQuarantineList(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	a, b := startHost(c, g, "a"), startHost(c, g, "b")
	since := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	part := admin.QuarantineStatus{Fingerprint: "0a", Service: "s", PromptPart: "a1", Since: since.Add(time.Second), NextTrial: since.Add(time.Minute),
		Crashes: []admin.CrashStatus{{Instance: "i1"}, {Instance: "i2"}, {Instance: "i3"}}}
	whole := admin.QuarantineStatus{Fingerprint: "0b", Service: "s", Since: since, NextTrial: since.Add(time.Minute)}
	a.status.Edge = &admin.EdgeStatus{Quarantined: []admin.QuarantineStatus{part}}
	b.status.Edge = &admin.EdgeStatus{Quarantined: []admin.QuarantineStatus{whole, part}}
	code, o := run(context.Background(), a.address+","+b.address, "quarantine", "list")
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", o.err.String()))
	c.Assert(o.out.String(), qt.Equals, `FINGERPRINT  SERVICE  PROMPT_PART  SINCE                 NEXT_TRIAL            CRASHES  INSTANCES
0b           s        -            2030-01-02T03:04:05Z  2030-01-02T03:05:05Z  0        
0a           s        a1           2030-01-02T03:04:06Z  2030-01-02T03:05:05Z  3        i1 i2 i3
`)
}

// Guards against lifting another quarantine than the named one, and against success where there is none.
func TestQuarantineLift(t *testing.T) {
	c := qt.New(t)
	h := startHost(c, newGroup(), "a")
	fingerprint := wire.Digest{1, 15: 2}
	code, o := run(context.Background(), h.address, "quarantine", "lift", fingerprint.String())
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", o.err.String()))
	c.Assert(h.lifted, qt.DeepEquals, []wire.Digest{fingerprint})
	code, _ = run(context.Background(), h.address, "quarantine", "lift", wire.Digest{}.String())
	c.Assert(code, qt.Equals, ExitNotFound)
	code, _ = run(context.Background(), h.address, "quarantine", "lift", "01")
	c.Assert(code, qt.Equals, ExitInvalid)
	c.Assert(h.lifted, qt.HasLen, 1)
}
