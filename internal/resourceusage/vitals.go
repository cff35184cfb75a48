// Package resourceusage lets a node tell in its log, at a stated interval, what it costs: memory, descriptors, goroutines and the
// counters; and warn once when a bound is passed. It is the smallest subsystem of the operator file.
package resourceusage

import (
	"context"
	"log/slog"
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
)

// Options are the section [vitals].
type Options struct {
	Interval        operator.Duration `toml:"every"`            // between two lines
	Counters        bool              `toml:"counters"`         // the counters go into each line
	MemoryShare     float64           `toml:"memory_warn"`      // share of the node's memory; 0: never
	DescriptorShare float64           `toml:"descriptors_warn"` // share of the node's descriptors; 0: never
}

// Each line costs some kilobytes of log and a walk over the descriptors: more than one a second would be felt on the part
// of a core that a node has, and one in an hour tells nothing any more.
const (
	leastEvery = operator.Duration(time.Second)
	mostEvery  = operator.Duration(time.Hour)
)

// Part is the subsystem.
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{Name: "vitals", About: "what the node costs, in its log at an interval",
			New: func() any {
				return &Options{Interval: operator.Duration(10 * time.Second), MemoryShare: 0.8, DescriptorShare: 0.9}
			},
			Check: check},
		Build: build,
	}
}

func check(options any) []operator.Fault {
	o := options.(*Options)
	var out []operator.Fault
	if o.Interval < leastEvery || o.Interval > mostEvery {
		out = append(out, operator.Fault{Key: "every", Text: "must be " + leastEvery.String() + " to " + mostEvery.String()})
	}
	for key, share := range map[string]float64{"memory_warn": o.MemoryShare, "descriptors_warn": o.DescriptorShare} {
		if !(share >= 0 && share <= 1) {
			out = append(out, operator.Fault{Key: key, Text: "must be a share from 0 to 1"})
		}
	}
	return out
}

type vitals struct {
	o      Options
	host   subsystem.Host
	bounds Thresholds
	stop   context.CancelFunc
	ending sync.WaitGroup
}

func build(host subsystem.Host, options any, _ subsystem.Instance) (subsystem.Instance, error) {
	o := *options.(*Options)
	return &vitals{o: o, host: host, bounds: Thresholds{Resident: int64(o.MemoryShare * float64(host.Limits.MemoryBytes)),
		Descriptors: int(o.DescriptorShare * float64(host.Limits.Descriptors))}, stop: func() {}}, nil
}

// Start begins the lines.
func (v *vitals) Start(ctx context.Context) {
	ctx, v.stop = context.WithCancel(ctx)
	v.ending.Go(func() { v.run(ctx) })
}

// Stop ends them.
func (v *vitals) Stop() {
	v.stop()
	v.ending.Wait()
}

func (v *vitals) run(ctx context.Context) {
	tick := time.NewTicker(v.o.Interval.Std())
	defer tick.Stop()
	standing := map[string]bool{}
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		r := Measure()
		v.tell(r)
		begin, end := Evaluate(r, v.bounds, standing)
		for _, code := range begin {
			standing[code] = true
			v.host.Log.Warn("a bound is passed", "code", code, "resident", r.Resident, "descriptors", r.Descriptors)
		}
		for _, code := range end {
			delete(standing, code)
			v.host.Log.Info("below the bound again", "code", code+"_over", "resident", r.Resident, "descriptors", r.Descriptors)
		}
	}
}

func (v *vitals) tell(r Reading) {
	args := []any{"code", "vitals", "resident", r.Resident, "heap", r.Heap, "goroutines", r.Goroutines, "descriptors", r.Descriptors}
	if v.o.Counters && v.host.Counters != nil {
		args = append(args, slog.Any("counters", v.host.Counters()))
	}
	v.host.Log.Info("vitals", args...)
}

// Measure reads what this process costs. What the kernel does not tell stays 0.
func Measure() Reading {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples) // unlike runtime.ReadMemStats it stops nothing
	r := Reading{Heap: int64(samples[0].Value.Uint64()), Goroutines: int(samples[1].Value.Uint64())}
	if raw, err := os.ReadFile("/proc/self/statm"); err == nil {
		if f := strings.Fields(string(raw)); len(f) > 1 {
			pages, _ := strconv.ParseInt(f[1], 10, 64)
			r.Resident = pages * int64(os.Getpagesize())
		}
	}
	if fds, err := os.ReadDir("/proc/self/fd"); err == nil {
		r.Descriptors = len(fds) - 1 // the folder itself is open while it is read
	}
	return r
}
