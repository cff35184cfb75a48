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

// Figures are what a run came to. Shares are of the operations, or of their worth, in the time that counts.
type Figures struct {
	Asked        int                `json:"asked"`
	Rate         float64            `json:"rate_per_s"`
	Worth        float64            `json:"worth"`        // share served within its aim
	WorstWindow  float64            `json:"worst_window"` // the same in the worst window
	ByClass      map[string]float64 `json:"worth_by_class"`
	WorstTenant  float64            `json:"worst_tenant"` // the same of the worst-served tenant with enough requests
	Served       float64            `json:"served"`
	Rejected     float64            `json:"refused"`
	Failed       float64            `json:"failed"`
	Lost         float64            `json:"lost"`
	NotConnected float64            `json:"unplaced"`
	Cancelled    float64            `json:"left"`
	Attempts     float64            `json:"tries"`       // for each operation
	WorkTimes    float64            `json:"work_times"`  // work begun by servers, over the work asked for
	P50          float64            `json:"p50_ms"`      // of what was served, from the intended send
	P90          float64            `json:"p90_ms"`      //
	P99          float64            `json:"p99_ms"`      //
	P999         float64            `json:"p999_ms"`     //
	RigLate      float64            `json:"rig_p99_ms"`  // by how much the lab itself was late, p99
	RigMax       float64            `json:"rig_max_ms"`  //
	MemoryMB     float64            `json:"memory_mb"`   // the most of any node
	Sockets      int                `json:"descriptors"` // the most of any node
	CPU          float64            `json:"cpu_cores"`   // the mean over all nodes
	Crashes      int                `json:"crashes"`     // of nodes, beside injected faults and planned stops
	Recovered    *float64           `json:"recovered_after_s,omitempty"`
	Skew         float64            `json:"clock_skew_ms"`
	MeshBytes    float64            `json:"mesh_bytes_per_s,omitempty"` // sent to other nodes, the most of any
	MaxCPU       float64            `json:"cpu_cores_max,omitempty"`    // of any node, with a mesh
}

// Second is one second of a run.
type Second struct {
	At       int     `json:"at_s"` // since the run's start, the warm-up included
	Asked    int     `json:"asked"`
	Worth    float64 `json:"worth"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// minTenantRequests is how many requests a tenant needs for its share to be more than chance.
const minTenantRequests = 30

// newHistogram holds latencies in microseconds up to a minute, within 0.1%.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// tally sums worth.
type tally struct{ asked, served float64 }

func (t tally) share() float64 {
	if t.asked == 0 {
		return 1
	}
	return t.served / t.asked
}

// worth is what an operation was worth and what of it was earned. One whose client cancelled it, or whose connection
// the lab reset, counts for nothing.
func worth(s *scenario.Scenario, o load.Operation) (asked, earned float64) {
	c := s.Classes[o.Class]
	if o.Outcome == audit.Cancelled || o.Outcome == audit.LinkReset {
		return 0, 0
	}
	if o.Outcome == audit.Served && o.Ended-o.ScheduledAt <= c.Aim {
		return c.Worth, c.Worth
	}
	return c.Worth, 0
}

// figures sums up the operations that count.
func figures(s *scenario.Scenario, ops []load.Operation) Figures {
	f := Figures{ByClass: map[string]float64{}, WorstTenant: 1}
	all, classes, tenants := tally{}, make([]tally, len(s.Classes)), make([]tally, s.Clients.Tenants)
	asked := make([]int, s.Clients.Tenants)
	ends := map[audit.Outcome]float64{}
	latency, late := newHistogram(), newHistogram()
	tries := 0
	for _, o := range ops {
		if o.ScheduledAt < s.Warmup {
			continue
		}
		f.Asked++
		ends[o.Outcome]++
		tries += o.Attempts
		a, e := worth(s, o)
		for _, t := range []*tally{&all, &classes[o.Class], &tenants[o.Tenant]} {
			t.asked += a
			t.served += e
		}
		asked[o.Tenant]++
		if o.Outcome == audit.Served {
			_ = latency.RecordValue(max(1, (o.Ended - o.ScheduledAt).Microseconds())) // above a minute: no deadline is
		}
		_ = late.RecordValue(max(1, o.SendDelay.Microseconds()))
	}
	n := math.Max(1, float64(f.Asked))
	f.Rate, f.Worth, f.Attempts = float64(f.Asked)/s.Duration.Seconds(), all.share(), float64(tries)/n
	f.Served, f.Rejected, f.Failed = ends[audit.Served]/n, ends[audit.Rejected]/n, ends[audit.Failed]/n
	f.Lost, f.NotConnected, f.Cancelled = (ends[audit.Lost]+ends[audit.InTransit])/n, ends[audit.NotConnected]/n, ends[audit.Cancelled]/n
	for i, c := range s.Classes {
		f.ByClass[c.Name] = classes[i].share()
	}
	for i, t := range tenants {
		if asked[i] >= minTenantRequests {
			f.WorstTenant = min(f.WorstTenant, t.share())
		}
	}
	for q, to := range map[float64]*float64{50: &f.P50, 90: &f.P90, 99: &f.P99, 99.9: &f.P999} {
		*to = float64(latency.ValueAtQuantile(q)) / 1000
	}
	f.RigLate, f.RigMax = float64(late.ValueAtQuantile(99))/1000, float64(late.Max())/1000
	f.WorstWindow = worstWindow(s, ops)
	return f
}

// worstWindow is the smallest share of worth in any window of the stated length, in steps of a fifth of it.
func worstWindow(s *scenario.Scenario, ops []load.Operation) float64 {
	step := s.Expect.Window / 5
	cells := make([]tally, int((s.Warmup+s.Duration)/step)+1)
	for _, o := range ops {
		if o.ScheduledAt >= s.Warmup {
			a, e := worth(s, o)
			cells[o.ScheduledAt/step].asked += a
			cells[o.ScheduledAt/step].served += e
		}
	}
	worst := 1.0
	for i := int(s.Warmup / step); i+5 <= len(cells); i++ {
		t := tally{}
		for _, c := range cells[i : i+5] {
			t.asked += c.asked
			t.served += c.served
		}
		worst = min(worst, t.share())
	}
	return worst
}

// recovered is how long after a moment the share of worth is back, over a whole window; false if it never is.
func recovered(s *scenario.Scenario, ops []load.Operation, r scenario.Recover) (time.Duration, bool) {
	step := s.Expect.Window / 5
	sorted := append([]load.Operation(nil), ops...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ScheduledAt < sorted[j].ScheduledAt })
	for from := r.From; from+s.Expect.Window <= s.Warmup+s.Duration; from += step {
		t := tally{}
		at := sort.Search(len(sorted), func(i int) bool { return sorted[i].ScheduledAt >= from })
		for _, o := range sorted[at:] {
			if o.ScheduledAt >= from+s.Expect.Window {
				break
			}
			a, e := worth(s, o)
			t.asked += a
			t.served += e
		}
		if t.asked > 0 && t.share() >= r.To {
			return from - r.From, true
		}
	}
	return 0, false
}

// seconds is the course of a run.
func seconds(s *scenario.Scenario, ops []load.Operation) []Second {
	n := int(math.Ceil((s.Warmup + s.Duration).Seconds()))
	out, cells, hist := make([]Second, n), make([]tally, n), make([]*hdrhistogram.Histogram, n)
	for _, o := range ops {
		i := min(n-1, int(o.ScheduledAt.Seconds()))
		a, e := worth(s, o)
		cells[i].asked += a
		cells[i].served += e
		out[i].Asked++
		switch o.Outcome {
		case audit.Rejected, audit.NotConnected:
			out[i].Rejected++
		case audit.Failed, audit.Lost, audit.InTransit:
			out[i].Failed++
		case audit.Served:
			if hist[i] == nil {
				hist[i] = newHistogram()
			}
			_ = hist[i].RecordValue(max(1, (o.Ended - o.ScheduledAt).Microseconds()))
		}
	}
	for i := range out {
		out[i].At, out[i].Worth = i, cells[i].share()
		if hist[i] != nil {
			out[i].P50 = float64(hist[i].ValueAtQuantile(50)) / 1000
			out[i].P99 = float64(hist[i].ValueAtQuantile(99)) / 1000
		}
	}
	return out
}
