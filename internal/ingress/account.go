package ingress

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/proxy"
)

// accounted is a request of a connection in the node's account, with how it will leave it.
type accounted struct {
	request *inflight.Request
	outcome inflight.Outcome
}

// begin takes a request that was read into the account.
func (c *conn) begin(id, class string) {
	r := c.server.o.InFlight.Begin(id, class)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	c.taken = append(c.taken, accounted{request: r, outcome: inflight.Unanswered})
}

// answered notes the status that the latest request gets. It stays in the account until the answer was written.
func (c *conn) answered(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcome := inflight.Answered
	switch {
	case c.reason == proxy.ReasonClientLeft:
		outcome = inflight.ClientDisconnected
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
		outcome = inflight.Rejected
	}
	c.taken[len(c.taken)-1].outcome = outcome
}

// settle takes what is left of an ended connection out of the account. The error tells that an answer was not written whole.
func (c *conn) settle(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(err != nil || c.broken || c.reason == endWrite)
}

// release takes the connection's requests out of the account: their answers were handed to the kernel, or broke off. The
// caller holds the lock.
func (c *conn) release(broke bool) {
	for _, t := range c.taken {
		if broke && t.outcome != inflight.ClientDisconnected {
			t.outcome = inflight.Unanswered
		}
		t.request.End(t.outcome)
		if t.outcome == inflight.Unanswered {
			c.server.sayUnanswered(c, t.request)
		}
	}
	c.taken = c.taken[:0]
}

// sayUnanswered names a request that ended without a whole answer. All are counted; the log names one now and then, and each
// during a planned stop.
func (s *Server) sayUnanswered(c *conn, r *inflight.Request) {
	s.o.Count.Requests.Unanswered.Inc()
	if !s.draining() && !s.due(&s.saidUnanswered) {
		return
	}
	s.o.Log.Warn("request ended without a whole answer", "code", "unanswered", "request", r.ID, "class", r.Class,
		"reason", c.reason, "client", c.RemoteAddr().String())
}
