// Package admin serves the administrators' HTTP listener: the health check of the process, its statistics, and the
// administrative drain. It has its own listener, reserved descriptors and timeouts, so that it responds even if clients use up
// all other resources.
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
	// acceptPause is the delay after a failed Accept. Without it, the accept loop would use all CPU time of a node with one core
	// for as long as descriptors are short.
	acceptPause = 20 * time.Millisecond

	// readTimeout limits the time to receive a request. A connection without a complete request is closed after this time.
	readTimeout = 2 * time.Second

	// writeTimeout limits the time to write a response. The statistics take a few kilobytes, which fit into the socket's buffer.
	writeTimeout = time.Second

	// maxHeadBytes limits the request line and the header fields together.
	maxHeadBytes = 4 << 10

	// maxBodyBytes limits the size of a request body. No request needs a body.
	maxBodyBytes = 4 << 10
)

// Node is the interface through which the listener reads and changes the node. Its methods are called from many goroutines.
type Node interface {
	// Ready reports whether this process serves clients and is not draining.
	Ready() bool
	// Stats returns the statistics as a JSON object.
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

// Listen opens the listener at an address of the form IP:port; Run serves it.
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

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until the context ends, then closes the listener and every connection and waits for their goroutines.
func (s *Server) Run(ctx context.Context) {
	stopClosing := context.AfterFunc(ctx, func() { _ = s.listener.Close() }) // makes Accept return
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

// discardLogger discards fasthttp's own log lines. The errors of clients are counted instead.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}
