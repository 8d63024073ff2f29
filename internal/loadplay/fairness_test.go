package loadplay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against windows that do not count as unfair although an account waits or is refused in
// each second.
func TestWaitsAndRepeatedRefusalsCountInEachSecond(t *testing.T) {
	c := qt.New(t)
	for name, record := range map[string]func(*Result, *Attempt){
		"one request waits past its objective until its caller leaves": func(r *Result, a *Attempt) { r.recordFailed(a, simStart.Add(6500*time.Millisecond)) },
		"one request is refused in each second": func(r *Result, a *Attempt) {
			for s := range 7 {
				r.recordRefusedAttempt(a, simStart.Add(time.Duration(s)*time.Second))
			}
		},
	} {
		l := testLoad(c, 11)
		l.Length = 6 * time.Second
		r := newResult("test", l)
		a := &Attempt{Request: &Request{Kind: &l.Kinds[0], Account: "coast", At: simStart}}
		for s := range 6 {
			r.requestedTokens["coast"][s], r.servedTokens["district"][s] = 1_000, 1_000
		}
		c.Check(r.UnfairWindows(), qt.Equals, 0, qt.Commentf("%s", name))
		record(r, a)
		c.Check(r.UnfairWindows(), qt.Equals, 1, qt.Commentf("%s", name))
	}
}

// Guards against an account that floods and gets far less than others while engines are gone.
func TestFloodedAccountIsNotStarvedWhileEnginesAreGone(t *testing.T) {
	for seed := range int64(4) {
		c := qt.New(t)
		l, err := ReadFile("../../examples/loads/outage-under-flood.toml")
		c.Assert(err, qt.IsNil)
		l.Seed = seed + 1
		r := Simulate(l, newFleet)
		c.Check(r.UnfairWindows(), qt.Equals, 0, qt.Commentf("seed %d", l.Seed))
	}
}
