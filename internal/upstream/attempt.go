package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
	"tackhub.example/tackhub/internal/socket"
)

// maxProbe is the longest body that a probe's answer may have, in bytes: a load report has a line.
const maxProbe = 64 << 10

// Attempt is one copy of a request on one connection. It is written once; nothing sends it again.
type Attempt struct {
	pool    *Pool
	server  balancer.ServerID
	copy    engine.OutgoingRequest
	began   time.Time
	context context.Context
	cancel  context.CancelFunc
	done    func(engine.Completion)

	mu      sync.Mutex
	conn    *conn
	writing bool // from the moment that the server may get it whole
	aborted bool
	unkept  bool // a large body could not be read from where it is kept, came too late for a repeat, or nobody wants it
}

// Send starts writing the copy to a server. Done is called once with the outcome, unless Abort comes first.
func (p *Pool) Send(server balancer.ServerID, copied engine.OutgoingRequest, done func(engine.Completion)) *Attempt {
	if copied.Body != nil {
		copied.Body.Retain()
	}
	a := &Attempt{pool: p, server: server, copy: copied, began: time.Now(), done: done}
	a.context, a.cancel = context.WithCancel(context.Background())
	go a.run()
	return a
}

// Abort closes the attempt's connection, which frees its descriptor, and tells whether the server may have got
// the request whole.
func (a *Attempt) Abort() bool {
	a.mu.Lock()
	a.aborted = true
	c, wrote := a.conn, a.writing
	a.mu.Unlock()
	a.cancel()
	if c != nil {
		_ = c.Close() // run sees it and books the end
	}
	return wrote
}

func (a *Attempt) run() {
	defer a.cancel()
	if a.copy.Body != nil {
		defer a.copy.Body.Release()
	}
	defer a.pool.recovered(func() { a.report(engine.Completion{Outcome: balancer.ConnectionLost}) })
	c, err := a.pool.get(a.context, a.server)
	switch {
	case isLimit(err): // not the server's fault: it must not be excluded for it
		a.report(engine.Completion{Outcome: balancer.NotSent})
		return
	case err != nil:
		a.report(engine.Completion{Outcome: balancer.Unreachable})
		return
	}
	if !a.hold(c) {
		a.pool.end(c, endGaveUp, nil)
		return
	}
	if refused := a.copy.CheckWritable(); refused != nil { // the connection came up too late for it, and serves another
		a.release()
		a.pool.put(c)
		a.report(void(refused))
		return
	}
	resp := fasthttp.AcquireResponse()
	reason, keep := endPanic, false
	defer func() {
		if keep { // the answer's rest has both
			return
		}
		resp.Reset() // its stream reads from the connection
		fasthttp.ReleaseResponse(resp)
		a.pool.finish(c, reason, err)
	}()
	got, why, err := a.exchange(c, resp)
	end := a.outcome(resp, got.body, why, err)
	if !a.release() {
		reason = endGaveUp
		a.report(end)
		return
	}
	if got.rest != nil && end.Outcome == balancer.OK {
		keep, end.Remaining = true, got.rest
	} else if got.rest != nil { // an error's body: nobody gets it, and what is left of it is not read
		why = endGaveUp
	}
	reason = why
	a.report(end)
}

// void is the end of an attempt that was not written whole, for a reason that is not the server's.
func void(why error) engine.Completion {
	return engine.Completion{Outcome: balancer.NotSent, ClientGone: errors.Is(why, engine.ErrClientGone)}
}

// hold gives the attempt its connection; false if it was given up meanwhile.
func (a *Attempt) hold(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return false
	}
	a.conn, a.writing = c, a.copy.Body == nil
	return true
}

// release takes the connection back from Abort's reach; false if that has closed it.
func (a *Attempt) release() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.aborted
}

// exchange writes the request and reads the answer. It returns why the connection cannot be used again, or "".
func (a *Attempt) exchange(c *conn, resp *fasthttp.Response) (answer, string, error) {
	c.requests++
	if err := a.write(c); err != nil {
		a.unkept = errors.Is(err, body.ErrNoCapacity) || errors.Is(err, body.ErrStorage) ||
			errors.Is(err, engine.ErrWriteDeadline) || errors.Is(err, engine.ErrClientGone)
		a.mu.Lock()
		a.writing = false // the last byte was never written: the server cannot have begun
		a.mu.Unlock()
		return answer{}, endWrite, err
	}
	a.pool.o.Count.Attempts.Written.Inc()
	a.copy.NotifyWritten()
	return a.pool.readAnswer(c, resp)
}

// write sends the copy. The server can have got it whole only once its last piece is begun.
func (a *Attempt) write(c *conn) error {
	if _, err := c.Write(a.copy.Bytes); err != nil || a.copy.Body == nil {
		return err
	}
	return a.copy.Body.ForEachChunk(func(piece []byte, last bool) error {
		if last {
			if err := a.copy.CheckWritable(); err != nil {
				return err
			}
			a.mu.Lock()
			a.writing = true
			a.began = time.Now() // the server cannot begin before
			a.mu.Unlock()
		}
		_, err := c.Write(piece)
		return err
	})
}

// read takes in a probe's answer.
func read(c *conn, resp *fasthttp.Response) (string, error) {
	if _, err := c.r.Peek(1); err != nil {
		return endReset, err
	}
	if err := finalHead(c.r); err != nil {
		return endBadAnswer, err
	}
	if err := resp.ReadLimitBody(c.r, maxProbe); err != nil {
		return endBadAnswer, err
	}
	if resp.ConnectionClose() || c.r.Buffered() > 0 { // what comes unasked could pass for the next answer
		return endAsked, nil
	}
	return "", nil
}

// outcome tells what became of the attempt.
func (a *Attempt) outcome(resp *fasthttp.Response, body []byte, reason string, err error) engine.Completion {
	switch reason {
	case endWrite:
		if a.unkept { // our own limit or disk: not the server's fault
			return void(err)
		}
		return engine.Completion{Outcome: balancer.Unreachable}
	case endReset, endBadAnswer:
		return engine.Completion{Outcome: balancer.ConnectionLost}
	}
	end := engine.Completion{Outcome: classify(resp), Report: a.pool.load(resp.Header.Peek(loadHeader), false)}
	if end.Outcome == balancer.OK {
		end.Body = body
	}
	return end
}

func (a *Attempt) report(end engine.Completion) {
	a.mu.Lock()
	aborted, began := a.aborted, a.began
	a.mu.Unlock()
	if aborted {
		a.pool.o.Count.Attempts.Late.Inc()
		if end.Remaining != nil {
			end.Remaining.Close()
		}
		return
	}
	end.Elapsed = clock.Millis(time.Since(began))
	a.done(end)
}

// classify reads an answer's outcome. A server that answers 503 or 504 without saying that the request did not
// run may have run it.
func classify(resp *fasthttp.Response) balancer.Outcome {
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return balancer.OK
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		if string(resp.Header.Peek(notRunHeader)) == "1" {
			return balancer.Overloaded
		}
	}
	return balancer.Errored
}

// isLimit tells whether nothing was sent for a reason of our own: our limits, our machine's, or a server that has just left.
func isLimit(err error) bool {
	return errors.Is(err, errRoom) || errors.Is(err, errAddress) || socket.IsLocalFailure(err)
}
