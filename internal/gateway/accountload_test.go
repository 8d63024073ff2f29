package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/routing"
)

func rankedJob(account string, tokens int, rank dispatch.Rank) *dispatch.Job {
	return &dispatch.Job{Account: account, InputTokens: tokens, Ranked: true, Rank: rank}
}

// Guards against a report that doesn't tell tokens that were served from tokens that are undecided.
func TestAccountLoadsTellPendingTokensFromSentOnes(t *testing.T) {
	c := qt.New(t)
	l := newAccountLoads()
	flood := rankedJob("flood", 100, dispatch.BeyondShare)
	for range 5 {
		l.rank(flood)
	}
	l.send(flood)
	l.refuseRanked(flood, "would_be_late", 200*time.Millisecond)
	l.refuseRanked(flood, "would_be_late", 400*time.Millisecond)
	l.refuse("flood", causeRateLimited)
	l.refuseConnection()
	loads, connections := l.take()
	c.Assert(connections, qt.Equals, 1)
	fields := loads[0].logFields()
	c.Check(fmt.Sprint(fields["ranked"], fields["sent"]), qt.Equals, "[0 0 5] [0 0 1]")
	c.Check(fields["ranked_tokens"], qt.Equals, 500)
	c.Check(fields["pending_tokens"], qt.Equals, 200)
	c.Check(fields["refused_after_ms"], qt.Equals, int64(300))
	c.Check(fields["refused"], qt.Equals, "rate_limited:1,would_be_late:2")
	loads, _ = l.take()
	c.Assert(loads[0].logFields()["pending_tokens"], qt.Equals, 200)
	c.Assert(loads[0].logFields()["ranked_tokens"], qt.Equals, 0)
}

// Guards against counts that grow with each account that was ever seen.
func TestAccountLoadsForgetIdleAccounts(t *testing.T) {
	c := qt.New(t)
	l := newAccountLoads()
	l.refuse("a", causeNoPlace)
	l.take()
	l.take()
	c.Assert(l.byAccount, qt.HasLen, 0)
}

// Guards against a log whose volume grows with the number of accounts, and against one without the
// account that is starved.
func TestReportIsBoundedAndNamesTheStarved(t *testing.T) {
	c := qt.New(t)
	l := newAccountLoads()
	for i := range 300 {
		j := rankedJob(fmt.Sprintf("a%03d", i), 100+i, dispatch.WithinConfiguredShare)
		l.rank(j)
		l.send(j)
		l.rank(j)
		l.refuseRanked(j, "would_be_late", 0)
	}
	starved := rankedJob("starved", 1, dispatch.WithinConfiguredShare)
	l.rank(starved)
	l.refuseRanked(starved, "would_be_late", 0)
	loads, _ := l.take()
	chosen := selectForReport(loads)
	c.Assert(len(chosen) <= reportedHighest+reportedStarved+reportedServed, qt.IsTrue)
	names := map[string]bool{}
	for _, a := range chosen {
		names[a.account] = true
	}
	c.Assert(names["starved"] && names["a299"], qt.IsTrue, qt.Commentf("%v", names))
}

// Guards against lines about accounts while nothing is refused.
func TestNothingIsReportedWithoutRefusals(t *testing.T) {
	l := newAccountLoads()
	l.rank(rankedJob("a", 1, dispatch.WithinConfiguredShare))
	loads, _ := l.take()
	qt.Assert(t, selectForReport(loads), qt.HasLen, 0)
}

// Guards against a refusal whose cause is lost between the gate and the report.
func TestRefusalCauseNamesWhatDecided(t *testing.T) {
	c := qt.New(t)
	full := fault.New(fault.QueueFull, fault.NotRun, "x")
	c.Check(refusalCause(full, &admission.GateAnswer{Refusal: &dispatch.Refusal{Reason: dispatch.RefusedLate}}), qt.Equals, "would_be_late")
	c.Check(refusalCause(full, &admission.GateAnswer{Result: admission.GateNoReply}), qt.Equals, causeNoReply)
	c.Check(refusalCause(full, &admission.GateAnswer{}), qt.Equals, causeNoInstance)
	c.Check(refusalCause(fault.New(fault.WaitExpired, fault.NotRun, "x"), &admission.GateAnswer{Refusal: &dispatch.Refusal{}}), qt.Equals, string(fault.WaitExpired))
}

type lockedBuffer struct {
	sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.Lock()
	defer b.Unlock()
	return b.Buffer.Write(p)
}

// Guards against a gateway that counts nothing of what it refuses and sends.
func TestGatewayReportsAnAccountThatIsRefused(t *testing.T) {
	d := document()
	d.Accounts = []routing.Account{{Name: "hot", Credentials: []string{"k1"}}}
	var out lockedBuffer
	gw := newTestGatewayWith(t, d, func(o *Options) {
		log := logrus.New()
		log.SetOutput(&out)
		o.Log = log
	}, newUpstream(t, writeRaw("%s", rawResponse(200, "ok"))))
	now := time.Now()
	gw.server.limiter.Lock()
	for i := range 100 {
		gw.server.limiter.Observe(60*time.Millisecond, now.Add(time.Duration(i)*20*time.Millisecond))
	}
	gw.server.limiter.Unlock()
	for range 40 {
		gw.do("GET", "/read/x", "", "X-Api-Key: k1")
	}
	gw.server.ReportAccounts(now)
	out.Lock()
	defer out.Unlock()
	for _, want := range []string{"Requests of accounts were refused in the last second.", "account=hot", "rate_limited:", "level_configured=Inf", "fleet_served=0"} {
		gw.Assert(strings.Contains(out.String(), want), qt.IsTrue, qt.Commentf("%s in %s", want, out.String()))
	}
}
