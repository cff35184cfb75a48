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
	// maxProbeBytes bounds the body of a probe's response; a load report is one line.
	maxProbeBytes = 64 << 10

	healthPath = "/ping"
	loadPath   = "/_load" // in place of healthPath where servers report their load
)

// ProbeLoad checks a server's health and, where servers report it, its load. It does not wait; done is called with the
// completion.
func (p *Pool) ProbeLoad(server balancer.ServerID, done func(engine.Completion)) {
	go p.runProbe(server, done)
}

func (p *Pool) runProbe(server balancer.ServerID, done func(engine.Completion)) {
	began := time.Now()
	defer p.recoverPanic(func() {
		done(engine.Completion{Outcome: balancer.ConnectionLost, Elapsed: clock.Millis(time.Since(began))})
	})
	ctx, cancel := context.WithTimeout(context.Background(), p.options.ProbeTimeout)
	defer cancel()
	end := p.probe(ctx, server)
	end.Elapsed = clock.Millis(time.Since(began))
	done(end)
}

// probe sends one probe. If this node's own limits prevent it, the outcome is NotSent, which is no statement on the server.
func (p *Pool) probe(ctx context.Context, server balancer.ServerID) engine.Completion {
	c, err := p.acquire(ctx, server)
	switch {
	case isLocal(err):
		return engine.Completion{Outcome: balancer.NotSent}
	case err != nil && hasEnded(ctx):
		return engine.Completion{Outcome: balancer.TimedOut}
	case err != nil:
		return engine.Completion{Outcome: balancer.Unreachable}
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	reason := closePanic // unless it is set below
	defer func() { p.finish(c, reason, err) }()
	reason, err = p.exchangeProbe(ctx, c, resp)
	return p.probeCompletion(resp, reason, err)
}

// exchangeProbe writes the probe and reads its response, within the context's time. The reason is why the connection
// cannot be reused, or reusable.
func (p *Pool) exchangeProbe(ctx context.Context, c *conn, resp *fasthttp.Response) (closeReason, error) {
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline) // it fails only on a broken connection, where the write fails too
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

// probeRequest is the request of a probe.
func (p *Pool) probeRequest(addr string) []byte {
	path := healthPath
	if p.options.LoadReports {
		path = loadPath
	}
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")
}

// readProbeResponse reads a complete response.
func readProbeResponse(c *conn, resp *fasthttp.Response) (closeReason, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return closeReset, err
	}
	if err := skipInterim(c.reader); err != nil {
		return closeBadResponse, err
	}
	if err := resp.ReadLimitBody(c.reader, maxProbeBytes); err != nil {
		return closeBadResponse, err
	}
	if resp.ConnectionClose() || c.reader.Buffered() > 0 { // unsolicited bytes could pass for the next response
		return closeServerAsked, nil
	}
	return reusable, nil
}

// probeCompletion is that of a probe whose exchange is over.
func (p *Pool) probeCompletion(resp *fasthttp.Response, reason closeReason, err error) engine.Completion {
	switch {
	case reason == closeAborted:
		return engine.Completion{Outcome: balancer.TimedOut}
	case reason == closeWriteFailed:
		return engine.Completion{Outcome: balancer.Unreachable}
	case err != nil:
		return engine.Completion{Outcome: balancer.ConnectionLost}
	}
	end := engine.Completion{Outcome: classifyProbe(resp.StatusCode())}
	report := resp.Header.Peek(headerLoad)
	if len(report) == 0 {
		report = resp.Body()
	}
	end.Report = p.parseLoad(report, end.Outcome == balancer.OK)
	return end
}

// classifyProbe is the outcome that a probe's status stands for. With 503 a server says that it is overloaded, which is not a
// fault.
func classifyProbe(status int) balancer.Outcome {
	switch status {
	case fasthttp.StatusOK:
		return balancer.OK
	case fasthttp.StatusServiceUnavailable:
		return balancer.Overloaded
	}
	return balancer.Errored
}
