package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/scenario"
)

const (
	// firstOperation precedes the operation numbers of these clients. It is far above the numbers that the load generator uses.
	firstOperation = 1 << 40

	// reusedConnsPerNode is how many connections to each node send requests during the whole run.
	reusedConnsPerNode = 6

	// newConnWindow is how long after SIGTERM clients open new connections.
	newConnWindow = 400 * time.Millisecond

	// closeRaceWindow is the time after the writing of a request within which the end of its connection may be a race: the node
	// may have closed the connection before it read the request. It allows for a suspension of the node and a delay of the lab.
	closeRaceWindow = 250 * time.Millisecond

	// lateResponseWindow is how much longer than the request's deadline a client waits for a response.
	lateResponseWindow = 300 * time.Millisecond

	// The number of clients of each kind at one planned stop.
	lateRequestClients    = 16
	partialRequestClients = 4
	silentClients         = 4

	// manySilentClients replaces silentClients in the runs whose seed is divisible by 3.
	manySilentClients = 150

	// dialTimeout limits the time to open a connection, and the time to write a request.
	dialTimeout = time.Second
)

// Clients use every kind of connection that a stopping node has to handle: reused connections until the node closes them,
// connections that are opened after SIGTERM and send requests later, requests sent in two parts, and few or many connections
// that send nothing.
type Clients struct {
	scenario      *scenario.Scenario
	hasManySilent bool

	start         time.Time
	done          chan struct{}
	running       sync.WaitGroup
	lastOperation atomic.Int64

	mu          sync.Mutex
	breaches    []audit.Breach
	attempts    []audit.Attempt
	stops       []ObservedStop
	racedCloses int
}

// ObservedStop is a planned stop that the clients were notified of.
type ObservedStop struct {
	Node int
	At   time.Duration
}

// NewClients returns the clients of a run.
func NewClients(s *scenario.Scenario) *Clients {
	return &Clients{scenario: s, hasManySilent: s.Seed%3 == 0, done: make(chan struct{})}
}

// Begin starts the clients that reuse connections to each node.
func (c *Clients) Begin(start time.Time, nodes []string) {
	c.start = start
	if c.scenario.Clients.Pressure {
		c.beginPressure(nodes)
	}
	for node, address := range nodes {
		for i := range reusedConnsPerNode {
			rng := rand.New(rand.NewPCG(c.scenario.Seed, uint64(node)<<16+uint64(i)))
			c.running.Go(func() { c.reuseConnections(rng, node, address) })
		}
	}
}

// StopBegan starts the clients of one planned stop. It does not wait.
func (c *Clients) StopBegan(node int, address string, at time.Time) {
	c.mu.Lock()
	select {
	case <-c.done: // the run is over
		c.mu.Unlock()
		return
	default:
	}
	defer c.mu.Unlock()
	stopNumber := uint64(len(c.stops))
	c.stops = append(c.stops, ObservedStop{Node: node, At: at.Sub(c.start)})
	rng := rand.New(rand.NewPCG(c.scenario.Seed, 1<<32+stopNumber))
	until := at.Add(c.scenario.KillAfter())
	for range lateRequestClients {
		connectAt, requestAt := at.Add(randomDuration(rng, newConnWindow)),
			at.Add(newConnWindow+randomDuration(rng, c.scenario.KillAfter()-newConnWindow))
		clientRand := rand.New(rand.NewPCG(rng.Uint64(), 1))
		c.running.Go(func() { c.requestLate(clientRand, node, address, connectAt, requestAt) })
	}
	for range partialRequestClients {
		connectAt, restAt := at.Add(randomDuration(rng, newConnWindow)), at.Add(randomDuration(rng, c.scenario.KillAfter()))
		clientRand := rand.New(rand.NewPCG(rng.Uint64(), 2))
		c.running.Go(func() { c.sendInParts(clientRand, node, address, connectAt, restAt) })
	}
	silentCount := silentClients
	if c.hasManySilent {
		silentCount = manySilentClients
	}
	for range silentCount {
		connectAt := at.Add(randomDuration(rng, newConnWindow))
		c.running.Go(func() { c.holdSilentConnection(address, connectAt, until) })
	}
}

// randomDuration returns a random duration below a limit.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(max(1, limit))))
}

// Attempts stops all clients and returns the attempts that they observed.
func (c *Clients) Attempts() []audit.Attempt {
	c.mu.Lock()
	select {
	case <-c.done:
	default:
		close(c.done)
	}
	c.mu.Unlock()
	c.running.Wait()
	return c.attempts
}

// Breaches returns the responses that were cut off.
func (c *Clients) Breaches() []audit.Breach { return c.breaches }

// ObservedStops returns the observed planned stops. Call it after Attempts.
func (c *Clients) ObservedStops() []ObservedStop { return c.stops }

// RacedCloses returns the number of requests whose connection ended within closeRaceWindow after they were written. Call it
// after Attempts.
func (c *Clients) RacedCloses() int { return c.racedCloses }

// runEndsBefore waits until a time or the end of the run, and reports whether the run ended first.
func (c *Clients) runEndsBefore(until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-c.done:
		return true
	}
}

// reuseConnections sends requests on one connection, up to 120 ms apart, until it is closed, and then opens the next one.
func (c *Clients) reuseConnections(rng *rand.Rand, node int, address string) {
	var conn *connection
	for !c.runEndsBefore(time.Now().Add(randomDuration(rng, 120*time.Millisecond))) {
		if conn == nil {
			var err error
			if conn, err = dial(address); err != nil {
				conn = nil
				continue
			}
		}
		if !c.roundTrip(rng, conn, node) {
			conn.close()
			conn = nil
		}
	}
	if conn != nil {
		conn.close()
	}
}

// requestLate opens a connection early in a planned stop and sends requests on it later in the stop.
func (c *Clients) requestLate(rng *rand.Rand, node int, address string, connectAt, requestAt time.Time) {
	conn := c.dialAt(address, connectAt)
	if conn == nil {
		return
	}
	defer conn.close()
	if !c.runEndsBefore(requestAt) {
		for c.roundTrip(rng, conn, node) && !c.runEndsBefore(time.Now().Add(randomDuration(rng, 30*time.Millisecond))) {
			continue
		}
	}
}

// sendInParts sends the beginning of a request, and the rest later in the planned stop.
func (c *Clients) sendInParts(rng *rand.Rand, node int, address string, connectAt, restAt time.Time) {
	conn := c.dialAt(address, connectAt)
	if conn == nil {
		return
	}
	defer conn.close()
	request := c.newRequest(rng)
	split := 1 + rng.IntN(len(request.raw)-1)
	if _, err := io.WriteString(conn, request.raw[:split]); err != nil || c.runEndsBefore(restAt) {
		return
	}
	if hasPendingInput(conn) { // the node rejected the incomplete request or closed the connection
		return
	}
	c.finishRequest(conn, node, request, split)
}

// holdSilentConnection opens a connection at connectAt and keeps it open until the given time without sending anything.
func (c *Clients) holdSilentConnection(address string, connectAt, until time.Time) {
	conn := c.dialAt(address, connectAt)
	if conn == nil {
		return
	}
	defer conn.close()
	_ = c.runEndsBefore(until)
}

// dialAt opens a connection at the given time. It returns nil if the run ends first or the connection is not accepted.
func (c *Clients) dialAt(address string, connectAt time.Time) *connection {
	if c.runEndsBefore(connectAt) {
		return nil
	}
	conn, err := dial(address)
	if err != nil {
		return nil
	}
	return conn
}

// connection is a client connection with a buffered reader.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection to a node.
func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{conn, bufio.NewReaderSize(conn, 2048)}, nil
}

func (c *connection) close() { _ = c.Close() }

// hasPendingInput reports whether the node has sent data on a connection without a request in flight, or has closed it. It
// waits up to 1 ms.
func hasPendingInput(c *connection) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// roundTrip sends one request and reads its response. It reports whether the connection can be reused.
func (c *Clients) roundTrip(rng *rand.Rand, conn *connection, node int) bool {
	if hasPendingInput(conn) {
		return false
	}
	return c.finishRequest(conn, node, c.newRequest(rng), 0)
}

// request is an HTTP/1.1 request.
type request struct {
	operation int
	class     scenario.Class
	raw       string
}

// newRequest returns a request of a random class.
func (c *Clients) newRequest(rng *rand.Rand) request {
	return c.newRequestOf(c.scenario.Classes[rng.IntN(len(c.scenario.Classes))])
}

// newRequestOf returns a request of a class.
func (c *Clients) newRequestOf(class scenario.Class) request {
	operation := firstOperation + int(c.lastOperation.Add(1))
	method, headers, body := "GET", "", ""
	if class.Effect != scenario.EffectSafe {
		method, body = "POST", strings.Repeat("x", class.Body)
		headers = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if class.Effect == scenario.EffectKeyed {
		headers += fmt.Sprintf("Idempotency-Key: k%012x\r\n", operation)
	}
	raw := fmt.Sprintf("%s /%s?w=%d HTTP/1.1\r\nHost: lab\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t000\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
		method, class.Name, class.Work.Microseconds(), backend.AttemptID(operation, 0), class.Name, class.Deadline.Milliseconds(), headers, body)
	return request{operation: operation, class: class, raw: raw}
}

// finishRequest writes a request from the given offset on and reads its response, until lateResponseWindow after its deadline. It
// reports whether the connection can be reused.
func (c *Clients) finishRequest(conn *connection, node int, r request, offset int) bool {
	attempt := audit.Attempt{ID: backend.AttemptID(r.operation, 0), Operation: r.operation, Node: node, Effect: audit.EffectOf(r.class.Effect)}
	_ = conn.SetWriteDeadline(time.Now().Add(dialTimeout))
	if _, err := io.WriteString(conn, r.raw[offset:]); err != nil {
		return false // the connection ended before the request was complete
	}
	deadline := r.class.Deadline
	attempt.Sent = time.Since(c.start)
	attempt.Deadline = attempt.Sent + deadline
	_ = conn.SetReadDeadline(time.Now().Add(deadline + lateResponseWindow))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := resp.ReadLimitBody(conn.reader, 64<<10)
	attempt.Ended = time.Since(c.start)
	c.record(attempt, resp, err)
	return err == nil && !resp.ConnectionClose()
}

// record records an attempt. If the connection ended shortly after the request was written, the node may have closed it
// before it read the request. The audit then uses the servers' records to decide whether the node had read the request.
func (c *Clients) record(attempt audit.Attempt, resp *fasthttp.Response, err error) {
	switch status := resp.StatusCode(); {
	case err != nil && attempt.Ended-attempt.Sent < closeRaceWindow:
		attempt.Outcome = audit.RacedClose
	case err != nil:
		attempt.Outcome = audit.Lost
	case status == fasthttp.StatusOK:
		attempt.Outcome, attempt.Responses = audit.Served, 1
		id, _, _ := strings.Cut(strings.TrimPrefix(string(resp.Body()), "id="), "&")
		attempt.BodyID = id
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
		attempt.Outcome, attempt.Responses = audit.Rejected, 1
	default:
		attempt.Outcome, attempt.Responses = audit.Failed, 1
	}
	attempt.Status = resp.StatusCode()
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt.Outcome == audit.RacedClose {
		c.racedCloses++
	}
	c.attempts = append(c.attempts, attempt)
}
