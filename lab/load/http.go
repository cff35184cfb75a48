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

// attempt sends one request and waits for its response. As the protocol allows, it sends the request again on a new
// connection if a reused connection ends before the first byte of a response.
func (g *Generator) attempt(ctx context.Context, op, attemptIndex int, arrival scenario.Arrival, remaining time.Duration) response {
	if ctx.Err() != nil {
		return response{outcome: audit.Cancelled}
	}
	class := g.options.Scenario.Classes[arrival.Class]
	record := audit.Attempt{ID: backend.AttemptID(op, attemptIndex), Operation: op, Effect: audit.EffectOf(class.Effect),
		Deadline: g.now() + remaining}
	for fresh := false; ; fresh = true {
		conn, err := g.pool.get(arrival.Random>>8+uint64(attemptIndex), fresh)
		if err != nil {
			return response{outcome: audit.NotConnected}
		}
		record.Node = conn.node
		reused := conn.used
		conn.resetDelay()
		_, err = conn.Write(g.httpRequest(record.ID, op, attemptIndex, arrival, record.Deadline-g.now()))
		record.Sent = g.now()
		var result response
		endedEarly := err != nil
		if err == nil {
			result, endedEarly = g.readResponse(conn, arrival, record)
		}
		if endedEarly && reused && g.mayResend(conn, class, record.Deadline) {
			g.pool.drop(conn)
			continue
		}
		if endedEarly {
			result.outcome = audit.Lost
		}
		g.finish(conn, &result, record)
		return result
	}
}

// mayResend reports whether a request whose connection ended without a response may be sent on another connection. If the
// node runs, it closed an idle connection without reading the request. If the node was killed, it may have executed the
// request. The client must then not resend it unless its class is safe to repeat.
func (g *Generator) mayResend(c *conn, class scenario.Class, deadline time.Duration) bool {
	if g.pool.wasReset(c) || g.now() >= deadline {
		return false
	}
	return class.Effect == scenario.EffectSafe || g.options.Alive(c.node)
}

// finish records an attempt and keeps or closes its connection. A missing response is attributed to the lab's link if the
// link reset the connection or still has bytes of it in flight.
func (g *Generator) finish(c *conn, result *response, attempt audit.Attempt) {
	if result.outcome == audit.Lost && g.pool.wasReset(c) {
		result.outcome = audit.LinkReset
	}
	if result.outcome == audit.Lost && c.inTransit() {
		result.outcome = audit.InTransit
	}
	attempt.LinkDelay = c.linkDelay()
	attempt.Ended = g.now()
	if result.count != 1 || result.closesConn {
		g.pool.drop(c)
	} else {
		g.pool.put(c)
	}
	g.record(attempt, *result)
}

// record adds an attempt with its response to the results.
func (g *Generator) record(attempt audit.Attempt, result response) {
	attempt.Outcome = result.outcome
	attempt.Responses = result.count
	attempt.BodyID = result.body
	attempt.Status = result.status
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts = append(g.attempts, attempt)
}

// httpRequest returns the encoded HTTP request of one attempt. Its work is a query parameter, because nodes forward the
// query unchanged.
func (g *Generator) httpRequest(id string, op, attemptIndex int, arrival scenario.Arrival, remaining time.Duration) []byte {
	class := g.options.Scenario.Classes[arrival.Class]
	method := "GET"
	if class.Effect != scenario.EffectSafe {
		method = "POST"
	}
	raw := make([]byte, 0, 320+class.Body)
	raw = fmt.Appendf(raw, "%s /%s?w=%d HTTP/1.1\r\nHost: lab\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t%03d\r\nX-Deadline-Ms: %d\r\n",
		method, class.Name, arrival.Work.Microseconds(), id, class.Name, arrival.Tenant, max(1, remaining.Milliseconds()))
	if class.Effect == scenario.EffectKeyed {
		raw = fmt.Appendf(raw, "Idempotency-Key: k%012x\r\n", op)
	}
	if attemptIndex > 0 && g.options.Scenario.Clients.MarksRetry {
		raw = append(raw, "X-Retry: 1\r\n"...)
	}
	if method == "POST" {
		raw = fmt.Appendf(raw, "Content-Length: %d\r\n", class.Body)
	}
	raw = append(raw, "\r\n"...)
	if method == "POST" {
		raw = append(raw, bytes.Repeat([]byte("x"), class.Body)...)
	}
	return raw
}

// readResponse reads the response. endedEarly reports whether the connection ended before the first byte of a response.
func (g *Generator) readResponse(c *conn, arrival scenario.Arrival, attempt audit.Attempt) (result response, endedEarly bool) {
	firstByteDeadline := g.options.Start.Add(attempt.Deadline + lateResponseWindow)
	if arrival.CancelAfter > 0 {
		firstByteDeadline = g.options.Start.Add(min(attempt.Sent+arrival.CancelAfter, attempt.Deadline))
	}
	_ = c.SetReadDeadline(firstByteDeadline)
	_, err := c.r.Peek(1)
	if err != nil {
		var netErr net.Error
		timeout := errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
		if timeout && arrival.CancelAfter > 0 {
			return response{outcome: audit.Cancelled}, false
		}
		return response{outcome: audit.Lost}, !timeout
	}
	_ = c.SetReadDeadline(g.options.Start.Add(attempt.Deadline + lateResponseWindow))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, 64<<10); err != nil {
		return response{outcome: audit.Lost}, false
	}
	result = response{status: resp.StatusCode(), count: 1, body: bodyID(resp.Body())}
	switch {
	case result.status == fasthttp.StatusOK:
		result.outcome = audit.Served
	case result.status == fasthttp.StatusServiceUnavailable || result.status == fasthttp.StatusTooManyRequests:
		result.outcome = audit.Rejected
		if seconds, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64); err == nil {
			result.retryAfter, result.hasRetryAfter = time.Duration(seconds*float64(time.Second)), true
		}
	default:
		result.outcome = audit.Failed
	}
	result.count += extraResponses(c.r)
	result.closesConn = resp.ConnectionClose()
	return result, false
}

// extraResponses returns the number of unrequested responses in the connection's buffer. Unrequested bytes of any other kind
// count as one.
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

// bodyID returns the request ID that a simulated server wrote into its response body, or "" if the body is incomplete.
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
