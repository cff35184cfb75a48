// Package admin serves the administrators' HTTP listener: the health check of the process, its statistics, and the
// administrative drain. It has a listener, descriptors and time limits of its own, so that it answers while clients use up
// everything else.
package admin

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/counters"
)

const (
	// acceptPause is how long the listener rests after Accept failed. Without it a shortage of descriptors, which lasts,
	// would turn the accept loop into a busy loop on the node's one core.
	acceptPause = 20 * time.Millisecond

	// readTimeout bounds the arrival of a request. A connection that sends nothing, or half a request, is closed after it.
	readTimeout = 2 * time.Second

	// writeTimeout bounds the writing of a response: the statistics are some kilobytes, which fit the socket's buffer.
	writeTimeout = time.Second

	// maxHeadBytes bounds a request's line and header.
	maxHeadBytes = 4 << 10

	// maxBodyBytes bounds what is read of a body. No request needs one.
	maxBodyBytes = 4 << 10
)

// Node is what administrators may read and change. Its methods are called from many goroutines.
type Node interface {
	// Ready reports whether this process serves clients and is not draining.
	Ready() bool
	// Stats gives the statistics as a JSON object.
	Stats() []byte
	// Drain begins an administrative drain. It is idempotent.
	Drain()
	// Undrain ends an administrative drain. It is idempotent.
	Undrain()
}

// Server serves the administrators' listener.
type Server struct {
	node        Node
	listener    net.Listener
	http        fasthttp.Server
	log         *slog.Logger
	counters    *counters.Counters
	connections connectionTable
}

// Listen opens the listener at an address with a port; Run serves it.
func Listen(address string, node Node, log *slog.Logger, count *counters.Counters) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_OPERATOR: %w", err)
	}
	s := &Server{node: node, listener: listener, log: log, counters: count}
	s.http = fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleUnreadable,
		DisableKeepalive:      true,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		ReadBufferSize:        maxHeadBytes,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                discardLogger{},
	}
	return s, nil
}

// Address is the address that the listener has.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until the context ends, then closes the listener and every connection and waits for their goroutines.
func (s *Server) Run(ctx context.Context) {
	stopClosing := context.AfterFunc(ctx, func() { _ = s.listener.Close() }) // Accept returns
	defer stopClosing()
	var serving sync.WaitGroup
	for {
		accepted, err := s.listener.Accept()
		if err == nil {
			conn := &connection{Conn: accepted, acceptedAt: time.Now()}
			s.admit(conn)
			serving.Go(func() { s.serve(conn) })
			continue
		}
		if ctx.Err() != nil {
			s.connections.closeAll()
			serving.Wait()
			return
		}
		select {
		case <-time.After(acceptPause):
		case <-ctx.Done():
		}
	}
}

// discardLogger drops fasthttp's own log: the faults of callers are counted.
type discardLogger struct{}

// Printf drops the line.
func (discardLogger) Printf(string, ...any) {}
