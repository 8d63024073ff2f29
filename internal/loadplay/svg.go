package loadplay

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Sizes of a plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 240
	plotMargin = 40
)

// colours distinguish up to eight lines.
var colours = []string{"#1b6ca8", "#c8553d", "#588157", "#8e6c8a", "#b08900", "#3d405b", "#d17a9b", "#4f772d"}

// line is one curve with a value for each second.
type line struct {
	name   string
	values []float64
}

// WriteSVG writes two plots: the worth by second with each policy, and the tokens that each
// account is served by second with the last policy.
func WriteSVG(w io.Writer, results []*Result) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", plotWidth, 2*plotHeight)
	var worth, shares []line
	for _, r := range results {
		worth = append(worth, line{r.Policy, r.worthBySecond()})
	}
	last := results[len(results)-1]
	for _, a := range last.load.Accounts {
		shares = append(shares, line{a.Name, last.servedBy[a.Name][:int(last.load.Length.Seconds())]})
	}
	plot(&b, 0, "part of the owed worth that was earned, by second of arrival", worth)
	plot(&b, plotHeight, "tokens served by account and second, policy "+last.Policy, shares)
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Result) worthBySecond() []float64 {
	out := make([]float64, int(r.load.Length.Seconds()))
	for i := range out {
		if r.owed[i] > 0 {
			out[i] = r.worth[i] / r.owed[i]
		}
	}
	return out
}

// plot draws lines over a common scale.
func plot(b *strings.Builder, top int, title string, lines []line) {
	highest, longest := 0.0, 1
	for _, l := range lines {
		longest = max(longest, len(l.values))
		for _, v := range l.values {
			highest = math.Max(highest, v)
		}
	}
	highest = math.Max(highest, 1e-9)
	bottom := float64(top + plotHeight - plotMargin)
	height, width := float64(plotHeight-2*plotMargin), float64(plotWidth-2*plotMargin)
	fmt.Fprintf(b, `<text x="%d" y="%d">%s; highest %.4g, %d s</text>`+"\n", plotMargin, top+16, title, highest, longest)
	fmt.Fprintf(b, `<path d="M%d %.1fH%d" stroke="#888"/>`+"\n", plotMargin, bottom, plotWidth-plotMargin)
	for i, l := range lines {
		points := make([]string, len(l.values))
		for x, v := range l.values {
			points[x] = fmt.Sprintf("%.1f,%.1f", plotMargin+width*float64(x)/float64(longest), bottom-height*v/highest)
		}
		colour := colours[i%len(colours)]
		fmt.Fprintf(b, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", colour, strings.Join(points, " "))
		fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+i*100, top+plotHeight-14, colour, l.name)
	}
}
