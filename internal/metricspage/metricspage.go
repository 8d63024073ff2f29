// Package metricspage writes a metrics registry as text that scrapers read.
package metricspage

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// prefix begins the name of every metric.
const prefix = "marigoldshunt_"

// quantiles of timers and histograms.
var quantiles = []float64{0.5, 0.95, 0.99}

// Handler serves the registry. gauges are read with each request.
func Handler(r metrics.Registry, gauges func() map[string]float64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// A scraper that left asks again.
		_ = Write(w, r, gauges())
	})
}

// Write writes all metrics in order of names. Times are in seconds.
func Write(w io.Writer, r metrics.Registry, gauges map[string]float64) error {
	var lines []string
	r.Each(func(name string, v any) { lines = append(lines, format(clean(name), v)...) })
	for name, v := range gauges {
		lines = append(lines, line(clean(name), "", v))
	}
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

// clean turns a dotted name into one that scrapers accept.
func clean(name string) string {
	return prefix + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, strings.ToLower(name))
}

func line(name, labels string, v float64) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		v = 0
	}
	return fmt.Sprintf("%s%s %g\n", name, labels, v)
}

func format(name string, v any) []string {
	switch m := v.(type) {
	case metrics.Counter:
		return []string{line(name+"_total", "", float64(m.Count()))}
	case metrics.Gauge:
		return []string{line(name, "", float64(m.Value()))}
	case metrics.GaugeFloat64:
		return []string{line(name, "", m.Value())}
	case metrics.Meter:
		return []string{line(name+"_total", "", float64(m.Snapshot().Count()))}
	case metrics.Timer:
		s := m.Snapshot()
		return summary(name+"_seconds", s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1e-9)
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(name, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	}
	return nil
}

func summary(name string, values []float64, sum float64, count int64, unit float64) []string {
	out := []string{line(name+"_sum", "", sum*unit), line(name+"_count", "", float64(count))}
	for i, q := range quantiles {
		out = append(out, line(name, fmt.Sprintf("{quantile=\"%g\"}", q), values[i]*unit))
	}
	return out
}
