// Package front takes CoAP requests (RFC 7252) from devices and sends them through the same exchange stages as HTTP's.
// Messages, duplicates and block-wise transfers are its business; which server gets a request, whether it is tried again and
// what is refused is not.
package front

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/coap/echo"
	"tackhub.example/tackhub/internal/coap/wire"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/proxy"
)

// The transmission parameters of RFC 7252, 4.8.
const (
	ackTimeout    = 2 * time.Second
	ackRandom     = 1.5
	maxRetransmit = 4
)

const (
	// ackAfter is when a confirmable request is acknowledged by itself, its answer following later: half of the time after
	// which the device would send it again.
	ackAfter = time.Second

	// maxBody is the node's bound on bodies, both ways.
	maxBody = 64 << 10

	// amplify is how many bytes an address that has not proved itself may be sent for one of its own. RFC 9175 and RFC 9000
	// both speak of three.
	amplify = 3

	// provenMost and provenFor bound the memory of addresses that have proved themselves.
	provenMost = 8192
	provenFor  = echo.Lifetime

	// retryLater is the Max-Age in seconds of a refusal of the front's own.
	retryLater = 2

	readBuffer = 64 << 10
)

// Desk serves requests.
type Handler interface {
	Serve(*fasthttp.RequestCtx, proxy.Client)
}

// Options are what a front works with.
type Options struct {
	Handler     Handler
	Classes     []balancer.Class
	Log         *slog.Logger
	Count       *counters.Coap
	MaxInFlight int // requests in hand
	Dedup       dedup.Limits
	Uploads     blocks.Limits
	Downloads   blocks.Limits // answers that are fetched in blocks
	Rate        float64       // datagrams a second of one address prefix
	// InFlight accounts for the requests that were taken.
	InFlight *inflight.Tracker
}

// Front serves one socket. The transport is any net.PacketConn: plain UDP, or one that secures datagrams.
type Server struct {
	o       Options
	classes map[string]balancer.Class
	conn    net.PacketConn
	began   time.Time
	echo    *echo.Authenticator
	ids     string        // begins the request ids that servers see
	nextID  atomic.Uint64 // of requests
	open    chan struct{} // a place for each request in hand
	ending  atomic.Bool
	working sync.WaitGroup

	mu      sync.Mutex
	table   *dedup.Table
	uploads *blocks.Store
	kept    *blocks.Store
	proven  map[string]time.Duration // until when
	limits  *limiter
	nextMID uint16
	waiting map[dedup.Key]chan struct{} // separate answers that wait for their acknowledgement
}

// New makes a front on a socket.
func New(conn net.PacketConn, o Options) (*Server, error) {
	var key [32]byte
	var start [10]byte
	if _, err := rand.Read(key[:]); err != nil {
		return nil, err
	}
	if _, err := rand.Read(start[:]); err != nil {
		return nil, err
	}
	if o.InFlight == nil {
		o.InFlight = &inflight.Tracker{}
	}
	f := &Server{o: o, conn: conn, began: time.Now(), echo: echo.New(key), ids: fmt.Sprintf("%x", start[:8]), classes: map[string]balancer.Class{},
		open: make(chan struct{}, o.MaxInFlight), table: dedup.New(o.Dedup), uploads: blocks.New(o.Uploads), kept: blocks.New(o.Downloads),
		proven: map[string]time.Duration{}, limits: newLimiter(o.Rate), waiting: map[dedup.Key]chan struct{}{},
		nextMID: uint16(start[8])<<8 | uint16(start[9])}
	for _, c := range o.Classes {
		f.classes[c.Name] = c
	}
	return f, nil
}

// Run serves until Close. One datagram that goes wrong ends nothing else.
func (f *Server) Run() {
	buf := make([]byte, readBuffer)
	for {
		n, from, err := f.conn.ReadFrom(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // an ICMP message for an earlier datagram, or a moment without buffers
			f.o.Count.ReadErrors.Inc()
			time.Sleep(time.Millisecond)
			continue
		}
		f.datagram(append([]byte(nil), buf[:n]...), from)
	}
}

// Close takes nothing new and waits until what is in hand is answered; then the socket goes. Each request in hand ends by its
// deadline, or sooner in a planned stop.
func (f *Server) Close() {
	f.mu.Lock() // a request that was let in before counts as working by now
	f.ending.Store(true)
	f.mu.Unlock()
	f.working.Wait()
	_ = f.conn.Close()
}

func (f *Server) now() time.Duration { return time.Since(f.began) }

// datagram takes one datagram. It does not wait.
func (f *Server) datagram(b []byte, from net.Addr) {
	defer func() {
		if p := recover(); p != nil {
			f.o.Count.Panics.Inc()
			f.o.Log.Error("panic at a datagram", "code", "coap_panic", "panic", p)
		}
	}()
	f.o.Count.Datagrams.Inc()
	head, err := wire.ParseHeader(b)
	if err != nil {
		f.o.Count.Drops.Inc("no_coap")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.limits.allow(f.now(), prefix(from)) {
		f.o.Count.Drops.Inc("rate")
		return
	}
	key := dedup.Key{Endpoint: from.String(), ID: head.ID}
	switch {
	case head.Type == wire.Ack || head.Type == wire.Rst:
		if w := f.waiting[key]; w != nil {
			delete(f.waiting, key)
			close(w)
		}
	case head.Code == codes.Empty && head.Type == wire.Con: // a ping
		f.o.Count.Pings.Inc()
		f.send(wire.Empty(wire.Rst, head.ID), from)
	case head.Code>>5 != 0 || head.Code == codes.Empty: // no request
		f.reject(head, from, "no_request")
	default:
		m, err := wire.Decode(b)
		if err != nil {
			f.reject(head, from, "bad_message")
			return
		}
		f.request(&m, key, b, from)
	}
}

// reject tells who sent a confirmable message that it is of no use here (RFC 7252, 4.2).
func (f *Server) reject(head wire.Header, from net.Addr, why string) {
	f.o.Count.Drops.Inc(why)
	if head.Type == wire.Con {
		f.send(wire.Empty(wire.Rst, head.ID), from)
	}
}

// request looks whether a request is new. The caller holds the lock.
func (f *Server) request(m *message.Message, key dedup.Key, b []byte, from net.Addr) {
	r := &incoming{f: f, m: m, key: key, from: from, size: len(b), confirmable: m.Type == wire.Con}
	if f.ending.Load() {
		r.direct(codes.ServiceUnavailable, "ending")
		return
	}
	verdict, answer, acked := f.table.Receive(f.now(), dedup.Message{Key: key, Confirmable: r.confirmable, Idempotent: m.Code == codes.GET,
		Fingerprint: dedup.Fingerprint(b)})
	switch verdict {
	case dedup.InProgress:
		f.o.Count.Joined.Inc()
		if acked && r.confirmable {
			f.send(wire.Empty(wire.Ack, key.ID), from)
		}
	case dedup.Replay:
		f.o.Count.Replayed.Inc()
		f.replay(answer, key, from, r.confirmable)
	case dedup.TableFull, dedup.EndpointFull:
		f.o.Count.Refused.Inc(map[dedup.Verdict]string{dedup.TableFull: "table_full", dedup.EndpointFull: "endpoint_full"}[verdict])
		r.direct(codes.ServiceUnavailable, "too much is remembered")
	default:
		f.fresh(r)
	}
}

// replay sends a stored answer again. One that was sent by itself follows an acknowledgement.
func (f *Server) replay(answer []byte, key dedup.Key, from net.Addr, confirmable bool) {
	if confirmable && (len(answer) == 0 || message.Type(answer[0]>>4&3) != wire.Ack) {
		f.send(wire.Empty(wire.Ack, key.ID), from)
	}
	if len(answer) > 0 {
		f.send(answer, from)
	}
}

// send writes a datagram. One that cannot be sent is lost, as on the way.
func (f *Server) send(b []byte, to net.Addr) {
	if _, err := f.conn.WriteTo(b, to); err != nil {
		f.o.Count.SendErrors.Inc()
	}
}

// provenAt tells whether an endpoint has shown that it receives at its address.
func (f *Server) provenAt(endpoint string) bool { return f.proven[endpoint] > f.now() }

func (f *Server) prove(endpoint string) {
	if len(f.proven) >= provenMost {
		now := f.now()
		for e, until := range f.proven {
			if until <= now || len(f.proven) >= provenMost {
				delete(f.proven, e)
			}
			if len(f.proven) < provenMost/2 {
				break
			}
		}
	}
	f.proven[endpoint] = f.now() + provenFor
}

// mid is a message id of our own.
func (f *Server) mid() uint16 {
	f.nextMID++
	return f.nextMID
}

// requestID is an id that no other request has: servers tell attempts apart by it.
func (f *Server) requestID() string { return f.ids + "-" + strconv.FormatUint(f.nextID.Add(1), 16) }

// prefix is the part of an address that one rate holds for: whoever has one address of a network mostly has them all.
func prefix(a net.Addr) netip.Prefix {
	u, ok := a.(*net.UDPAddr)
	if !ok {
		return netip.Prefix{}
	}
	ip := u.AddrPort().Addr().Unmap()
	bits := 24
	if ip.Is6() {
		bits = 56
	}
	p, err := ip.Prefix(bits)
	if err != nil {
		return netip.Prefix{}
	}
	return p
}
