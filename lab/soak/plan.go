// Package soak runs built nodes under seeded faults, mainly planned stops, and audits the runs. A run consists of a scenario
// and additional clients that keep using the connections of a stopping node. The scenario is computed from the seed alone, so
// that it can be printed, replayed and shrunk.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

const (
	// warmup is how long the nodes have to discover their servers before the first fault.
	warmup = time.Second

	// stopInterval is the time between two planned stops.
	stopInterval = 2200 * time.Millisecond

	// minPause and maxPause bound how long a node is suspended. maxPause plus the delay of the lab itself is below scenario.MaxPause.
	minPause, maxPause = 20 * time.Millisecond, 130 * time.Millisecond

	// faultFreeTail is the time at the end of a run in which no fault begins.
	faultFreeTail = 1500 * time.Millisecond
)

// Options configure a run. Everything that they do not set is drawn from the seed.
type Options struct {
	Seed     uint64
	Nodes    int           // 0: drawn from the seed
	Duration time.Duration // raised to 10 s if shorter
	Quiet    bool          // no faults and no planned stops
	// Withdrawals adds events in which the list withdraws all servers, or those of a zone, and has them back.
	Withdrawals bool
	Devices     bool   // CoAP devices send a part of the operations
	Uploads     bool   // long bodies to servers over HTTP and CoAP
	Pressure    bool   // nodes with little memory, and clients that press for it
	Kind        string // kind of the nodes, as in a scenario; empty: tackhub
}

// classes are the request classes of a run, one for each effect.
var classes = []struct {
	name, effect, group string
	share, worth        float64
	window              time.Duration
}{
	{"read", scenario.EffectSafe, "", 0.5, 1, 0},
	{"put", scenario.EffectKeyed, "cell", 0.3, 3, 2 * time.Second},
	{"charge", scenario.EffectUnsafe, "", 0.2, 6, 0},
}

// Plan computes the scenario of a run.
func Plan(o Options) *scenario.Scenario {
	rng := rand.New(rand.NewPCG(o.Seed, 0x50a4))
	pickOne := func(of ...time.Duration) time.Duration { return of[rng.IntN(len(of))] }
	s := &scenario.Scenario{
		Name: fmt.Sprintf("soak-%d", o.Seed), About: "planned stops under faults", Seed: o.Seed,
		Warmup: warmup, Duration: max(o.Duration, 10*time.Second), MaxSendDelay: time.Second,
		Fleet: scenario.Fleet{Servers: 6 + rng.IntN(7), Zones: []string{"a", "b"}, PodSize: 3, Cores: 1, Speed: 1, SpeedSpread: 0.2,
			QueueMax: 32, SlowdownFactor: 1, InitialSpeed: 0.3, SlowStartDuration: 4 * time.Second, CollapseMultiple: 3, CollapseWindow: time.Second,
			MaxConns: 256, Reports: rng.IntN(2) == 0, Probes: rng.IntN(2) == 0},
		Nodes: scenario.Nodes{Count: []int{2, 2, 3, 5, 12}[rng.IntN(5)], Kind: "tackhub", Cores: []float64{0.25, 1}[rng.IntN(2)],
			MemoryMB: 128, Sockets: 512, DrainGrace: pickOne(500*time.Millisecond, 1500*time.Millisecond), Attempts: 4,
			DiscoveryDelay: pickOne(50*time.Millisecond, 300*time.Millisecond)},
		Clients: scenario.Clients{Tenants: 4, Zipf: 1, Retry: []string{"none", "now", "backoff"}[rng.IntN(3)], Retries: 3,
			Backoff: 30 * time.Millisecond, MarksRetry: rng.IntN(2) == 0, CancelFraction: 0.02, Devices: 8},
		Load:   []scenario.Step{{CapacityMultiple: 0.3 + 0.3*rng.Float64()}},
		Expect: scenario.Expectations{Window: 2 * time.Second},
	}
	if o.Nodes > 0 {
		s.Nodes.Count = o.Nodes
	}
	if o.Kind != "" {
		s.Nodes.Kind = o.Kind
	}
	deadline := pickOne(250*time.Millisecond, 390*time.Millisecond, 390*time.Millisecond, 800*time.Millisecond, 1500*time.Millisecond)
	for _, class := range classes {
		s.Classes = append(s.Classes, scenario.Class{Name: class.name, Effect: class.effect, Group: class.group, Window: class.window,
			Share: class.share, PriorityWeight: class.worth, LatencyObjective: deadline / 2, Deadline: deadline, Work: 12 * time.Millisecond,
			Dist: "exponential", Body: 200})
	}
	if o.Devices {
		addDevices(s, rand.New(rand.NewPCG(o.Seed, 0xc0a9)))
	}
	if o.Pressure {
		addPressure(s, rand.New(rand.NewPCG(o.Seed, 0x9e55)))
	}
	if !o.Quiet {
		s.Faults = randomFaults(s, rng)
	}
	if o.Uploads {
		addUploads(s, rand.New(rand.NewPCG(o.Seed, 0xb10c)))
	}
	if o.Withdrawals {
		s.Nodes.KeepList = true
		addWithdrawals(s, rand.New(rand.NewPCG(o.Seed, 0xf1ee)))
	}
	return s
}

// randomFaults draws the faults of a run: a planned stop every stopInterval, and faults of servers and discovery around it.
func randomFaults(s *scenario.Scenario, rng *rand.Rand) []scenario.Fault {
	generator := &faultGenerator{scenario: s, rng: rng, end: s.Warmup + s.Duration - faultFreeTail}
	node := 0
	for at := s.Warmup + 300*time.Millisecond; at < generator.end-s.KillAfter(); at += stopInterval {
		generator.addStop(at, node)
		node++
	}
	return generator.faults
}

// faultGenerator draws and collects the faults of a run. The order of its random draws must not change: a seed would then give
// a different plan.
type faultGenerator struct {
	scenario *scenario.Scenario
	rng      *rand.Rand
	end      time.Duration // no fault begins at or after it
	faults   []scenario.Fault
}

// add adds a fault unless it would begin too late.
func (d *faultGenerator) add(f scenario.Fault) {
	if f.At < d.end {
		d.faults = append(d.faults, f)
	}
}

// randomBelow returns a random duration below a limit.
func (d *faultGenerator) randomBelow(limit time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(limit)))
}

// pauseLength draws how long a node is suspended.
func (d *faultGenerator) pauseLength() time.Duration {
	return minPause + d.randomBelow(maxPause-minPause)
}

// addStop adds a planned stop of a node at the given time, and the faults around it.
func (d *faultGenerator) addStop(at time.Duration, node int) {
	target := fmt.Sprintf("node:%d", node%d.scenario.Nodes.Count)
	d.add(scenario.Fault{At: at, Kind: scenario.FaultNodeReplace, Target: target, FollowUpSignals: randomSignals(d.rng)})
	for range d.rng.IntN(3) {
		pauseAt := at + d.randomBelow(d.scenario.KillAfter())
		d.add(scenario.Fault{At: pauseAt, Kind: scenario.FaultNodePause, Target: target, For: d.pauseLength()})
	}
	percentage := fmt.Sprintf("%d%%", 25+d.rng.IntN(40))
	faultStart := at - d.randomBelow(400*time.Millisecond)
	faultDuration := 400*time.Millisecond + d.randomBelow(1200*time.Millisecond)
	d.addServerFault(at, faultStart, faultDuration, percentage)
	switch d.rng.IntN(4) {
	case 0:
		d.add(scenario.Fault{At: faultStart, For: faultDuration, Kind: scenario.FaultDiscoveryDown, Target: "all"})
	case 1:
		d.add(scenario.Fault{At: faultStart, For: faultDuration, Kind: scenario.FaultDiscoveryStale, Target: "all",
			Delay: 400 * time.Millisecond})
	case 2:
		otherTarget := fmt.Sprintf("node:%d", (node+1)%d.scenario.Nodes.Count)
		pauseAt := at + d.randomBelow(stopInterval/2)
		d.add(scenario.Fault{At: pauseAt, For: d.pauseLength(), Kind: scenario.FaultNodePause, Target: otherTarget})
	}
}

// serverFaults are the kinds of server faults around a stop. A kind that is listed twice is drawn twice as often.
var serverFaults = []scenario.FaultKind{
	scenario.FaultHang, scenario.FaultHang, scenario.FaultVanish, scenario.FaultServersReset, scenario.FaultErrors,
	scenario.FaultColdReturn, scenario.FaultDrain, scenario.FaultServersStall, scenario.FaultSlow,
}

// addServerFault adds a fault of a percentage of the servers around the stop at stopAt.
func (d *faultGenerator) addServerFault(stopAt, faultStart, faultDuration time.Duration, percentage string) {
	switch kind := serverFaults[d.rng.IntN(len(serverFaults))]; kind {
	case scenario.FaultErrors:
		d.add(scenario.Fault{At: faultStart, For: faultDuration, Kind: kind, Target: percentage, Fraction: 0.2 + 0.6*d.rng.Float64()})
	case scenario.FaultSlow:
		d.add(scenario.Fault{At: faultStart, For: faultDuration, Kind: kind, Target: percentage, Factor: 2 + 4*d.rng.Float64()})
	case scenario.FaultServersReset:
		for range 3 {
			d.add(scenario.Fault{At: stopAt + d.randomBelow(d.scenario.KillAfter()), Kind: kind, Target: percentage})
		}
	case scenario.FaultColdReturn:
		d.add(scenario.Fault{At: faultStart, Kind: kind, Target: "1", NewID: d.rng.IntN(2) == 0})
	default:
		d.add(scenario.Fault{At: faultStart, For: faultDuration, Kind: kind, Target: percentage})
	}
}

// randomSignals draws the signals that follow SIGTERM in a planned stop. In half of the stops it returns none.
func randomSignals(rng *rand.Rand) []string {
	if rng.IntN(2) == 0 {
		return nil
	}
	signals := make([]string, 1+rng.IntN(4))
	for i := range signals {
		signals[i] = []string{"TERM", "TERM", "INT", "HUP", "USR1"}[rng.IntN(5)]
	}
	return signals
}
