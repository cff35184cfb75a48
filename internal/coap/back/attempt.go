package back

import (
	"context"
	"errors"
	"strings"
	"sync"
	"syscall"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/engine"
)

// outcomeUnsent is the counter's key of attempts that were never sent.
const outcomeUnsent = "unsent"

// outcomeKeys are the counter's keys by result.
var outcomeKeys = map[balancer.Result]string{
	balancer.OK:          "ok",
	balancer.Errored:     "error",
	balancer.Overloaded:  "turned_away",
	balancer.TimedOut:    "timed_out",
	balancer.Unreachable: "unreachable",
	balancer.Broken:      "broken",
	balancer.Void:        outcomeUnsent,
}

// attempt is one copy of a request in flight to a server.
type attempt struct {
	cancel context.CancelFunc
	copy   engine.Copy

	mu      sync.Mutex
	written bool // the message that makes the request complete was handed to the socket: from then on it may run
	aborted bool
}

// Abort cancels the attempt and tells whether the server may have got the whole request.
func (a *attempt) Abort() bool {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	return a.written
}

// isAborted tells whether the attempt was cancelled, after which its end is not reported.
func (a *attempt) isAborted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}

// isWritten tells whether the server may have got the whole request.
func (a *attempt) isWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written
}

// markWritten notes that the message goes out that makes the request complete. It does so again when that message is sent
// anew after an Echo challenge; the attempt is counted once.
func (a *attempt) markWritten() {
	a.mu.Lock()
	first := !a.written
	a.written = true
	a.mu.Unlock()
	if first {
		a.copy.Written()
	}
}

// run sends an attempt and waits for its end.
func (t *Transport) run(ctx context.Context, server balancer.ServerID, a *attempt) engine.End {
	address, ok := t.options.Resolver.Address(server)
	if !ok {
		return engine.End{Result: balancer.Unreachable}
	}
	conn, err := t.acquire(strings.TrimPrefix(address, Scheme))
	if err != nil {
		result := acquireResult(err)
		t.options.Count.Outcomes.Inc(outcomeKeys[result])
		return engine.End{Result: result}
	}
	defer conn.release()
	if refused := a.copy.Refused(); refused != nil {
		t.options.Count.Outcomes.Inc(outcomeUnsent)
		return engine.End{Result: balancer.Void, Left: errors.Is(refused, engine.ErrLeft)}
	}
	request, body, err := convertRequest(a.copy.Bytes)
	if err != nil {
		t.options.Log.Error("a request cannot be converted to CoAP", "code", "coap_request", "error", err)
		return engine.End{Result: balancer.Void}
	}
	response, responseBody, err := conn.roundTrip(ctx, request, body, a)
	end := t.end(response, responseBody, err, a)
	t.options.Count.Outcomes.Inc(outcomeKeys[end.Result])
	return end
}

// acquireResult is the result of an attempt that got no socket. A limit of our own is not held against the server.
func acquireResult(err error) balancer.Result {
	if errors.Is(err, errTooManyExchanges) || errors.Is(err, syscall.EMFILE) {
		return balancer.Void
	}
	return balancer.Unreachable
}

// end is what is reported of an attempt. Whether the request may have run depends on whether its last block was written.
func (t *Transport) end(response message.Message, body []byte, err error, a *attempt) engine.End {
	if err != nil {
		return engine.End{Result: failedResult(err, a.isWritten())}
	}
	end := engine.End{Result: balancer.Errored}
	if value, ok := wire.Bytes(&response, OptLoad); ok {
		end.Load = t.options.ParseLoad(value)
	}
	switch {
	case wire.Class(response.Code) == wire.ClassSuccess:
		end.Result = balancer.OK
		end.Body = body
	case response.Code == codes.ServiceUnavailable: // by docs/coap.md a server says so only of what it has not begun
		end.Result = balancer.Overloaded
	}
	return end
}

// failedResult is the result of an attempt without a usable response.
func failedResult(err error, written bool) balancer.Result {
	switch {
	case errors.Is(err, errRejected), !written: // not accepted, or never complete: it has not run
		return balancer.Unreachable
	case errors.Is(err, errNoResponse):
		return balancer.TimedOut
	}
	return balancer.Broken
}
