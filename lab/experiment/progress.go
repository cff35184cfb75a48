package experiment

import (
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/load"
)

// measure samples the nodes at each sampleInterval and the servers at every second one, and reports the progress at every
// fourth, which is once per second. It returns when done is closed.
func (r *run) measure(done <-chan struct{}) {
	if r.options.Scenario.Clients.Pressure {
		go r.nodes.WatchMemory(done)
	}
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	reported, ticks := 0, 0
	for {
		select {
		case <-tick.C:
		case <-done:
			return
		}
		ticks++
		r.nodes.Sample()
		if ticks%2 == 0 {
			r.serverLoads = append(r.serverLoads, r.fleet.Loads())
		}
		if ticks%4 == 0 && r.options.Progress != nil {
			ops := r.load.CompletedSince(reported)
			reported += len(ops)
			r.reportProgress(ops)
		}
	}
}

// reportProgress reports the operations that completed since the last report.
func (r *run) reportProgress(ops []load.Operation) {
	progress := Progress{At: time.Since(r.start) - r.scheduleStart, Requests: len(ops), Ejected: r.nodes.Ejected(), Loads: r.fleet.Loads()}
	total, latency := weightTally{}, newHistogram()
	for _, o := range ops {
		requestedWeight, servedWeight := weights(r.options.Scenario, o)
		total.requested += requestedWeight
		total.served += servedWeight
		switch o.Outcome {
		case audit.Rejected, audit.NotConnected:
			progress.Rejected++
		case audit.Failed, audit.Lost, audit.InTransit:
			progress.Failed++
		case audit.Served:
			_ = latency.RecordValue(max(1, (o.Ended - o.ScheduledAt).Microseconds()))
		}
	}
	progress.Goodput, progress.P50, progress.P99 = total.goodput(), float64(latency.ValueAtQuantile(50))/1000,
		float64(latency.ValueAtQuantile(99))/1000
	r.mu.Lock()
	progress.Events, r.recentEvents = r.recentEvents, nil
	r.mu.Unlock()
	r.options.Progress(progress)
}
