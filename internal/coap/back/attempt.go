package back

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/engine"
	"tackhub.example/tackhub/internal/socket"
)

// The counter keys of attempts that were not sent.
const (
	outcomeUnsent        = "unsent"
	outcomeInexpressible = "inexpressible" // CoAP cannot express the request
)

// inexpressibleLogInterval is the shortest time between two log lines about requests that CoAP cannot express.
const inexpressibleLogInterval = 10 * time.Second

// outcomeKeys maps each outcome to its counter key.
var outcomeKeys = map[balancer.Outcome]string{
	balancer.OK:             "ok",
	balancer.Errored:        "error",
	balancer.Overloaded:     "turned_away",
	balancer.TimedOut:       "timed_out",
	balancer.Unreachable:    "unreachable",
	balancer.ConnectionLost: "broken",
	balancer.NotSent:        outcomeUnsent,
}

// attempt is one transmission of a request to a server. The completion of an aborted attempt is not reported.
type attempt struct {
	cancel       context.CancelFunc
	transmission engine.Transmission
	address      string // of the server, as in the endpoint list
}

// Abort cancels the attempt and reports whether the server may have received the whole request.
func (a *attempt) Abort() bool {
	mayHaveRun := a.transmission.Abort()
	a.cancel()
	return mayHaveRun
}

// run sends an attempt and waits for its completion.
func (t *Transport) run(ctx context.Context, server balancer.ServerID, a *attempt) engine.Completion {
	address, ok := t.options.Resolver.Address(server)
	if !ok {
		return t.notSent(engine.ErrWithdrawn)
	}
	a.address = address
	request, body, err := convertRequest(a.transmission.Request.Encoded())
	if err != nil {
		t.recordInexpressible(err)
		undeliverable := t.options.OnlyCoap != nil && t.options.OnlyCoap()
		return engine.Completion{Outcome: balancer.NotSent, Undeliverable: undeliverable}
	}
	conn, err := t.acquire(strings.TrimPrefix(address, Scheme))
	if err != nil {
		outcome := acquireOutcome(err)
		t.options.Count.Outcomes.Inc(outcomeKeys[outcome])
		return engine.Completion{Outcome: outcome}
	}
	defer conn.release()
	response, responseBody, err := conn.sendRequest(ctx, request, body, a)
	if engine.WasWithheld(err) {
		return t.notSent(err)
	}
	completion := t.complete(response, responseBody, err, a)
	t.options.Count.Outcomes.Inc(outcomeKeys[completion.Outcome])
	return completion
}

// recordInexpressible counts a request that cannot be converted to a CoAP message. It logs the first one, and then at most one in
// inexpressibleLogInterval.
func (t *Transport) recordInexpressible(reason error) {
	t.options.Count.Outcomes.Inc(outcomeInexpressible)
	t.mu.Lock()
	due := t.inexpressibleLoggedAt.IsZero() || time.Since(t.inexpressibleLoggedAt) >= inexpressibleLogInterval
	if due {
		t.inexpressibleLoggedAt = time.Now()
	}
	t.mu.Unlock()
	if due {
		t.options.Log.Warn("request cannot be converted to CoAP", "code", "coap_request",
			"error", reason, "requests", t.options.Count.Outcomes.Get(outcomeInexpressible))
	}
}

// notSent counts and returns the completion of an attempt that sent nothing because of this node, its list or the client.
func (t *Transport) notSent(reason error) engine.Completion {
	t.options.Count.Outcomes.Inc(outcomeUnsent)
	return engine.Completion{Outcome: balancer.NotSent, ClientDisconnected: errors.Is(reason, engine.ErrClientDisconnected)}
}

// acquireOutcome returns the outcome of an attempt or a probe that could not acquire a socket. A limit of this node or
// a failure of its machine is not counted against the server.
func acquireOutcome(err error) balancer.Outcome {
	if errors.Is(err, errTooManyExchanges) || socket.IsLocalFailure(err) {
		return balancer.NotSent
	}
	return balancer.Unreachable
}

// complete returns the completion of an attempt. If the attempt failed, the request may have run only if its last
// block was written.
func (t *Transport) complete(response message.Message, body []byte, err error, a *attempt) engine.Completion {
	if err != nil {
		return engine.Completion{Outcome: failureOutcome(err, a.transmission.MayHaveRun())}
	}
	completion := engine.Completion{Outcome: balancer.Errored}
	if value, ok := wire.Bytes(&response, OptLoad); ok {
		completion.Report = t.options.ParseLoad(value)
	}
	switch {
	case wire.Class(response.Code) == wire.ClassSuccess:
		completion.Outcome = balancer.OK
		completion.Body = body
	case response.Code == codes.ServiceUnavailable: // docs/coap.md: a server returns it only for a request that it has not started
		completion.Outcome = balancer.Overloaded
	}
	return completion
}

// failureOutcome returns the outcome of an attempt without a usable response.
func failureOutcome(err error, written bool) balancer.Outcome {
	switch {
	case errors.Is(err, errPartialUpload): // also if the last block was not written
		return balancer.ConnectionLost
	case errors.Is(err, errRejected), !written: // rejected, or never sent completely: the request has not run
		return balancer.Unreachable
	case errors.Is(err, errNoResponse):
		return balancer.TimedOut
	}
	return balancer.ConnectionLost
}
