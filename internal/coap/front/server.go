// Package front serves CoAP requests (RFC 7252) from devices: it passes them to the handler that HTTP requests go to as well.
// Messages, repeats and block-wise transfers are its concern; which server gets a request, whether it is retried and what is
// shed is not.
package front

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/coap/blocks"
	"tackhub.example/tackhub/internal/coap/dedup"
	"tackhub.example/tackhub/internal/coap/echo"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/proxy"
)

const (
	// maxBody bounds the bodies of requests and of responses, in bytes.
	maxBody = 64 << 10

	// readBufferSize is that of the largest datagram, in bytes.
	readBufferSize = 64 << 10

	// readPause is the rest after a read that failed, so that an error that lasts takes no core.
	readPause = time.Millisecond
)

// Handler serves requests. Serve returns with the response in the context.
type Handler interface {
	Serve(*fasthttp.RequestCtx, proxy.Client)
}

// Options are the settings of a Server.
type Options struct {
	Handler     Handler
	Classes     []balancer.Class
	Log         *slog.Logger
	Count       *counters.Coap
	MaxInFlight int // requests
	Dedup       dedup.Limits
	Uploads     blocks.Limits
	Downloads   blocks.Limits // of responses that are fetched in blocks
	Rate        float64       // datagrams a second of one address prefix; 0: no limit
	// InFlight tracks the requests that were read; nil: nobody asks.
	InFlight *inflight.Tracker
}

// Server serves one socket. The socket is any net.PacketConn: plain UDP, or one that secures datagrams.
type Server struct {
	options       Options
	classes       map[string]balancer.Class
	conn          net.PacketConn
	startedAt     time.Time
	authenticator *echo.Authenticator
	idPrefix      string        // of the request ids that servers see
	lastRequestID atomic.Uint64 // the number in the latest of them
	slots         chan struct{} // one for each request in flight
	stopping      atomic.Bool
	handlers      sync.WaitGroup

	mu             sync.Mutex
	exchanges      *dedup.Table
	uploads        *blocks.Store
	downloads      *blocks.Store
	proven         provenEndpoints
	limiter        *limiter
	lastMessageID  uint16
	unacknowledged map[dedup.Key]chan struct{} // separate responses; closed by their acknowledgement
}

// New makes a server on a socket, which it closes in the end. It fails only where there is no randomness.
func New(conn net.PacketConn, o Options) (*Server, error) {
	var key [32]byte
	if _, err := rand.Read(key[:]); err != nil {
		return nil, err
	}
	var seed [10]byte // of the request ids, and of the message ids
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, err
	}
	if o.InFlight == nil {
		o.InFlight = &inflight.Tracker{}
	}
	classes := make(map[string]balancer.Class, len(o.Classes))
	for _, class := range o.Classes {
		classes[class.Name] = class
	}
	return &Server{
		options:        o,
		classes:        classes,
		conn:           conn,
		startedAt:      time.Now(),
		authenticator:  echo.New(key),
		idPrefix:       fmt.Sprintf("%x", seed[:8]),
		slots:          make(chan struct{}, o.MaxInFlight),
		exchanges:      dedup.New(o.Dedup),
		uploads:        blocks.New(o.Uploads),
		downloads:      blocks.New(o.Downloads),
		proven:         provenEndpoints{},
		limiter:        newLimiter(o.Rate),
		lastMessageID:  uint16(seed[8])<<8 | uint16(seed[9]),
		unacknowledged: map[dedup.Key]chan struct{}{},
	}, nil
}

// Run serves until Close. A datagram whose handling fails ends nothing else.
func (s *Server) Run() {
	buffer := make([]byte, readBufferSize)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP message for an earlier datagram, or no buffers for a moment
			s.options.Count.ReadErrors.Inc()
			time.Sleep(readPause)
			continue
		}
		s.handleDatagram(append([]byte(nil), buffer[:n]...), from)
	}
}

// Close rejects new requests, waits until those in flight are answered, and closes the socket. Each request in flight ends by
// its deadline, or sooner in a graceful shutdown.
func (s *Server) Close() {
	s.mu.Lock() // a request that was accepted before is in handlers by now
	s.stopping.Store(true)
	s.mu.Unlock()
	s.handlers.Wait()
	_ = s.conn.Close()
}

// now is the time since the server was made.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// send writes a datagram. One that cannot be sent is lost, as it might be on the way.
func (s *Server) send(datagram []byte, to net.Addr) {
	if _, err := s.conn.WriteTo(datagram, to); err != nil {
		s.options.Count.SendErrors.Inc()
	}
}

// newMessageID gives an id for a message of our own. The caller holds the lock.
func (s *Server) newMessageID() uint16 {
	s.lastMessageID++
	return s.lastMessageID
}

// newRequestID gives an id that no other request has, by which servers tell requests apart.
func (s *Server) newRequestID() string {
	return s.idPrefix + "-" + strconv.FormatUint(s.lastRequestID.Add(1), 16)
}
