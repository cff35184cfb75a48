package main

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tackhub.example/tackhub/lab/membersim"
)

// membersCmd measures failure detection on a virtual clock.
type membersCmd struct {
	Kills int    `default:"60" help:"Kills for each setting."`
	Sizes []int  `default:"5,16,64,300" help:"Sizes for the table of costs."`
	Seed  uint64 `default:"1"`
	Plot  string `help:"Write time to detect against false verdicts to this file (.svg or .png)." type:"path"`
}

// Run prints both tables.
func (c *membersCmd) Run() error {
	base := membersim.Options{Members: 16, Seed: c.Seed, Period: 250 * time.Millisecond, Timeout: 150 * time.Millisecond,
		Suspicion: 2500 * time.Millisecond, Delay: time.Millisecond}
	fmt.Println("| members | period | suspicion | loss, jitter | p50 | p99 | foretold mean | taken out alive, a member and hour |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	p := plot.New()
	p.Title.Text = "Time to detect against false verdicts"
	p.X.Label.Text = "p99 until out of every view, s"
	p.Y.Label.Text = "taken out alive, a member and hour"
	for i, loss := range []float64{0, 0.2} {
		var points plotter.XYs
		for _, suspicion := range []time.Duration{600, 1000, 1500, 2500, 4000} {
			o := base
			o.Suspicion = suspicion * time.Millisecond
			o.Period = min(o.Period, o.Suspicion/4)
			o.Timeout = min(o.Timeout, o.Period)
			if o.Loss = loss; loss > 0 {
				o.Jitter = 50 * time.Millisecond
			}
			d := membersim.Detect(o, c.Kills)
			fmt.Println(d)
			points = append(points, plotter.XY{X: d.P99.Seconds(), Y: d.FalsePositives})
		}
		l, s, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		l.Color, s.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(l, s)
		p.Legend.Add(fmt.Sprintf("%.0f%% lost", loss*100), l, s)
	}
	fmt.Println("\n| members | bytes/s, calm | datagrams/s | bytes/s, six in ten lost | known after | CPU, calm |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, n := range c.Sizes {
		o := base
		o.Members = n
		k := membersim.Costs(o)
		fmt.Printf("| %d | %.0f | %.1f | %.0f | %.2f s | %.3f%% |\n", n, k.SteadyBytes, k.Datagrams, k.MassFailureBytes, k.DetectedAfter.Seconds(), k.CPU*100)
	}
	if c.Plot == "" {
		return nil
	}
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, c.Plot)
}
