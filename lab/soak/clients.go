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
	// firstOp numbers the operations of these clients, far above those of the load.
	firstOp = 1 << 40

	// keptEach is how many connections to each node are kept in use all the time.
	keptEach = 6

	// openFor is how long after SIGTERM new connections are opened.
	openFor = 400 * time.Millisecond

	// crossedMost is how long before a connection's end a request may have been written and still count as one that crossed
	// it unread. It holds a standstill of the node and a late rig.
	crossedMost = 250 * time.Millisecond

	// listen is how much longer than its wait a client listens for an answer.
	listen = 300 * time.Millisecond

	// stragglers, halves and silent are the clients of each kind at one stop; crowd is how many say nothing in some runs.
	stragglers, halves, silent, crowd = 16, 4, 4, 150

	dialWait = time.Second
)

// Clients use what a stopping node leaves open: kept connections until they are closed, connections that were opened
// late and send a request later still, half requests, silent connections, crowds.
type Clients struct {
	s     *scenario.Scenario
	crowd bool

	start   time.Time
	quit    chan struct{}
	working sync.WaitGroup
	op      atomic.Int64

	mu          sync.Mutex
	tries       []audit.Attempt
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
	return &Clients{s: s, crowd: s.Seed%3 == 0, quit: make(chan struct{})}
}

// Begin keeps connections to each node in use.
func (c *Clients) Begin(start time.Time, nodes []string) {
	c.start = start
	for node, address := range nodes {
		for i := range keptEach {
			rng := rand.New(rand.NewPCG(c.s.Seed, uint64(node)<<16+uint64(i)))
			c.working.Go(func() { c.keep(rng, node, address) })
		}
	}
}

// StopBegan starts the clients of one planned stop. It does not wait.
func (c *Clients) StopBegan(node int, address string, at time.Time) {
	c.mu.Lock()
	select {
	case <-c.quit: // the run is over
		c.mu.Unlock()
		return
	default:
	}
	defer c.mu.Unlock()
	number := uint64(len(c.stops))
	c.stops = append(c.stops, ObservedStop{Node: node, At: at.Sub(c.start)})
	rng := rand.New(rand.NewPCG(c.s.Seed, 1<<32+number))
	until := at.Add(c.s.KillAfter())
	for range stragglers {
		opens, asks := at.Add(rand64(rng, openFor)), at.Add(openFor+rand64(rng, c.s.KillAfter()-openFor))
		own := rand.New(rand.NewPCG(rng.Uint64(), 1))
		c.working.Go(func() { c.straggle(own, node, address, opens, asks) })
	}
	for range halves {
		opens, rest := at.Add(rand64(rng, openFor)), at.Add(rand64(rng, c.s.KillAfter()))
		own := rand.New(rand.NewPCG(rng.Uint64(), 2))
		c.working.Go(func() { c.half(own, node, address, opens, rest) })
	}
	quiet := silent
	if c.crowd {
		quiet = crowd
	}
	for range quiet {
		opens := at.Add(rand64(rng, openFor))
		c.working.Go(func() { c.saysNothing(address, opens, until) })
	}
}

func rand64(rng *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(max(1, most))))
}

// Attempts ends what is going on and returns what was seen.
func (c *Clients) Attempts() []audit.Attempt {
	c.mu.Lock()
	select {
	case <-c.quit:
	default:
		close(c.quit)
	}
	c.mu.Unlock()
	c.working.Wait()
	return c.tries
}

// ObservedStops are the planned stops that were seen. Call it after Attempts.
func (c *Clients) ObservedStops() []ObservedStop { return c.stops }

// RacedCloses is how many requests were sent while their connection was being closed, unread. Call it after Attempts.
func (c *Clients) RacedCloses() int { return c.racedCloses }

// over waits until a time, and tells whether the run ended before.
func (c *Clients) over(until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return false
	case <-c.quit:
		return true
	}
}

// keep sends a request now and then on one connection for as long as it stays open, and then on the next.
func (c *Clients) keep(rng *rand.Rand, node int, address string) {
	var conn *connection
	for !c.over(time.Now().Add(rand64(rng, 120*time.Millisecond))) {
		if conn == nil {
			var err error
			if conn, err = dial(address); err != nil {
				conn = nil
				continue
			}
		}
		if !c.ask(rng, conn, node) {
			conn.close()
			conn = nil
		}
	}
	if conn != nil {
		conn.close()
	}
}

// straggle opens a connection early in a stop and sends requests on it late.
func (c *Clients) straggle(rng *rand.Rand, node int, address string, opens, asks time.Time) {
	conn := c.openAt(address, opens)
	if conn == nil {
		return
	}
	defer conn.close()
	if !c.over(asks) {
		for c.ask(rng, conn, node) && !c.over(time.Now().Add(rand64(rng, 30*time.Millisecond))) {
			continue
		}
	}
}

// half sends a part of a request, and the rest later.
func (c *Clients) half(rng *rand.Rand, node int, address string, opens, rest time.Time) {
	conn := c.openAt(address, opens)
	if conn == nil {
		return
	}
	defer conn.close()
	op := firstOp + int(c.op.Add(1))
	_, raw := c.request(rng, op)
	cut := 1 + rng.IntN(len(raw)-1)
	if _, err := io.WriteString(conn, raw[:cut]); err != nil || c.over(rest) {
		return
	}
	if answered(conn) { // refused before it was whole, or closed
		return
	}
	c.finish(conn, node, op, raw[cut:])
}

// saysNothing holds a silent connection.
func (c *Clients) saysNothing(address string, opens, until time.Time) {
	conn := c.openAt(address, opens)
	if conn == nil {
		return
	}
	defer conn.close()
	_ = c.over(until)
}

// openAt opens a connection at a time; nil where the run ended before, or no node accepts it.
func (c *Clients) openAt(address string, opens time.Time) *connection {
	if c.over(opens) {
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
	conn, err := net.DialTimeout("tcp", address, dialWait)
	if err != nil {
		return nil, err
	}
	return &connection{conn, bufio.NewReaderSize(conn, 2048)}, nil
}

func (c *connection) close() { _ = c.Close() }

// answered tells whether something has come on a connection on which nothing was requested, or its end.
func answered(c *connection) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// ask sends one request and reads its response. It tells whether the connection can be used again.
func (c *Clients) ask(rng *rand.Rand, conn *connection, node int) bool {
	if answered(conn) {
		return false
	}
	op := firstOp + int(c.op.Add(1))
	_, raw := c.request(rng, op)
	return c.finish(conn, node, op, raw)
}

// request is one in the protocol's form, of a random class.
func (c *Clients) request(rng *rand.Rand, op int) (class scenario.Class, raw string) {
	class = c.s.Classes[rng.IntN(len(c.s.Classes))]
	method, more, body := "GET", "", ""
	if class.Effect != "safe" {
		method, body = "POST", strings.Repeat("x", class.Body)
		more = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if class.Effect == "keyed" {
		more += fmt.Sprintf("Idempotency-Key: k%012x\r\n", op)
	}
	raw = fmt.Sprintf("%s /%s?w=%d HTTP/1.1\r\nHost: lab\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t000\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
		method, class.Name, class.Work.Microseconds(), backend.AttemptID(op, 0), class.Name, class.Deadline.Milliseconds(), more, body)
	return class, raw
}

// finish writes the end of a request and reads its response. It listens equally long for every class: all have one
// deadline.
func (c *Clients) finish(conn *connection, node, op int, raw string) bool {
	t := audit.Attempt{ID: backend.AttemptID(op, 0), Operation: op, Node: node, Effect: audit.Safe}
	_ = conn.SetWriteDeadline(time.Now().Add(dialWait))
	if _, err := io.WriteString(conn, raw); err != nil {
		return false // the end had come before it was whole
	}
	wait := c.s.Classes[0].Deadline
	t.Sent = time.Since(c.start)
	t.Deadline = t.Sent + wait
	_ = conn.SetReadDeadline(time.Now().Add(wait + listen))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := resp.ReadLimitBody(conn.r, 64<<10)
	t.Ended = time.Since(c.start)
	c.note(t, resp, err)
	return err == nil && !resp.ConnectionClose()
}

// note records an attempt. One whose connection ended shortly after it was written may have raced with the close: the
// servers' records tell whether the node had read it.
func (c *Clients) note(t audit.Attempt, resp *fasthttp.Response, err error) {
	switch status := resp.StatusCode(); {
	case err != nil && t.Ended-t.Sent < crossedMost:
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
	c.tries = append(c.tries, t)
}
