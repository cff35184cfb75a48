package upstream

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
)

const (
	// maxProbeBodyBytes is the largest accepted body of a probe's response. A load report is a single line.
	maxProbeBodyBytes = 64 << 10

	healthPath = "/ping"
	loadPath   = "/_load" // used instead of healthPath if servers report their load
)

// ProbeLoad probes a server's health and, if servers report their load, its load. It returns without waiting and calls done
// with the completion.
func (p *Pool) ProbeLoad(server balancer.ServerID, done func(engine.Completion)) {
	go p.runProbe(server, done)
}

// runProbe sends one probe within ProbeTimeout and calls done with its completion, also after a panic.
func (p *Pool) runProbe(server balancer.ServerID, done func(engine.Completion)) {
	startTime := time.Now()
	defer p.recoverPanic(func() {
		done(engine.Completion{Outcome: balancer.ConnectionLost, Elapsed: clock.Millis(time.Since(startTime))})
	})
	ctx, cancel := context.WithTimeout(context.Background(), p.options.ProbeTimeout)
	defer cancel()
	result := p.probe(ctx, server)
	result.Elapsed = clock.Millis(time.Since(startTime))
	done(result)
}

// probe sends one probe. If this node cannot send it, for example because of a connection limit, the outcome is NotSent, which
// does not count for or against the server.
func (p *Pool) probe(ctx context.Context, server balancer.ServerID) engine.Completion {
	c, err := p.acquire(ctx, server)
	switch {
	case isLocalFailure(err):
		return engine.Completion{Outcome: balancer.NotSent}
	case err != nil && hasEnded(ctx):
		return engine.Completion{Outcome: balancer.TimedOut}
	case err != nil:
		return engine.Completion{Outcome: balancer.Unreachable}
	}
	if engine.CheckOffered(p.options.Resolver, server, c.addr) != nil {
		p.close(c, closeAddressGone, nil)
		return engine.Completion{Outcome: balancer.NotSent}
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	reason := closePanic // stays only if a panic skips the assignment below
	defer func() { p.finish(c, reason, err) }()
	reason, err = p.exchangeProbe(ctx, c, resp)
	return p.probeCompletion(resp, reason, err)
}

// exchangeProbe writes the probe and reads its response before the context's deadline. The closeReason is the constant reusable
// if the connection can be reused, and otherwise the reason for closing it.
func (p *Pool) exchangeProbe(ctx context.Context, c *conn, resp *fasthttp.Response) (closeReason, error) {
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline) // fails only on a broken connection, on which the write fails too
	c.requests++
	reason := closeWriteFailed
	_, err := c.Write(p.probeRequest(c.addr))
	if err == nil {
		reason, err = readProbeResponse(c, resp)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return closeAborted, err
	}
	_ = c.SetDeadline(time.Time{})
	return reason, err
}

// probeRequest returns the HTTP request of a probe.
func (p *Pool) probeRequest(addr string) []byte {
	path := healthPath
	if p.options.LoadReports {
		path = loadPath
	}
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")
}

// readProbeResponse reads the complete response to a probe. The closeReason is the constant reusable if the connection can be
// reused, and otherwise the reason for closing it.
func readProbeResponse(c *conn, resp *fasthttp.Response) (closeReason, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return closeReset, err
	}
	if err := skipInterimResponses(c.reader); err != nil {
		return closeBadResponse, err
	}
	if err := resp.ReadLimitBody(c.reader, maxProbeBodyBytes); err != nil {
		return closeBadResponse, err
	}
	if resp.ConnectionClose() || c.reader.Buffered() > 0 { // unsolicited bytes could be read as the next response
		return closeRequestedByServer, nil
	}
	return reusable, nil
}

// probeCompletion returns the completion of a probe after exchangeProbe has returned.
func (p *Pool) probeCompletion(resp *fasthttp.Response, reason closeReason, err error) engine.Completion {
	switch {
	case reason == closeAborted:
		return engine.Completion{Outcome: balancer.TimedOut}
	case reason == closeWriteFailed:
		return engine.Completion{Outcome: balancer.Unreachable}
	case err != nil:
		return engine.Completion{Outcome: balancer.ConnectionLost}
	}
	result := engine.Completion{Outcome: classifyProbe(resp.StatusCode())}
	report := resp.Header.Peek(headerLoad)
	if len(report) == 0 {
		report = resp.Body()
	}
	result.Report = p.parseLoad(report, result.Outcome == balancer.OK)
	return result
}

// classifyProbe returns the outcome for the status of a probe's response. Status 503 means that the server is overloaded, which
// is not a fault.
func classifyProbe(status int) balancer.Outcome {
	switch status {
	case fasthttp.StatusOK:
		return balancer.OK
	case fasthttp.StatusServiceUnavailable:
		return balancer.Overloaded
	}
	return balancer.Errored
}
