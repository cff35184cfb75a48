// Package resourceusage implements the subsystem [vitals] of the operator file. At an interval it logs the resource usage of the
// node's process: memory, descriptors, goroutines and, if configured, the counters. It logs one warning when a threshold is
// exceeded, and the end of the warning when the usage has fallen below clearFraction of the threshold.
package resourceusage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Options are the keys of [vitals]. A warning is logged when the usage exceeds the configured fraction of the limit.
type Options struct {
	Interval               operator.Duration `toml:"every"`            // time between two log lines, 1 s to 1 h; default 10 s
	Counters               bool              `toml:"counters"`         // adds the counters to each line; default false
	MemoryWarnFraction     float64           `toml:"memory_warn"`      // fraction of the memory limit; default 0.8, 0 disables it
	DescriptorWarnFraction float64           `toml:"descriptors_warn"` // fraction of the descriptor limit; default 0.9, 0 disables it
}

// Limits of the interval. Each reading writes a few kilobytes of log and lists all descriptors. More than one reading per second
// would use a noticeable part of the CPU time of a node, which may have less than one core. With an interval of several hours, the
// latest reading would not show the current state.
const (
	minInterval = operator.Duration(time.Second)
	maxInterval = operator.Duration(time.Hour)
)

// Subsystem returns the definition of [vitals].
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{
			Name:    "vitals",
			Summary: "logs the resource usage of the node at an interval",
			New:     func() any { return defaultOptions() },
			Check:   check,
		},
		Build: build,
	}
}

// defaultOptions returns the options of a section without keys.
func defaultOptions() *Options {
	return &Options{
		Interval:               operator.Duration(10 * time.Second),
		MemoryWarnFraction:     0.8,
		DescriptorWarnFraction: 0.9,
	}
}

// check returns a diagnostic for each invalid option.
func check(options any) []operator.Diagnostic {
	o := options.(*Options)
	var diagnostics []operator.Diagnostic
	if o.Interval < minInterval || o.Interval > maxInterval {
		diagnostics = append(diagnostics, operator.Diagnostic{Key: "every", Message: "must be " + minInterval.String() + " to " + maxInterval.String()})
	}
	for key, fraction := range map[string]float64{"memory_warn": o.MemoryWarnFraction, "descriptors_warn": o.DescriptorWarnFraction} {
		valid := fraction >= 0 && fraction <= 1 // also false if fraction is NaN
		if !valid {
			diagnostics = append(diagnostics, operator.Diagnostic{Key: key, Message: "must be a fraction from 0 to 1"})
		}
	}
	return diagnostics
}

// reporter is an instance of the subsystem.
type reporter struct {
	options    Options
	host       subsystem.Host
	thresholds Thresholds
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// build returns a reporter. It cannot fail, and it takes over nothing from the previous instance.
func build(host subsystem.Host, options any, _ subsystem.Instance) (subsystem.Instance, error) {
	o := *options.(*Options)
	return &reporter{
		options: o,
		host:    host,
		thresholds: Thresholds{
			ResidentBytes: int64(o.MemoryWarnFraction * float64(host.Limits.MemoryBytes)),
			Descriptors:   int(o.DescriptorWarnFraction * float64(host.Limits.Descriptors)),
		},
		cancel: func() {},
	}, nil
}

// Start begins to log readings in the background.
func (r *reporter) Start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.running.Go(func() { r.run(ctx) })
}

// Stop ends the logging and waits until it has ended.
func (r *reporter) Stop() {
	r.cancel()
	r.running.Wait()
}

// run logs a reading at each interval until the context ends.
func (r *reporter) run(ctx context.Context) {
	ticker := time.NewTicker(r.options.Interval.Std())
	defer ticker.Stop()
	active := map[string]bool{}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		reading := Measure()
		r.logReading(reading)
		r.logWarnings(reading, active)
	}
}

// logReading writes a reading to the log.
func (r *reporter) logReading(reading Reading) {
	attributes := []any{"code", "vitals", "resident", reading.ResidentBytes, "heap", reading.HeapBytes,
		"goroutines", reading.Goroutines, "descriptors", reading.Descriptors}
	if r.options.Counters && r.host.Counters != nil {
		attributes = append(attributes, slog.Any("counters", r.host.Counters()))
	}
	r.host.Log.Info("resource usage", attributes...)
}

// logWarnings logs the warnings that begin or end with a reading, and updates active, the codes of the current warnings.
func (r *reporter) logWarnings(reading Reading, active map[string]bool) {
	begin, end := Evaluate(reading, r.thresholds, active)
	for _, code := range begin {
		active[code] = true
		r.host.Log.Warn("resource usage exceeds the warning threshold", "code", code,
			"resident", reading.ResidentBytes, "descriptors", reading.Descriptors)
	}
	for _, code := range end {
		delete(active, code)
		r.host.Log.Info("resource usage is below the warning threshold again", "code", code+"_over",
			"resident", reading.ResidentBytes, "descriptors", reading.Descriptors)
	}
}
