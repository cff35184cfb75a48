package engine

import (
	"math"

	"tackhub.example/tackhub/balancer"
)

var resultNames = [...]string{
	balancer.OK: "served", balancer.Errored: "error", balancer.Overloaded: "turned_away", balancer.TimedOut: "timed_out",
	balancer.Unreachable: "unreachable", balancer.ConnectionLost: "broken", balancer.Cancelled: "cancelled", balancer.NotSent: "void",
}

var reasonNames = [...]string{
	balancer.UnknownClass: "no_class", balancer.LateRetry: "stale", balancer.NoCapacity: "no_place", balancer.AttemptsExhausted: "tried",
	balancer.FleetOverload: "fleet_cut",
}

// ResultName is a result's name in counters and log lines.
func OutcomeName(r balancer.Outcome) string { return resultNames[r] }

// carry hands one action to whoever carries it out.
func (e *Engine) carry(action balancer.Action) {
	switch a := action.(type) {
	case balancer.StartAttempt:
		e.send(a)
	case balancer.CancelAttempt:
		if c := e.live[a.ID]; c != nil && a.Attempt >= 0 && a.Attempt < len(c.attempts) {
			e.withdraw(c.attempts[a.Attempt])
		}
	case balancer.Reject:
		e.count.Rejected.Inc(reasonNames[a.Reason])
		e.answer(a.ID, Response{Kind: Rejected, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		e.count.Rejected.Inc(reasonNames[a.Reason])
		e.answer(a.ID, Response{Kind: Failed})
	case balancer.SetTimer:
		e.timers.add(a.At, a.Token, nil)
	case balancer.ProbeLoad:
		e.count.Probes.Sent.Inc()
		e.count.Probes.Open.Inc()
		e.prober.ProbeLoad(a.Server, func(end Completion) { e.post(message{server: a.Server, end: &end}) })
	case balancer.WatchEndpoints:
		e.watcher.WatchEndpoints()
	case balancer.BroadcastGossip:
		if e.teller != nil {
			e.teller.Broadcast(a.Body)
		}
	case balancer.Log:
		e.log.Info(a.Text, "code", "module")
	}
}

func (e *Engine) answer(id balancer.RequestID, a Response) {
	c := e.live[id]
	if c == nil {
		return
	}
	if a.Kind == Failed && e.clock.Now() >= c.expires {
		a.Kind = TimedOut
	}
	e.finish(c, a)
	e.forget(c)
}

// send starts an attempt. One for a request that is over, out of time or out of attempts is not sent, and the
// module is told so.
func (e *Engine) send(s balancer.StartAttempt) {
	c := e.live[s.ID]
	if c == nil {
		return
	}
	now := e.clock.Now()
	a := &attempt{call: c, n: len(c.attempts), server: s.Server, sentAt: now}
	c.attempts = append(c.attempts, a)
	stop := c.expires
	if s.Deadline > 0 {
		stop = min(stop, s.Deadline)
	}
	if c.uploading {
		stop = math.Inf(1)
	}
	if c.closed || now >= stop || a.n >= e.most {
		e.count.Outcomes.Inc(OutcomeName(balancer.NotSent))
		e.step(balancer.AttemptCompleted{ID: c.id, Attempt: a.n, Server: a.server, Outcome: balancer.NotSent, Closed: c.closed})
		return
	}
	a.open = true
	c.open++
	e.count.Attempts.Sent.Inc()
	e.count.Attempts.Open.Inc()
	a.copy = c.exchange.StartAttempt(s.Server, stop-now, s.WriteDeadline, func(end Completion) { e.post(message{attempt: a, end: &end}) })
	if !c.uploading {
		e.timers.add(stop, "", a)
	}
}
