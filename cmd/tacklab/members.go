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

// Run prints a table of detection times and false removals by suspicion timeout and packet loss, and a table of the costs by
// cluster size.
func (c *membersCmd) Run() error {
	base := membersim.Options{Members: 16, Seed: c.Seed, Period: 250 * time.Millisecond, Timeout: 150 * time.Millisecond,
		Suspicion: 2500 * time.Millisecond, Delay: time.Millisecond}
	fmt.Println("| members | period | suspicion | loss, jitter | p50 | p99 | foretold mean | taken out alive, a member and hour |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	chart := plot.New()
	chart.Title.Text = "Detection time and false removals"
	chart.X.Label.Text = "p99 time until removal from every view, s"
	chart.Y.Label.Text = "live members removed, per member and hour"
	for i, loss := range []float64{0, 0.2} {
		var points plotter.XYs
		for _, suspicion := range []time.Duration{600, 1000, 1500, 2500, 4000} {
			options := base
			options.Suspicion = suspicion * time.Millisecond
			options.Period = min(options.Period, options.Suspicion/4)
			options.Timeout = min(options.Timeout, options.Period)
			if options.Loss = loss; loss > 0 {
				options.Jitter = 50 * time.Millisecond
			}
			detection := membersim.Detect(options, c.Kills)
			fmt.Println(detection)
			points = append(points, plotter.XY{X: detection.P99.Seconds(), Y: detection.FalsePositives})
		}
		line, markers, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, markers.Color = plotutil.Color(i), plotutil.Color(i)
		chart.Add(line, markers)
		chart.Legend.Add(fmt.Sprintf("%.0f%% packet loss", loss*100), line, markers)
	}
	fmt.Println("\n| members | bytes/s, calm | datagrams/s | bytes/s, six in ten lost | known after | CPU, calm |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, members := range c.Sizes {
		options := base
		options.Members = members
		costs := membersim.Costs(options)
		fmt.Printf("| %d | %.0f | %.1f | %.0f | %.2f s | %.3f%% |\n",
			members, costs.SteadyBytes, costs.Datagrams, costs.MassFailureBytes, costs.DetectedAfter.Seconds(), costs.CPU*100)
	}
	if c.Plot == "" {
		return nil
	}
	return chart.Save(14*vg.Centimeter, 9*vg.Centimeter, c.Plot)
}
