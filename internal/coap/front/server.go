// Package front serves CoAP requests (RFC 7252) from devices and passes them to the same handler as HTTP requests. It
// implements the message layer, retransmissions and block-wise transfers. The handler is responsible for server selection,
// retries and load shedding.
package front

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
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
	// maxBody is the largest size of a request or response body, in bytes.
	maxBody = 64 << 10

	// readBufferSize is the size of the largest datagram, in bytes.
	readBufferSize = 64 << 10

	// readErrorBackoff is the pause after a failed read, so that a persistent error does not keep a core busy.
	readErrorBackoff = time.Millisecond
)

// Handler serves requests. Serve returns once the response is in the context.
type Handler interface {
	Serve(*fasthttp.RequestCtx, proxy.Client)
}

// Options configures a Server.
type Options struct {
	Handler     Handler
	Classes     []balancer.Class
	Log         *slog.Logger
	Count       *counters.Coap
	MaxInFlight int // requests
	Dedup       dedup.Limits
	Uploads     blocks.Limits
	Downloads   blocks.Limits // for responses that are fetched in blocks
	Rate        float64       // datagrams per second of one address prefix; 0 means no limit
	// InFlight tracks the requests that were received; nil if they need not be tracked.
	InFlight *inflight.Tracker
}

// Server serves CoAP on one socket. The socket may be any net.PacketConn: plain UDP, or one that secures datagrams.
type Server struct {
	options       Options
	classes       map[string]balancer.Class
	conn          net.PacketConn
	startedAt     time.Time
	authenticator *echo.Authenticator
	idPrefix      string        // prefix of the request ids that are sent to servers
	lastRequestID atomic.Uint64 // number in the latest request id
	slots         chan struct{} // one element per request in flight
	handlers      sync.WaitGroup
	closing       closing

	mu             sync.Mutex
	stopping       bool          // requests that were not received before are rejected
	lastAnswered   time.Duration // when the latest response of a request that the handler served was sent, or sent again
	exchanges      *dedup.Table
	uploads        *blocks.Store
	downloads      *blocks.Store
	validated      validatedEndpoints
	limiter        *limiter
	limitLog       limitLog
	lastMessageID  uint16
	unacknowledged map[dedup.Key]chan struct{} // keyed by separate response; a channel is closed when its response is acknowledged
}

// New returns a server for a socket. Close closes the socket. New fails only if no random bytes are available.
func New(conn net.PacketConn, o Options) (*Server, error) {
	var key [32]byte
	if _, err := rand.Read(key[:]); err != nil {
		return nil, err
	}
	var seed [10]byte // for the request ids and the message ids
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
		closing:        newClosing(),
		exchanges:      dedup.New(o.Dedup),
		uploads:        blocks.New(o.Uploads),
		downloads:      blocks.New(o.Downloads),
		validated:      newValidatedEndpoints(),
		limiter:        newLimiter(o.Rate),
		limitLog:       limitLog{},
		lastMessageID:  uint16(seed[8])<<8 | uint16(seed[9]),
		unacknowledged: map[dedup.Key]chan struct{}{},
	}, nil
}

// Run serves until the server is closed. A failure to handle one datagram does not affect any other.
func (s *Server) Run() {
	defer close(s.closing.reads)
	buffer := make([]byte, readBufferSize)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // only a closing server sets a deadline
			return
		}
		if err != nil { // for example an ICMP error for an earlier datagram, or a temporary lack of buffers
			s.options.Count.ReadErrors.Inc()
			time.Sleep(readErrorBackoff)
			continue
		}
		s.handleDatagram(append([]byte(nil), buffer[:n]...), from)
	}
}

// now returns the time since the server was created.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// send writes a datagram. A failed write is counted and otherwise treated like a datagram lost on the network.
func (s *Server) send(datagram []byte, to net.Addr) {
	if _, err := s.conn.WriteTo(datagram, to); err != nil {
		s.options.Count.SendErrors.Inc()
	}
}

// newMessageID returns an id for a message that this server originates. The caller holds the lock.
func (s *Server) newMessageID() uint16 {
	s.lastMessageID++
	return s.lastMessageID
}

// newRequestID returns a unique id by which servers distinguish requests.
func (s *Server) newRequestID() string {
	return s.idPrefix + "-" + strconv.FormatUint(s.lastRequestID.Add(1), 16)
}
