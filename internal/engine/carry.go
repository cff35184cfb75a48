package engine

import (
	"math"

	"tackhub.example/tackhub/balancer"
)

var resultNames = [...]string{
	balancer.OK: "served", balancer.Errored: "error", balancer.Overloaded: "turned_away", balancer.TimedOut: "timed_out",
	balancer.Unreachable: "unreachable", balancer.Broken: "broken", balancer.Cancelled: "cancelled", balancer.Void: "void",
}

var reasonNames = [...]string{
	balancer.NoClass: "no_class", balancer.Stale: "stale", balancer.NoPlace: "no_place", balancer.Tried: "tried",
	balancer.FleetCut: "fleet_cut",
}

// ResultName is a result's name in counters and log lines.
func ResultName(r balancer.Result) string { return resultNames[r] }

// carry hands one action to whoever carries it out.
func (e *Engine) carry(action balancer.Action) {
	switch a := action.(type) {
	case balancer.Send:
		e.send(a)
	case balancer.Cancel:
		if c := e.live[a.ID]; c != nil && a.Attempt >= 0 && a.Attempt < len(c.attempts) {
			e.withdraw(c.attempts[a.Attempt])
		}
	case balancer.Refuse:
		e.count.GivenUp.Inc(reasonNames[a.Why])
		e.answer(a.ID, Answer{Kind: Refused, RetryAfter: a.RetryAfter})
	case balancer.Fail:
		e.count.GivenUp.Inc(reasonNames[a.Why])
		e.answer(a.ID, Answer{Kind: Failed})
	case balancer.SetTimer:
		e.timers.add(a.At, a.Token, nil)
	case balancer.Probe:
		e.count.Probes.Sent.Inc()
		e.count.Probes.Open.Inc()
		e.prober.Probe(a.Server, func(end End) { e.post(message{server: a.Server, end: &end}) })
	case balancer.Watch:
		e.watcher.Watch()
	case balancer.Tell:
		if e.teller != nil {
			e.teller.Tell(a.Body)
		}
	case balancer.Log:
		e.log.Info(a.Text, "code", "module")
	}
}

func (e *Engine) answer(id balancer.RequestID, a Answer) {
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
func (e *Engine) send(s balancer.Send) {
	c := e.live[s.ID]
	if c == nil {
		return
	}
	now := e.clock.Now()
	a := &attempt{call: c, n: len(c.attempts), server: s.Server, sentAt: now}
	c.attempts = append(c.attempts, a)
	stop := c.expires
	if s.StopAt > 0 {
		stop = min(stop, s.StopAt)
	}
	if c.uploading {
		stop = math.Inf(1)
	}
	if c.closed || now >= stop || a.n >= e.most {
		e.count.Outcomes.Inc(ResultName(balancer.Void))
		e.step(balancer.AttemptEnd{ID: c.id, Attempt: a.n, Server: a.server, Result: balancer.Void, Closed: c.closed})
		return
	}
	a.open = true
	c.open++
	e.count.Attempts.Sent.Inc()
	e.count.Attempts.Open.Inc()
	a.copy = c.exchange.Send(s.Server, stop-now, s.WholeBy, func(end End) { e.post(message{attempt: a, end: &end}) })
	if !c.uploading {
		e.timers.add(stop, "", a)
	}
}
