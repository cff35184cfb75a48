package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/netfault"
	"tackhub.example/tackhub/lab/scenario"
)

const (
	// lateWindow is how long a client listens beyond its wait, to tell a late answer from none. The rule counts from the
	// wait; what comes in this time is late.
	lateWindow = 300 * time.Millisecond

	// maxInFlight bounds the requests in hand of the whole rig: beyond it the system is not being loaded but buried, and
	// the run is void.
	maxInFlight = 50_000
)

// Operation is one operation as its client saw it, over all its tries.
type Operation struct {
	Class, Tenant int
	ScheduledAt   time.Duration // when it was to be sent
	SendDelay     time.Duration // by how much the rig was behind
	Ended         time.Duration
	Outcome       audit.Outcome
	Attempts      int
}

// Options are what the clients work with.
type Options struct {
	Scenario      *scenario.Scenario
	Schedule      *scenario.Schedule
	Nodes         []string
	Start         time.Time
	Alive         func(node int) bool          // whether a node's process runs
	StoppingFor   func(node int) time.Duration // for how long a node's planned stop has been going on; nil: not known
	CoapAddresses []string                     // the nodes' CoAP addresses, where the scenario asks over it
}

// Generator is the clients of one run.
type Generator struct {
	options     Options
	pool        *connPool
	links       []*netfault.Link
	freeDevices []chan *device // CoAP devices by node: the free ones

	inFlight atomic.Int64
	pending  sync.WaitGroup

	mu         sync.Mutex
	attempts   []audit.Attempt
	operations []Operation
}

// New makes the clients; nothing is sent before Run.
func New(o Options) *Generator {
	l := &Generator{options: o, links: make([]*netfault.Link, len(o.Nodes))}
	up, down := backend.Impairments(o.Scenario.Links.Clients)
	stalls := o.Scenario.HasFault("clients-stall")
	for i := range l.links {
		if stalls || !up.Clean() || !down.Clean() {
			l.links[i] = netfault.NewLink(up, down, o.Scenario.Seed<<8+uint64(i))
		}
	}
	l.pool = newConnPool(o.Nodes, l.links)
	l.pool.stoppingFor = o.StoppingFor
	l.openDevices()
	return l
}

// ErrOverloaded says that the rig holds more requests than it can.
var ErrOverloaded = errors.New("the rig holds too many open requests")

// Run sends every arrival at its time and waits for the last ending.
func (l *Generator) Run(ctx context.Context) error {
	defer l.pool.close()
	defer l.closeDevices()
	defer l.pending.Wait()
	for i, a := range l.options.Schedule.Arrivals {
		due := l.options.Start.Add(a.At)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if l.inFlight.Load() > maxInFlight {
			return ErrOverloaded
		}
		l.inFlight.Add(1)
		l.pending.Go(func() {
			defer l.inFlight.Add(-1)
			l.runOperation(ctx, i, a)
		})
	}
	return nil
}

// Apply carries out a fault on the clients' links, or ends it.
func (l *Generator) Apply(e scenario.Event) {
	switch e.Kind {
	case "clients-stall":
		backend.ApplyStall(l.links[e.Node], e, netfault.Out, netfault.In)
	case "clients-half-close":
		if !e.Ends {
			l.pool.halfClose(e.Node)
		}
	case "clients-reset":
		if !e.Ends {
			l.pool.reset(e.Node)
		}
	}
}

// Results are all tries and operations that have ended.
func (l *Generator) Results() ([]audit.Attempt, []Operation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts, l.operations
}

// CompletedSince gives the operations that ended after the first n.
func (l *Generator) CompletedSince(n int) []Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Operation(nil), l.operations[n:]...)
}

func (l *Generator) now() time.Duration { return time.Since(l.options.Start) }

// response is what came for one try.
type response struct {
	outcome       audit.Outcome
	status        int
	body          string
	count         int
	closesConn    bool // the node ends the connection with it
	retryAfter    time.Duration
	hasRetryAfter bool
}

// runOperation plays one operation with its tries.
func (l *Generator) runOperation(ctx context.Context, op int, a scenario.Arrival) {
	c := l.options.Scenario.Classes[a.Class]
	out := Operation{Class: a.Class, Tenant: a.Tenant, ScheduledAt: a.At, SendDelay: l.now() - a.At}
	rng := rand.New(rand.NewPCG(a.Random, l.options.Scenario.Seed))
	over := a.At + c.Deadline
	for try := 0; ; try++ {
		left := over - l.now()
		if left <= time.Millisecond {
			break
		}
		var r response
		if l.usesCoap(a) {
			r = l.attemptCoap(ctx, op, try, a, left)
		} else {
			r = l.attempt(ctx, op, try, a, left)
		}
		out.Outcome, out.Attempts = r.outcome, try+1
		wait, again := l.retryDelay(c, r, try, rng)
		if !again || l.now()+wait >= over {
			break
		}
		time.Sleep(wait)
	}
	out.Ended = l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations = append(l.operations, out)
}

// retryDelay tells whether this client tries again, and after what wait. What failed and may have run is tried again only
// where the class is safe to repeat: that is the client's part of the rules.
func (l *Generator) retryDelay(c scenario.Class, r response, try int, rng *rand.Rand) (time.Duration, bool) {
	h := l.options.Scenario.Clients
	if try >= h.Retries || h.Retry == "none" {
		return 0, false
	}
	switch r.outcome {
	case audit.Rejected, audit.NotConnected:
	case audit.Failed, audit.Lost, audit.LinkReset, audit.InTransit:
		if c.Effect != "safe" {
			return 0, false
		}
	default:
		return 0, false
	}
	backoff := time.Duration(float64(h.Backoff) * math.Pow(2, float64(try)) * (0.5 + rng.Float64()))
	switch h.Retry {
	case "now", "ignore":
		return 0, true
	case "follow":
		if r.hasRetryAfter {
			return r.retryAfter, true
		}
	}
	return backoff, true
}

// attempt sends one request and waits for its answer. By the protocol, one that finds its kept connection closed before
// any byte of an answer is sent once more on a new one.
func (l *Generator) attempt(ctx context.Context, op, n int, a scenario.Arrival, left time.Duration) response {
	if ctx.Err() != nil {
		return response{outcome: audit.Cancelled}
	}
	id := backend.AttemptID(op, n)
	c := l.options.Scenario.Classes[a.Class]
	t := audit.Attempt{ID: id, Operation: op, Effect: audit.EffectOf(c.Effect)}
	expires := l.now() + left
	for fresh := false; ; fresh = true {
		conn, err := l.pool.get(a.Random>>8+uint64(n), fresh)
		if err != nil {
			return response{outcome: audit.NotConnected}
		}
		t.Node = conn.node
		reused := conn.used
		t.Deadline = expires
		conn.resetDelay()
		_, err = conn.Write(l.request(id, op, n, a, expires-l.now()))
		t.Sent = l.now()
		var r response
		crossed := err != nil
		if err == nil {
			r, crossed = l.readResponse(conn, a, t)
		}
		// With a node that was killed the lab knows that nothing crossed: what it held may have run, and a client that
		// sent it again would break a rule by itself.
		if crossed && reused && !l.pool.wasReset(conn) && expires > l.now() && (c.Effect == "safe" || l.options.Alive(conn.node)) {
			l.pool.drop(conn)
			continue
		}
		if crossed {
			r.outcome = audit.Lost
		}
		if r.outcome == audit.Lost && l.pool.wasReset(conn) {
			r.outcome = audit.LinkReset
		}
		if r.outcome == audit.Lost && conn.inTransit() {
			r.outcome = audit.InTransit
		}
		t.LinkDelay = conn.linkDelay()
		t.Ended, t.Outcome, t.Responses, t.BodyID, t.Status = l.now(), r.outcome, r.count, r.body, r.status
		if r.outcome == audit.Lost || r.outcome == audit.Cancelled || r.outcome == audit.LinkReset || r.outcome == audit.InTransit || r.closesConn || r.count > 1 {
			l.pool.drop(conn)
		} else {
			l.pool.put(conn)
		}
		l.mu.Lock()
		l.attempts = append(l.attempts, t)
		l.mu.Unlock()
		return r
	}
}

// request is one try in the protocol's form. Its work goes in the query, which reaches the server unchanged.
func (l *Generator) request(id string, op, n int, a scenario.Arrival, left time.Duration) []byte {
	c := l.options.Scenario.Classes[a.Class]
	method := "GET"
	if c.Effect != "safe" {
		method = "POST"
	}
	b := make([]byte, 0, 320+c.Body)
	b = fmt.Appendf(b, "%s /%s?w=%d HTTP/1.1\r\nHost: lab\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: t%03d\r\nX-Deadline-Ms: %d\r\n",
		method, c.Name, a.Work.Microseconds(), id, c.Name, a.Tenant, max(1, left.Milliseconds()))
	if c.Effect == "keyed" {
		b = fmt.Appendf(b, "Idempotency-Key: k%012x\r\n", op)
	}
	if n > 0 && l.options.Scenario.Clients.MarksRetry {
		b = append(b, "X-Retry: 1\r\n"...)
	}
	if method == "POST" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", c.Body)
	}
	b = append(b, "\r\n"...)
	if method == "POST" {
		b = append(b, bytes.Repeat([]byte("x"), c.Body)...)
	}
	return b
}

// readResponse reads the answer; crossed says that the connection ended before any byte of one.
func (l *Generator) readResponse(c *conn, a scenario.Arrival, t audit.Attempt) (r response, crossed bool) {
	until := l.options.Start.Add(t.Deadline + lateWindow)
	if a.CancelAfter > 0 {
		until = l.options.Start.Add(min(t.Sent+a.CancelAfter, t.Deadline))
	}
	_ = c.SetReadDeadline(until)
	_, err := c.r.Peek(1)
	if err != nil {
		var ne net.Error
		timeout := errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
		if timeout && a.CancelAfter > 0 {
			return response{outcome: audit.Cancelled}, false
		}
		return response{outcome: audit.Lost}, !timeout
	}
	_ = c.SetReadDeadline(l.options.Start.Add(t.Deadline + lateWindow))
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, 64<<10); err != nil {
		return response{outcome: audit.Lost}, false
	}
	r = response{status: resp.StatusCode(), count: 1, body: bodyID(resp.Body())}
	switch {
	case r.status == fasthttp.StatusOK:
		r.outcome = audit.Served
	case r.status == fasthttp.StatusServiceUnavailable || r.status == fasthttp.StatusTooManyRequests:
		r.outcome = audit.Rejected
		if s, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64); err == nil {
			r.retryAfter, r.hasRetryAfter = time.Duration(s*float64(time.Second)), true
		}
	default:
		r.outcome = audit.Failed
	}
	r.count += extraResponses(c.r)
	r.closesConn = resp.ConnectionClose()
	return r, false
}

// extraResponses counts the further answers that stand in the connection's buffer: bytes nobody asked for.
func extraResponses(r *bufio.Reader) int {
	if r.Buffered() == 0 {
		return 0
	}
	b, err := r.Peek(r.Buffered())
	if err != nil && !errors.Is(err, io.EOF) {
		return 0
	}
	return max(1, bytes.Count(b, []byte("HTTP/1.1 ")))
}

// bodyID is the request's id that a stand-in server wrote into its answer.
func bodyID(body []byte) string {
	rest, ok := bytes.CutPrefix(body, []byte("id="))
	if !ok {
		return ""
	}
	id, rest, ok := bytes.Cut(rest, []byte("&"))
	if !ok || !bytes.HasPrefix(rest, []byte("server=")) || !bytes.HasSuffix(body, []byte("abcdef")) {
		return ""
	}
	return string(id)
}
