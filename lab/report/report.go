// Package report writes the result of a run as a self-contained HTML page, with figures, plots that mark the faults, and the
// breaches that the auditor found, and as a JSON file with all details.
package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"tackhub.example/tackhub/lab/experiment"
)

const (
	width  = 23 * vg.Centimeter
	height = 6 * vg.Centimeter

	// maxBreaches is the number of breaches that the page lists; further breaches are only counted.
	maxBreaches = 50
)

var lineColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff}, color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 0xff}, color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff},
}

// line is one line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

// Write writes report.html and result.json to a directory. It creates the directory if it does not exist.
func Write(dir string, r *experiment.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), append(raw, '\n'), 0o644); err != nil {
		return err
	}
	page, err := Page(r)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), page, 0o644)
}

// Page returns the HTML page of a run.
func Page(r *experiment.Result) ([]byte, error) {
	var plots []template.HTML
	for _, p := range []struct {
		title, unit string
		lines       []line
		maxY        float64
	}{
		{"Worth served within the latency objective", "fraction of the worth of all requests", goodputLines(r), 1.05},
		{"Latency of served requests", "ms since the scheduled send time", latencyLines(r), 0},
		{"Refused and failed", "operations per second", outcomeLines(r), 0},
		{"Load by server", "requests in flight", serverLoadLines(r), 0},
		{"Memory of the nodes", "MB resident", nodeLines(r, func(s sample) float64 { return s.memory }), 0},
		{"File descriptors of the nodes", "open", nodeLines(r, func(s sample) float64 { return s.sockets }), 0},
		{"CPU of the nodes", "cores", nodeLines(r, func(s sample) float64 { return s.cpu }), 0},
	} {
		svg, err := chart(p.title, p.unit, p.lines, p.maxY, r.Marks)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.title, err)
		}
		plots = append(plots, svg)
	}
	figures, err := json.MarshalIndent(r.Figures, "", "  ")
	if err != nil {
		return nil, err
	}
	breaches := r.Breaches[:min(len(r.Breaches), maxBreaches)]
	var out bytes.Buffer
	err = pageTemplate.Execute(&out, map[string]any{"R": r, "Plots": plots, "Figures": string(figures), "Breaches": breaches,
		"More": len(r.Breaches) - len(breaches)})
	return out.Bytes(), err
}

func goodputLines(r *experiment.Result) []line {
	pts := plotter.XYs{}
	for _, s := range r.Seconds {
		if s.Requests > 0 {
			pts = append(pts, plotter.XY{X: float64(s.At), Y: s.Goodput})
		}
	}
	return []line{{"worth", pts}}
}

func latencyLines(r *experiment.Result) []line {
	p50, p99 := plotter.XYs{}, plotter.XYs{}
	for _, s := range r.Seconds {
		if s.P99 > 0 {
			p50 = append(p50, plotter.XY{X: float64(s.At), Y: s.P50})
			p99 = append(p99, plotter.XY{X: float64(s.At), Y: s.P99})
		}
	}
	return []line{{"p50", p50}, {"p99", p99}}
}

func outcomeLines(r *experiment.Result) []line {
	requested, rejected, failed := plotter.XYs{}, plotter.XYs{}, plotter.XYs{}
	for _, s := range r.Seconds {
		requested = append(requested, plotter.XY{X: float64(s.At), Y: float64(s.Requests)})
		rejected = append(rejected, plotter.XY{X: float64(s.At), Y: float64(s.Rejected)})
		failed = append(failed, plotter.XY{X: float64(s.At), Y: float64(s.Failed)})
	}
	return []line{{"asked", requested}, {"refused", rejected}, {"failed", failed}}
}

// serverLoadLines returns three lines, each with the number of requests in flight: of the median server, of the most loaded
// server, and of the most loaded server in slow start.
func serverLoadLines(r *experiment.Result) []line {
	median, highest, slowStart := plotter.XYs{}, plotter.XYs{}, plotter.XYs{}
	for i, loads := range r.Servers {
		at := float64(i) / 2
		inFlight := make([]float64, 0, len(loads))
		slowStartMax, inSlowStart := 0.0, false
		for _, l := range loads {
			inFlight = append(inFlight, float64(l.InFlight))
			if l.SlowStartFactor < 1 {
				slowStartMax, inSlowStart = max(slowStartMax, float64(l.InFlight)), true
			}
		}
		sort.Float64s(inFlight)
		median = append(median, plotter.XY{X: at, Y: inFlight[len(inFlight)/2]})
		highest = append(highest, plotter.XY{X: at, Y: inFlight[len(inFlight)-1]})
		if inSlowStart {
			slowStart = append(slowStart, plotter.XY{X: at, Y: slowStartMax})
		}
	}
	return []line{{"median server", median}, {"most loaded server", highest}, {"most loaded server in slow start", slowStart}}
}

// sample holds the values of a node at one point in time: memory in MB, open file descriptors and CPU cores used.
type sample struct{ memory, sockets, cpu float64 }

func nodeLines(r *experiment.Result, value func(sample) float64) []line {
	var out []line
	for i, n := range r.Nodes {
		pts := plotter.XYs{}
		for j := 1; j < len(n.Samples); j++ {
			current, previous := n.Samples[j], n.Samples[j-1]
			elapsed := (current.At - previous.At).Seconds()
			pts = append(pts, plotter.XY{X: current.At.Seconds(), Y: value(sample{memory: float64(current.RSS) / (1 << 20),
				sockets: float64(current.Descriptors), cpu: max(0, current.CPU-previous.CPU) / math.Max(elapsed, 1e-3)})})
		}
		out = append(out, line{fmt.Sprintf("n%d", i), pts})
	}
	return out
}

// chart returns an SVG plot of lines over the seconds of the run, with a mark for each fault. If maxY is 0, the Y axis is
// scaled to the data.
func chart(title, unit string, lines []line, maxY float64, marks []experiment.Mark) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min, p.Legend.Top = 0, true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(l.points)
		if err != nil {
			return "", err
		}
		curve.Color, curve.Width = lineColors[i%len(lineColors)], vg.Points(1.2)
		p.Add(curve)
		if i < len(lineColors) {
			p.Legend.Add(l.name, curve)
		}
	}
	if maxY > 0 {
		p.Y.Max = maxY
	}
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1e-6)
	p.Add(faultMarkers{marks})
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	svg := out.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 { // an HTML page must not contain the XML declaration
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}

// faultMarkers draws a vertical line for each fault.
type faultMarkers struct{ marks []experiment.Mark }

// Plot draws the lines into the plot area.
func (f faultMarkers) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := draw.LineStyle{Color: color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff}, Width: vg.Points(0.8),
		Dashes: []vg.Length{vg.Points(3), vg.Points(2)}}
	for _, m := range f.marks {
		if m.At >= p.X.Min && m.At <= p.X.Max {
			c.StrokeLine2(style, x(m.At), c.Min.Y, x(m.At), c.Max.Y)
		}
	}
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.R.Scenario}}: {{.R.Verdict}}</title>
<style>body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse}td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:left;vertical-align:top}
.ok{color:#187a2f}.short,.void{color:#b01818}pre{background:#f5f5f5;padding:.8rem;overflow:auto}svg{max-width:100%;height:auto}</style>
</head><body>
<h1>{{.R.Scenario}}: <span class="{{.R.Verdict}}">{{.R.Verdict}}</span></h1>
<p>{{.R.About}}</p>
{{with .R.InvalidReason}}<p class="void">Void: {{.}}</p>{{end}}
{{range .R.Unmet}}<p class="short">Short: {{.}}</p>{{end}}
<table>
<tr><th>build</th><td>{{.R.Build}}</td></tr>
<tr><th>seed, schedule</th><td>{{.R.Seed}}, {{.R.Schedule}}</td></tr>
<tr><th>machine</th><td>{{.R.Machine}}</td></tr>
<tr><th>when</th><td>{{.R.When}}, {{printf "%.1f" .R.Took}} s</td></tr>
</table>
<h2>Rules</h2>
{{if .Breaches}}<table><tr><th>rule</th><th>at</th><th>what</th></tr>
{{range .Breaches}}<tr><td>{{.Rule}}</td><td>{{.At}}</td><td>{{.Text}}</td></tr>{{end}}</table>
{{if .More}}<p>and {{.More}} more</p>{{end}}{{else}}<p class="ok">No rule was broken.</p>{{end}}
<h2>Time series</h2>
{{range .Plots}}{{.}}{{end}}
<h2>Faults</h2>
<table>{{range .R.Marks}}<tr><td>{{printf "%.1f s" .At}}</td><td>{{.Text}}</td></tr>{{else}}<tr><td>none</td></tr>{{end}}</table>
<h2>Figures</h2>
<pre>{{.Figures}}</pre>
</body></html>
`))
