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
	// firstOperation numbers the operations of these clients, far above those of the load.
	firstOperation = 1 << 40

	// keptPerNode is how many connections to each node are kept in use all the time.
	keptPerNode = 6

	// openWindow is how long after SIGTERM new connections are opened.
	openWindow = 400 * time.Millisecond

	// raceWindow is how long before a connection's end a request may have been written and still count as one that raced
	// with it unread. It allows for a suspension of the node and a delay of the lab.
	raceWindow = 250 * time.Millisecond

	// lateWindow is how much longer than its wait a client listens for a response.
	lateWindow = 300 * time.Millisecond

	// The clients of each kind at one stop.
	lateClients    = 16
	partialClients = 4
	silentClients  = 4

	// crowdSize replaces silentClients in some runs.
	crowdSize = 150

	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
)

// Clients use what a stopping node leaves open: kept connections until they are closed, connections that were opened
// late and send a request later still, partial requests, silent connections, crowds.
type Clients struct {
	scenario *scenario.Scenario
	hasCrowd bool

	start         time.Time
	done          chan struct{}
	running       sync.WaitGroup
	lastOperation atomic.Int64

	mu          sync.Mutex
	attempts    []audit.Attempt
	stops       []ObservedStop
	racedCloses int
}

// ObservedStop is a planned stop as the clients saw it.
type ObservedStop struct {
	Node int
	At   time.Duration
}

// NewClients makes the clients of a run.
func NewClients(s *scenario.Scenario) *Clients {
	return &Clients{scenario: s, hasCrowd: s.Seed%3 == 0, done: make(chan struct{})}
}

// Begin keeps connections to each node in use.
func (c *Clients) Begin(start time.Time, nodes []string) {
	c.start = start
	for node, address := range nodes {
		for i := range keptPerNode {
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
	number := uint64(len(c.stops))
	c.stops = append(c.stops, ObservedStop{Node: node, At: at.Sub(c.start)})
	rng := rand.New(rand.NewPCG(c.scenario.Seed, 1<<32+number))
	until := at.Add(c.scenario.KillAfter())
	for range lateClients {
		opens, asks := at.Add(randomSpan(rng, openWindow)), at.Add(openWindow+randomSpan(rng, c.scenario.KillAfter()-openWindow))
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		c.running.Go(func() { c.requestLate(own, node, address, opens, asks) })
	}
	for range partialClients {
		opens, rest := at.Add(randomSpan(rng, openWindow)), at.Add(randomSpan(rng, c.scenario.KillAfter()))
		own := rand.New(rand.NewPCG(rng.Uint64(), 2))
		c.running.Go(func() { c.sendInParts(own, node, address, opens, rest) })
	}
	quiet := silentClients
	if c.hasCrowd {
		quiet = crowdSize
	}
	for range quiet {
		opens := at.Add(randomSpan(rng, openWindow))
		c.running.Go(func() { c.holdSilent(address, opens, until) })
	}
}

func randomSpan(rng *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(max(1, most))))
}

// Attempts ends what is going on and returns what was seen.
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

// ObservedStops are the planned stops that were seen. Call it after Attempts.
func (c *Clients) ObservedStops() []ObservedStop { return c.stops }

// RacedCloses is how many requests were sent while their connection was being closed, unread. Call it after Attempts.
func (c *Clients) RacedCloses() int { return c.racedCloses }

// endedBefore waits until a time, and tells whether the run ended before.
func (c *Clients) endedBefore(until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return false
	case <-c.done:
		return true
	}
}

// reuseConnections sends a request now and then on one connection for as long as it stays open, and then on the next.
func (c *Clients) reuseConnections(rng *rand.Rand, node int, address string) {
	var conn *connection
	for !c.endedBefore(time.Now().Add(randomSpan(rng, 120*time.Millisecond))) {
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

// requestLate opens a connection early in a stop and sends requests on it late.
func (c *Clients) requestLate(rng *rand.Rand, node int, address string, opens, asks time.Time) {
	conn := c.openAt(address, opens)
	if conn == nil {
		return
	}
	defer conn.close()
	if !c.endedBefore(asks) {
		for c.roundTrip(rng, conn, node) && !c.endedBefore(time.Now().Add(randomSpan(rng, 30*time.Millisecond))) {
			continue
		}
	}
}

// sendInParts sends a part of a request, and the rest later.
func (c *Clients) sendInParts(rng *rand.Rand, node int, address string, opens, rest time.Time) {
	conn := c.openAt(address, opens)
	if conn == nil {
		return
	}
	defer conn.close()
	op := firstOperation + int(c.lastOperation.Add(1))
	_, raw := c.newRequest(rng, op)
	cut := 1 + rng.IntN(len(raw)-1)
	if _, err := io.WriteString(conn, raw[:cut]); err != nil || c.endedBefore(rest) {
		return
	}
	if hasInput(conn) { // rejected before it was whole, or closed
		return
	}
	c.complete(conn, node, op, raw[cut:])
}

// holdSilent holds a silent connection.
func (c *Clients) holdSilent(address string, opens, until time.Time) {
	conn := c.openAt(address, opens)
	if conn == nil {
		return
	}
	defer conn.close()
	_ = c.endedBefore(until)
}

// openAt opens a connection at a time; nil where the run ended before, or no node accepts it.
func (c *Clients) openAt(address string, opens time.Time) *connection {
	if c.endedBefore(opens) {
		return nil
	}
	conn, err := dial(address)
	if err != nil {
		return nil
	}
	return conn
}

// connection is one client's connection.
type connection struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{conn, bufio.NewReaderSize(conn, 2048)}, nil
}

func (c *connection) close() { _ = c.Close() }

// hasInput reports whether something has come on a connection on which nothing was requested, or its end.
func hasInput(c *connection) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// roundTrip sends one request and reads its response. It tells whether the connection can be used again.
func (c *Clients) roundTrip(rng *rand.Rand, conn *connection, node int) bool {
	if hasInput(conn) {
		return false
	}
	op := firstOperation + int(c.lastOperation.Add(1))
	_, raw := c.newRequest(rng, op)
	return c.complete(conn, node, op, raw)
}

// newRequest is one in the protocol's form, of a random class.
func (c *Clients) newRequest(rng *rand.Rand, op int) (class scenario.Class, raw string) {
	class = c.scenario.Classes[rng.IntN(len(c.scenario.Classes))]
	method, more, body := "GET", "", ""
	if class.Effect != scenario.EffectSafe {
		method, body = "POST", strings.Repeat("x", class.Body)
		more = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if class.Effect == scenario.EffectKeyed {
		more += fmt.Sprintf("Idempotency-Key: k%012x\r\n", op)
	}
	raw = fmt.Sprintf("%s /%s?w=%d HTTP/1.1\r\nHost: lab\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t000\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
		method, class.Name, class.Work.Microseconds(), backend.AttemptID(op, 0), class.Name, class.Deadline.Milliseconds(), more, body)
	return class, raw
}

// complete writes the end of a request and reads its response. It listens equally long for every class: all have one
// deadline.
func (c *Clients) complete(conn *connection, node, op int, raw string) bool {
	t := audit.Attempt{ID: backend.AttemptID(op, 0), Operation: op, Node: node, Effect: audit.Safe}
	_ = conn.SetWriteDeadline(time.Now().Add(dialTimeout))
	if _, err := io.WriteString(conn, raw); err != nil {
		return false // the connection ended before the request was whole
	}
	wait := c.scenario.Classes[0].Deadline
	t.Sent = time.Since(c.start)
	t.Deadline = t.Sent + wait
	_ = conn.SetReadDeadline(time.Now().Add(wait + lateWindow))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := resp.ReadLimitBody(conn.r, 64<<10)
	t.Ended = time.Since(c.start)
	c.record(t, resp, err)
	return err == nil && !resp.ConnectionClose()
}

// record records an attempt. One whose connection ended shortly after it was written may have raced with the close: the
// servers' records tell whether the node had read it.
func (c *Clients) record(t audit.Attempt, resp *fasthttp.Response, err error) {
	switch status := resp.StatusCode(); {
	case err != nil && t.Ended-t.Sent < raceWindow:
		t.Outcome = audit.RacedClose
	case err != nil:
		t.Outcome = audit.Lost
	case status == fasthttp.StatusOK:
		t.Outcome, t.Responses = audit.Served, 1
		id, _, _ := strings.Cut(strings.TrimPrefix(string(resp.Body()), "id="), "&")
		t.BodyID = id
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
		t.Outcome, t.Responses = audit.Rejected, 1
	default:
		t.Outcome, t.Responses = audit.Failed, 1
	}
	t.Status = resp.StatusCode()
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Outcome == audit.RacedClose {
		c.racedCloses++
	}
	c.attempts = append(c.attempts, t)
}
