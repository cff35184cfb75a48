package engine

import (
	"math"

	"tackhub.example/tackhub/logic"
)

var resultNames = [...]string{
	logic.OK: "served", logic.Errored: "error", logic.Overloaded: "turned_away", logic.TimedOut: "timed_out",
	logic.Unreachable: "unreachable", logic.Broken: "broken", logic.Cancelled: "cancelled", logic.Void: "void",
}

var reasonNames = [...]string{
	logic.NoClass: "no_class", logic.Stale: "stale", logic.NoPlace: "no_place", logic.Tried: "tried",
	logic.FleetCut: "fleet_cut",
}

// ResultName is a result's name in counters and log lines.
func ResultName(r logic.Result) string { return resultNames[r] }

// carry hands one action to whoever carries it out.
func (e *Engine) carry(action logic.Action) {
	switch a := action.(type) {
	case logic.Send:
		e.send(a)
	case logic.Cancel:
		if c := e.live[a.ID]; c != nil && a.Attempt >= 0 && a.Attempt < len(c.attempts) {
			e.withdraw(c.attempts[a.Attempt])
		}
	case logic.Refuse:
		e.count.GivenUp.Inc(reasonNames[a.Why])
		e.answer(a.ID, Answer{Kind: Refused, RetryAfter: a.RetryAfter})
	case logic.Fail:
		e.count.GivenUp.Inc(reasonNames[a.Why])
		e.answer(a.ID, Answer{Kind: Failed})
	case logic.SetTimer:
		e.timers.add(a.At, a.Token, nil)
	case logic.Probe:
		e.count.Probes.Sent.Inc()
		e.count.Probes.Open.Inc()
		e.prober.Probe(a.Server, func(end End) { e.post(message{server: a.Server, end: &end}) })
	case logic.Watch:
		e.watcher.Watch()
	case logic.Tell:
		if e.teller != nil {
			e.teller.Tell(a.Body)
		}
	case logic.Log:
		e.log.Info(a.Text, "code", "module")
	}
}

func (e *Engine) answer(id logic.RequestID, a Answer) {
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
func (e *Engine) send(s logic.Send) {
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
		e.count.Outcomes.Inc(ResultName(logic.Void))
		e.step(logic.AttemptEnd{ID: c.id, Attempt: a.n, Server: a.server, Result: logic.Void, Closed: c.closed})
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
