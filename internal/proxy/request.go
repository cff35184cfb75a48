package proxy

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

// request is one client's request on its way through the stages. It is the engine.Request that the engine works with.
type request struct {
	handler  *Handler
	client   Client
	received received
	class    balancer.Class
	outgoing outgoing
	response chan engine.Response // the one final response
	ticket   engine.Ticket
	routed   bool            // the engine has it: ticket is valid
	claimed  bool            // its id is claimed
	timeout  balancer.Millis // how long the client waits, counted from the request's last byte
	deadline balancer.Millis // when the client gives up

	mu        sync.Mutex
	cancelled bool // nobody waits for the response
}

func newRequest(h *Handler, client Client) *request {
	return &request{handler: h, client: client, response: make(chan engine.Response, 1)}
}

// route hands the request to the balancer.
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

// Respond takes the final response. The engine calls it once.
func (r *request) Respond(resp engine.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelled && resp.Remaining != nil {
		resp.Remaining.Close()
		return
	}
	r.response <- resp
}

// cancel withdraws the request from the balancer and discards a response that has come meanwhile.
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

// discard closes what is still to come of a response that nobody gets.
func discard(resp engine.Response) {
	if resp.Remaining != nil {
		resp.Remaining.Close()
	}
}
