package node

import (
	"log/slog"
	"os"
	"time"

	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/ingress"
)

// maxLoggedRepeats limits the log lines for repeated stop signals during a shutdown. All repeated signals
// are counted.
const maxLoggedRepeats = 3

// stopOnSignals begins a graceful shutdown at the first signal. Further signals change nothing, since the
// requests that were received must still be answered.
func (n *node) stopOnSignals(stop <-chan os.Signal, l ingress.Listener, log *slog.Logger) {
	firstSignal := <-stop
	n.beginShutdown(n.drainPlan.Start(time.Now()), l, firstSignal.String(), log)
	for repeatedSignal := range stop {
		n.counters.Stop.Repeated.Inc()
		if n.counters.Stop.Repeated.Get() <= maxLoggedRepeats {
			log.Info("already draining, ignoring a further signal", "code", "drain_again", "signal", repeatedSignal.String())
		}
	}
}

// beginShutdown starts the graceful shutdown of all front ends on a schedule.
func (n *node) beginShutdown(schedule *drain.Schedule, l ingress.Listener, signal string, log *slog.Logger) {
	n.serving.Store(false)
	n.shutdown.Store(schedule)
	n.inFlight.BeginShutdown(schedule.Began)
	n.handler.BeginShutdown(schedule)
	n.ingress.BeginShutdown(l, schedule)
	log.Info("draining", "code", "drain", "signal", signal, "open", n.inFlight.Count(),
		"close_idle_ms", schedule.CloseIdle.Milliseconds(),
		"close_listener_ms", schedule.CloseListener.Milliseconds(),
		"last_forward_ms", schedule.LastAdmission.Milliseconds(),
		"last_answer_ms", schedule.LastResponse.Milliseconds(),
		"kill_ms", schedule.Kill.Milliseconds())
}

// logShutdown logs the duration of a graceful shutdown and the outcomes of its requests, in one line. If
// no shutdown has begun, it logs nothing.
func (n *node) logShutdown(log *slog.Logger) {
	stats, ok := n.inFlight.ShutdownStats()
	if !ok {
		return
	}
	log.Info("drained", "code", "drain_end", "took_ms", time.Since(stats.Began).Milliseconds(),
		"open_at_signal", stats.OpenAtStart, "read_since", stats.ReceivedSince,
		"answered", stats.Outcomes[inflight.Answered],
		"refused", stats.Outcomes[inflight.Rejected],
		"client_left", stats.Outcomes[inflight.ClientDisconnected],
		"unanswered", stats.Outcomes[inflight.Unanswered],
		"latest_answer_ms", stats.LastAnswer.Milliseconds(),
		"open", n.inFlight.Count(), "further_signals", n.counters.Stop.Repeated.Get())
}
