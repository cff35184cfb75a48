package node

import (
	"context"
	"log/slog"
	"os"

	"tackhub.example/tackhub/balancer"
)

// maxHealthLines limits the servers in one health report. ServerHealth returns the most relevant servers
// first, so the report of a large fleet contains those.
const maxHealthLines = 32

// reportOnSignal logs the counters and the health of the servers at each signal.
func (n *node) reportOnSignal(ctx context.Context, report <-chan os.Signal, log *slog.Logger) {
	for {
		select {
		case <-report:
			n.logCounters(log)
			n.logServerHealth(log)
		case <-ctx.Done():
			return
		}
	}
}

func (n *node) logCounters(log *slog.Logger) {
	log.Info("counters", "code", "counters", "counters", rawJSON(n.counters.JSON()))
}

// logServerHealth logs one line per server, with the reason why it is or is not ejected.
func (n *node) logServerHealth(log *slog.Logger) {
	var servers []balancer.ServerHealth
	n.engine.RunBetweenSteps(func() { servers = n.shadow.ServerHealth(n.clock.Now(), maxHealthLines) })
	for _, s := range servers {
		log.Info("server health", "code", "server_health", "server", string(s.Server), "ejection", string(s.Status),
			"failures_in_a_row", s.ConsecutiveFailures, "failures", s.Failures, "outcomes", s.Outcomes, "in_flight", s.InFlight,
			"score", s.Score, "unit_time_ms", s.UnitTime, "outcome_age_ms", s.SinceOutcome)
	}
}

// rawJSON is a JSON text that is logged as a JSON value, not as a string.
type rawJSON []byte

// MarshalJSON returns the text unchanged.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }
