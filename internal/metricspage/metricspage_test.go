package metricspage

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// Guards against a page that scrapers can't parse, and against values without their unit.
func TestPageParses(t *testing.T) {
	c := qt.New(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("gateway.failed.queue_full", r).Inc(3)
	metrics.GetOrRegisterGauge("edge.Odd-Name", r).Update(7)
	metrics.GetOrRegisterTimer("gateway.answer", r).Update(250 * time.Millisecond)
	var b bytes.Buffer
	c.Assert(Write(&b, r, map[string]float64{"control.leads": 1}), qt.IsNil)
	lineFormat := regexp.MustCompile(`^[a-z_][a-z0-9_]*(\{quantile="[0-9.]+"\})? [0-9.e+-]+$`)
	for _, l := range strings.Split(strings.TrimSpace(b.String()), "\n") {
		c.Check(lineFormat.MatchString(l), qt.IsTrue, qt.Commentf("%q", l))
	}
	for _, want := range []string{
		"marigoldshunt_gateway_failed_queue_full_total 3\n", "marigoldshunt_edge_odd_name 7\n",
		"marigoldshunt_gateway_answer_seconds{quantile=\"0.5\"} 0.25\n", "marigoldshunt_control_leads 1\n",
	} {
		c.Check(b.String(), qt.Contains, want)
	}
}
