// Package plot draws simple line plots as SVG.
package plot

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Dimensions of a plot in pixels.
const (
	width  = 900
	height = 240
	margin = 40
)

// colours distinguish up to eight lines.
var colours = []string{"#1b6ca8", "#c8553d", "#588157", "#8e6c8a", "#b08900", "#3d405b", "#d17a9b", "#4f772d"}

// Curve is one line of a plot. Its values are spaced evenly.
type Curve struct {
	Name   string
	Values []float64
}

// Plot is a set of curves on a common scale.
type Plot struct {
	// Title says what the curves show; Unit names the unit of the horizontal axis.
	Title, Unit string
	// Labels, if set, are the labels of the values on the horizontal axis.
	Labels []string
	Curves []Curve
}

// WriteSVG writes plots below each other.
func WriteSVG(w io.Writer, plots []Plot) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, len(plots)*height)
	for i, p := range plots {
		p.write(&b, i*height)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func (p *Plot) write(b *strings.Builder, top int) {
	highest, longest := 0.0, 1
	for _, c := range p.Curves {
		longest = max(longest, len(c.Values))
		for _, v := range c.Values {
			highest = math.Max(highest, v)
		}
	}
	highest = math.Max(highest, 1e-9)
	bottom := float64(top + height - margin)
	innerHeight, innerWidth := float64(height-2*margin), float64(width-2*margin)
	x := func(i int) float64 { return margin + innerWidth*float64(i)/float64(longest) }
	fmt.Fprintf(b, `<text x="%d" y="%d">%s; highest %.4g, %d %s</text>`+"\n", margin, top+16, p.Title, highest, longest, p.Unit)
	fmt.Fprintf(b, `<path d="M%d %.1fH%d" stroke="#888"/>`+"\n", margin, bottom, width-margin)
	for i, label := range p.Labels {
		fmt.Fprintf(b, `<text x="%.1f" y="%.1f" fill="#888">%s</text>`+"\n", x(i), bottom+12, label)
	}
	for i, c := range p.Curves {
		points := make([]string, len(c.Values))
		for j, v := range c.Values {
			points[j] = fmt.Sprintf("%.1f,%.1f", x(j), bottom-innerHeight*v/highest)
		}
		colour := colours[i%len(colours)]
		fmt.Fprintf(b, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", colour, strings.Join(points, " "))
		fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", margin+i*100, top+height-14, colour, c.Name)
	}
}
