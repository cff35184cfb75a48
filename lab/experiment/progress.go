package experiment

import (
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/load"
)

// measure samples nodes and servers, and reports each second of the run.
func (r *run) measure(done <-chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	seen, ticks := 0, 0
	for {
		select {
		case <-tick.C:
		case <-done:
			return
		}
		ticks++
		r.nodes.Sample()
		if ticks%2 == 0 {
			r.servers = append(r.servers, r.fleet.Loads())
		}
		if ticks%4 == 0 && r.options.Progress != nil {
			ops := r.load.CompletedSince(seen)
			seen += len(ops)
			r.reportProgress(ops)
		}
	}
}

// reportProgress reports the operations that completed in the last second.
func (r *run) reportProgress(ops []load.Operation) {
	p := Progress{At: time.Since(r.start) - r.scheduleStart, Asked: len(ops), Ejected: r.nodes.Ejected(), Loads: r.fleet.Loads()}
	t, hist := tally{}, newHistogram()
	for _, o := range ops {
		a, e := worth(r.options.Scenario, o)
		t.asked += a
		t.served += e
		switch o.Outcome {
		case audit.Rejected, audit.NotConnected:
			p.Rejected++
		case audit.Failed, audit.Lost, audit.InTransit:
			p.Failed++
		case audit.Served:
			_ = hist.RecordValue(max(1, (o.Ended - o.ScheduledAt).Microseconds()))
		}
	}
	p.Worth, p.P50, p.P99 = t.share(), float64(hist.ValueAtQuantile(50))/1000, float64(hist.ValueAtQuantile(99))/1000
	r.mu.Lock()
	p.Events, r.recentEvents = r.recentEvents, nil
	r.mu.Unlock()
	r.options.Progress(p)
}
