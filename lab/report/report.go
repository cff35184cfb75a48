// Package report writes a run as one self-contained page: figures, plots with the faults marked, and what the auditor
// found. The JSON beside it holds the same and more.
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

	// maxBreaches are shown one by one; the rest is only counted.
	maxBreaches = 50
)

var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff}, color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 0xff}, color.RGBA{R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff},
}

// line is one curve.
type line struct {
	name   string
	points plotter.XYs
}

// Write writes report.html and result.json into a folder, which is made where it is missing.
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

// Page is the HTML.
func Page(r *experiment.Result) ([]byte, error) {
	var plots []template.HTML
	for _, p := range []struct {
		title, unit string
		lines       []line
		most        float64
	}{
		{"Worth served", "share of the worth asked for", worth(r), 1.05},
		{"Latency of what was served", "ms from the intended send", latency(r), 0},
		{"Refused and failed", "operations a second", endings(r), 0},
		{"Load by server", "requests in hand", servers(r), 0},
		{"Memory of the nodes", "MB resident", nodes(r, func(s sample) float64 { return s.memory }), 0},
		{"Descriptors of the nodes", "open", nodes(r, func(s sample) float64 { return s.sockets }), 0},
		{"CPU of the nodes", "cores", nodes(r, func(s sample) float64 { return s.cpu }), 0},
	} {
		svg, err := chart(p.title, p.unit, p.lines, p.most, r.Marks)
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
	err = page.Execute(&out, map[string]any{"R": r, "Plots": plots, "Figures": string(figures), "Breaches": breaches,
		"More": len(r.Breaches) - len(breaches)})
	return out.Bytes(), err
}

func worth(r *experiment.Result) []line {
	pts := plotter.XYs{}
	for _, s := range r.Seconds {
		if s.Asked > 0 {
			pts = append(pts, plotter.XY{X: float64(s.At), Y: s.Worth})
		}
	}
	return []line{{"worth", pts}}
}

func latency(r *experiment.Result) []line {
	p50, p99 := plotter.XYs{}, plotter.XYs{}
	for _, s := range r.Seconds {
		if s.P99 > 0 {
			p50 = append(p50, plotter.XY{X: float64(s.At), Y: s.P50})
			p99 = append(p99, plotter.XY{X: float64(s.At), Y: s.P99})
		}
	}
	return []line{{"p50", p50}, {"p99", p99}}
}

func endings(r *experiment.Result) []line {
	asked, refused, failed := plotter.XYs{}, plotter.XYs{}, plotter.XYs{}
	for _, s := range r.Seconds {
		asked = append(asked, plotter.XY{X: float64(s.At), Y: float64(s.Asked)})
		refused = append(refused, plotter.XY{X: float64(s.At), Y: float64(s.Rejected)})
		failed = append(failed, plotter.XY{X: float64(s.At), Y: float64(s.Failed)})
	}
	return []line{{"asked", asked}, {"refused", refused}, {"failed", failed}}
}

// servers are the median of the servers' load, the highest one, and the cold ones'.
func servers(r *experiment.Result) []line {
	median, most, cold := plotter.XYs{}, plotter.XYs{}, plotter.XYs{}
	for i, loads := range r.Servers {
		at := float64(i) / 2
		in := make([]float64, 0, len(loads))
		young, seen := 0.0, false
		for _, l := range loads {
			in = append(in, float64(l.InFlight))
			if l.WarmupFactor < 1 {
				young, seen = max(young, float64(l.InFlight)), true
			}
		}
		sort.Float64s(in)
		median = append(median, plotter.XY{X: at, Y: in[len(in)/2]})
		most = append(most, plotter.XY{X: at, Y: in[len(in)-1]})
		if seen {
			cold = append(cold, plotter.XY{X: at, Y: young})
		}
	}
	return []line{{"median server", median}, {"fullest server", most}, {"fullest cold server", cold}}
}

// sample is what a plot shows of a node at a moment.
type sample struct{ memory, sockets, cpu float64 }

func nodes(r *experiment.Result, value func(sample) float64) []line {
	var out []line
	for i, n := range r.Nodes {
		pts := plotter.XYs{}
		for k := 1; k < len(n.Samples); k++ {
			s, was := n.Samples[k], n.Samples[k-1]
			span := (s.At - was.At).Seconds()
			pts = append(pts, plotter.XY{X: s.At.Seconds(), Y: value(sample{memory: float64(s.RSS) / (1 << 20),
				sockets: float64(s.Sockets), cpu: max(0, s.CPU-was.CPU) / math.Max(span, 1e-3)})})
		}
		out = append(out, line{fmt.Sprintf("n%d", i), pts})
	}
	return out
}

// chart draws curves over the run's seconds, with a mark for each fault.
func chart(title, unit string, lines []line, most float64, marks []experiment.Mark) (template.HTML, error) {
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
		curve.Color, curve.Width = palette[i%len(palette)], vg.Points(1.2)
		p.Add(curve)
		if i < len(palette) {
			p.Legend.Add(l.name, curve)
		}
	}
	if most > 0 {
		p.Y.Max = most
	}
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1e-6)
	p.Add(faults{marks})
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	svg := out.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 { // the XML declaration before it must not stand within a page
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}

// faults draws a line for each fault.
type faults struct{ marks []experiment.Mark }

// Plot draws the lines within the plot's area.
func (f faults) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := draw.LineStyle{Color: color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff}, Width: vg.Points(0.8),
		Dashes: []vg.Length{vg.Points(3), vg.Points(2)}}
	for _, m := range f.marks {
		if m.At >= p.X.Min && m.At <= p.X.Max {
			c.StrokeLine2(style, x(m.At), c.Min.Y, x(m.At), c.Max.Y)
		}
	}
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.R.Scenario}}: {{.R.Verdict}}</title>
<style>body{font:15px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse}td,th{padding:.2rem .8rem;border-bottom:1px solid #ddd;text-align:left;vertical-align:top}
.ok{color:#187a2f}.short,.void{color:#b01818}pre{background:#f5f5f5;padding:.8rem;overflow:auto}svg{max-width:100%;height:auto}</style>
</head><body>
<h1>{{.R.Scenario}}: <span class="{{.R.Verdict}}">{{.R.Verdict}}</span></h1>
<p>{{.R.About}}</p>
{{with .R.VoidReason}}<p class="void">Void: {{.}}</p>{{end}}
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
{{if .More}}<p>and {{.More}} more</p>{{end}}{{else}}<p class="ok">No rule broke.</p>{{end}}
<h2>Course</h2>
{{range .Plots}}{{.}}{{end}}
<h2>Faults</h2>
<table>{{range .R.Marks}}<tr><td>{{printf "%.1f s" .At}}</td><td>{{.Text}}</td></tr>{{else}}<tr><td>none</td></tr>{{end}}</table>
<h2>Figures</h2>
<pre>{{.Figures}}</pre>
</body></html>
`))
