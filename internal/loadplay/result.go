package loadplay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"marigoldshunt/internal/enginemodel"
)

// Result is what callers got with one policy.
type Result struct {
	Policy string
	load   *Load
	// Total and ByKind count requests, repeats of refused callers not counted again.
	Total   Tally
	ByKind  map[string]*Tally
	engines []enginemodel.Counts
	// servedBy holds, by account, the tokens of the answers that began in each second, and
	// askedBy what the account asked for.
	servedBy, askedBy map[string][]float64
	// turnedBy counts, by account and second, the requests that were refused or late, and
	// largest is the largest request of each account.
	turnedBy map[string][]int
	largest  map[string]float64
	// worth holds the worth earned by requests that came in each second.
	worth, owed []float64
}

// Tally counts the ends of requests.
type Tally struct {
	Asked, InTime, Late, Refused, Failed int
	// Earned and Owed are worths.
	Earned, Owed float64
	// waits are the times to the first event, holds those until a refusal.
	waits, holds []time.Duration
}

func newResult(policy string, l *Load) *Result {
	seconds := int((l.Length + drainTime).Seconds()) + 1
	r := &Result{
		Policy: policy, load: l, ByKind: map[string]*Tally{}, servedBy: map[string][]float64{}, askedBy: map[string][]float64{},
		turnedBy: map[string][]int{}, largest: map[string]float64{},
		worth: make([]float64, seconds), owed: make([]float64, seconds),
	}
	for _, k := range l.Kinds {
		r.ByKind[k.Name] = &Tally{}
	}
	for _, a := range l.Accounts {
		r.servedBy[a.Name] = make([]float64, seconds)
		r.askedBy[a.Name] = make([]float64, seconds)
		r.turnedBy[a.Name] = make([]int, seconds)
	}
	return r
}

func second(at time.Time) int { return int(at.Sub(start).Seconds()) }

// each applies f to the total and to the request's kind.
func (r *Result) each(q *Request, f func(*Tally)) {
	f(&r.Total)
	f(r.ByKind[q.Kind.Name])
}

func (r *Result) asked(q *Request) {
	r.each(q, func(t *Tally) { t.Asked++; t.Owed += q.Kind.Worth })
	r.owed[second(q.At)] += q.Kind.Worth
	tokens := float64(q.inputTokens() + q.Output)
	r.askedBy[q.Account][second(q.At)] += tokens
	r.largest[q.Account] = max(r.largest[q.Account], tokens)
}

func (r *Result) answered(t *Try) {
	earned := t.Kind.Worth
	if t.late {
		earned = t.Kind.LateWorth
		r.turnedBy[t.Account][second(t.At)]++
	}
	r.each(t.Request, func(x *Tally) {
		x.Earned += earned
		x.waits = append(x.waits, t.first.Sub(t.At))
		if t.late {
			x.Late++
		} else {
			x.InTime++
		}
	})
	r.worth[second(t.At)] += earned
	r.servedBy[t.Account][second(t.first)] += float64(t.inputTokens() + t.Output)
}

func (r *Result) refused(t *Try) { r.each(t.Request, func(x *Tally) { x.Refused++ }) }

// held notes how long an attempt was kept until it was refused.
func (r *Result) held(t *Try, now time.Time) {
	r.each(t.Request, func(x *Tally) { x.holds = append(x.holds, now.Sub(t.arrived)) })
	r.turnedBy[t.Account][second(t.At)]++
}

func (r *Result) failed(t *Try) { r.each(t.Request, func(x *Tally) { x.Failed++ }) }

// Worth is the part of the owed worth that was earned.
func (t *Tally) Worth() float64 { return t.Earned / max(t.Owed, 1e-9) }

// Wait returns a quantile of the time to the first event.
func (t *Tally) Wait(quantile float64) time.Duration { return quantileOf(t.waits, quantile) }

// Hold returns a quantile of the time after which attempts were refused.
func (t *Tally) Hold(quantile float64) time.Duration { return quantileOf(t.holds, quantile) }

func quantileOf(list []time.Duration, quantile float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return list[min(int(quantile*float64(len(list))), len(list)-1)]
}

// Read returns the prompt tokens that the engines read, and those of shared parts that they
// had read before.
func (r *Result) Read() (read, again int) {
	for _, c := range r.engines {
		read += c.Read
		again += c.Again
	}
	return read, again
}

// fairWindow is the time over which the shares of accounts are compared.
const fairWindow = 6

// FairnessGap is the largest difference, over all spans of six seconds, between the tokens
// per second of two accounts that both asked for more than they got, in parts of the mean
// of all accounts.
func (r *Result) FairnessGap() (gap float64) {
	seconds := int(r.load.Length.Seconds())
	for from := 0; from+fairWindow <= seconds; from++ {
		low, high, total := -1.0, 0.0, 0.0
		for _, a := range r.load.Accounts {
			served, asked := sum(r.servedBy[a.Name][from:from+fairWindow]), sum(r.askedBy[a.Name][from:from+fairWindow])
			total += served
			if served >= asked*backloggedBelow {
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

// Unfair counts the spans of six seconds in which an account was turned away in each second
// and was served less than half of what it asked for or the best served account got,
// whichever is less, apart from three of its largest requests.
func (r *Result) Unfair() (spans int) {
	for from := 0; from+fairWindow <= int(r.load.Length.Seconds()); from++ {
		best, most := "", -1.0
		for _, a := range r.load.Accounts {
			if s := sum(r.servedBy[a.Name][from : from+fairWindow]); s > most {
				best, most = a.Name, s
			}
		}
		for _, a := range r.load.Accounts {
			due, always := 0.0, true
			for s := from; s < from+fairWindow; s++ {
				due += min(r.askedBy[a.Name][s], r.servedBy[best][s]) / 2
				always = always && r.turnedBy[a.Name][s] > 0
			}
			if always && sum(r.servedBy[a.Name][from:from+fairWindow])+3*r.largest[a.Name] < due {
				spans++
			}
		}
	}
	return spans
}

// backloggedBelow is the part of its demand below which an account counts as backlogged.
const backloggedBelow = 0.9

func sum(list []float64) (s float64) {
	for _, v := range list {
		s += v
	}
	return s
}

// WriteTable writes the results of one load, a row for each policy and kind.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tkind\tasked\tin time\tlate\trefused\tfailed\tworth\twait p50\twait p95\trefused after p95\tread\tread again\tfairness gap\tunfair spans")
	for _, r := range results {
		read, again := r.Read()
		row(t, r.Policy, "all", &r.Total)
		fmt.Fprintf(t, "\t%d\t%d\t%.2f\t%d\n", read, again, r.FairnessGap(), r.Unfair())
		for _, k := range r.load.Kinds {
			row(t, r.Policy, k.Name, r.ByKind[k.Name])
			fmt.Fprintln(t, "\t\t\t\t")
		}
	}
	return t.Flush()
}

func row(w io.Writer, policy, kind string, t *Tally) {
	share := func(n int) string { return fmt.Sprintf("%.1f %%", 100*float64(n)/float64(max(t.Asked, 1))) }
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%.3f\t%d ms\t%d ms\t%d ms", policy, kind, t.Asked, share(t.InTime), share(t.Late),
		share(t.Refused), share(t.Failed), t.Worth(), t.Wait(0.5).Milliseconds(), t.Wait(0.95).Milliseconds(), t.Hold(0.95).Milliseconds())
}

// Compare plays a load with all policies.
func Compare(l *Load) []*Result {
	var out []*Result
	for _, p := range Policies() {
		out = append(out, Play(l, p))
	}
	return out
}

// Policies returns the policies that Compare plays, the fleet's last.
func Policies() []func(*World) Policy {
	return []func(*World) Policy{
		newBaseline("round robin", roundRobin), newBaseline("least loaded", leastLoaded),
		newBaseline("hash", hashOnly), newBaseline("bounded hash", boundedHash), newFleet,
	}
}
