package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldshunt/internal/catalog"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

// busyEngines is one host in front of two busy engines of each of two versions.
type busyEngines struct {
	host  *Dispatcher
	gates map[catalog.Key]*Gate
	seq   uint64
}

func newBusyEngines() *busyEngines {
	e := &busyEngines{host: New(Options{Host: "h", DataCentre: "dc"}), gates: map[catalog.Key]*Gate{}}
	e.host.SetServices([]routing.Service{{Name: "svc", Engine: &routing.Engine{Slots: 64, MemoryTokens: 200_000}}}, 10_000)
	var list []catalog.Instance
	for i := range 4 {
		x := catalog.Instance{ID: fmt.Sprint("i", i), Service: "svc", DataCentre: "dc", Version: fmt.Sprint("v", i%2), Born: 1}
		list = append(list, x)
		e.gates[x.Key()] = newTestGate()
		e.gates[x.Key()].Request(AdmissionRequest{ID: AdmissionID{"other", 1}, Tokens: 5_000, FirstEventDue: at(800), Deadline: at(4_000)}, at(0))
	}
	e.host.SetInstances(list, at(0))
	return e
}

// admits reports whether an engine's gate accepts a job that arrives now. The host asks as many as it does for a caller.
func (e *busyEngines) admits(j *Job, now time.Time) bool {
	j.Service, j.InputTokens, j.OutputTokens, j.Objective, j.Remaining = "svc", 500, 20, 800*time.Millisecond, 4*time.Second
	e.host.RecordDemand(j, now)
	for declined := 0; declined == 0 || j.MayTryAnotherEngine(declined); declined++ {
		p, err := e.host.Pick(j, now)
		if err != nil {
			return false
		}
		j.Tried = append(j.Tried, p.Instance.Key())
		e.seq++
		r := e.gates[p.Instance.Key()].Request(AdmissionRequest{ID: AdmissionID{"h", e.seq}, Tokens: 500, FirstEventDue: now.Add(j.Objective), Deadline: now.Add(j.Remaining), Rank: j.Rank}, now)
		if r.Granted || r.Queued {
			return true
		}
	}
	return false
}

// resumeBesideNewStreams lets callers of an account that has had its share resume streams, and others begin as many
// new ones. It returns how many go on and how many begin.
func resumeBesideNewStreams(streams int, origin *Origin) (resumed, begun int) {
	e := newBusyEngines()
	for ms := range 300 {
		e.host.RecordDemand(&Job{Account: "large", InputTokens: 1_000}, at(ms-300))
		waiting := &Job{Account: "waiting", InputTokens: 500}
		e.host.RecordDemand(waiting, at(ms-300))
		e.host.RecordRefusal(waiting, at(ms-300))
	}
	for i := range streams {
		if e.admits(&Job{Account: fmt.Sprint("small", i)}, at(i)) {
			begun++
		}
		if e.admits(&Job{Account: "large", Resumed: true, Origin: origin}, at(i)) {
			resumed++
		}
	}
	return resumed, begun
}

// Guards against streams that callers can't resume because their account has had its share meanwhile.
func TestResumedStreamsAreNotRefusedWhereNewOnesBegin(t *testing.T) {
	c := qt.New(t)
	const streams = 12
	resumed, begun := resumeBesideNewStreams(streams, &Origin{"svc", "v0"})
	c.Assert(2*resumed >= begun && begun > streams/2, qt.IsTrue, qt.Commentf("of %d each, %d resumed streams go on and %d new ones begin", streams, resumed, begun))
}

// Guards against the same where a stream can go on at any instance, so that nothing is recorded of it.
func TestResumedStreamsOfAnyVersionAreNotRefusedWhereNewOnesBegin(t *testing.T) {
	c := qt.New(t)
	const streams = 12
	resumed, begun := resumeBesideNewStreams(streams, nil)
	c.Assert(2*resumed >= begun && begun > streams/2, qt.IsTrue, qt.Commentf("of %d each, %d resumed streams go on and %d new ones begin", streams, resumed, begun))
}

// Guards against an account that is served far more than others because it resumes streams.
func TestResumedStreamsRankLikeNewOnesBeyondTwiceTheShare(t *testing.T) {
	c := qt.New(t)
	e := newBusyEngines()
	resumed := func() *Job {
		return &Job{Account: "resuming", InputTokens: 1_000, Resumed: true, Origin: &Origin{"svc", "v0"}}
	}
	for ms := range 300 {
		e.host.RecordDemand(resumed(), at(ms-300))
		for i := range 4 {
			waiting := &Job{Account: fmt.Sprint("waiting", i), InputTokens: 1_000}
			e.host.RecordDemand(waiting, at(ms-300))
			e.host.RecordRefusal(waiting, at(ms-300))
		}
	}
	j := resumed()
	e.host.RecordDemand(j, at(0))
	c.Assert(j.Rank, qt.Equals, BeyondShare)
}

// Guards against a stream that is given up although its version comes back, or asked for again although it doesn't.
func TestVersionOfAStreamIsGoneOnceNoInstanceKeepsIt(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(old *catalog.Instance, d *Dispatcher)
		code   fault.Code
	}{
		{"other version", func(old *catalog.Instance, _ *Dispatcher) { old.Version = "v1" }, fault.StreamVersionGone},
		{"draining", func(old *catalog.Instance, _ *Dispatcher) { old.Draining = true }, fault.StreamVersionGone},
		{"data centre out of service", func(_ *catalog.Instance, d *Dispatcher) { d.SetDataCentresOut(map[string]bool{"dc": true}) }, fault.QueueFull},
	} {
		c := qt.New(t)
		d := newBusyEngines().host
		old := catalog.Instance{ID: "old", Service: "svc", DataCentre: "dc", Version: "v0", Born: 1}
		test.change(&old, d)
		d.SetInstances([]catalog.Instance{old, {ID: "new", Service: "svc", DataCentre: "dc", Version: "v1", Born: 1}}, at(0))
		_, err := d.Pick(&Job{Service: "svc", Origin: &Origin{"svc", "v0"}}, at(0))
		c.Check(fault.CodeOf(err), qt.Equals, test.code, qt.Commentf("%s", test.name))
		c.Check(fault.As(err).RetryAfter == 0, qt.Equals, test.code == fault.StreamVersionGone, qt.Commentf("%s", test.name))
	}
}

// Guards against an account that is served over twice as much as others because all its callers claim to resume streams.
func TestAccountThatClaimsToResumeStreamsStarvesNoOther(t *testing.T) {
	const accounts, tokens, step, settled, end = 5, 1_000, 100 * time.Millisecond, 100, 160
	c := qt.New(t)
	d := newBusyEngines().host
	d.shares.configuredCapacity = 100_000
	served := map[string]int{}
	for n := range end {
		now, byRank := at(0).Add(time.Duration(n)*step), map[Rank][]*Job{}
		for i := range 10 * accounts * 6 {
			j := &Job{Account: "claims", InputTokens: tokens, Resumed: true}
			if i%10 == 0 {
				j.Account, j.Resumed = fmt.Sprint("honest", i/10%accounts), false
			}
			d.RecordDemand(j, now)
			byRank[j.Rank] = append(byRank[j.Rank], j)
		}
		for i, j := range slices.Concat(byRank[WithinConfiguredShare], byRank[WithinCurrentShare], byRank[BeyondShare]) {
			switch {
			case i >= 100_000*int(step)/int(time.Second)/tokens:
				d.RecordRefusal(j, now)
			case n >= settled:
				served[j.Account] += tokens
			}
		}
	}
	for i := range accounts {
		c.Check(2*served[fmt.Sprint("honest", i)] >= served["claims"], qt.IsTrue, qt.Commentf("%v", served))
	}
}
