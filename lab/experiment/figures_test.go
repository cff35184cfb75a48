package experiment

import (
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/load"
	"tackhub.example/tackhub/lab/scenario"
)

// opsOf are a hundred operations a second, served where a function says so.
func opsOf(s *scenario.Scenario, served func(time.Duration) bool) []load.Operation {
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
