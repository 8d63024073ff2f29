// Package metricspage serves a metrics registry in the Prometheus text format.
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

// namePrefix begins the name of every metric.
const namePrefix = "marigoldshunt_"

// quantiles are the quantiles that are written for each timer and histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// Handler serves the metrics of r and gauges. It calls gauges for each request.
func Handler(r metrics.Registry, gauges func() map[string]float64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// A failed write needs no handling: a scraper that has disconnected scrapes again.
		_ = Write(w, r, gauges())
	})
}

// Write writes all metrics, sorted by name. Times are in seconds.
func Write(w io.Writer, r metrics.Registry, gauges map[string]float64) error {
	var lines []string
	r.Each(func(name string, v any) { lines = append(lines, metricLines(metricName(name), v)...) })
	for name, v := range gauges {
		lines = append(lines, sampleLine(metricName(name), "", v))
	}
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

// metricName turns a dotted name into a prefixed one that scrapers accept.
func metricName(name string) string {
	return namePrefix + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, strings.ToLower(name))
}

func sampleLine(name, labels string, v float64) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		v = 0
	}
	return fmt.Sprintf("%s%s %g\n", name, labels, v)
}

func metricLines(name string, v any) []string {
	switch m := v.(type) {
	case metrics.Counter:
		return []string{sampleLine(name+"_total", "", float64(m.Count()))}
	case metrics.Gauge:
		return []string{sampleLine(name, "", float64(m.Value()))}
	case metrics.GaugeFloat64:
		return []string{sampleLine(name, "", m.Value())}
	case metrics.Meter:
		return []string{sampleLine(name+"_total", "", float64(m.Snapshot().Count()))}
	case metrics.Timer:
		s := m.Snapshot()
		return summaryLines(name+"_seconds", s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1e-9)
	case metrics.Histogram:
		s := m.Snapshot()
		return summaryLines(name, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	}
	return nil
}

func summaryLines(name string, values []float64, sum float64, count int64, scale float64) []string {
	out := []string{sampleLine(name+"_sum", "", sum*scale), sampleLine(name+"_count", "", float64(count))}
	for i, q := range quantiles {
		out = append(out, sampleLine(name, fmt.Sprintf("{quantile=\"%g\"}", q), values[i]*scale))
	}
	return out
}
