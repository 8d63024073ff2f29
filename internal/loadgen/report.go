package loadgen

import (
	"slices"
	"time"

	"marigoldshunt/internal/fault"
)

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Bucket is one step of a series over time, by the end of the requests.
type Bucket struct {
	StartMS  int64   `json:"start_ms"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Tokens   int     `json:"tokens"`
	WaitP95  float64 `json:"wait_p95_ms"`
}

// Summary is the report of one account or of the whole run.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Refused counts all other outcomes by code.
	Refused map[fault.Code]int `json:"refused"`
	// Cut counts the refusals that came after a part of the answer.
	Cut int `json:"cut"`
	// Faulty counts answers that were not whole, foreign or untyped.
	Faulty    int         `json:"faulty"`
	Replayed  int         `json:"replayed"`
	Retried   int         `json:"retried"`
	Tokens    int         `json:"tokens"`
	Discovery int         `json:"discovery"`
	PerSecond float64     `json:"answered_per_second"`
	Wait      Percentiles `json:"wait"`
	Total     Percentiles `json:"total"`
	Series    []Bucket    `json:"series"`
}

// Report is the outcome of a run.
type Report struct {
	DurationMS int64              `json:"duration_ms"`
	Total      Summary            `json:"total"`
	Accounts   map[string]Summary `json:"accounts"`
}

func makeReport(clients []*client, d, bucket time.Duration) *Report {
	r := &Report{DurationMS: d.Milliseconds(), Accounts: map[string]Summary{}}
	var all []Result
	asked := 0
	byName := map[string][]Result{}
	askedBy := map[string]int{}
	for _, c := range clients {
		all = append(all, c.results...)
		asked += c.asked
		byName[c.account.Name] = append(byName[c.account.Name], c.results...)
		askedBy[c.account.Name] += c.asked
	}
	for name, list := range byName {
		r.Accounts[name] = summarise(list, d, bucket, askedBy[name])
	}
	r.Total = summarise(all, d, bucket, asked)
	return r
}

// summarise counts results. Waits and times are those of whole answers.
func summarise(list []Result, d, bucket time.Duration, asked int) Summary {
	s := Summary{Requests: len(list), Refused: map[fault.Code]int{}, Discovery: asked}
	var wait, total []time.Duration
	for _, r := range list {
		if r.Tries > 0 {
			s.Retried++
		}
		if r.Code != "" {
			s.refuse(r)
			continue
		}
		s.Answered++
		s.Tokens += r.Tokens
		if r.Replayed {
			s.Replayed++
		}
		wait = append(wait, r.Wait)
		total = append(total, r.Total)
	}
	s.Wait, s.Total = percentiles(wait), percentiles(total)
	if d > 0 {
		s.PerSecond = float64(s.Answered) / d.Seconds()
	}
	s.Series = series(list, bucket)
	return s
}

func (s *Summary) refuse(r Result) {
	s.Refused[r.Code]++
	if r.Began {
		s.Cut++
	}
	switch r.Code {
	case CodeNotWhole, CodeForeign, CodeUntyped:
		s.Faulty++
	}
}

func series(list []Result, bucket time.Duration) []Bucket {
	var out []Bucket
	var waits [][]time.Duration
	for _, r := range list {
		i := int((r.Start + r.Total) / bucket)
		for len(out) <= i {
			out = append(out, Bucket{StartMS: (time.Duration(len(out)) * bucket).Milliseconds()})
			waits = append(waits, nil)
		}
		if r.Code != "" {
			out[i].Refused++
			continue
		}
		out[i].Answered++
		out[i].Tokens += r.Tokens
		waits[i] = append(waits[i], r.Wait)
	}
	for i := range out {
		out[i].WaitP95 = percentiles(waits[i]).P95
	}
	return out
}

func percentiles(d []time.Duration) Percentiles {
	if len(d) == 0 {
		return Percentiles{}
	}
	slices.Sort(d)
	at := func(p float64) float64 {
		return float64(d[int(p*float64(len(d)-1))]) / float64(time.Millisecond)
	}
	return Percentiles{at(0.50), at(0.95), at(0.99), at(1)}
}
