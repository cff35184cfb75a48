// Package back sends requests to servers that speak CoAP (RFC 7252). The addresses of such servers in an endpoint list
// start with coap://. The transport converts the bytes that would be sent to an HTTP server, and reports the same
// outcomes as for an HTTP server. Its caller selects the server.
package back

import (
	"context"
	"log/slog"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/engine"
)

// Scheme is the prefix of the address of a server that speaks CoAP.
const Scheme = "coap://"

// idleTimeout is how long the socket to a server stays open without a request.
const idleTimeout = time.Minute

// Options configures a Transport.
type Options struct {
	Resolver     engine.Resolver // its addresses include the scheme
	OnlyCoap     func() bool     // reports whether all listed servers speak CoAP; nil: not known
	MaxExchanges int             // exchanges in flight to one server: NSTART of RFC 7252, 4.7
	// RetransmitWindow is how long after its first transmission a message may be retransmitted. A server that starts
	// draining in the meantime must not receive the message after the drain grace has ended.
	RetransmitWindow time.Duration
	ParseLoad        func([]byte) balancer.LoadReport // reads the value of OptLoad
	Log              *slog.Logger
	Count            *counters.CoapServers
}

// Transport sends attempts and health probes to CoAP servers. It has one socket for each server in use.
type Transport struct {
	options Options

	mu    sync.Mutex
	conns map[string]*serverConn // by the server's address

	inexpressibleLoggedAt time.Time // of the latest log line about a request that CoAP cannot express
}

// New returns a transport without sockets.
func New(o Options) *Transport {
	return &Transport{options: o, conns: map[string]*serverConn{}}
}

// Handles reports whether a server speaks CoAP.
func (t *Transport) Handles(server balancer.ServerID) bool {
	address, ok := t.options.Resolver.Address(server)
	return ok && strings.HasPrefix(address, Scheme)
}

// Send starts an attempt. done is called once, from another goroutine, unless the attempt is aborted first.
func (t *Transport) Send(server balancer.ServerID, request engine.OutgoingRequest, done func(engine.Completion)) engine.Attempt {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{cancel: cancel, transmission: engine.Transmission{Request: request, Resolver: t.options.Resolver, Server: server}}
	if request.Body != nil { // the body exceeds maxBody, the limit of this transport; another server may accept the request
		cancel()
		t.options.Count.Outcomes.Inc(outcomeUnsent)
		go done(engine.Completion{Outcome: balancer.NotSent})
		return a
	}
	started := time.Now()
	go func() {
		defer cancel()
		completion := t.runRecovered(ctx, server, a)
		completion.Elapsed = clock.Millis(time.Since(started))
		if !a.transmission.Aborted() {
			done(completion)
		}
	}()
	return a
}

// runRecovered runs an attempt. After a panic the completion follows from what was sent until then.
func (t *Transport) runRecovered(ctx context.Context, server balancer.ServerID, a *attempt) (completion engine.Completion) {
	defer recoverPanic(t.options.Log, func() {
		completion = engine.Completion{Outcome: failureOutcome(errPanic, a.transmission.MayHaveRun())}
		t.options.Count.Outcomes.Inc(outcomeKeys[completion.Outcome])
	})
	return t.run(ctx, server, a)
}

// recoverPanic recovers from a panic, logs it and calls onPanic. It must be deferred.
func recoverPanic(log *slog.Logger, onPanic func()) {
	p := recover()
	if p == nil {
		return
	}
	log.Error("panic while exchanging messages with a server", "code", "coap_panic", "panic", p, "stack", string(debug.Stack()))
	onPanic()
}

// Probe pings a server (RFC 7252, 4.3): a reset shows that it is alive. done is called once, from another goroutine.
func (t *Transport) Probe(server balancer.ServerID, within time.Duration, done func(engine.Completion)) {
	started := time.Now()
	go func() {
		completion := engine.Completion{Outcome: t.ping(server, within)}
		completion.Elapsed = clock.Millis(time.Since(started))
		done(completion)
	}()
}

// ping returns the outcome of a health probe.
func (t *Transport) ping(server balancer.ServerID, within time.Duration) balancer.Outcome {
	address, ok := t.options.Resolver.Address(server)
	if !ok {
		return balancer.NotSent
	}
	conn, err := t.acquire(strings.TrimPrefix(address, Scheme))
	if err != nil {
		return acquireOutcome(err)
	}
	defer conn.release()
	if engine.CheckOffered(t.options.Resolver, server, address) != nil {
		return balancer.NotSent
	}
	return conn.ping(within)
}

// acquire reserves an exchange on the socket to a server, and opens the socket if there is none. The caller must
// release the exchange. The error is errTooManyExchanges at the limit, otherwise that of the socket.
func (t *Transport) acquire(address string) (*serverConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeIdle()
	conn := t.conns[address]
	if conn == nil {
		opened, err := dial(address, t.options)
		if err != nil {
			return nil, err
		}
		conn = opened
		t.conns[address] = conn
		go conn.readLoop()
	}
	if err := conn.reserve(); err != nil {
		return nil, err
	}
	return conn, nil
}

// closeIdle closes the sockets that have not been used for idleTimeout. The caller holds the lock.
func (t *Transport) closeIdle() {
	for address, conn := range t.conns {
		if conn.isIdle() {
			delete(t.conns, address)
			_ = conn.socket.Close() // ends its readLoop
		}
	}
}
