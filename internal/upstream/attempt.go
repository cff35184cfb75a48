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

// Attempt is one copy of a request on one connection. It is written once and never resent.
type Attempt struct {
	pool    *Pool
	server  balancer.ServerID
	request engine.OutgoingRequest
	context context.Context // ends with the attempt
	cancel  context.CancelFunc
	done    func(engine.Completion)

	mu         sync.Mutex
	began      time.Time // from which its duration is counted
	conn       *conn     // nil: it has none, or returned it
	mayHaveRun bool      // the server may have received the complete request
	aborted    bool
}

// Send starts to write a copy of a request to a server and does not wait. Done is called once with the completion, unless
// Abort comes first.
func (p *Pool) Send(server balancer.ServerID, request engine.OutgoingRequest, done func(engine.Completion)) *Attempt {
	if request.Body != nil {
		request.Body.Retain()
	}
	a := &Attempt{pool: p, server: server, request: request, began: time.Now(), done: done}
	a.context, a.cancel = context.WithCancel(context.Background())
	go a.run()
	return a
}

// Abort closes the attempt's connection, which frees its descriptor at once. It reports whether the server may have received
// the complete request.
func (a *Attempt) Abort() (mayHaveRun bool) {
	a.mu.Lock()
	a.aborted = true
	c := a.conn
	mayHaveRun = a.mayHaveRun
	a.mu.Unlock()
	a.cancel()
	if c != nil {
		_ = c.Close() // run notices it and frees the reservation
	}
	return mayHaveRun
}

func (a *Attempt) run() {
	defer a.cancel()
	if a.request.Body != nil {
		defer a.request.Body.Release()
	}
	defer a.pool.recoverPanic(func() { a.report(engine.Completion{Outcome: balancer.ConnectionLost}) })
	c, err := a.pool.acquire(a.context, a.server)
	if err != nil {
		a.report(engine.Completion{Outcome: connectOutcome(err)})
		return
	}
	if !a.attach(c) {
		a.pool.close(c, closeAborted, nil)
		return
	}
	if err := a.request.CheckWritable(); err != nil { // the connection came up too late, and can serve another request
		a.detach()
		a.pool.putUnused(c)
		a.report(notSent(err))
		return
	}
	a.roundTrip(c)
}

// connectOutcome is the outcome of an attempt that got no connection.
func connectOutcome(err error) balancer.Outcome {
	if isLocal(err) { // the server must not be ejected for it
		return balancer.NotSent
	}
	return balancer.Unreachable
}

// notSent is the completion of an attempt that was not written completely, for a reason that is not the server's fault.
func notSent(reason error) engine.Completion {
	return engine.Completion{Outcome: balancer.NotSent, ClientDisconnected: errors.Is(reason, engine.ErrClientDisconnected)}
}

// attach puts the connection within Abort's reach. It reports false if the attempt was aborted meanwhile.
func (a *Attempt) attach(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return false
	}
	a.conn = c
	a.mayHaveRun = a.request.Body == nil
	return true
}

// detach takes the connection out of Abort's reach. It reports false if Abort has closed it.
func (a *Attempt) detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.aborted
}

// roundTrip writes the request, reads the response, reports the completion and finishes with the connection.
func (a *Attempt) roundTrip(c *conn) {
	var err error
	resp := fasthttp.AcquireResponse()
	reason := closePanic // unless it is set below
	streamed := false    // a Stream has taken over the connection and resp
	defer func() {
		if streamed {
			return
		}
		resp.Reset() // its body reads from the connection
		fasthttp.ReleaseResponse(resp)
		a.pool.finish(c, reason, err)
	}()
	var got response
	var readReason closeReason
	got, readReason, err = a.exchange(c, resp)
	end := a.completion(resp, got.body, readReason, err)
	if !a.detach() {
		reason = closeAborted
		a.report(end)
		return
	}
	switch {
	case got.rest == nil:
		reason = readReason
	case end.Outcome == balancer.OK:
		streamed = true
		end.Remaining = got.rest
	default: // nobody gets an error's body, so what is left of it is not read
		reason = closeAborted
	}
	a.report(end)
}

// exchange writes the request and reads the response. The reason is why the connection cannot be reused, or
// reusable.
func (a *Attempt) exchange(c *conn, resp *fasthttp.Response) (response, closeReason, error) {
	c.requests++
	if err := a.write(c); err != nil {
		a.mu.Lock()
		a.mayHaveRun = false // the last byte was never written
		a.mu.Unlock()
		return response{}, closeWriteFailed, err
	}
	a.pool.options.Counters.Attempts.Written.Inc()
	a.request.NotifyWritten()
	return a.pool.readResponse(c, resp)
}

// write writes the request. A server begins only with a complete request, so until the last piece of a large body is written
// the attempt can be aborted as one that has not run.
func (a *Attempt) write(c *conn) error {
	if _, err := c.Write(a.request.Bytes); err != nil || a.request.Body == nil {
		return err
	}
	return a.request.Body.ForEachChunk(func(piece []byte, last bool) error {
		if last {
			if err := a.request.CheckWritable(); err != nil {
				return err
			}
			a.mu.Lock()
			a.mayHaveRun = true
			a.began = time.Now() // the server cannot begin before
			a.mu.Unlock()
		}
		_, err := c.Write(piece)
		return err
	})
}

// completion is that of an attempt whose exchange is over.
func (a *Attempt) completion(resp *fasthttp.Response, body []byte, reason closeReason, err error) engine.Completion {
	switch reason {
	case closeWriteFailed:
		if isOwnWriteError(err) {
			return notSent(err)
		}
		return engine.Completion{Outcome: balancer.Unreachable}
	case closeReset, closeBadResponse:
		return engine.Completion{Outcome: balancer.ConnectionLost}
	}
	end := engine.Completion{Outcome: classify(resp), Report: a.pool.parseLoad(resp.Header.Peek(headerLoad), false)}
	if end.Outcome == balancer.OK {
		end.Body = body
	}
	return end
}

// isOwnWriteError reports whether a request was not written completely for a reason of this node's or the client's: its large body
// could not be read from where it is stored, came too late for a retry, or nobody wants it any more.
func isOwnWriteError(err error) bool {
	return errors.Is(err, body.ErrNoCapacity) || errors.Is(err, body.ErrStorage) ||
		errors.Is(err, engine.ErrWriteDeadline) || errors.Is(err, engine.ErrClientDisconnected)
}

// report passes the completion on, unless the attempt was aborted.
func (a *Attempt) report(end engine.Completion) {
	a.mu.Lock()
	aborted := a.aborted
	began := a.began
	a.mu.Unlock()
	if aborted {
		a.pool.options.Counters.Attempts.Late.Inc()
		if end.Remaining != nil {
			end.Remaining.Close()
		}
		return
	}
	end.Elapsed = clock.Millis(time.Since(began))
	a.done(end)
}

// headerNotRun is set to 1 by a server that answers 503 or 504 and has not run the request.
const headerNotRun = "X-Not-Run"

// classify is the outcome that a response stands for. A server that answers 503 or 504 without headerNotRun may have run the
// request.
func classify(resp *fasthttp.Response) balancer.Outcome {
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
