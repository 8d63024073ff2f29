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

// keyValues holds the KEY=VALUE arguments of a command.
type keyValues map[string]string

func parseKeyValues(words []string) keyValues {
	kv := keyValues{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		kv[k] = v
	}
	return kv
}

func (kv keyValues) intValue(key string, fallback int) int {
	if n, err := strconv.Atoi(kv[key]); err == nil {
		return n
	}
	return fallback
}

// callerAddresses returns the caller addresses of the hosts in hosts=H,..., by default of
// all.
func (f *fleet) callerAddresses(kv keyValues) []string {
	names := f.hostNames(false)
	if kv["hosts"] != "" {
		names = strings.Split(kv["hosts"], ",")
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
	kv := parseKeyValues(args[1:])
	spec := loadgen.RequestSpec{
		Pool: kv["pool"], Kind: config.KindModel, Stream: kv["whole"] == "", PromptBytes: kv.intValue("bytes", 80),
		MaxTokens: kv.intValue("max-tokens", 0), Text: kv["text"], Path: "/",
	}
	if kv["kind"] != "" {
		spec.Kind = config.PoolKind(kv["kind"])
	}
	l := &load{}
	opts := loadgen.Options{
		Hosts: f.callerAddresses(kv), Requests: kv.intValue("requests", 0), Retries: kv.intValue("retries", 0),
		MaxRetryDelay: 50 * time.Millisecond, Seed: 1,
		OnResult: func(account string, r loadgen.Result) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.results = append(l.results, result{r, account, time.Now()})
		},
	}
	if kv["duration"] != "" {
		d, err := time.ParseDuration(kv["duration"])
		if err != nil {
			return err
		}
		opts.Duration = d
	}
	for _, a := range strings.Split(kv["accounts"], ",") {
		name, workers, _ := strings.Cut(a, ":")
		n, err := strconv.Atoi(workers)
		if err != nil {
			return err
		}
		opts.Accounts = append(opts.Accounts, loadgen.Account{Name: name, Key: credential(name), Workers: n, Mix: []loadgen.RequestSpec{spec}})
	}
	f.mu.Lock()
	f.loads[args[0]] = l
	f.mu.Unlock()
	f.background.Go(func() {
		_, err := loadgen.Run(f.ctx, opts)
		f.mu.Lock()
		if err != nil {
			f.backgroundErr = fmt.Errorf("load %s: %w", args[0], err)
		}
		f.mu.Unlock()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended = true
	})
	return nil
}

// loadValue returns ended, requests, answered, refused, faulty, cut, tokens, max_wait_ms,
// median_wait_ms, gap.A.WA.B.WB or code.CODE of a load. The prefixes account.NAME,
// after.MARK and before.MARK select results; the latter two by the end of the request.
func (f *fleet) loadValue(name string, path []string) (string, error) {
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
	for len(path) > 2 && path[0] != "gap" {
		keep := map[string]func(r result) bool{
			"account": func(r result) bool { return r.account == path[1] },
			"after":   func(r result) bool { return r.end.After(marks[path[1]]) },
			"before":  func(r result) bool { return r.end.Before(marks[path[1]]) },
		}[path[0]]
		if keep == nil {
			return "", fmt.Errorf("unknown selection %q", path[0])
		}
		list = slices.DeleteFunc(slices.Clone(list), func(r result) bool { return !keep(r) })
		path = path[2:]
	}
	switch path[0] {
	case "ended":
		return fmt.Sprint(l.ended), nil
	case "gap":
		return serviceGap(list, path[1:])
	case "median_wait_ms":
		var waits []time.Duration
		for _, r := range list {
			waits = append(waits, r.TimeToFirstByte)
		}
		slices.Sort(waits)
		if len(waits) == 0 {
			return "", fmt.Errorf("load %s has no results", name)
		}
		return fmt.Sprint(waits[len(waits)/2].Milliseconds()), nil
	}
	n := 0
	for _, r := range list {
		n = countResult(n, r, path)
	}
	return fmt.Sprint(n), nil
}

// serviceGap returns the difference of the output tokens per weight of two accounts. The
// path is ACCOUNT, WEIGHT, ACCOUNT, WEIGHT.
func serviceGap(list []result, path []string) (string, error) {
	var service [2]float64
	for i := range service {
		weight, err := strconv.ParseFloat(path[2*i+1], 64)
		if err != nil {
			return "", err
		}
		for _, r := range list {
			if r.account == path[2*i] {
				service[i] += float64(r.Tokens) / weight
			}
		}
	}
	return fmt.Sprint(math.Abs(service[0] - service[1])), nil
}

func countResult(n int, r result, field []string) int {
	counts := false
	switch field[0] {
	case "requests":
		counts = true
	case "answered":
		counts = r.Code == ""
	case "refused":
		counts = r.Code != ""
	case "faulty":
		counts = slices.Contains([]fault.Code{loadgen.CodeForeign, loadgen.CodeIncomplete, loadgen.CodeUntyped}, r.Code)
	case "cut":
		counts = r.PartialResponse
	case "code":
		counts = string(r.Code) == field[1]
	case "tokens":
		return n + r.Tokens
	case "max_wait_ms":
		return max(n, int(r.TimeToFirstByte.Milliseconds()))
	}
	if counts {
		return n + 1
	}
	return n
}

// summary counts the results by account, code and run state, to explain failures.
func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	codes := map[string]int{}
	for _, r := range l.results {
		codes[r.account+"/"+string(r.Code)+"/"+string(r.RunState)]++
	}
	return fmt.Sprintf("ended=%v outcomes=%v", l.ended, codes)
}
