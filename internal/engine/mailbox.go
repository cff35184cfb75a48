package engine

import "tackhub.example/tackhub/balancer"

// mailboxSize is how many messages may wait. Senders wait beyond it; the engine never does, so it
// bounds memory and can't deadlock.
const mailboxSize = 4096

// message is anything that reaches the engine from outside. It is delivered on the engine's goroutine.
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
	postEvent   struct{ event balancer.Event }
	runFunction struct{ function func() }
)

func (m requestSubmitted) deliver(e *Engine) { e.handleSubmitted(m.request) }

func (m requestCancelled) deliver(e *Engine) { e.handleCancelled(m.request) }

func (m bodyReceived) deliver(e *Engine) { e.handleBodyReceived(m.request, m.deadline) }

func (m attemptCompleted) deliver(e *Engine) { e.handleAttemptCompleted(m.attempt, m.completion) }

func (m probeCompleted) deliver(e *Engine) { e.handleProbeCompleted(m.server, m.completion) }

func (m postEvent) deliver(e *Engine) { e.step(m.event) }

func (m runFunction) deliver(*Engine) { m.function() }

// Ticket names a request that the engine has taken.
type Ticket struct {
	engine  *Engine
	request *pendingRequest
}

// Submit hands a request to the balancer. Its Respond is called once, unless Cancel comes first.
func (e *Engine) Submit(r Request) Ticket {
	request := &pendingRequest{source: r}
	e.post(requestSubmitted{request})
	return Ticket{e, request}
}

// BodyReceived says that the body of a request that was submitted before it was complete has come,
// and when its client gives it up.
func (t Ticket) BodyReceived(deadline balancer.Millis) {
	t.engine.post(bodyReceived{t.request, deadline})
}

// Cancel says that nobody waits for the response any more.
func (t Ticket) Cancel() { t.engine.post(requestCancelled{t.request}) }

// UpdateEndpoints tells the balancer what discovery told of the endpoint list.
func (e *Engine) UpdateEndpoints(update balancer.EndpointUpdate) { e.post(postEvent{update}) }

// ReceiveGossip hands the balancer another node's message.
func (e *Engine) ReceiveGossip(m balancer.GossipReceived) { e.post(postEvent{m}) }

// Post hands the balancer an event that concerns no request.
func (e *Engine) Post(event balancer.Event) { e.post(postEvent{event}) }

// RunBetweenSteps runs f between two steps, on the goroutine that owns the balancer, and waits until
// it has run. It reports whether it has: an engine that ends may not run it.
func (e *Engine) RunBetweenSteps(f func()) bool {
	ran := make(chan struct{})
	e.post(runFunction{func() { defer close(ran); f() }})
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
	case <-e.stopped: // the engine has ended: the message reaches nobody
	}
}
