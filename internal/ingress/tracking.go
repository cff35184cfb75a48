package ingress

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/proxy"
)

// trackedRequest is a request in flight and the outcome that is recorded when the request ends.
type trackedRequest struct {
	request *inflight.Request
	outcome inflight.Outcome
}

// track starts tracking a request that was read. Until setOutcome is called, its outcome is Unanswered.
func (c *conn) track(id, class string) {
	request := c.server.options.InFlight.Begin(id, class)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = true
	c.tracked = append(c.tracked, trackedRequest{request: request, outcome: inflight.Unanswered})
}

// setOutcome sets the outcome of the latest request from its response status. The request stays in flight until the response is
// written.
func (c *conn) setOutcome(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcome := inflight.Answered
	switch {
	case c.closeReason == proxy.ReasonClientDisconnected:
		outcome = inflight.ClientDisconnected
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
		outcome = inflight.Rejected
	}
	c.tracked[len(c.tracked)-1].outcome = outcome
}

// releaseAll ends the requests in flight of a connection that has ended. A non-nil err means that a response was not written
// completely.
func (c *conn) releaseAll(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(err != nil || c.responseBroken || c.closeReason == closeWriteFailed)
}

// release ends the connection's requests in flight after their responses were written to the kernel. Broken means that a
// response could not be written completely; the requests then count as unanswered unless the client disconnected. The caller
// must hold c.mu.
func (c *conn) release(broken bool) {
	for _, t := range c.tracked {
		if broken && t.outcome != inflight.ClientDisconnected {
			t.outcome = inflight.Unanswered
		}
		t.request.End(t.outcome)
		if t.outcome == inflight.Unanswered {
			c.server.recordUnanswered(c, t.request)
		}
	}
	c.tracked = c.tracked[:0]
}

// recordUnanswered counts a request that ended without a complete response. It logs every such request during a shutdown, and
// at most one per logInterval otherwise.
func (s *Server) recordUnanswered(c *conn, r *inflight.Request) {
	s.options.Counters.Requests.Unanswered.Inc()
	if !s.draining() && !s.allowLog(&s.lastLogged.unanswered) {
		return
	}
	s.options.Log.Warn("request ended without a complete response", "code", "unanswered", "request", r.ID, "class", r.Class,
		"reason", c.closeReason, "client", c.RemoteAddr().String())
}
