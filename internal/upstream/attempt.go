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
)

// Attempt sends one copy of a request to one server over one connection. It writes the request at most once.
type Attempt struct {
	pool         *Pool
	transmission engine.Transmission
	context      context.Context // cancelled when the attempt ends
	cancel       context.CancelFunc
	done         func(engine.Completion)

	listRevision int64 // of the endpoint list by which the server was chosen
	bodyGone     bool  // the request has ended, and its large body was released

	mu        sync.Mutex
	startTime time.Time // Completion.Elapsed is measured from here
	answerAt  time.Time // to here; zero: there is no answer, Elapsed is measured to the end of the attempt
	conn      *conn     // nil before attach and after detach
}

// Send starts an attempt to send a request to a server and returns without waiting. It calls done once with the completion,
// unless Abort is called first.
func (p *Pool) Send(server balancer.ServerID, request engine.OutgoingRequest, done func(engine.Completion)) *Attempt {
	a := &Attempt{
		pool:         p,
		bodyGone:     request.Body != nil && !request.Body.Retain(),
		transmission: engine.Transmission{Request: request, Resolver: p.options.Resolver, Server: server},
		startTime:    time.Now(),
		done:         done,
	}
	if p.options.ListRevision != nil {
		a.listRevision = p.options.ListRevision()
	}
	a.context, a.cancel = context.WithCancel(context.Background())
	go a.run()
	return a
}

// Abort cancels the attempt and closes its connection, which frees the file descriptor at once. It reports whether the server
// may have received the complete request.
func (a *Attempt) Abort() (mayHaveRun bool) {
	mayHaveRun = a.transmission.Abort()
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	a.cancel()
	if c != nil {
		_ = c.Close() // run gets an error from the closed connection and frees the reservation
	}
	return mayHaveRun
}

// run acquires a connection and sends the request on it, unless the attempt is aborted or the request must no longer be
// written.
func (a *Attempt) run() {
	defer a.cancel()
	a.beginNow()
	if a.bodyGone { // the request's cancellation is still queued in the engine's mailbox
		a.reportCompletion(notSent(engine.ErrClientDisconnected))
		return
	}
	largeBody := a.transmission.Request.Body
	if largeBody != nil {
		defer largeBody.Release()
	}
	defer a.pool.recoverPanic(func() { a.reportCompletion(engine.Completion{Outcome: balancer.ConnectionLost}) })
	c, err := a.pool.acquire(a.context, a.transmission.Server)
	if err != nil {
		a.reportCompletion(engine.Completion{Outcome: connectOutcome(err)})
		return
	}
	if !a.attach(c) {
		a.pool.close(c, closeAborted, nil)
		return
	}
	mayWrite := a.transmission.Commit // a request without a large body is written in one call
	if largeBody != nil {
		mayWrite = a.transmission.Check
	}
	if err := mayWrite(c.addr, c.delay); err != nil {
		a.withhold(c, err)
		return
	}
	a.roundTrip(c)
}

// beginNow makes the elapsed time count from now: until run was scheduled the process had no CPU time, which is not the server's.
func (a *Attempt) beginNow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startTime = time.Now()
}

// setAnswerTime sets the time at which the server's answer arrived, if it was read much later.
func (a *Attempt) setAnswerTime(arrived time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answerAt = arrived
}

// withhold ends an attempt that must not write its request, and gives its connection back. The connection is still unused, so another
// request can use it unless it was closed by an abort or its server was withdrawn.
func (a *Attempt) withhold(c *conn, reason error) {
	switch attached := a.detach(); {
	case !attached:
		a.pool.close(c, closeAborted, nil)
	case errors.Is(reason, engine.ErrWithdrawn):
		a.pool.close(c, closeAddressGone, nil)
	default:
		a.pool.putUnused(c)
	}
	a.reportCompletion(notSent(reason))
}

// connectOutcome returns the outcome of an attempt for which no connection could be acquired.
func connectOutcome(err error) balancer.Outcome {
	if isLocalFailure(err) { // must not count towards ejecting the server
		return balancer.NotSent
	}
	return balancer.Unreachable
}

// notSent returns the completion of an attempt that did not write the complete request because of this node or the client, not
// because of the server.
func notSent(reason error) engine.Completion {
	return engine.Completion{Outcome: balancer.NotSent, ClientDisconnected: errors.Is(reason, engine.ErrClientDisconnected)}
}

// attach stores the connection so that Abort can close it. It reports false if the attempt was already aborted.
func (a *Attempt) attach(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.transmission.Aborted() {
		return false
	}
	a.conn = c
	return true
}

// detach clears the connection so that Abort no longer closes it. It reports false if Abort has already closed it.
func (a *Attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.transmission.Aborted()
}

// roundTrip writes the request, reads the response and reports the completion. It then returns the connection to the pool or
// closes it, unless a Stream takes the connection over.
func (a *Attempt) roundTrip(c *conn) {
	var err error
	resp := fasthttp.AcquireResponse()
	reason := closePanic // stays only if a panic skips the assignments below
	streamed := false    // a Stream now owns the connection and resp
	defer func() {
		if streamed {
			return
		}
		resp.Reset() // releases the body stream, which reads from the connection
		fasthttp.ReleaseResponse(resp)
		a.pool.finish(c, reason, err)
	}()
	var received response
	var readReason closeReason
	received, readReason, err = a.exchange(c, resp)
	result := a.completion(resp, received.body, readReason, err)
	if waited := c.bufferTimeOfAnswer; waited > 0 {
		a.setAnswerTime(time.Now().Add(-waited))
	}
	if result.Outcome == balancer.OK {
		a.pool.recordAnswer(c, c.answerAt.Sub(c.writtenAt))
	}
	if !a.detach() {
		reason = closeAborted
		a.reportCompletion(result)
		return
	}
	switch {
	case received.rest == nil:
		reason = readReason
	case result.Outcome == balancer.OK:
		streamed = true
		result.Remaining = received.rest
	default: // the body of an error response is not forwarded, so the rest is not read
		reason = closeAborted
	}
	a.reportCompletion(result)
}

// exchange writes the request and reads the response. The closeReason is the constant reusable if the connection can be reused,
// and otherwise the reason for closing it.
func (a *Attempt) exchange(c *conn, resp *fasthttp.Response) (response, closeReason, error) {
	c.requests++
	c.listRevision = a.listRevision
	c.bufferTimeOfAnswer = 0
	if err := a.write(c); err != nil {
		a.transmission.Revoke() // the last byte was not written
		return response{}, closeWriteFailed, err
	}
	c.writtenAt = time.Now()
	a.pool.options.Counters.Attempts.Written.Inc()
	a.transmission.Request.NotifyWritten()
	return a.pool.readResponse(c, resp)
}

// write writes the request. A server starts to process a request only after it has received all of it, so an attempt that is
// aborted before the last chunk of a large body is written cannot have run.
func (a *Attempt) write(c *conn) error {
	request := &a.transmission.Request
	if _, err := c.Write(request.Encoded()); err != nil || request.Body == nil {
		return err
	}
	return request.Body.ForEachChunk(func(chunk []byte, last bool) error {
		if last {
			if err := a.transmission.Commit(c.addr, c.delay); err != nil {
				return err
			}
			a.mu.Lock()
			a.startTime = time.Now() // the server cannot start earlier
			a.mu.Unlock()
		}
		_, err := c.Write(chunk)
		return err
	})
}

// completion returns the completion of an attempt after exchange has returned.
func (a *Attempt) completion(resp *fasthttp.Response, body []byte, reason closeReason, err error) engine.Completion {
	switch reason {
	case closeWriteFailed:
		if isLocalWriteError(err) {
			return notSent(err)
		}
		return engine.Completion{Outcome: balancer.Unreachable}
	case closeReset, closeBadResponse:
		return engine.Completion{Outcome: balancer.ConnectionLost}
	}
	result := engine.Completion{Outcome: classifyResponse(resp), Report: a.pool.parseLoad(resp.Header.Peek(headerLoad), false)}
	if result.Outcome == balancer.OK {
		result.Body = body
	}
	return result
}

// isLocalWriteError reports whether writing a request failed because of this node or the client, not because of the server: the
// large body could not be read from its storage, or its last chunk was withheld.
func isLocalWriteError(err error) bool {
	return errors.Is(err, body.ErrNoCapacity) || errors.Is(err, body.ErrStorage) || engine.WasWithheld(err)
}

// reportCompletion calls done with the completion, unless the attempt was aborted.
func (a *Attempt) reportCompletion(result engine.Completion) {
	a.mu.Lock()
	startTime := a.startTime
	answerAt := a.answerAt
	a.mu.Unlock()
	if a.transmission.Aborted() {
		a.pool.options.Counters.Attempts.Late.Inc()
		if result.Remaining != nil {
			result.Remaining.Close()
		}
		return
	}
	if answerAt.IsZero() {
		answerAt = time.Now()
	}
	result.Elapsed = clock.Millis(max(0, answerAt.Sub(startTime)))
	a.done(result)
}

// headerNotRun is the response header that a server sets to 1 if it answers 503 or 504 without having run the request.
const headerNotRun = "X-Not-Run"

// classifyResponse returns the outcome for a response. A 503 or 504 without headerNotRun counts as Errored, because
// the server may have run the request.
func classifyResponse(resp *fasthttp.Response) balancer.Outcome {
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return balancer.OK
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		if string(resp.Header.Peek(headerNotRun)) == "1" {
			return balancer.Overloaded
		}
	}
	return balancer.Errored
}
