package engine

import (
	"math"

	"tackhub.example/tackhub/balancer"
)

// pendingRequest is a request that has not been answered yet or still has attempts in flight.
type pendingRequest struct {
	id               balancer.RequestID
	source           Request
	deadline         balancer.Millis
	attempts         []*attempt
	attemptsInFlight int
	finished         bool // answered or cancelled
	// bodyPending is true while the body is being uploaded. Attempts have no deadline during that
	// time: handleBodyReceived sets it when the body is complete. If the upload fails, the request is
	// cancelled.
	bodyPending bool
}

// attempt is one attempt of a pending request.
type attempt struct {
	request  *pendingRequest
	index    int // position among the request's attempts, from 0
	server   balancer.ServerID
	sentAt   balancer.Millis
	handle   Attempt // nil before the attempt is sent and after it has ended
	inFlight bool
}

func (e *Engine) handleSubmitted(r *pendingRequest) {
	if r.finished { // cancelled before it was submitted to the balancer
		return
	}
	e.nextID++
	r.id = e.nextID
	arrival := r.source.Arrival()
	arrival.ID = r.id
	r.deadline = arrival.Deadline
	r.bodyPending = arrival.UploadTimeout > 0
	e.requests[r.id] = r
	e.step(arrival)
}

// handleBodyReceived sets the deadlines of a request and of its attempts once the body is complete. The
// elapsed time of these attempts is measured from that moment.
func (e *Engine) handleBodyReceived(r *pendingRequest, deadline balancer.Millis) {
	if r.finished {
		return
	}
	r.deadline = deadline
	r.bodyPending = false
	for _, a := range r.attempts {
		if a.inFlight {
			a.sentAt = e.clock.Now()
			e.timers.add(deadline, "", a)
		}
	}
	e.step(balancer.BodyReceived{ID: r.id, Deadline: deadline})
}

// handleCancelled ends a request whose response is no longer wanted, and cancels its attempts.
func (e *Engine) handleCancelled(r *pendingRequest) {
	if r.finished {
		return
	}
	r.finished = true
	e.step(balancer.ClientCancelled{ID: r.id})
	for _, a := range r.attempts {
		e.cancelAttempt(a)
	}
	e.removeIfFinished(r)
}

// startAttempt starts an attempt. If the request is finished, past its deadline or out of attempts,
// nothing is sent and the balancer gets the outcome NotSent.
func (e *Engine) startAttempt(action balancer.StartAttempt) {
	r := e.requests[action.ID]
	if r == nil {
		return
	}
	now := e.clock.Now()
	a := &attempt{request: r, index: len(r.attempts), server: action.Server, sentAt: now}
	r.attempts = append(r.attempts, a)
	deadline := r.attemptDeadline(action)
	if r.finished || now >= deadline || a.index >= e.maxAttempts {
		e.counters.Outcomes.Inc(OutcomeName(balancer.NotSent))
		e.step(balancer.AttemptCompleted{ID: r.id, Attempt: a.index, Server: a.server, Outcome: balancer.NotSent, RequestFinished: r.finished})
		return
	}
	a.inFlight = true
	r.attemptsInFlight++
	e.counters.Attempts.Sent.Inc()
	e.counters.Attempts.Open.Inc()
	done := func(c Completion) { e.post(attemptCompleted{a, c}) }
	a.handle = r.source.StartAttempt(AttemptOptions{
		Server:        action.Server,
		Group:         action.Group,
		Timeout:       deadline - now,
		WriteDeadline: action.WriteDeadline,
	}, done)
	if !r.bodyPending {
		e.timers.add(deadline, "", a)
	}
}

// attemptDeadline returns the time at which the attempt is aborted: the earlier of its own deadline and
// the request's, or infinity while the body is still being uploaded.
func (r *pendingRequest) attemptDeadline(action balancer.StartAttempt) balancer.Millis {
	if r.bodyPending {
		return math.Inf(1)
	}
	if action.Deadline > 0 {
		return min(r.deadline, action.Deadline)
	}
	return r.deadline
}

func (e *Engine) handleAttemptCompleted(a *attempt, c Completion) {
	if !a.inFlight {
		e.counters.Attempts.Late.Inc()
		c.discard()
		return
	}
	if c.ClientDisconnected { // the cancellation may still be queued in the mailbox
		e.counters.Attempts.ClientDisconnected.Inc()
		e.handleCancelled(a.request)
		return
	}
	e.completeAttempt(a, c)
}

// timeOut aborts an attempt whose deadline has passed. If its request was not completely written, the
// server cannot have run it, so the outcome is Unreachable.
func (e *Engine) timeOut(a *attempt) {
	outcome := balancer.Unreachable
	if a.handle.Abort() {
		outcome = balancer.TimedOut
	}
	e.completeAttempt(a, Completion{Outcome: outcome, Elapsed: e.clock.Now() - a.sentAt})
}

func (e *Engine) cancelAttempt(a *attempt) {
	if !a.inFlight {
		return
	}
	a.handle.Abort()
	e.completeAttempt(a, Completion{Outcome: balancer.Cancelled, Elapsed: e.elapsed(a)})
}

// elapsed returns for how long a server has had an attempt. While the body is being uploaded, the server does not have the request yet:
// the time that the client takes must not count as the server's.
func (e *Engine) elapsed(a *attempt) balancer.Millis {
	if a.request.bodyPending {
		return 0
	}
	return e.clock.Now() - a.sentAt
}

// completeAttempt records the end of an attempt. The first successful attempt answers the client.
func (e *Engine) completeAttempt(a *attempt, c Completion) {
	r := a.request
	a.inFlight = false
	a.handle = nil
	r.attemptsInFlight--
	e.counters.Attempts.Open.Add(-1)
	e.counters.Outcomes.Inc(OutcomeName(c.Outcome))
	if c.Outcome == balancer.OK && !r.finished {
		e.respond(r, Response{Kind: Served, Body: c.Body, Remaining: c.Remaining})
	} else {
		c.discard()
	}
	e.step(balancer.AttemptCompleted{ID: r.id, Attempt: a.index, Server: a.server, Outcome: c.Outcome, Elapsed: c.Elapsed,
		RequestFinished: r.finished, Undeliverable: c.Undeliverable, Report: c.Report})
	e.removeIfFinished(r)
}

func (e *Engine) handleProbeCompleted(server balancer.ServerID, c Completion) {
	e.counters.Probes.Open.Add(-1)
	e.counters.ProbeOutcomes.Inc(OutcomeName(c.Outcome))
	e.step(balancer.LoadProbeCompleted{Server: server, Outcome: c.Outcome, Elapsed: c.Elapsed, Report: c.Report})
}

// respondUnserved answers a request that no attempt served. A failure after the deadline is answered
// as a timeout.
func (e *Engine) respondUnserved(id balancer.RequestID, response Response) {
	r := e.requests[id]
	if r == nil {
		return
	}
	if response.Kind == Failed && e.clock.Now() >= r.deadline {
		response.Kind = TimedOut
	}
	e.respond(r, response)
	e.removeIfFinished(r)
}

// respond passes the final response to the request unless it is finished already.
func (e *Engine) respond(r *pendingRequest, response Response) {
	if r.finished {
		return
	}
	r.finished = true
	r.source.Respond(response)
}

func (e *Engine) removeIfFinished(r *pendingRequest) {
	if r.finished && r.attemptsInFlight == 0 {
		delete(e.requests, r.id)
	}
}
