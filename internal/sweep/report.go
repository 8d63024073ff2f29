package sweep

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"marigoldshunt/internal/plot"
)

// Limits of a node at the target scale, see section 1.5 of docs/design.md.
const (
	maxCorePercent    = 1.6
	maxMemoryMB       = 32.0
	maxBytesPerSecond = 6_000.0
	maxChangeSeconds  = 4.0
)

// Figure is one figure of the sweep at all sizes.
type Figure struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Values []float64 `json:"values"`
	// Exponent is the slope between the smallest and the largest size on logarithmic axes:
	// 0 for a figure that does not grow, 1 for one that grows in proportion to the hosts.
	Exponent float64 `json:"exponent"`
	// AboveLog is true if the figure grows faster than the logarithm of the hosts.
	AboveLog bool `json:"above_log"`
	// AtTarget is the value at 370 hosts, computed from the slope of the two largest sizes.
	AtTarget float64 `json:"at_370_hosts"`
	// Limit is the limit of a node at the target scale, 0 for none.
	Limit float64 `json:"limit,omitempty"`
}

// logTolerance is how much more than the logarithm a figure may grow before it is marked.
const logTolerance = 1.1

func newFigure(name, unit string, limit float64, list []Measurement, value func(*Measurement) float64) Figure {
	f := Figure{Name: name, Unit: unit, Limit: limit}
	for i := range list {
		f.Values = append(f.Values, value(&list[i]))
	}
	first, last := &list[0], &list[len(list)-1]
	f.Exponent = slope(float64(first.Hosts), float64(last.Hosts), f.Values[0], f.Values[len(list)-1])
	growth := math.Log(float64(last.Hosts)) / math.Log(float64(first.Hosts))
	f.AboveLog = f.Values[len(list)-1] > f.Values[0]*growth*logTolerance
	previous := max(len(list)-2, 0)
	f.AtTarget = f.Values[len(list)-1] * math.Pow(targetHosts/float64(last.Hosts),
		slope(float64(list[previous].Hosts), float64(last.Hosts), f.Values[previous], f.Values[len(list)-1]))
	return f
}

// slope returns the slope of a figure on logarithmic axes, 0 if it is not defined.
func slope(fromHosts, toHosts, from, to float64) float64 {
	if fromHosts == toHosts || from <= 0 || to <= 0 {
		return 0
	}
	return math.Log(to/from) / math.Log(toHosts/fromHosts)
}

// Figures returns the figures of all sizes with their slopes and limits.
func (r *Report) Figures() (out []Figure) {
	list := r.Measurements
	if len(list) == 0 {
		return nil
	}
	add := func(name, unit string, limit float64, value func(*Measurement) float64) {
		out = append(out, newFigure(name, unit, limit, list, value))
	}
	add("decision", "us", 0, func(m *Measurement) float64 { return m.Decision.Seconds() * 1e6 })
	add("decisions of a host", "% of a core", maxCorePercent, func(m *Measurement) float64 { return m.Decision.Seconds() * requestsPerSecond * 100 })
	kinds := []struct {
		name string
		of   func(*Measurement) *Traffic
	}{
		{"control", func(m *Measurement) *Traffic { return &m.Control }},
		{"loads", func(m *Measurement) *Traffic { return &m.Loads }},
		{"gates", func(m *Measurement) *Traffic { return &m.Gates }},
	}
	for _, k := range kinds {
		add(k.name+": messages out, mean", "/s", 0, func(m *Measurement) float64 { return k.of(m).Messages })
		add(k.name+": bytes out, mean", "B/s", maxBytesPerSecond, func(m *Measurement) float64 { return k.of(m).MeanBytes })
		add(k.name+": bytes out, busiest", "B/s", maxBytesPerSecond, func(m *Measurement) float64 { return k.of(m).MaxOutBytes })
		add(k.name+": bytes in, median", "B/s", maxBytesPerSecond, func(m *Measurement) float64 { return k.of(m).MedianInBytes })
		add(k.name+": bytes in, busiest", "B/s", maxBytesPerSecond, func(m *Measurement) float64 { return k.of(m).MaxInBytes })
	}
	add("all: bytes out, mean", "B/s", maxBytesPerSecond, func(m *Measurement) float64 {
		return m.Control.MeanBytes + m.Loads.MeanBytes + m.Gates.MeanBytes
	})
	add("heap, control client and group", "MB", maxMemoryMB, func(m *Measurement) float64 { return m.ControlMemory / 1e6 })
	add("heap, dispatcher, loads and gates", "MB", maxMemoryMB, func(m *Measurement) float64 { return m.DispatchMemory / 1e6 })
	add("lost host agreed", "s", 0, func(m *Measurement) float64 { return m.LostHostAgreed.Seconds() })
	add("change in force", "s", maxChangeSeconds, func(m *Measurement) float64 { return m.ChangeInForce.Seconds() })
	add("large document in force", "s", maxChangeSeconds, func(m *Measurement) float64 { return m.Document.InForce.Seconds() })
	add("large document: bytes out, leader", "MB", 0, func(m *Measurement) float64 { return m.Document.LeaderBytes / 1e6 })
	add("one route of it in force", "s", maxChangeSeconds, func(m *Measurement) float64 { return m.Route.InForce.Seconds() })
	add("one route of it: bytes out, leader", "MB", 0, func(m *Measurement) float64 { return m.Route.LeaderBytes / 1e6 })
	add("control group recovered", "s", 0, func(m *Measurement) float64 { return m.GroupRecovered.Seconds() })
	add("error of accounts' demand, p95", "%", 0, func(m *Measurement) float64 { return m.DemandError * 100 })
	return out
}

// WriteJSON writes the measurements and the figures as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(struct {
		*Report
		Figures []Figure `json:"figures"`
	}{r, r.Figures()})
}

// WriteTable writes the figures as a table.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %s of traffic, growth as the exponent of the number of hosts\n", r.Seed, r.Length.Round(time.Millisecond))
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tunit\t"+strings.Join(r.sizes(), "\t")+"\tgrowth\tabove log n\tat 370\tlimit\tmet")
	for _, f := range r.Figures() {
		fmt.Fprintf(t, "%s\t%s", f.Name, f.Unit)
		for _, v := range f.Values {
			fmt.Fprintf(t, "\t%.4g", v)
		}
		fmt.Fprintf(t, "\t%.2f\t%s\t%.4g", f.Exponent, yesOrNo(f.AboveLog), f.AtTarget)
		if f.Limit > 0 {
			fmt.Fprintf(t, "\t%.4g\t%s", f.Limit, yesOrNo(f.AtTarget <= f.Limit))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func (r *Report) sizes() (out []string) {
	for _, m := range r.Measurements {
		out = append(out, fmt.Sprint(m.Hosts))
	}
	return out
}

func yesOrNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

// WriteSVG writes a plot of the figures of each unit.
func (r *Report) WriteSVG(w io.Writer) error {
	var plots []plot.Plot
	index := map[string]int{}
	for _, f := range r.Figures() {
		group, _, _ := strings.Cut(f.Name, ":")
		key := f.Unit
		if f.Unit == "B/s" || f.Unit == "/s" {
			key = group + ", " + f.Unit
		}
		i, ok := index[key]
		if !ok {
			i, index[key] = len(plots), len(plots)
			plots = append(plots, plot.Plot{Title: key + " by number of hosts", Unit: "sizes", Labels: r.sizes()})
		}
		name := f.Name
		if _, rest, cut := strings.Cut(f.Name, ": "); cut {
			name = rest
		}
		plots[i].Curves = append(plots[i].Curves, plot.Curve{Name: name, Values: f.Values})
	}
	return plot.WriteSVG(w, plots)
}
