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

// Probe asks a server for a sign of life and, where servers report, its load. It does not wait.
func (p *Pool) ProbeLoad(server balancer.ServerID, done func(engine.Completion)) {
	go p.probe(server, done)
}

func (p *Pool) probe(server balancer.ServerID, done func(engine.Completion)) {
	began := time.Now()
	defer p.recovered(func() {
		done(engine.Completion{Outcome: balancer.ConnectionLost, Elapsed: clock.Millis(time.Since(began))})
	})
	ctx, cancel := context.WithTimeout(context.Background(), p.o.ProbeTimeout)
	defer cancel()
	end := p.ask(ctx, server)
	end.Elapsed = clock.Millis(time.Since(began))
	done(end)
}

// ask makes the probe. One that our own limits kept from being sent tells nothing of the server.
func (p *Pool) ask(ctx context.Context, server balancer.ServerID) engine.Completion {
	c, err := p.get(ctx, server)
	switch {
	case isLimit(err):
		return engine.Completion{Outcome: balancer.NotSent}
	case err != nil && ctx.Err() != nil:
		return engine.Completion{Outcome: balancer.TimedOut}
	case err != nil:
		return engine.Completion{Outcome: balancer.Unreachable}
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	reason := endPanic
	defer func() { p.finish(c, reason, err) }()
	reason, err = p.ping(ctx, c, resp)
	return p.probeEnd(resp, reason, err)
}

// ping writes the probe and reads its answer, within the context's time.
func (p *Pool) ping(ctx context.Context, c *conn, resp *fasthttp.Response) (string, error) {
	deadline, _ := ctx.Deadline()
	_ = c.SetDeadline(deadline) // it fails on a broken connection alone, which the write tells
	c.requests++
	if _, err := c.Write(p.probeBytes(c.addr)); err != nil {
		return endWrite, err
	}
	reason, err := read(c, resp)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return endGaveUp, err
	}
	_ = c.SetDeadline(time.Time{})
	return reason, err
}

// finish keeps a connection for the next request, or ends it for a reason.
func (p *Pool) finish(c *conn, reason string, err error) {
	if reason == "" {
		p.put(c)
		return
	}
	if reason == endAsked { // its answer was whole
		p.drop(c, reason, err)
		return
	}
	p.end(c, reason, err)
}

func (p *Pool) probeEnd(resp *fasthttp.Response, reason string, err error) engine.Completion {
	switch {
	case reason == endGaveUp:
		return engine.Completion{Outcome: balancer.TimedOut}
	case reason == endWrite:
		return engine.Completion{Outcome: balancer.Unreachable}
	case err != nil:
		return engine.Completion{Outcome: balancer.ConnectionLost}
	}
	end := engine.Completion{Outcome: classifyProbe(resp.StatusCode())}
	text := resp.Header.Peek(loadHeader)
	if len(text) == 0 {
		text = resp.Body()
	}
	end.Report = p.load(text, end.Outcome == balancer.OK)
	return end
}

// classifyProbe reads a probe's answer. 503 says that the server takes nothing now: load, not a fault.
func classifyProbe(status int) balancer.Outcome {
	switch status {
	case fasthttp.StatusOK:
		return balancer.OK
	case fasthttp.StatusServiceUnavailable:
		return balancer.Overloaded
	}
	return balancer.Errored
}

// probeBytes is the probe's request: with the load report where there are any.
func (p *Pool) probeBytes(addr string) []byte {
	path := "/ping"
	if p.o.LoadReports {
		path = "/_load"
	}
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + addr + "\r\n\r\n")
}
