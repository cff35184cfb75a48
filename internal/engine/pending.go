package engine

import (
	"math"

	"tackhub.example/tackhub/balancer"
)

// pendingRequest is a request that the engine holds, until it is answered and its attempts have ended.
type pendingRequest struct {
	id           balancer.RequestID
	source       Request
	deadline     balancer.Millis
	attempts     []*attempt
	openAttempts int
	finished     bool // answered, or cancelled by its client
	// bodyPending says that its body is still coming: its time runs only from the end of that,
	// which ends it in any case.
	bodyPending bool
}

// attempt is one attempt of a pending request.
type attempt struct {
	request *pendingRequest
	index   int // among the request's attempts
	server  balancer.ServerID
	sentAt  balancer.Millis
	handle  Attempt // nil once it has ended
	open    bool
}

func (e *Engine) handleSubmitted(r *pendingRequest) {
	if r.finished { // cancelled before it was looked at
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

// handleBodyReceived gives a request whose body has come its true deadline, and its attempts theirs.
func (e *Engine) handleBodyReceived(r *pendingRequest, deadline balancer.Millis) {
	if r.finished {
		return
	}
	r.deadline = deadline
	r.bodyPending = false
	for _, a := range r.attempts {
		if a.open {
			a.sentAt = e.clock.Now()
			e.timers.add(deadline, "", a)
		}
	}
	e.step(balancer.BodyReceived{ID: r.id, Deadline: deadline})
}

// handleCancelled ends a request that nobody waits for; its attempts are cancelled.
func (e *Engine) handleCancelled(r *pendingRequest) {
	if r.finished {
		return
	}
	r.finished = true
	e.step(balancer.ClientCancelled{ID: r.id})
	for _, a := range r.attempts {
		e.cancelAttempt(a)
	}
	e.forgetIfFinished(r)
}

// startAttempt starts an attempt. One for a request that is closed, out of time or out of attempts
// is not sent, and the balancer is told so.
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
	a.open = true
	r.openAttempts++
	e.counters.Attempts.Sent.Inc()
	e.counters.Attempts.Open.Inc()
	done := func(c Completion) { e.post(attemptCompleted{a, c}) }
	a.handle = r.source.StartAttempt(action.Server, deadline-now, action.WriteDeadline, done)
	if !r.bodyPending {
		e.timers.add(deadline, "", a)
	}
}

// attemptDeadline is when an attempt is given up; never while the request's body is still coming.
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
	if !a.open {
		e.counters.Attempts.Late.Inc()
		c.discard()
		return
	}
	if c.ClientDisconnected { // the client's own cancellation may be waiting in the mailbox
		e.counters.Attempts.Unwanted.Inc()
		e.handleCancelled(a.request)
		return
	}
	e.completeAttempt(a, c)
}

// timeOut gives an attempt up whose deadline has passed. One that was not written whole never ran.
func (e *Engine) timeOut(a *attempt) {
	outcome := balancer.Unreachable
	if a.handle.Abort() {
		outcome = balancer.TimedOut
	}
	e.completeAttempt(a, Completion{Outcome: outcome, Elapsed: e.clock.Now() - a.sentAt})
}

func (e *Engine) cancelAttempt(a *attempt) {
	if !a.open {
		return
	}
	a.handle.Abort()
	e.completeAttempt(a, Completion{Outcome: balancer.Cancelled, Elapsed: e.clock.Now() - a.sentAt})
}

// completeAttempt records an attempt's end. The first one that was served answers the client.
func (e *Engine) completeAttempt(a *attempt, c Completion) {
	r := a.request
	a.open = false
	a.handle = nil
	r.openAttempts--
	e.counters.Attempts.Open.Add(-1)
	e.counters.Outcomes.Inc(OutcomeName(c.Outcome))
	if c.Outcome == balancer.OK && !r.finished {
		e.respond(r, Response{Kind: Served, Body: c.Body, Remaining: c.Remaining})
	} else {
		c.discard()
	}
	e.step(balancer.AttemptCompleted{ID: r.id, Attempt: a.index, Server: a.server, Outcome: c.Outcome, Elapsed: c.Elapsed,
		RequestFinished: r.finished, Report: c.Report})
	e.forgetIfFinished(r)
}

func (e *Engine) handleProbeCompleted(server balancer.ServerID, c Completion) {
	e.counters.Probes.Open.Add(-1)
	e.counters.ProbeOutcomes.Inc(OutcomeName(c.Outcome))
	e.step(balancer.LoadProbeCompleted{Server: server, Outcome: c.Outcome, Elapsed: c.Elapsed, Report: c.Report})
}

// respondWithout answers a request that was not served.
func (e *Engine) respondWithout(id balancer.RequestID, response Response) {
	r := e.requests[id]
	if r == nil {
		return
	}
	if response.Kind == Failed && e.clock.Now() >= r.deadline {
		response.Kind = TimedOut
	}
	e.respond(r, response)
	e.forgetIfFinished(r)
}

// respond gives a request its final answer, exactly once.
func (e *Engine) respond(r *pendingRequest, response Response) {
	if r.finished {
		return
	}
	r.finished = true
	r.source.Respond(response)
}

func (e *Engine) forgetIfFinished(r *pendingRequest) {
	if r.finished && r.openAttempts == 0 {
		delete(e.requests, r.id)
	}
}
