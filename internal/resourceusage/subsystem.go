// Package resourceusage is the subsystem [vitals] of the operator file: it logs at an interval what the node's process uses
// (memory, descriptors, goroutines and, where asked, the counters), and warns once when a threshold is exceeded.
package resourceusage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Options are the keys of [vitals].
type Options struct {
	Interval        operator.Duration `toml:"every"`            // between two lines; default 10 s, from 1 s to 1 h
	Counters        bool              `toml:"counters"`         // whether each line has the counters; default false
	MemoryShare     float64           `toml:"memory_warn"`      // warning threshold, as a share of the node's memory; default 0.8, 0: never
	DescriptorShare float64           `toml:"descriptors_warn"` // the same of the node's descriptors; default 0.9, 0: never
}

// The range of the interval. A line costs some kilobytes of log and a walk over the descriptors: more than one a second would
// be felt on the part of a core that a node has, and one in several hours says nothing about the present.
const (
	minInterval = operator.Duration(time.Second)
	maxInterval = operator.Duration(time.Hour)
)

// Subsystem is the definition of [vitals].
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{
			Name:    "vitals",
			Summary: "what the node costs, in its log at an interval",
			New:     func() any { return defaultOptions() },
			Check:   check,
		},
		Build: build,
	}
}

// defaultOptions are the options of a section without keys.
func defaultOptions() *Options {
	return &Options{
		Interval:        operator.Duration(10 * time.Second),
		MemoryShare:     0.8,
		DescriptorShare: 0.9,
	}
}

// check gives the faults of options.
func check(options any) []operator.Diagnostic {
	o := options.(*Options)
	var faults []operator.Diagnostic
	if o.Interval < minInterval || o.Interval > maxInterval {
		faults = append(faults, operator.Diagnostic{Key: "every", Message: "must be " + minInterval.String() + " to " + maxInterval.String()})
	}
	for key, share := range map[string]float64{"memory_warn": o.MemoryShare, "descriptors_warn": o.DescriptorShare} {
		valid := share >= 0 && share <= 1 // false for NaN as well
		if !valid {
			faults = append(faults, operator.Diagnostic{Key: key, Message: "must be a share from 0 to 1"})
		}
	}
	return faults
}

// reporter is the running subsystem.
type reporter struct {
	options    Options
	host       subsystem.Host
	thresholds Thresholds
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// build makes a reporter. It cannot fail, and takes nothing over from an older one.
func build(host subsystem.Host, options any, _ subsystem.Instance) (subsystem.Instance, error) {
	o := *options.(*Options)
	return &reporter{
		options: o,
		host:    host,
		thresholds: Thresholds{
			Resident:    int64(o.MemoryShare * float64(host.Limits.MemoryBytes)),
			Descriptors: int(o.DescriptorShare * float64(host.Limits.Descriptors)),
		},
		cancel: func() {},
	}, nil
}

// Start begins to log.
func (r *reporter) Start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.running.Go(func() { r.run(ctx) })
}

// Stop ends it.
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
	attributes := []any{"code", "vitals", "resident", reading.Resident, "heap", reading.Heap,
		"goroutines", reading.Goroutines, "descriptors", reading.Descriptors}
	if r.options.Counters && r.host.Counters != nil {
		attributes = append(attributes, slog.Any("counters", r.host.Counters()))
	}
	r.host.Log.Info("resource usage", attributes...)
}

// logWarnings logs the warnings that begin and end with a reading, and updates the active ones.
func (r *reporter) logWarnings(reading Reading, active map[string]bool) {
	begin, end := Evaluate(reading, r.thresholds, active)
	for _, code := range begin {
		active[code] = true
		r.host.Log.Warn("a resource threshold is exceeded", "code", code,
			"resident", reading.Resident, "descriptors", reading.Descriptors)
	}
	for _, code := range end {
		delete(active, code)
		r.host.Log.Info("back below the resource threshold", "code", code+"_over",
			"resident", reading.Resident, "descriptors", reading.Descriptors)
	}
}
