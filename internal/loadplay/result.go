package loadplay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"marigoldshunt/internal/enginemodel"
)

// Result is the outcome of a simulation with one policy.
type Result struct {
	Policy string
	load   *Load
	// Total and ByKind count requests. Retries of refused callers don't count again.
	Total   Tally
	ByKind  map[string]*Tally
	engines []enginemodel.Counts
	// servedTokens holds, by account, the tokens of the requests whose responses began in
	// each second, requestedTokens those of the requests that arrived in it.
	servedTokens, requestedTokens map[string][]float64
	// missed counts, by account and second, the refused attempts, the late responses and the
	// requests that wait past their objective. An attempt counts in the second in which it is
	// refused and in that in which its request arrived. largestRequest is the largest request of each account in tokens.
	missed         map[string][]int
	largestRequest map[string]float64
	// earnedWorth is the worth that the requests of each second of arrival earned,
	// offeredWorth the worth that they could earn.
	earnedWorth, offeredWorth []float64
	// HostOutages has an element for each of the load's.
	HostOutages []HostOutageResult
}

// Tally counts the outcomes of requests.
type Tally struct {
	Requests, InTime, Late, Refused, Failed int
	// EarnedWorth is the worth that the requests earned, OfferedWorth the worth that they
	// could earn.
	EarnedWorth, OfferedWorth float64
	// firstEventDelays are the times from arrival to the first event, refusalDelays those
	// from the start of an attempt to its refusal.
	firstEventDelays, refusalDelays []time.Duration
}

func newResult(policy string, l *Load) *Result {
	seconds := int((l.Length + drainTime).Seconds()) + 1
	r := &Result{
		Policy: policy, load: l, ByKind: map[string]*Tally{}, servedTokens: map[string][]float64{}, requestedTokens: map[string][]float64{},
		missed: map[string][]int{}, largestRequest: map[string]float64{},
		earnedWorth: make([]float64, seconds), offeredWorth: make([]float64, seconds),
		HostOutages: make([]HostOutageResult, len(l.HostOutages)),
	}
	for _, k := range l.Kinds {
		r.ByKind[k.Name] = &Tally{}
	}
	for _, a := range l.Accounts {
		r.servedTokens[a.Name] = make([]float64, seconds)
		r.requestedTokens[a.Name] = make([]float64, seconds)
		r.missed[a.Name] = make([]int, seconds)
	}
	return r
}

func secondOf(at time.Time) int { return int(at.Sub(simStart).Seconds()) }

// forTallies applies f to the tallies of all requests and of the request's kind.
func (r *Result) forTallies(q *Request, f func(*Tally)) {
	f(&r.Total)
	f(r.ByKind[q.Kind.Name])
}

func (r *Result) recordArrival(q *Request) {
	r.forTallies(q, func(t *Tally) { t.Requests++; t.OfferedWorth += q.Kind.Worth })
	r.offeredWorth[secondOf(q.At)] += q.Kind.Worth
	if o := r.outageBefore(q); o != nil {
		o.New.Asked++
	}
	tokens := float64(q.inputTokens() + q.Output)
	r.requestedTokens[q.Account][secondOf(q.At)] += tokens
	r.largestRequest[q.Account] = max(r.largestRequest[q.Account], tokens)
}

func (r *Result) recordResponse(a *Attempt) {
	earned := a.Kind.Worth
	if a.late {
		earned = a.Kind.LateWorth
		r.missed[a.Account][secondOf(a.At)]++
		r.recordWait(a, a.firstEventAt)
	}
	r.forTallies(a.Request, func(x *Tally) {
		x.EarnedWorth += earned
		x.firstEventDelays = append(x.firstEventDelays, a.firstEventAt.Sub(a.At))
		if a.late {
			x.Late++
		} else {
			x.InTime++
		}
	})
	r.earnedWorth[secondOf(a.At)] += earned
	r.servedTokens[a.Account][secondOf(a.firstEventAt)] += float64(a.inputTokens() + a.Output)
}

func (r *Result) recordRefused(a *Attempt) { r.forTallies(a.Request, func(x *Tally) { x.Refused++ }) }

// recordRefusedAttempt records how long an attempt took until it was refused.
func (r *Result) recordRefusedAttempt(a *Attempt, now time.Time) {
	r.forTallies(a.Request, func(x *Tally) { x.refusalDelays = append(x.refusalDelays, now.Sub(a.startedAt)) })
	r.missed[a.Account][secondOf(a.At)]++
	r.missed[a.Account][secondOf(now)]++
}

// recordWait records that a request waited for its first event until a time.
func (r *Result) recordWait(a *Attempt, until time.Time) {
	due := a.At.Add(a.Kind.Objective)
	if due.After(until) {
		return
	}
	for s := secondOf(due); s <= secondOf(until); s++ {
		r.missed[a.Account][s]++
	}
}

func (r *Result) recordFailed(a *Attempt, now time.Time) {
	if a.firstEventAt.IsZero() {
		r.recordWait(a, now)
	}
	r.forTallies(a.Request, func(x *Tally) { x.Failed++ })
}

// EarnedFraction returns EarnedWorth as a fraction of OfferedWorth.
func (t *Tally) EarnedFraction() float64 { return t.EarnedWorth / max(t.OfferedWorth, 1e-9) }

// FirstEventDelay returns a quantile of the time to the first event.
func (t *Tally) FirstEventDelay(quantile float64) time.Duration {
	return quantileOf(t.firstEventDelays, quantile)
}

// RefusalDelay returns a quantile of the time after which attempts were refused.
func (t *Tally) RefusalDelay(quantile float64) time.Duration {
	return quantileOf(t.refusalDelays, quantile)
}

func quantileOf(list []time.Duration, quantile float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[min(int(quantile*float64(len(list))), len(list)-1)]
}

// TokensRead returns the number of prompt tokens that the engines read, and how many of them
// belonged to shared parts that had been cached before.
func (r *Result) TokensRead() (read, reread int) {
	for _, c := range r.engines {
		read += c.ReadTokens
		reread += c.RereadTokens
	}
	return read, reread
}

// fairnessSeconds is the length of the time windows in which accounts are compared.
const fairnessSeconds = 6

// FairnessGap returns the largest difference, over all windows of six seconds, between the
// tokens served to two accounts that both requested more than they got, as a fraction of
// the mean of all accounts.
func (r *Result) FairnessGap() (gap float64) {
	seconds := int(r.load.Length.Seconds())
	for from := 0; from+fairnessSeconds <= seconds; from++ {
		low, high, total := -1.0, 0.0, 0.0
		for _, a := range r.load.Accounts {
			served, requested := sum(r.servedTokens[a.Name][from:from+fairnessSeconds]), sum(r.requestedTokens[a.Name][from:from+fairnessSeconds])
			total += served
			if served >= requested*backlogThreshold {
				continue
			}
			if low < 0 || served < low {
				low = served
			}
			high = max(high, served)
		}
		if mean := total / float64(len(r.load.Accounts)); low >= 0 && mean > 0 {
			gap = max(gap, (high-low)/mean)
		}
	}
	return gap
}

// UnfairWindows counts, for all accounts, the windows of six seconds in which the account
// was treated unfairly. That is the case if some of its requests were refused, late or overdue in
// every second, and it was served less than half of what it requested or of what the
// best-served account got, using the smaller of the two in every second. A shortfall of up
// to three of its largest requests is tolerated.
func (r *Result) UnfairWindows() (windows int) {
	for from := 0; from+fairnessSeconds <= int(r.load.Length.Seconds()); from++ {
		best, most := "", -1.0
		for _, a := range r.load.Accounts {
			if s := sum(r.servedTokens[a.Name][from : from+fairnessSeconds]); s > most {
				best, most = a.Name, s
			}
		}
		for _, a := range r.load.Accounts {
			due, always := 0.0, true
			for s := from; s < from+fairnessSeconds; s++ {
				due += min(r.requestedTokens[a.Name][s], r.servedTokens[best][s]) / 2
				always = always && r.missed[a.Name][s] > 0
			}
			if always && sum(r.servedTokens[a.Name][from:from+fairnessSeconds])+3*r.largestRequest[a.Name] < due {
				windows++
			}
		}
	}
	return windows
}

// backlogThreshold is the served fraction of its demand below which an account counts as
// backlogged.
const backlogThreshold = 0.9

func sum(list []float64) (s float64) {
	for _, v := range list {
		s += v
	}
	return s
}

// WriteTable writes the results of one load as a table with a row for each policy and kind.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tkind\tasked\tin time\tlate\trefused\tfailed\tworth\twait p50\twait p95\trefused after p95\tread\tread again\tfairness gap\tunfair spans")
	for _, r := range results {
		read, reread := r.TokensRead()
		writeRow(t, r.Policy, "all", &r.Total)
		fmt.Fprintf(t, "\t%d\t%d\t%.2f\t%d\n", read, reread, r.FairnessGap(), r.UnfairWindows())
		for _, k := range r.load.Kinds {
			writeRow(t, r.Policy, k.Name, r.ByKind[k.Name])
			fmt.Fprintln(t, "\t\t\t\t")
		}
	}
	return t.Flush()
}

func writeRow(w io.Writer, policy, kind string, t *Tally) {
	share := func(n int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(t.Requests, 1))) }
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%.3f\t%d ms\t%d ms\t%d ms", policy, kind, t.Requests, share(t.InTime), share(t.Late),
		share(t.Refused), share(t.Failed), t.EarnedFraction(), t.FirstEventDelay(0.5).Milliseconds(), t.FirstEventDelay(0.95).Milliseconds(), t.RefusalDelay(0.95).Milliseconds())
}

// Compare simulates a load with all policies.
func Compare(l *Load) []*Result {
	var out []*Result
	for _, p := range Policies() {
		out = append(out, Simulate(l, p))
	}
	return out
}

// Policies returns the policies that Compare simulates. The fleet's is the last.
func Policies() []func(*Simulation) Policy {
	return []func(*Simulation) Policy{
		newBaseline("round robin", roundRobin), newBaseline("least loaded", leastLoaded),
		newBaseline("hash", hashOnly), newBaseline("bounded hash", boundedHash), newFleet,
	}
}
