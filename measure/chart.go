package measure

import (
	"encoding/xml"
	"fmt"
	"io"
	"strings"
)

// Chart is a bar chart with one group of bars per figure and one bar per policy.
type Chart struct {
	Title  string
	Groups []Group
}

// Group holds the bars of one figure.
type Group struct {
	Label string
	Bars  []Bar
}

// Bar is one labelled value.
type Bar struct {
	Label string
	Value float64
}

const (
	chartWidth   = 760
	labelWidth   = 220
	barHeight    = 18
	barGap       = 6
	groupGap     = 28
	chartTop     = 40
	valueWidth   = 90
	palette      = "#33658a #86bbd8 #758e4f #f6ae2d #f26419 #5c415d"
	fontSettings = `font-family="sans-serif" font-size="12"`
)

// WriteSVG writes a chart as SVG. Each group is scaled to its own largest bar.
func WriteSVG(w io.Writer, c *Chart) error {
	var body strings.Builder
	y := chartTop
	for _, g := range c.Groups {
		y = drawGroup(&body, g, y)
	}
	_, err := fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" %s>
<rect width="100%%" height="100%%" fill="white"/>
<text x="10" y="22" font-size="15">%s</text>
%s</svg>
`, chartWidth, y, fontSettings, escape(c.Title), body.String())
	return err
}

func drawGroup(w io.Writer, g Group, y int) int {
	fmt.Fprintf(w, `<text x="10" y="%d" font-weight="bold">%s</text>`+"\n", y+12, escape(g.Label))
	y += barHeight
	colours := strings.Fields(palette)
	for i, b := range g.Bars {
		width := barWidth(b.Value, maxBarValue(g.Bars))
		fmt.Fprintf(w, `<text x="20" y="%d">%s</text>`, y+13, escape(b.Label))
		fmt.Fprintf(w, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"/>`, labelWidth, y, width, barHeight, colours[i%len(colours)])
		fmt.Fprintf(w, `<text x="%d" y="%d">%.4g</text>`+"\n", labelWidth+width+6, y+13, b.Value)
		y += barHeight + barGap
	}
	return y + groupGap - barGap
}

func maxBarValue(bars []Bar) float64 {
	maxValue := 0.0
	for _, b := range bars {
		maxValue = max(maxValue, b.Value)
	}
	return maxValue
}

func barWidth(value, maxValue float64) int {
	if maxValue <= 0 || value <= 0 {
		return 0
	}
	return int(value / maxValue * float64(chartWidth-labelWidth-valueWidth))
}

func escape(s string) string {
	var b strings.Builder
	_ = xml.EscapeText(&b, []byte(s))
	return b.String()
}
