package experiment

import (
	"math"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/load"
	"tackhub.example/tackhub/lab/scenario"
)

// Figures holds the measurements of a run. Fractions are of the operations in the measured part of the run, or of their
// priority weight.
type Figures struct {
	Requests        int                `json:"asked"`
	Rate            float64            `json:"rate_per_s"`
	Goodput         float64            `json:"worth"`        // fraction of the weight served within its latency objective
	WorstWindow     float64            `json:"worst_window"` // goodput of the worst window
	GoodputByClass  map[string]float64 `json:"worth_by_class"`
	WorstTenant     float64            `json:"worst_tenant"` // lowest goodput of a tenant with at least minTenantRequests
	Served          float64            `json:"served"`
	Rejected        float64            `json:"refused"`
	Failed          float64            `json:"failed"`
	Lost            float64            `json:"lost"`
	NotConnected    float64            `json:"unplaced"`
	Cancelled       float64            `json:"left"`
	Attempts        float64            `json:"tries"`      // mean per operation
	WorkRatio       float64            `json:"work_times"` // work started by servers divided by the work of the scheduled requests
	P50             float64            `json:"p50_ms"`     // P50 to P999: latency of served operations from the scheduled send time
	P90             float64            `json:"p90_ms"`
	P99             float64            `json:"p99_ms"`
	P999            float64            `json:"p999_ms"`
	SendDelayP99    float64            `json:"rig_p99_ms"` // delay of the lab's sends after their scheduled times
	SendDelayMax    float64            `json:"rig_max_ms"`
	MemoryMB        float64            `json:"memory_mb"`   // highest value of any node
	Sockets         int                `json:"descriptors"` // highest value of any node
	CPU             float64            `json:"cpu_cores"`   // mean over all nodes
	Crashes         int                `json:"crashes"`     // of nodes, excluding injected faults and planned stops
	RecoverySeconds *float64           `json:"recovered_after_s,omitempty"`
	ClockSkew       float64            `json:"clock_skew_ms"`
	MeshBytes       float64            `json:"mesh_bytes_per_s,omitempty"` // highest traffic of any node to other nodes
	MaxCPU          float64            `json:"cpu_cores_max,omitempty"`    // highest value of any node, only with a mesh
}

// Second holds the measurements of one second of a run.
type Second struct {
	At       int     `json:"at_s"` // since the start of the schedule, including the warm-up
	Requests int     `json:"asked"`
	Goodput  float64 `json:"worth"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// minTenantRequests is the number of requests a tenant needs for its goodput to be more than random variation.
const minTenantRequests = 30

// newHistogram returns a histogram of latencies in microseconds, up to one minute and with an error of 0.1%.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// weightTally sums the priority weights of operations: of all, and of those served within their latency objective.
type weightTally struct{ requested, served float64 }

func (t weightTally) goodput() float64 {
	if t.requested == 0 {
		return 1
	}
	return t.served / t.requested
}

// weights returns the priority weight of an operation, and the part of it that counts as served: all if the operation was
// served within its latency objective, else 0. An operation that its client cancelled, or whose connection the lab reset,
// has no weight.
func weights(s *scenario.Scenario, operation load.Operation) (requested, served float64) {
	class := s.Classes[operation.Class]
	if operation.Outcome == audit.Cancelled || operation.Outcome == audit.LinkReset {
		return 0, 0
	}
	if operation.Outcome == audit.Served && operation.Ended-operation.ScheduledAt <= class.LatencyObjective {
		return class.PriorityWeight, class.PriorityWeight
	}
	return class.PriorityWeight, 0
}

// computeFigures computes the figures of the operations in the measured part of the run.
func computeFigures(s *scenario.Scenario, ops []load.Operation) Figures {
	f := Figures{GoodputByClass: map[string]float64{}, WorstTenant: 1}
	total, classes, tenants := weightTally{}, make([]weightTally, len(s.Classes)), make([]weightTally, s.Clients.Tenants)
	requestsByTenant := make([]int, s.Clients.Tenants)
	outcomes := map[audit.Outcome]float64{}
	latency, sendDelay := newHistogram(), newHistogram()
	attempts := 0
	for _, o := range ops {
		if o.ScheduledAt < s.Warmup {
			continue
		}
		f.Requests++
		outcomes[o.Outcome]++
		attempts += o.Attempts
		requestedWeight, servedWeight := weights(s, o)
		for _, t := range []*weightTally{&total, &classes[o.Class], &tenants[o.Tenant]} {
			t.requested += requestedWeight
			t.served += servedWeight
		}
		requestsByTenant[o.Tenant]++
		if o.Outcome == audit.Served {
			_ = latency.RecordValue(max(1, (o.Ended - o.ScheduledAt).Microseconds())) // drops values above 1 minute; no deadline is that long
		}
		_ = sendDelay.RecordValue(max(1, o.SendDelay.Microseconds()))
	}
	n := math.Max(1, float64(f.Requests))
	f.Rate, f.Goodput, f.Attempts = float64(f.Requests)/s.Duration.Seconds(), total.goodput(), float64(attempts)/n
	f.Served, f.Rejected, f.Failed = outcomes[audit.Served]/n, outcomes[audit.Rejected]/n, outcomes[audit.Failed]/n
	f.Lost, f.NotConnected, f.Cancelled = (outcomes[audit.Lost]+outcomes[audit.InTransit])/n, outcomes[audit.NotConnected]/n,
		outcomes[audit.Cancelled]/n
	for i, c := range s.Classes {
		f.GoodputByClass[c.Name] = classes[i].goodput()
	}
	for i, t := range tenants {
		if requestsByTenant[i] >= minTenantRequests {
			f.WorstTenant = min(f.WorstTenant, t.goodput())
		}
	}
	for quantile, figure := range map[float64]*float64{50: &f.P50, 90: &f.P90, 99: &f.P99, 99.9: &f.P999} {
		*figure = float64(latency.ValueAtQuantile(quantile)) / 1000
	}
	f.SendDelayP99, f.SendDelayMax = float64(sendDelay.ValueAtQuantile(99))/1000, float64(sendDelay.Max())/1000
	f.WorstWindow = worstWindow(s, ops)
	return f
}

// worstWindow returns the lowest goodput of any window of the configured length. Windows start at multiples of a fifth of
// the length.
func worstWindow(s *scenario.Scenario, ops []load.Operation) float64 {
	step := s.Expect.Window / 5
	buckets := make([]weightTally, int((s.Warmup+s.Duration)/step)+1)
	for _, o := range ops {
		if o.ScheduledAt >= s.Warmup {
			requestedWeight, servedWeight := weights(s, o)
			buckets[o.ScheduledAt/step].requested += requestedWeight
			buckets[o.ScheduledAt/step].served += servedWeight
		}
	}
	worst := 1.0
	for i := int(s.Warmup / step); i+5 <= len(buckets); i++ {
		window := weightTally{}
		for _, bucket := range buckets[i : i+5] {
			window.requested += bucket.requested
			window.served += bucket.served
		}
		worst = min(worst, window.goodput())
	}
	return worst
}

// recoveryTime returns the time from r.From to the start of the first window whose goodput reaches the expected level, or
// false if there is no such window.
func recoveryTime(s *scenario.Scenario, ops []load.Operation, r scenario.Recover) (time.Duration, bool) {
	step := s.Expect.Window / 5
	sorted := append([]load.Operation(nil), ops...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ScheduledAt < sorted[j].ScheduledAt })
	for from := r.From; from+s.Expect.Window <= s.Warmup+s.Duration; from += step {
		window := weightTally{}
		first := sort.Search(len(sorted), func(i int) bool { return sorted[i].ScheduledAt >= from })
		for _, o := range sorted[first:] {
			if o.ScheduledAt >= from+s.Expect.Window {
				break
			}
			requestedWeight, servedWeight := weights(s, o)
			window.requested += requestedWeight
			window.served += servedWeight
		}
		if window.requested > 0 && window.goodput() >= r.Goodput {
			return from - r.From, true
		}
	}
	return 0, false
}

// computeSeconds returns the measurements of each second of a run.
func computeSeconds(s *scenario.Scenario, ops []load.Operation) []Second {
	n := int(math.Ceil((s.Warmup + s.Duration).Seconds()))
	out, weightsBySecond, latencies := make([]Second, n), make([]weightTally, n), make([]*hdrhistogram.Histogram, n)
	for _, o := range ops {
		i := min(n-1, int(o.ScheduledAt.Seconds()))
		requestedWeight, servedWeight := weights(s, o)
		weightsBySecond[i].requested += requestedWeight
		weightsBySecond[i].served += servedWeight
		out[i].Requests++
		switch o.Outcome {
		case audit.Rejected, audit.NotConnected:
			out[i].Rejected++
		case audit.Failed, audit.Lost, audit.InTransit:
			out[i].Failed++
		case audit.Served:
			if latencies[i] == nil {
				latencies[i] = newHistogram()
			}
			_ = latencies[i].RecordValue(max(1, (o.Ended - o.ScheduledAt).Microseconds()))
		}
	}
	for i := range out {
		out[i].At, out[i].Goodput = i, weightsBySecond[i].goodput()
		if latencies[i] != nil {
			out[i].P50 = float64(latencies[i].ValueAtQuantile(50)) / 1000
			out[i].P99 = float64(latencies[i].ValueAtQuantile(99)) / 1000
		}
	}
	return out
}
