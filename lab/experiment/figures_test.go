package experiment

import (
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/load"
	"tackhub.example/tackhub/lab/scenario"
)

// fixedRateOperations returns 100 operations per second of a scenario. An operation is served if served returns true for
// its scheduled time, else it has failed.
func fixedRateOperations(s *scenario.Scenario, served func(time.Duration) bool) []load.Operation {
	var out []load.Operation
	for at := time.Duration(0); at < s.Warmup+s.Duration; at += 10 * time.Millisecond {
		o := load.Operation{ScheduledAt: at, Ended: at + 20*time.Millisecond, Outcome: audit.Failed, Attempts: 1}
		if served(at) {
			o.Outcome = audit.Served
		}
		out = append(out, o)
	}
	return out
}
