package proxy

import (
	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

// route hands the request to the module.
func (r *request) route() {
	r.ticket = r.desk.o.Router.Submit(r)
	r.routed = true
}

// Arrival is the request in the module's terms.
func (r *request) Arrival() balancer.Arrival {
	t := &r.taken
	return balancer.Arrival{Class: t.class, Tenant: t.tenant, Key: t.key, WorkHint: parseHint(t.hint), IsRetry: t.retry,
		SamplingMark: xxhash.Sum64String(t.id), Deadline: r.wire.expires, UploadTimeout: r.uploadMost()}
}

// Finish takes the module's final answer; the engine calls it once.
func (r *request) Respond(a engine.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dropped && a.Remaining != nil {
		a.Remaining.Close()
		return
	}
	r.answer <- a
}

// drop withdraws the request; an answer that crosses it is let go of.
func (r *request) drop() {
	r.abandon()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped = true
	select {
	case a := <-r.answer:
		if a.Remaining != nil {
			a.Remaining.Close()
		}
	default:
	}
}
