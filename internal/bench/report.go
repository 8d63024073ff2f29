package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Row is one measurement.
type Row struct {
	Profile string  `json:"profile"`
	Part    int     `json:"part"`
	Measure string  `json:"measure"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Target is the target or bound as text; Met is "yes" or "no". Both are empty without a
	// target.
	Target string `json:"target,omitempty"`
	Met    string `json:"met,omitempty"`
	// Baseline is the same measurement of the independent routers in the same run, Ratio is
	// Value divided by Baseline.
	Baseline *float64 `json:"baseline,omitempty"`
	Ratio    *float64 `json:"ratio,omitempty"`
	Note     string   `json:"note,omitempty"`
	// Series is the measurement over time.
	Series []float64 `json:"series,omitempty"`
}

// MarshalJSON writes NaN and infinite values as null.
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

// atMost sets the largest value that meets the target.
func (r Row) atMost(limit float64) Row {
	r.Target = fmt.Sprintf("<= %s %s", formatNumber(limit), r.Unit)
	r.Met = yesOrNo(r.Value <= limit)
	return r
}

// atLeast sets the smallest value that meets the target.
func (r Row) atLeast(limit float64) Row {
	r.Target = fmt.Sprintf(">= %s %s", formatNumber(limit), r.Unit)
	r.Met = yesOrNo(r.Value >= limit)
	return r
}

// withBaseline sets the baseline, and the ratio if it is defined.
func (r Row) withBaseline(baseline float64) Row {
	r.Baseline = &baseline
	if ratio := r.Value / baseline; baseline != 0 && !math.IsNaN(ratio) {
		r.Ratio = &ratio
	}
	return r
}

func yesOrNo(ok bool) string {
	if ok {
		return "yes"
	}
	return "no"
}

// Report is the result of a run.
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
	fmt.Fprintf(w, "seed %d, %s s per load phase\n", r.Seed, formatNumber(r.Phase))
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "profile\tpart\tmeasure\tvalue\tunit\ttarget or bound\tmet\tbaseline\tratio\tnote")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Profile, row.Part, row.Measure,
			formatNumber(row.Value), row.Unit, row.Target, row.Met, formatOptional(row.Baseline), formatOptional(row.Ratio), row.Note)
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
			list = append(list, formatNumber(v))
		}
		fmt.Fprintf(w, "%s, %s, series: %s\n", row.Profile, row.Measure, strings.Join(list, " "))
	}
	return nil
}

func formatOptional(v *float64) string {
	if v == nil {
		return ""
	}
	return formatNumber(*v)
}

// formatNumber prints about four significant digits, and all digits of a large whole
// number; NaN prints as "none".
func formatNumber(v float64) string {
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
