package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/scenario"
)

// attempt sends one request and waits for its response. By the protocol, a request whose idle connection turns out to
// be closed before any byte of a response is sent once more on a new one.
func (g *Generator) attempt(ctx context.Context, op, n int, a scenario.Arrival, left time.Duration) response {
	if ctx.Err() != nil {
		return response{outcome: audit.Cancelled}
	}
	c := g.options.Scenario.Classes[a.Class]
	t := audit.Attempt{ID: backend.AttemptID(op, n), Operation: op, Effect: audit.EffectOf(c.Effect), Deadline: g.now() + left}
	for fresh := false; ; fresh = true {
		conn, err := g.pool.get(a.Random>>8+uint64(n), fresh)
		if err != nil {
			return response{outcome: audit.NotConnected}
		}
		t.Node = conn.node
		reused := conn.used
		conn.resetDelay()
		_, err = conn.Write(g.request(t.ID, op, n, a, t.Deadline-g.now()))
		t.Sent = g.now()
		var r response
		crossed := err != nil
		if err == nil {
			r, crossed = g.readResponse(conn, a, t)
		}
		if crossed && reused && g.mayResend(conn, c, t.Deadline) {
			g.pool.drop(conn)
			continue
		}
		if crossed {
			r.outcome = audit.Lost
		}
		g.finish(conn, &r, t)
		return r
	}
}

// mayResend reports whether a request whose connection ended without a response may be sent on another one. Where the node was
// killed the request did not race with the close of an idle connection: it may have been executed, and a client that sent it
// again would break a rule by itself.
func (g *Generator) mayResend(c *conn, class scenario.Class, deadline time.Duration) bool {
	if g.pool.wasReset(c) || g.now() >= deadline {
		return false
	}
	return class.Effect == scenario.EffectSafe || g.options.Alive(c.node)
}

// finish records an attempt, and keeps or closes its connection. A missing response is put down to the lab's own link where
// that reset the connection or still holds bytes of it.
func (g *Generator) finish(c *conn, r *response, t audit.Attempt) {
	if r.outcome == audit.Lost && g.pool.wasReset(c) {
		r.outcome = audit.LinkReset
	}
	if r.outcome == audit.Lost && c.inTransit() {
		r.outcome = audit.InTransit
	}
	t.LinkDelay = c.linkDelay()
	t.Ended = g.now()
	if r.count != 1 || r.closesConn {
		g.pool.drop(c)
	} else {
		g.pool.put(c)
	}
	g.record(t, *r)
}

// record adds an attempt with what came for it.
func (g *Generator) record(t audit.Attempt, r response) {
	t.Outcome = r.outcome
	t.Responses = r.count
	t.BodyID = r.body
	t.Status = r.status
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts = append(g.attempts, t)
}

// request is one attempt in the protocol's form. Its work goes in the query, which reaches the server unchanged.
func (g *Generator) request(id string, op, n int, a scenario.Arrival, left time.Duration) []byte {
	c := g.options.Scenario.Classes[a.Class]
	method := "GET"
	if c.Effect != scenario.EffectSafe {
		method = "POST"
	}
	b := make([]byte, 0, 320+c.Body)
	b = fmt.Appendf(b, "%s /%s?w=%d HTTP/1.1\r\nHost: lab\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t%03d\r\nX-Deadline-Ms: %d\r\n",
		method, c.Name, a.Work.Microseconds(), id, c.Name, a.Tenant, max(1, left.Milliseconds()))
	if c.Effect == scenario.EffectKeyed {
		b = fmt.Appendf(b, "Idempotency-Key: k%012x\r\n", op)
	}
	if n > 0 && g.options.Scenario.Clients.MarksRetry {
		b = append(b, "X-Retry: 1\r\n"...)
	}
	if method == "POST" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", c.Body)
	}
	b = append(b, "\r\n"...)
	if method == "POST" {
		b = append(b, bytes.Repeat([]byte("x"), c.Body)...)
	}
	return b
}

// readResponse reads the response. crossed says that the connection ended before any byte of one.
func (g *Generator) readResponse(c *conn, a scenario.Arrival, t audit.Attempt) (r response, crossed bool) {
	until := g.options.Start.Add(t.Deadline + lateWindow)
	if a.CancelAfter > 0 {
		until = g.options.Start.Add(min(t.Sent+a.CancelAfter, t.Deadline))
	}
	_ = c.SetReadDeadline(until)
	_, err := c.r.Peek(1)
	if err != nil {
		var ne net.Error
		timeout := errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
		if timeout && a.CancelAfter > 0 {
			return response{outcome: audit.Cancelled}, false
		}
		return response{outcome: audit.Lost}, !timeout
	}
	_ = c.SetReadDeadline(g.options.Start.Add(t.Deadline + lateWindow))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, 64<<10); err != nil {
		return response{outcome: audit.Lost}, false
	}
	r = response{status: resp.StatusCode(), count: 1, body: bodyID(resp.Body())}
	switch {
	case r.status == fasthttp.StatusOK:
		r.outcome = audit.Served
	case r.status == fasthttp.StatusServiceUnavailable || r.status == fasthttp.StatusTooManyRequests:
		r.outcome = audit.Rejected
		if s, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64); err == nil {
			r.retryAfter, r.hasRetryAfter = time.Duration(s*float64(time.Second)), true
		}
	default:
		r.outcome = audit.Failed
	}
	r.count += extraResponses(c.r)
	r.closesConn = resp.ConnectionClose()
	return r, false
}

// extraResponses counts further responses in the connection's buffer: bytes that nobody asked for.
func extraResponses(r *bufio.Reader) int {
	if r.Buffered() == 0 {
		return 0
	}
	b, err := r.Peek(r.Buffered())
	if err != nil && !errors.Is(err, io.EOF) {
		return 0
	}
	return max(1, bytes.Count(b, []byte("HTTP/1.1 ")))
}

// bodyID is the request's id that a stand-in server wrote into its response; empty where the body is not whole.
func bodyID(body []byte) string {
	rest, ok := bytes.CutPrefix(body, []byte("id="))
	if !ok {
		return ""
	}
	id, rest, ok := bytes.Cut(rest, []byte("&"))
	if !ok || !bytes.HasPrefix(rest, []byte("server=")) || !bytes.HasSuffix(body, []byte("abcdef")) {
		return ""
	}
	return string(id)
}
