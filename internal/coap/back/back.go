// Package back sends requests to servers that speak CoAP, listed by the scheme coap:// in an inventory. It takes the same
// bytes that go to HTTP servers and gives the same outcomes; which server gets a request is not its business.
package back

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/engine"
)

// Scheme begins the address of a server that speaks CoAP.
const Scheme = "coap://"

// The options by which a server hears what HTTP's fields tell, and reports its load. They are elective (even), from the range
// for experiments of RFC 7252, 12.2: a server that does not know them serves all the same.
const (
	OptRequestID      message.OptionID = 65002
	OptDeadline       message.OptionID = 65004 // milliseconds
	OptIdempotencyKey message.OptionID = 65006
	OptClass          message.OptionID = 65008
	OptLoad           message.OptionID = 65012 // as X-Load
)

const (
	// ackTimeout is when a message is sent again. The standard's 2 s is for links that nobody knows; these servers stand
	// in our own halls, and requests live for some hundred milliseconds (RFC 7252, 4.8.1 lets it be set).
	ackTimeout = 150 * time.Millisecond

	maxRetransmit = 4

	// maxBody is the node's bound on bodies.
	maxBody = 64 << 10

	// idleMost is how long a server's socket stays without a request.
	idleMost = time.Minute

	readBuffer = 64 << 10
)

// Addresses tells where servers listen.
type Resolver interface {
	Address(balancer.ServerID) (string, bool)
}

// Options are what a back works with.
type Options struct {
	Resolver         Resolver
	MaxExchanges     int           // exchanges out to one server (RFC 7252, 4.7)
	RetransmitWindow time.Duration // no message is sent again later than this after its first sending: a drain told meanwhile must hold
	ParseLoad        func([]byte) balancer.Load
	Log              *slog.Logger
	Count            *counters.CoapBack
}

// Back sends to CoAP servers.
type Transport struct {
	o Options

	mu    sync.Mutex
	peers map[string]*peer
}

// New makes a back.
func New(o Options) *Transport { return &Transport{o: o, peers: map[string]*peer{}} }

// peer is one server's socket. It is connected, so that a port where nobody listens is told by the kernel.
type peer struct {
	b    *Transport
	addr string
	conn *net.UDPConn

	mu    sync.Mutex
	id    uint16
	token uint64
	waits map[string]chan arrival // by token
	byID  map[uint16]chan arrival
	out   int // attempts
	used  time.Time
}

// arrival is what came for an exchange: a message, or that there is nobody.
type arrival struct {
	m       message.Message
	refused bool
}

var (
	errFull    = errors.New("too many exchanges are out to the server")
	errNobody  = errors.New("nobody listens")
	errReset   = errors.New("the server does not take the message")
	errNothing = errors.New("no answer")
)

// Speaks tells whether a server speaks CoAP.
func (b *Transport) Handles(server balancer.ServerID) bool {
	addr, ok := b.o.Resolver.Address(server)
	return ok && strings.HasPrefix(addr, Scheme)
}

// attempt is one copy of a request on its way.
type attempt struct {
	cancel context.CancelFunc
	mu     sync.Mutex
	wrote  bool
	copy   engine.Copy
	over   bool
}

// Abort gives it up and tells whether the server may have got it whole.
func (a *attempt) Abort() bool {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	return a.wrote
}

// Send starts an attempt. Done is called once, unless Abort comes first.
func (b *Transport) Send(server balancer.ServerID, c engine.Copy, done func(engine.End)) engine.Attempt {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{cancel: cancel, copy: c}
	if c.Body != nil { // over the 64 KiB that CoAP keeps to here: another server may take it
		cancel()
		b.o.Count.Outcomes.Inc("unsent")
		go done(engine.End{Result: balancer.Void})
		return a
	}
	began := time.Now()
	go func() {
		defer cancel()
		end := b.run(ctx, server, c.Bytes, a)
		end.Elapsed = clock.Millis(time.Since(began))
		a.mu.Lock()
		over := a.over
		a.mu.Unlock()
		if !over {
			done(end)
		}
	}()
	return a
}

func (b *Transport) run(ctx context.Context, server balancer.ServerID, raw []byte, a *attempt) engine.End {
	addr, ok := b.o.Resolver.Address(server)
	if !ok {
		return engine.End{Result: balancer.Unreachable}
	}
	p, err := b.take(strings.TrimPrefix(addr, Scheme))
	switch {
	case errors.Is(err, errFull) || errors.Is(err, syscall.EMFILE):
		b.o.Count.Outcomes.Inc("unsent")
		return engine.End{Result: balancer.Void} // our own limit: not held against the server
	case err != nil:
		b.o.Count.Outcomes.Inc("unreachable")
		return engine.End{Result: balancer.Unreachable}
	}
	defer p.release()
	if refused := a.copy.Refused(); refused != nil {
		b.o.Count.Outcomes.Inc("unsent")
		return engine.End{Result: balancer.Void, Left: errors.Is(refused, engine.ErrLeft)}
	}
	m, body, err := request(raw)
	if err != nil {
		b.o.Log.Error("a request cannot be put into CoAP", "code", "coap_request", "error", err)
		return engine.End{Result: balancer.Void}
	}
	got, whole, err := p.ask(ctx, m, body, a)
	end := b.outcome(got, whole, err, a)
	b.o.Count.Outcomes.Inc(names[end.Result])
	return end
}

var names = map[balancer.Result]string{balancer.OK: "ok", balancer.Errored: "error", balancer.Overloaded: "turned_away", balancer.TimedOut: "timed_out",
	balancer.Unreachable: "unreachable", balancer.Broken: "broken", balancer.Void: "unsent"}

// outcome is what the module hears. Whether the request may have run hangs on whether its last block was written.
func (b *Transport) outcome(m message.Message, whole []byte, err error, a *attempt) engine.End {
	a.mu.Lock()
	wrote := a.wrote
	a.mu.Unlock()
	if err != nil {
		switch {
		case errors.Is(err, errReset), !wrote: // it was not taken, or never whole
			return engine.End{Result: balancer.Unreachable}
		case errors.Is(err, errNothing):
			return engine.End{Result: balancer.TimedOut}
		}
		return engine.End{Result: balancer.Broken}
	}
	end := engine.End{Result: balancer.Errored}
	if text, ok := wire.Bytes(&m, OptLoad); ok {
		end.Load = b.o.ParseLoad(text)
	}
	switch {
	case m.Code>>5 == 2:
		end.Result, end.Body = balancer.OK, whole
	case m.Code == codes.ServiceUnavailable: // by docs/coap.md a server says so only of what it has not begun
		end.Result = balancer.Overloaded
	}
	return end
}

// request puts the bytes of an HTTP request into a message without type, id and token.
func request(raw []byte) (message.Message, []byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	if err := req.Read(bufio.NewReaderSize(bytes.NewReader(raw), len(raw)+16)); err != nil {
		return message.Message{}, nil, err
	}
	m := message.Message{Code: codes.GET}
	if !req.Header.IsGet() {
		m.Code = codes.POST
	}
	add := func(id message.OptionID, v []byte) {
		if len(v) > 0 {
			m.Options = m.Options.Add(message.Option{ID: id, Value: bytes.Clone(v)})
		}
	}
	for _, part := range bytes.Split(bytes.Trim(req.URI().Path(), "/"), []byte("/")) {
		add(message.URIPath, part)
	}
	for k, v := range req.URI().QueryArgs().All() {
		add(message.URIQuery, append(append(bytes.Clone(k), '='), v...))
	}
	add(OptRequestID, req.Header.Peek("X-Request-Id"))
	add(OptDeadline, req.Header.Peek("X-Deadline-Ms"))
	add(OptIdempotencyKey, req.Header.Peek("Idempotency-Key"))
	add(OptClass, req.Header.Peek("X-Class"))
	return m, bytes.Clone(req.Body()), nil
}

// take gives a server's socket with a place on it.
func (b *Transport) take(addr string) (*peer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep()
	p := b.peers[addr]
	if p == nil {
		c, err := net.Dial("udp", addr)
		if err != nil {
			return nil, err
		}
		p = &peer{b: b, addr: addr, conn: c.(*net.UDPConn), id: uint16(rand.Uint32()), token: rand.Uint64(),
			waits: map[string]chan arrival{}, byID: map[uint16]chan arrival{}}
		b.peers[addr] = p
		go p.read()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out >= b.o.MaxExchanges {
		return nil, errFull
	}
	p.out++
	p.used = time.Now()
	return p, nil
}

// sweep closes sockets that nobody has used for long. The caller holds the lock.
func (b *Transport) sweep() {
	for addr, p := range b.peers {
		p.mu.Lock()
		idle := p.out == 0 && time.Since(p.used) > idleMost
		p.mu.Unlock()
		if idle {
			delete(b.peers, addr)
			_ = p.conn.Close()
		}
	}
}

func (p *peer) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out--
	p.used = time.Now()
}

// read hands what comes to who waits for it.
func (p *peer) read() {
	buf := make([]byte, readBuffer)
	for {
		n, err := p.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.refuse()
			continue
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		m, err := wire.Decode(bytes.Clone(buf[:n]))
		if err != nil {
			p.b.o.Count.Junk.Inc()
			continue
		}
		p.deliver(m)
	}
}

// refuse tells all that wait that nobody listens. The kernel does not tell which datagram it was: one that was sent before
// the server died may have run, so none is promised not to have.
func (p *peer) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.byID {
		select {
		case w <- arrival{refused: true}:
		default:
		}
	}
}

func (p *peer) deliver(m message.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Type == wire.Con { // a separate answer; one that nobody waits for is acknowledged all the same, so that it ends
		_, _ = p.conn.Write(wire.Empty(wire.Ack, uint16(m.MessageID)))
	}
	w := p.waits[string(m.Token)]
	if m.Code == codes.Empty {
		w = p.byID[uint16(m.MessageID)]
	}
	if w == nil {
		p.b.o.Count.Late.Inc()
		return
	}
	select {
	case w <- arrival{m: m}:
	default: // a duplicate of what waits to be read
	}
}

// ask sends a request, block by block where its body is long, and fetches the whole answer.
func (p *peer) ask(ctx context.Context, m message.Message, body []byte, a *attempt) (message.Message, []byte, error) {
	var got message.Message
	var err error
	for n := uint32(0); ; n++ {
		part, b, ok := blocks.Block{Num: n, SZX: blocks.MaxSZX}.Slice(body)
		if !ok {
			return got, nil, errReset
		}
		one := m
		one.Payload = part
		if len(body) > b.Size() {
			one.Options = wire.AddUint(one.Options[:len(one.Options):len(one.Options)], message.Block1, b.Value())
		}
		if got, err = p.exchange(ctx, one, !b.More, a); err != nil || got.Code != codes.Continue || !b.More {
			break
		}
	}
	if err != nil {
		return got, nil, err
	}
	return p.fetch(ctx, m, got)
}

// fetch gathers an answer's further blocks.
func (p *peer) fetch(ctx context.Context, m, first message.Message) (message.Message, []byte, error) {
	whole := bytes.Clone(first.Payload)
	b, there, err := wire.Block(&first, message.Block2)
	for there && err == nil && b.More {
		next := m
		next.Options = wire.AddUint(m.Options[:len(m.Options):len(m.Options)], message.Block2, blocks.Block{Num: b.Num + 1, SZX: b.SZX}.Value())
		got, e := p.exchange(ctx, next, false, nil)
		if e != nil {
			return first, nil, e
		}
		if got.Code != first.Code || len(whole)+len(got.Payload) > maxBody {
			return first, nil, errNobody // the answer is spoilt: it has run, and cannot be served
		}
		whole = append(whole, got.Payload...)
		b, there, err = wire.Block(&got, message.Block2)
	}
	return first, whole, err
}

// exchange sends one confirmable message, again under the same id until it is acknowledged, and waits for the answer.
func (p *peer) exchange(ctx context.Context, m message.Message, last bool, a *attempt) (message.Message, error) {
	w := make(chan arrival, 4)
	p.mu.Lock()
	p.id++
	p.token++
	id, token := p.id, []byte{byte(p.token >> 40), byte(p.token >> 32), byte(p.token >> 24), byte(p.token >> 16), byte(p.token >> 8), byte(p.token)}
	p.waits[string(token)], p.byID[id] = w, w
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.waits, string(token))
		delete(p.byID, id)
	}()
	m.Type, m.MessageID, m.Token = wire.Con, int32(id), token
	raw, err := wire.Encode(m)
	if err != nil {
		return m, errReset
	}
	if last && a != nil {
		a.mu.Lock()
		first := !a.wrote
		a.wrote = true
		a.mu.Unlock()
		if first { // an attempt whose last block goes out again after an Echo is still one
			a.copy.Written()
		}
	}
	return p.send(ctx, raw, w)
}

func (p *peer) send(ctx context.Context, raw []byte, w chan arrival) (message.Message, error) {
	began, wait := time.Now(), time.Duration(float64(ackTimeout)*(1+rand.Float64()/2))
	again := time.NewTimer(wait)
	defer again.Stop()
	tries := 0
	if _, err := p.conn.Write(raw); err != nil && errors.Is(err, syscall.ECONNREFUSED) {
		_, _ = p.conn.Write(raw) // the kernel told of an earlier datagram; this one goes out
	}
	for {
		select {
		case got := <-w:
			switch {
			case got.refused:
				return got.m, errNobody
			case got.m.Type == wire.Rst:
				return got.m, errReset
			case got.m.Code == codes.Empty: // the answer follows by itself
				again.Stop()
				continue
			}
			return got.m, nil
		case <-again.C:
			if tries++; tries > maxRetransmit || time.Since(began) > p.b.o.RetransmitWindow {
				continue // the attempt's own end gives it up
			}
			p.b.o.Count.Retransmits.Inc()
			_, _ = p.conn.Write(raw)
			wait *= 2
			again.Reset(wait)
		case <-ctx.Done():
			return message.Message{}, errNothing
		}
	}
}

// Probe pings a server (RFC 7252, 4.3): a reset is a sign of life.
func (b *Transport) Probe(server balancer.ServerID, within time.Duration, done func(engine.End)) {
	began := time.Now()
	go func() {
		end := engine.End{Result: balancer.Unreachable}
		if addr, ok := b.o.Resolver.Address(server); ok {
			if p, err := b.take(strings.TrimPrefix(addr, Scheme)); err == nil {
				end.Result = p.ping(within)
				p.release()
			}
		}
		end.Elapsed = clock.Millis(time.Since(began))
		done(end)
	}()
}

func (p *peer) ping(within time.Duration) balancer.Result {
	w := make(chan arrival, 1)
	p.mu.Lock()
	p.id++
	id := p.id
	p.byID[id] = w
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.byID, id)
	}()
	_, _ = p.conn.Write(wire.Empty(wire.Con, id))
	select {
	case got := <-w:
		if got.refused {
			return balancer.Unreachable
		}
		return balancer.OK
	case <-time.After(within):
		return balancer.TimedOut
	}
}
