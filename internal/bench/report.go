package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Row is one measure.
type Row struct {
	Profile string  `json:"profile"`
	Part    int     `json:"part"`
	Measure string  `json:"measure"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Target is the target or bound in words; Met is "yes" or "no", or empty without one.
	Target string `json:"target,omitempty"`
	Met    string `json:"met,omitempty"`
	// Baseline is the same measure of independent routers in the same run, Ratio the value
	// divided by it.
	Baseline *float64 `json:"baseline,omitempty"`
	Ratio    *float64 `json:"ratio,omitempty"`
	Note     string   `json:"note,omitempty"`
	// Series is the measure over time.
	Series []float64 `json:"series,omitempty"`
}

// MarshalJSON writes values that are not numbers as null.
func (r Row) MarshalJSON() ([]byte, error) {
	type plain Row
	finite := func(v *float64) *float64 {
		if v == nil || math.IsNaN(*v) || math.IsInf(*v, 0) {
			return nil
		}
		return v
	}
	r.Baseline, r.Ratio = finite(r.Baseline), finite(r.Ratio)
	return json.Marshal(struct {
		plain
		Value *float64 `json:"value"`
	}{plain(r), finite(&r.Value)})
}

// atMost sets a target that the value must not exceed.
func (r Row) atMost(limit float64) Row {
	r.Target = fmt.Sprintf("<= %s %s", number(limit), r.Unit)
	r.Met = metOrNot(r.Value <= limit)
	return r
}

// atLeast sets a target that the value must reach.
func (r Row) atLeast(limit float64) Row {
	r.Target = fmt.Sprintf(">= %s %s", number(limit), r.Unit)
	r.Met = metOrNot(r.Value >= limit)
	return r
}

// against sets the baseline.
func (r Row) against(baseline float64) Row {
	r.Baseline = &baseline
	if ratio := r.Value / baseline; baseline != 0 && !math.IsNaN(ratio) {
		r.Ratio = &ratio
	}
	return r
}

func metOrNot(ok bool) string {
	if ok {
		return "yes"
	}
	return "no"
}

// Report is the outcome of a run.
type Report struct {
	Seed int64 `json:"seed"`
	// Phase is the length of one load phase in seconds.
	Phase float64 `json:"phase_seconds"`
	Rows  []Row   `json:"rows"`
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the report as a table.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %s s per load phase\n", r.Seed, number(r.Phase))
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "profile\tpart\tmeasure\tvalue\tunit\ttarget or bound\tmet\tbaseline\tratio\tnote")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Profile, row.Part, row.Measure,
			number(row.Value), row.Unit, row.Target, row.Met, optional(row.Baseline), optional(row.Ratio), row.Note)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, row := range r.Rows {
		if len(row.Series) == 0 {
			continue
		}
		var list []string
		for _, v := range row.Series {
			list = append(list, number(v))
		}
		fmt.Fprintf(w, "%s, %s, series: %s\n", row.Profile, row.Measure, strings.Join(list, " "))
	}
	return nil
}

func optional(v *float64) string {
	if v == nil {
		return ""
	}
	return number(*v)
}

// number prints four significant digits without an exponent.
func number(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "none"
	case a == math.Trunc(a) && a < 1e9, a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 100:
		return fmt.Sprintf("%.1f", v)
	case a >= 10:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.4g", v)
}
