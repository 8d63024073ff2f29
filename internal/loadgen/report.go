package loadgen

import (
	"slices"
	"time"

	"marigoldshunt/internal/fault"
)

// Percentiles of durations, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Bucket is one step of a time series. Requests count in the step in which they end.
type Bucket struct {
	StartMS            int64   `json:"start_ms"`
	Answered           int     `json:"answered"`
	Failures           int     `json:"refused"`
	Tokens             int     `json:"tokens"`
	TimeToFirstByteP95 float64 `json:"wait_p95_ms"`
}

// Summary is the report of one account or of the whole run.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Failures counts the requests without a complete response, by code.
	Failures map[fault.Code]int `json:"refused"`
	// Cut counts the failures that came after a part of the response.
	Cut int `json:"cut"`
	// Faulty counts responses that were incomplete, foreign or untyped.
	Faulty          int         `json:"faulty"`
	Replayed        int         `json:"replayed"`
	Retried         int         `json:"retried"`
	Tokens          int         `json:"tokens"`
	Discoveries     int         `json:"discovery"`
	PerSecond       float64     `json:"answered_per_second"`
	TimeToFirstByte Percentiles `json:"wait"`
	Total           Percentiles `json:"total"`
	Series          []Bucket    `json:"series"`
}

// Report is the outcome of a run.
type Report struct {
	DurationMS int64              `json:"duration_ms"`
	Total      Summary            `json:"total"`
	Accounts   map[string]Summary `json:"accounts"`
}

func newReport(clients []*client, duration, bucketLength time.Duration) *Report {
	r := &Report{DurationMS: duration.Milliseconds(), Accounts: map[string]Summary{}}
	var all []Result
	discoveries := 0
	resultsByName := map[string][]Result{}
	discoveriesByName := map[string]int{}
	for _, c := range clients {
		all = append(all, c.results...)
		discoveries += c.discoveries
		resultsByName[c.account.Name] = append(resultsByName[c.account.Name], c.results...)
		discoveriesByName[c.account.Name] += c.discoveries
	}
	for name, list := range resultsByName {
		r.Accounts[name] = summarise(list, duration, bucketLength, discoveriesByName[name])
	}
	r.Total = summarise(all, duration, bucketLength, discoveries)
	return r
}

// summarise counts results. Percentiles cover complete responses only.
func summarise(list []Result, duration, bucketLength time.Duration, discoveries int) Summary {
	s := Summary{Requests: len(list), Failures: map[fault.Code]int{}, Discoveries: discoveries}
	var firstByteTimes, total []time.Duration
	for _, r := range list {
		if r.Retries > 0 {
			s.Retried++
		}
		if r.Code != "" {
			s.countFailure(r)
			continue
		}
		s.Answered++
		s.Tokens += r.Tokens
		if r.Replayed {
			s.Replayed++
		}
		firstByteTimes = append(firstByteTimes, r.TimeToFirstByte)
		total = append(total, r.Total)
	}
	s.TimeToFirstByte, s.Total = percentiles(firstByteTimes), percentiles(total)
	if duration > 0 {
		s.PerSecond = float64(s.Answered) / duration.Seconds()
	}
	s.Series = series(list, bucketLength)
	return s
}

func (s *Summary) countFailure(r Result) {
	s.Failures[r.Code]++
	if r.PartialResponse {
		s.Cut++
	}
	switch r.Code {
	case CodeIncomplete, CodeForeign, CodeUntyped:
		s.Faulty++
	}
}

func series(list []Result, bucketLength time.Duration) []Bucket {
	var out []Bucket
	var firstByteTimes [][]time.Duration
	for _, r := range list {
		i := int((r.Start + r.Total) / bucketLength)
		for len(out) <= i {
			out = append(out, Bucket{StartMS: (time.Duration(len(out)) * bucketLength).Milliseconds()})
			firstByteTimes = append(firstByteTimes, nil)
		}
		if r.Code != "" {
			out[i].Failures++
			continue
		}
		out[i].Answered++
		out[i].Tokens += r.Tokens
		firstByteTimes[i] = append(firstByteTimes[i], r.TimeToFirstByte)
	}
	for i := range out {
		out[i].TimeToFirstByteP95 = percentiles(firstByteTimes[i]).P95
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
