// Package ingress holds the clients' side of the node: the listener, the HTTP server on each connection, the limits on
// connections, and their graceful shutdown.
package ingress

import (
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/inflight"
	"tackhub.example/tackhub/internal/proxy"
)

const (
	// writeTimeout bounds the writing of one piece of a response. A client that takes nothing for so long does not read.
	writeTimeout = 3 * time.Second

	// idleTimeout is how long a client's connection may be idle. Clients that send one request and stay would otherwise
	// hold a descriptor and buffers for good; the protocol allows a close after 2 s.
	idleTimeout = 3 * time.Second

	// maxHeadBytes bounds a request's line and fields. It is also the size of each connection's read buffer.
	maxHeadBytes = 8 << 10
)

// Listener is where clients' connections come from: a *net.TCPListener, or in tests one that fails.
type Listener interface {
	net.Listener
	AcceptTCP() (*net.TCPConn, error)
	SetDeadline(time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

// Handler handles requests.
type Handler interface {
	Serve(*fasthttp.RequestCtx, proxy.Client)
}

// Options configure a Server.
type Options struct {
	Handler  Handler
	Bodies   *body.Store // nil: no large request bodies
	MaxConns int         // connections; SetMaxConns changes it
	// ReservedDescriptors is how many of the process's descriptors connections must leave free, but no more than half of
	// them.
	ReservedDescriptors int
	Log                 *slog.Logger
	Counters            *counters.Counters
	// OnListenerBroken is called when the listener has failed for good. It must begin a graceful shutdown.
	OnListenerBroken func(l Listener, err error)
	// InFlight tracks the requests that were read; nil: a tracker of the server's own.
	InFlight *inflight.Tracker
}

// Server serves clients' connections.
type Server struct {
	options Options
	http    fasthttp.Server
	created time.Time

	mu         sync.Mutex
	conns      map[*conn]struct{}
	adminDrain *adminDrain // nil: none
	serving    sync.WaitGroup

	schedule     atomic.Pointer[drain.Schedule] // nil: no graceful shutdown has begun
	hasSuccessor atomic.Bool                    // another process accepts connections at the same queue
	halfOpen     halfOpenCheck

	maxConns  atomic.Int64
	maxByFDs  atomic.Int64 // connections that leave the reserved descriptors free, as far as is known
	evicting  atomic.Int64 // connections that are evicted and not closed yet
	logLimits struct {     // when the log last said something, as allowLog counts
		noCapacity  atomic.Int64 // large bodies are rejected
		descriptors atomic.Int64 // descriptors run short
		unanswered  atomic.Int64 // a request ended without a complete response
	}
}

// New returns a Server.
func New(o Options) *Server {
	if o.InFlight == nil {
		o.InFlight = &inflight.Tracker{}
	}
	s := &Server{options: o, conns: map[*conn]struct{}{}, created: time.Now()}
	s.SetMaxConns(o.MaxConns)
	s.maxByFDs.Store(math.MaxInt64)
	s.http = fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleMalformed,
		HeaderReceived:               s.headReceived,
		ReadTimeout:                  headTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		StreamRequestBody:            true,
		MaxRequestBodySize:           body.MaxInMemory,
		ReadBufferSize:               maxHeadBytes,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		Logger:                       discardLogger{},
	}
	return s
}

// discardLogger drops fasthttp's own log: the end of each connection is logged here.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// SetMaxConns sets how many connections there may be. Beyond it idle ones are closed, and no others.
func (s *Server) SetMaxConns(n int) { s.maxConns.Store(int64(n)) }

// SetSuccessor sets whether another process accepts connections from the same queue. If so, a shutdown leaves the queue to it
// at once.
func (s *Server) SetSuccessor(on bool) { s.hasSuccessor.Store(on) }

// logInterval is the shortest time between two log lines of one kind, where each case is counted.
const logInterval = 10 * time.Second

// allowLog reports whether a line may be logged whose last one is remembered in last, in nanoseconds since the server was
// created.
func (s *Server) allowLog(last *atomic.Int64) bool {
	now := int64(time.Since(s.created))
	before := last.Load()
	due := before == 0 || now-before >= int64(logInterval)
	return due && last.CompareAndSwap(before, now)
}
