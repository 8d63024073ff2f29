package loadplay

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Dimensions of a plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 240
	plotMargin = 40
)

// colours distinguish up to eight lines.
var colours = []string{"#1b6ca8", "#c8553d", "#588157", "#8e6c8a", "#b08900", "#3d405b", "#d17a9b", "#4f772d"}

// curve is one line of a plot, with a value for each second.
type curve struct {
	name   string
	values []float64
}

// WriteSVG writes two plots: the earned fraction of the worth by second for each policy, and
// the tokens served to each account by second for the last policy.
func WriteSVG(w io.Writer, results []*Result) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", plotWidth, 2*plotHeight)
	var worthCurves, tokenCurves []curve
	for _, r := range results {
		worthCurves = append(worthCurves, curve{r.Policy, r.worthBySecond()})
	}
	lastResult := results[len(results)-1]
	for _, a := range lastResult.load.Accounts {
		tokenCurves = append(tokenCurves, curve{a.Name, lastResult.servedTokens[a.Name][:int(lastResult.load.Length.Seconds())]})
	}
	writePlot(&b, 0, "part of the owed worth that was earned, by second of arrival", worthCurves)
	writePlot(&b, plotHeight, "tokens served by account and second, policy "+lastResult.Policy, tokenCurves)
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Result) worthBySecond() []float64 {
	out := make([]float64, int(r.load.Length.Seconds()))
	for i := range out {
		if r.offeredWorth[i] > 0 {
			out[i] = r.earnedWorth[i] / r.offeredWorth[i]
		}
	}
	return out
}

// writePlot draws curves on a common scale.
func writePlot(b *strings.Builder, top int, title string, lines []curve) {
	highest, longest := 0.0, 1
	for _, c := range lines {
		longest = max(longest, len(c.values))
		for _, v := range c.values {
			highest = math.Max(highest, v)
		}
	}
	highest = math.Max(highest, 1e-9)
	bottom := float64(top + plotHeight - plotMargin)
	height, width := float64(plotHeight-2*plotMargin), float64(plotWidth-2*plotMargin)
	fmt.Fprintf(b, `<text x="%d" y="%d">%s; highest %.4g, %d s</text>`+"\n", plotMargin, top+16, title, highest, longest)
	fmt.Fprintf(b, `<path d="M%d %.1fH%d" stroke="#888"/>`+"\n", plotMargin, bottom, plotWidth-plotMargin)
	for i, c := range lines {
		points := make([]string, len(c.values))
		for x, v := range c.values {
			points[x] = fmt.Sprintf("%.1f,%.1f", plotMargin+width*float64(x)/float64(longest), bottom-height*v/highest)
		}
		colour := colours[i%len(colours)]
		fmt.Fprintf(b, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", colour, strings.Join(points, " "))
		fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+i*100, top+plotHeight-14, colour, c.name)
	}
}
