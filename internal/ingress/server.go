// Package ingress implements the client side of the node: the accept loop, the HTTP server on each connection, the limits on
// connections, and the graceful shutdown.
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
	"tackhub.example/tackhub/internal/memory"
	"tackhub.example/tackhub/internal/proxy"
)

const (
	// idleTimeout is how long a client's connection may be idle. Without it, clients that send one request and stay connected
	// would occupy a descriptor and buffers indefinitely. The protocol allows closing idle connections after 2 s.
	idleTimeout = 3 * time.Second

	// maxHeadBytes limits the size of a request's request line and header fields. It is also the size of each connection's read
	// buffer.
	maxHeadBytes = 8 << 10

	// connectionBytes is the memory that a client's connection uses: its buffers, stacks and the request in progress.
	connectionBytes = 20 << 10

	// prefetchedBodyBytes is how much of a body fasthttp reads before the handler is called, which charges the rest before it is read.
	prefetchedBodyBytes = 1
)

// Listener accepts the clients' connections. It is a *net.TCPListener, except in tests that inject accept errors.
type Listener interface {
	net.Listener
	AcceptTCP() (*net.TCPConn, error)
	SetDeadline(time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

// Handler handles the requests that ingress has accepted.
type Handler interface {
	Serve(*fasthttp.RequestCtx, proxy.Client)
}

// Options configure a Server.
type Options struct {
	Handler Handler
	Bodies  *body.Store // nil if large request bodies are not supported
	// Memory is charged for connections and for request bodies in memory; nil: no limit.
	Memory   *memory.Account
	MaxConns int // maximum number of connections; SetMaxConns changes it
	// ReservedDescriptors is the number of the process's descriptors that connections must leave free. At most half of the
	// descriptors are reserved.
	ReservedDescriptors int
	Log                 *slog.Logger
	Counters            *counters.Counters
	// OnListenerBroken is called when the listener has failed permanently. It must begin a graceful shutdown.
	OnListenerBroken func(l Listener, err error)
	// InFlight tracks the requests that were read. If it is nil, the server creates a tracker.
	InFlight *inflight.Tracker
}

// Server accepts and serves the clients' connections.
type Server struct {
	options Options
	http    fasthttp.Server
	created time.Time

	mu         sync.Mutex
	conns      map[*conn]struct{}
	adminDrain *adminDrain // nil if there is no administrative drain
	serving    sync.WaitGroup

	schedule     atomic.Pointer[drain.Schedule] // nil until a graceful shutdown begins
	hasSuccessor atomic.Bool                    // another process accepts connections from the same queue
	halfOpen     halfOpenCheck
	pacer        pacer

	maxConns              atomic.Int64
	maxConnsByDescriptors atomic.Int64 // estimated limit that leaves the reserved descriptors free
	evicting              atomic.Int64 // connections that are being evicted and are not yet closed
	lastLogged            struct {     // time of the last log line of each kind, in nanoseconds since Server.created; 0: none yet
		noCapacity  atomic.Int64 // a request with a large body was rejected
		descriptors atomic.Int64 // few descriptors are left
		unanswered  atomic.Int64 // a request ended without a complete response
	}
	aheadBytes  atomic.Int64 // read ahead on all connections
	lastReclaim atomic.Int64 // time of the last call of reclaim that looked at the connections, in nanoseconds since created
}

// New returns a Server that accepts connections once Serve is called.
func New(options Options) *Server {
	if options.InFlight == nil {
		options.InFlight = &inflight.Tracker{}
	}
	server := &Server{options: options, conns: map[*conn]struct{}{}, created: time.Now()}
	server.SetMaxConns(options.MaxConns)
	if options.Memory != nil {
		options.Memory.SetReclaim(server.reclaim)
	}
	server.maxConnsByDescriptors.Store(math.MaxInt64)
	server.http = fasthttp.Server{
		Handler:                      server.handle,
		ErrorHandler:                 server.handleMalformed,
		HeaderReceived:               server.headReceived,
		ReadTimeout:                  headTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		StreamRequestBody:            true,
		MaxRequestBodySize:           prefetchedBodyBytes,
		ReadBufferSize:               maxHeadBytes,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		Logger:                       discardLogger{},
	}
	return server
}

// discardLogger discards the log lines of fasthttp, because Server logs the end of each connection itself.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// SetMaxConns sets the maximum number of connections. At the maximum, connections are evicted: idle ones or, if there are
// none, those on which no more bytes of an incomplete request arrive.
func (s *Server) SetMaxConns(n int) { s.maxConns.Store(int64(n)) }

// SetSuccessor sets whether another process accepts connections from the same queue. If so, a shutdown stops accepting at once
// and leaves the queued connections to that process.
func (s *Server) SetSuccessor(on bool) { s.hasSuccessor.Store(on) }

// logInterval is the shortest time between two log lines of the same kind. Occurrences in between are only counted.
const logInterval = 10 * time.Second

// allowLog reports whether logInterval has passed since the previous log line of a kind, and records the current time in last if
// so. Last is the time of the previous line in nanoseconds since the server was created; 0 before the first line.
func (s *Server) allowLog(last *atomic.Int64) bool {
	now := int64(time.Since(s.created))
	previous := last.Load()
	due := previous == 0 || now-previous >= int64(logInterval)
	return due && last.CompareAndSwap(previous, now)
}
