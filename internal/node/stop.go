package node

import (
	"log/slog"
	"os"
	"time"

	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/ingress"
)

// maxLoggedRepeats bounds the log lines for further signals of one stop; all are counted.
const maxLoggedRepeats = 3

// stopOnSignals begins a planned stop at the first signal. Further ones change nothing: what was taken
// is still owed.
func (n *node) stopOnSignals(stop <-chan os.Signal, l ingress.Listener, log *slog.Logger) {
	first := <-stop
	n.beginShutdown(n.drainPlan.Start(time.Now()), l, first.String(), log)
	for again := range stop {
		n.counters.Stop.Repeated.Inc()
		if n.counters.Stop.Repeated.Get() <= maxLoggedRepeats {
			log.Info("stopping already, a further signal changes nothing", "code", "drain_again", "signal", again.String())
		}
	}
}

// beginShutdown has all fronts follow the schedule.
func (n *node) beginShutdown(schedule *drain.Schedule, l ingress.Listener, signal string, log *slog.Logger) {
	n.serving.Store(false)
	n.inFlight.BeginShutdown(schedule.Began)
	n.handler.BeginShutdown(schedule)
	n.ingress.BeginShutdown(l, schedule)
	log.Info("draining", "code", "drain", "signal", signal, "open", n.inFlight.Open(),
		"close_idle_ms", schedule.CloseIdle.Milliseconds(),
		"close_listener_ms", schedule.CloseListener.Milliseconds(),
		"last_forward_ms", schedule.LastAdmission.Milliseconds(),
		"last_answer_ms", schedule.LastResponse.Milliseconds(),
		"kill_ms", schedule.Kill.Milliseconds())
}

// logShutdown leaves one line of what became of the requests of a planned stop.
func (n *node) logShutdown(log *slog.Logger) {
	figures, ok := n.inFlight.ShutdownStats()
	if !ok {
		return
	}
	log.Info("drained", "code", "drain_end", "took_ms", time.Since(figures.Began).Milliseconds(),
		"open_at_signal", figures.OpenAtStart, "read_since", figures.ReceivedSince,
		"answered", figures.Outcomes[inflight.Answered],
		"refused", figures.Outcomes[inflight.Rejected],
		"client_left", figures.Outcomes[inflight.ClientDisconnected],
		"unanswered", figures.Outcomes[inflight.Unanswered],
		"latest_answer_ms", figures.LastAnswer.Milliseconds(),
		"open", n.inFlight.Open(), "further_signals", n.counters.Stop.Repeated.Get())
}
