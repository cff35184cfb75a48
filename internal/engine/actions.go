package engine

import "tackhub.example/tackhub/balancer"

// outcomeNames maps each outcome to its key in counters and log lines.
var outcomeNames = [...]string{
	balancer.OK:             "served",
	balancer.Errored:        "error",
	balancer.Overloaded:     "turned_away",
	balancer.TimedOut:       "timed_out",
	balancer.Unreachable:    "unreachable",
	balancer.ConnectionLost: "broken",
	balancer.Cancelled:      "cancelled",
	balancer.NotSent:        "void",
}

// reasonNames maps each reject reason to its key in counters.
var reasonNames = [...]string{
	balancer.UnknownClass:      "no_class",
	balancer.LateRetry:         "stale",
	balancer.NoCapacity:        "no_place",
	balancer.AttemptsExhausted: "tried",
	balancer.FleetOverload:     "fleet_cut",
	balancer.NoServers:         "no_servers",
}

// OutcomeName returns the key of an outcome in counters and log lines.
func OutcomeName(o balancer.Outcome) string { return outcomeNames[o] }

// execute carries out one action, or passes it to the prober, watcher, broadcaster or logger.
func (e *Engine) execute(action balancer.Action) {
	switch a := action.(type) {
	case balancer.StartAttempt:
		e.startAttempt(a)
	case balancer.CancelAttempt:
		r := e.requests[a.ID]
		if r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			e.cancelAttempt(r.attempts[a.Attempt])
		}
	case balancer.Reject:
		e.counters.Rejected.Inc(reasonNames[a.Reason])
		e.respondUnserved(a.ID, Response{Kind: Rejected, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		e.counters.Rejected.Inc(reasonNames[a.Reason])
		e.respondUnserved(a.ID, Response{Kind: Failed})
	case balancer.SetTimer:
		e.timers.add(a.At, a.Token, nil)
	case balancer.ProbeLoad:
		e.counters.Probes.Sent.Inc()
		e.counters.Probes.Open.Inc()
		e.prober.ProbeLoad(a.Server, func(c Completion) { e.post(probeCompleted{a.Server, c}) })
	case balancer.WatchEndpoints:
		e.watcher.WatchEndpoints()
	case balancer.BroadcastGossip:
		if e.broadcaster != nil {
			e.broadcaster.Broadcast(a.Body)
		}
	case balancer.Log:
		e.log.Info(a.Text, "code", "module") // the log code keeps the balancer's former name
	}
}
