package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldshunt/internal/admission"
	"marigoldshunt/internal/dispatch"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/logsink"
)

// Causes for which requests are not sent to an upstream, beside the reasons of gates and the codes of
// failures.
const (
	causeRateLimited = "rate_limited"
	causeNoPlace     = "no_place"
	causePassedOn    = "passed_on"
	causeNoReply     = "gate_no_reply"
	causeNoInstance  = "no_instance"
)

// ranks is the number of ranks.
const ranks = int(dispatch.BeyondShare) + 1

// accountLoad counts what became of the requests of one account since the last report.
type accountLoad struct {
	account string
	// ranked and sent count the requests that reached the dispatcher and an upstream, by rank.
	ranked, sent             [ranks]int
	rankedTokens, sentTokens float64
	// pendingTokens counts the tokens of the ranked requests that were neither sent nor refused yet,
	// which count as served meanwhile.
	pendingTokens float64
	// refusedTokens and refusedWaited sum up the ranked requests that were refused, and the time that it took.
	refusedRanked int
	refusedTokens float64
	refusedWaited time.Duration
	// takenOver counts the requests that another host has passed on.
	takenOver int
	refused   map[string]int
}

// accountLoads counts the requests of all accounts of this host. Accounts are those of the routing
// document, so their number is bounded.
type accountLoads struct {
	sync.Mutex
	byAccount map[string]*accountLoad
	// connections counts the connections that were refused before their account was known.
	connections int
}

func newAccountLoads() *accountLoads { return &accountLoads{byAccount: map[string]*accountLoad{}} }

func (l *accountLoads) update(account string, f func(a *accountLoad)) {
	l.Lock()
	defer l.Unlock()
	a := l.byAccount[account]
	if a == nil {
		a = &accountLoad{account: account, refused: map[string]int{}}
		l.byAccount[account] = a
	}
	f(a)
}

func (l *accountLoads) refuseConnection() {
	l.Lock()
	defer l.Unlock()
	l.connections++
}

// refuse counts a request that no rank was looked at for.
func (l *accountLoads) refuse(account, cause string) {
	l.update(account, func(a *accountLoad) { a.refused[cause]++ })
}

func (l *accountLoads) takeOver(account string) {
	l.update(account, func(a *accountLoad) { a.takenOver++ })
}

func (l *accountLoads) rank(j *dispatch.Job) {
	if j.Ranked {
		l.update(j.Account, func(a *accountLoad) {
			a.ranked[j.Rank]++
			a.rankedTokens += j.TokenCost()
			a.pendingTokens += j.TokenCost()
		})
	}
}

func (l *accountLoads) send(j *dispatch.Job) {
	if j.Ranked {
		l.update(j.Account, func(a *accountLoad) {
			a.sent[j.Rank]++
			a.sentTokens += j.TokenCost()
			a.pendingTokens -= j.TokenCost()
		})
	}
}

// refuseRanked counts a ranked request that was refused some time after its rank was set.
func (l *accountLoads) refuseRanked(j *dispatch.Job, cause string, waited time.Duration) {
	if j.Ranked {
		l.update(j.Account, func(a *accountLoad) {
			a.refused[cause]++
			a.refusedRanked++
			a.refusedTokens += j.TokenCost()
			a.refusedWaited += waited
			a.pendingTokens -= j.TokenCost()
		})
	}
}

// take returns the counts since the last call and begins new ones. It forgets accounts without
// requests.
func (l *accountLoads) take() (loads []accountLoad, connections int) {
	l.Lock()
	defer l.Unlock()
	for name, a := range l.byAccount {
		if a.idle() {
			delete(l.byAccount, name)
			continue
		}
		loads = append(loads, *a)
		*a = accountLoad{account: name, pendingTokens: a.pendingTokens, refused: map[string]int{}}
	}
	connections, l.connections = l.connections, 0
	return loads, connections
}

func (a *accountLoad) idle() bool {
	return a.ranked == [ranks]int{} && a.sent == [ranks]int{} && len(a.refused) == 0 && a.takenOver == 0 && a.pendingTokens < 1
}

// Accounts that are reported in one second: those that demand most, those of which the smallest part
// was sent, and those that were sent most, to compare the others with.
const (
	reportedHighest = 2
	reportedStarved = 2
	reportedServed  = 1
)

// selectForReport returns the accounts to report, none if no request was refused.
func selectForReport(loads []accountLoad) []accountLoad {
	refused := slices.DeleteFunc(slices.Clone(loads), func(a accountLoad) bool { return len(a.refused) == 0 })
	if len(refused) == 0 {
		return nil
	}
	chosen := map[string]accountLoad{}
	choose := func(from []accountLoad, n int, value func(a accountLoad) float64) {
		sorted := slices.SortedFunc(slices.Values(from), func(a, b accountLoad) int {
			return cmp.Or(cmp.Compare(value(b), value(a)), cmp.Compare(a.account, b.account))
		})
		for _, a := range sorted[:min(n, len(sorted))] {
			chosen[a.account] = a
		}
	}
	choose(refused, reportedHighest, accountLoad.demand)
	choose(refused, reportedStarved, accountLoad.unserved)
	choose(loads, reportedServed, func(a accountLoad) float64 { return a.sentTokens })
	return slices.SortedFunc(maps.Values(chosen), func(a, b accountLoad) int { return cmp.Compare(a.account, b.account) })
}

// demand orders accounts by tokens and, where no rank was looked at, by requests.
func (a accountLoad) demand() float64 { return a.rankedTokens + float64(sum(a.refused)) }

// unserved is the part of the account's requests that were not sent.
func (a accountLoad) unserved() float64 {
	refused := float64(sum(a.refused))
	sent := 0
	for _, n := range a.sent {
		sent += n
	}
	return refused / (refused + float64(sent))
}

func sum(counts map[string]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

// ReportInterval is the interval at which ReportAccounts and ReportStreams are called.
const ReportInterval = time.Second

// ReportAccounts logs what accounts demanded and were served since the last call, with what decided
// the ranks of their requests, for a few accounts and only if requests were refused.
func (s *Server) ReportAccounts(time.Time) {
	loads, connections := s.loads.take()
	for _, a := range selectForReport(loads) {
		if logsink.Drops(s.log, logrus.InfoLevel) {
			continue
		}
		fields := a.logFields()
		fields["refused_connections"] = connections
		s.opts.Dispatcher.Update(func(d *dispatch.Dispatcher, now time.Time) { addShareFields(fields, d, a.account, now) })
		s.log.WithFields(fields).Info("Requests of accounts were refused in the last second.")
	}
}

func (a accountLoad) logFields() logrus.Fields {
	fields := logrus.Fields{
		"account": a.account, "ranked": a.ranked, "sent": a.sent, "ranked_tokens": int(a.rankedTokens), "sent_tokens": int(a.sentTokens),
		"refused_tokens": int(a.refusedTokens), "pending_tokens": int(a.pendingTokens), "refused": countsText(a.refused), "taken_over": a.takenOver,
	}
	if a.refusedRanked > 0 {
		fields["refused_after_ms"] = (a.refusedWaited / time.Duration(a.refusedRanked)).Milliseconds()
	}
	return fields
}

func addShareFields(fields logrus.Fields, d *dispatch.Dispatcher, account string, now time.Time) {
	shares := d.Shares(now)
	own, fleet := d.AccountShare(account, now)
	fields["level_configured"], fields["level_current"] = levelText(shares.ConfiguredLevel), levelText(shares.CurrentLevel)
	fields["own_asked"], fields["own_served"] = int(own.Demanded), int(own.Served)
	fields["fleet_asked"], fields["fleet_served"] = int(fleet.Demanded), int(fleet.Served)
	fields["all_asked"], fields["all_served"] = int(shares.Fleet.Demanded), int(shares.Fleet.Served)
}

// levelText returns a level without decimals, "Inf" for none.
func levelText(level float64) string { return strings.TrimPrefix(fmt.Sprintf("%.0f", level), "+") }

// countsText lists counts by name.
func countsText(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, counts[name]))
	}
	return strings.Join(parts, ",")
}

// refusalCause returns why a ranked request was not sent.
func refusalCause(e *fault.Error, gate *admission.GateAnswer) string {
	switch {
	case e.Code != fault.QueueFull:
		return string(e.Code)
	case gate.Refusal != nil:
		return gate.Refusal.Reason.String()
	case gate.Result == admission.GateNoReply:
		return causeNoReply
	}
	return causeNoInstance
}
