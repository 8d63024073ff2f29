package scenario

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"marigoldshunt/internal/config"
	"marigoldshunt/internal/fault"
	"marigoldshunt/internal/loadgen"
)

// load is one background run of the load generator with its results so far.
type load struct {
	mu      sync.Mutex
	results []result
	ended   bool
}

type result struct {
	loadgen.Result
	account string
	end     time.Time
}

// options are key=value words of a command.
type options map[string]string

func parseOptions(words []string) options {
	o := options{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		o[k] = v
	}
	return o
}

func (o options) number(key string, absent int) int {
	if n, err := strconv.Atoi(o[key]); err == nil {
		return n
	}
	return absent
}

// callers returns the caller addresses of the named hosts, by default of all.
func (f *fleet) callers(o options) []string {
	names := f.names(false)
	if o["hosts"] != "" {
		names = strings.Split(o["hosts"], ",")
	}
	var out []string
	for _, n := range names {
		out = append(out, f.hosts[n].caller)
	}
	return out
}

// cmdLoad starts load in the background: load NAME pool=P accounts=NAME:WORKERS,...
// [kind=service] [hosts=H,...] [requests=N] [duration=D] [retries=N] [max-tokens=N]
// [text=T] [whole=1] [bytes=N].
func cmdLoad(_ *testscript.TestScript, f *fleet, args []string) error {
	o := parseOptions(args[1:])
	w := loadgen.Work{
		Pool: o["pool"], Kind: config.KindModel, Stream: o["whole"] == "", PromptBytes: o.number("bytes", 80),
		MaxTokens: o.number("max-tokens", 0), Text: o["text"], Path: "/",
	}
	if o["kind"] != "" {
		w.Kind = config.Kind(o["kind"])
	}
	l := &load{}
	opts := loadgen.Options{
		Hosts: f.callers(o), Requests: o.number("requests", 0), Retries: o.number("retries", 0),
		MaxPause: 50 * time.Millisecond, Seed: 1,
		OnResult: func(account string, r loadgen.Result) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.results = append(l.results, result{r, account, time.Now()})
		},
	}
	if o["duration"] != "" {
		d, err := time.ParseDuration(o["duration"])
		if err != nil {
			return err
		}
		opts.Duration = d
	}
	for _, a := range strings.Split(o["accounts"], ",") {
		name, workers, _ := strings.Cut(a, ":")
		n, err := strconv.Atoi(workers)
		if err != nil {
			return err
		}
		opts.Accounts = append(opts.Accounts, loadgen.Account{Name: name, Key: credential(name), Workers: n, Mix: []loadgen.Work{w}})
	}
	f.mu.Lock()
	f.loads[args[0]] = l
	f.mu.Unlock()
	f.work.Go(func() {
		_, err := loadgen.Run(f.ctx, opts)
		f.mu.Lock()
		if err != nil {
			f.failure = fmt.Errorf("load %s: %w", args[0], err)
		}
		f.mu.Unlock()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended = true
	})
	return nil
}

// loadValue returns ended, requests, answered, refused, faulty, cut, tokens,
// max_wait_ms or code.CODE of a load. The prefixes account.NAME, after.MARK
// and before.MARK select results; the latter two by the end of the request.
func (f *fleet) loadValue(name string, p []string) (string, error) {
	f.mu.Lock()
	l := f.loads[name]
	marks := f.marks
	f.mu.Unlock()
	if l == nil {
		return "", fmt.Errorf("unknown load %q", name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.results
	for len(p) > 2 && p[0] != "gap" {
		keep := map[string]func(r result) bool{
			"account": func(r result) bool { return r.account == p[1] },
			"after":   func(r result) bool { return r.end.After(marks[p[1]]) },
			"before":  func(r result) bool { return r.end.Before(marks[p[1]]) },
		}[p[0]]
		if keep == nil {
			return "", fmt.Errorf("unknown selection %q", p[0])
		}
		list = slices.DeleteFunc(slices.Clone(list), func(r result) bool { return !keep(r) })
		p = p[2:]
	}
	switch p[0] {
	case "ended":
		return fmt.Sprint(l.ended), nil
	case "gap":
		return gap(list, p[1:])
	case "median_wait_ms":
		var waits []time.Duration
		for _, r := range list {
			waits = append(waits, r.Wait)
		}
		slices.Sort(waits)
		if len(waits) == 0 {
			return "", fmt.Errorf("load %s has no results", name)
		}
		return fmt.Sprint(waits[len(waits)/2].Milliseconds()), nil
	}
	n := 0
	for _, r := range list {
		n = tally(n, r, p)
	}
	return fmt.Sprint(n), nil
}

// gap returns the difference of the output tokens by weight of two accounts, from
// ACCOUNT, WEIGHT, ACCOUNT, WEIGHT.
func gap(list []result, p []string) (string, error) {
	var service [2]float64
	for i := range service {
		weight, err := strconv.ParseFloat(p[2*i+1], 64)
		if err != nil {
			return "", err
		}
		for _, r := range list {
			if r.account == p[2*i] {
				service[i] += float64(r.Tokens) / weight
			}
		}
	}
	return fmt.Sprint(math.Abs(service[0] - service[1])), nil
}

func tally(n int, r result, p []string) int {
	is := false
	switch p[0] {
	case "requests":
		is = true
	case "answered":
		is = r.Code == ""
	case "refused":
		is = r.Code != ""
	case "faulty":
		is = slices.Contains([]fault.Code{loadgen.CodeForeign, loadgen.CodeNotWhole, loadgen.CodeUntyped}, r.Code)
	case "cut":
		is = r.Began
	case "code":
		is = string(r.Code) == p[1]
	case "tokens":
		return n + r.Tokens
	case "max_wait_ms":
		return max(n, int(r.Wait.Milliseconds()))
	}
	if is {
		return n + 1
	}
	return n
}

// summary counts the outcomes. It is used to explain failures.
func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	codes := map[string]int{}
	for _, r := range l.results {
		codes[r.account+"/"+string(r.Code)+"/"+string(r.RunState)]++
	}
	return fmt.Sprintf("ended=%v outcomes=%v", l.ended, codes)
}
