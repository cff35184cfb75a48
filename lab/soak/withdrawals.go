package soak

import (
	"math/rand/v2"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

const (
	// minWithdrawal and withdrawalAfterGrace bound how long servers are withdrawn: the shortest time, and the longest one beyond the
	// drain grace, after which any request that reaches them breaks the rule on drains.
	minWithdrawal, withdrawalAfterGrace = 200 * time.Millisecond, 1500 * time.Millisecond

	// minReturn and maxReturn bound the time between the return of the servers and their next withdrawal.
	minReturn, maxReturn = 150 * time.Millisecond, 1800 * time.Millisecond

	// maxReturnBurst is the largest number of requests that arrive at once when servers return.
	maxReturnBurst = 60
)

// withdrawalKinds are the ways in which servers are withdrawn. Those that are taken off the list while they go on serving are listed
// twice, since only they show a request that reaches a removed server.
var withdrawalKinds = []scenario.FaultKind{scenario.FaultDrain, scenario.FaultCrash, scenario.FaultUnlist, scenario.FaultUnlist}

// addWithdrawals adds events in which the list withdraws all servers, or those of a zone, and has them back in slow start, several
// times in a run. In some of them many requests arrive at the moment of the return.
func addWithdrawals(s *scenario.Scenario, rng *rand.Rand) {
	between := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
	}
	base := s.Load[0].CapacityMultiple
	end := s.Warmup + s.Duration - faultFreeTail
	for at := s.Warmup + between(minReturn, maxReturn); at < end; {
		f := scenario.Fault{At: at, For: between(minWithdrawal, s.Nodes.DrainGrace+withdrawalAfterGrace), Target: "all"}
		f.Kind = withdrawalKinds[rng.IntN(len(withdrawalKinds))]
		if rng.IntN(4) == 0 {
			f.Target = "zone:" + s.Fleet.Zones[rng.IntN(len(s.Fleet.Zones))]
		}
		f.NewID = rng.IntN(3) == 0
		s.Faults = append(s.Faults, f)
		returnAt := at + f.For
		if rng.IntN(3) == 0 && returnAt < end {
			s.Load = append(s.Load, scenario.Step{At: returnAt, CapacityMultiple: base, Burst: 1 + rng.IntN(maxReturnBurst)})
		}
		at = returnAt + between(minReturn, maxReturn)
	}
}
