package proxy

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

// request is the state of a client's request from its arrival to its final response. It implements engine.Request.
type request struct {
	handler  *Handler
	client   Client
	received received
	class    balancer.Class
	outgoing outgoing
	response chan engine.Response // receives the final response; buffered
	ticket   engine.Ticket
	routed   bool            // submitted to the engine; ticket is valid
	claimed  bool            // its id is in the handler's set of open ids
	ran      bool            // it must not run again: see mustNotRunAgain
	timeout  balancer.Millis // how long the client waits after the request's last byte
	deadline balancer.Millis // when the client gives up, or earlier during a shutdown

	mu        sync.Mutex
	cancelled bool // a response that arrives later is discarded
}

func newRequest(h *Handler, client Client) *request {
	return &request{handler: h, client: client, response: make(chan engine.Response, 1)}
}

// route submits the request to the balancer.
func (r *request) route() {
	r.ticket = r.handler.options.Router.Submit(r)
	r.routed = true
}

// Arrival describes the request to the balancer.
func (r *request) Arrival() balancer.Arrival {
	in := &r.received
	return balancer.Arrival{
		Class:         in.class,
		Tenant:        in.tenant,
		Key:           in.idempotencyKey,
		WorkHint:      parseCostHint(in.costHint),
		IsRetry:       in.isRetry,
		SamplingMark:  xxhash.Sum64String(in.id),
		Deadline:      r.outgoing.submittedDeadline,
		UploadTimeout: r.maxUploadTime(),
	}
}

// Respond accepts the final response. The engine calls it once for each submission.
func (r *request) Respond(resp engine.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled && resp.Remaining != nil {
		resp.Remaining.Close()
		return
	}
	r.response <- resp
}

// cancel withdraws the request from the balancer and discards a response that has arrived already.
func (r *request) cancel() {
	if r.routed {
		r.ticket.Cancel()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled = true
	select {
	case resp := <-r.response:
		discard(resp)
	default:
	}
}

// mustNotRunAgain reports whether the request may have run and must not run twice, given its outcome. Without a response of the balancer it
// is not known whether an attempt was sent.
func (r *request) mustNotRunAgain(o outcome) bool {
	switch {
	case !r.routed || o.rejectCode != "" || r.class.Idempotency == balancer.Idempotent:
		return false
	case o.kind == engine.Rejected: // the balancer rejects a request that may have run only if its servers drop repeats by its key
		return r.class.Idempotency == balancer.IdempotentWithKey
	}
	return true
}

// discard closes the rest of a response that is not sent to the client.
func discard(resp engine.Response) {
	if resp.Remaining != nil {
		resp.Remaining.Close()
	}
}
