package engine

import "tackhub.example/tackhub/balancer"

// mailboxSize is the number of messages that the mailbox buffers; the limit bounds its memory. Senders
// block while it is full. This cannot deadlock, because the engine never waits for a sender.
const mailboxSize = 4096

// message is an input from another goroutine. The engine's goroutine calls deliver.
type message interface{ deliver(e *Engine) }

type (
	requestSubmitted struct{ request *pendingRequest }
	requestCancelled struct{ request *pendingRequest }
	bodyReceived     struct {
		request  *pendingRequest
		deadline balancer.Millis
	}
	attemptCompleted struct {
		attempt    *attempt
		completion Completion
	}
	probeCompleted struct {
		server     balancer.ServerID
		completion Completion
	}
	eventPosted    struct{ event balancer.Event }
	functionPosted struct{ function func() }
)

func (m requestSubmitted) deliver(e *Engine) { e.handleSubmitted(m.request) }

func (m requestCancelled) deliver(e *Engine) { e.handleCancelled(m.request) }

func (m bodyReceived) deliver(e *Engine) { e.handleBodyReceived(m.request, m.deadline) }

func (m attemptCompleted) deliver(e *Engine) { e.handleAttemptCompleted(m.attempt, m.completion) }

func (m probeCompleted) deliver(e *Engine) { e.handleProbeCompleted(m.server, m.completion) }

func (m eventPosted) deliver(e *Engine) { e.step(m.event) }

func (m functionPosted) deliver(*Engine) { m.function() }

// Ticket is a handle for a request that was submitted to the engine.
type Ticket struct {
	engine  *Engine
	request *pendingRequest
}

// Submit passes a request to the balancer. The engine calls the request's Respond method once, unless
// the request is cancelled first.
func (e *Engine) Submit(r Request) Ticket {
	request := &pendingRequest{source: r}
	e.post(requestSubmitted{request})
	return Ticket{e, request}
}

// BodyReceived reports that the body of a request that was submitted during its upload is complete.
// The deadline is the time at which the client gives up.
func (t Ticket) BodyReceived(deadline balancer.Millis) {
	t.engine.post(bodyReceived{t.request, deadline})
}

// Cancel withdraws the request because its response is no longer wanted.
func (t Ticket) Cancel() { t.engine.post(requestCancelled{t.request}) }

// UpdateEndpoints passes a change of the endpoint list from discovery to the balancer.
func (e *Engine) UpdateEndpoints(update balancer.EndpointUpdate) { e.post(eventPosted{update}) }

// ReceiveGossip passes a message from another node to the balancer.
func (e *Engine) ReceiveGossip(m balancer.GossipReceived) { e.post(eventPosted{m}) }

// Post passes the balancer an event that does not belong to a request.
func (e *Engine) Post(event balancer.Event) { e.post(eventPosted{event}) }

// RunBetweenSteps runs f between two steps on the goroutine that owns the balancer, and waits for it
// to return. It returns false if the engine stopped before that.
func (e *Engine) RunBetweenSteps(f func()) bool {
	ran := make(chan struct{})
	e.post(functionPosted{func() { defer close(ran); f() }})
	select {
	case <-ran:
		return true
	case <-e.stopped:
		return false
	}
}

func (e *Engine) post(m message) {
	select {
	case e.mailbox <- m:
	case <-e.stopped: // the message is dropped
	}
}
