// Package admin answers the node's staff at an address of their own: whether the process is ready, its figures, and the
// drain by hand. It shares nothing with clients' requests: a listener, a few descriptors and time limits of its own.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/counters"
)

const (
	// Most is how many callers there may be at once. Staff and their tools are few; beyond it the one that has been
	// silent longest makes way. The node sets this many descriptors aside, and one for the listener.
	MaxConnections = 12

	// youngest is how long a caller that has just come is left alone: its call is on the way, and dozens that never
	// call must not push it out.
	youngest = 20 * time.Millisecond

	// readTimeout bounds a call's arrival. Whoever sends nothing, or half a call, is closed after it.
	readTimeout = 2 * time.Second

	// writeTimeout bounds the writing of an answer: the figures are some kilobytes, which fit the socket's buffer.
	writeTimeout = time.Second

	// maxHead bounds a call's line and fields, maxBody what is read of a body that no call needs.
	maxHead, maxBody = 4 << 10, 4 << 10
)

// Node is what staff may ask and tell.
type Node interface {
	Ready() bool   // whether this process serves clients and wants them
	Stats() []byte // as JSON
	Drain()        // clients are to go elsewhere; idempotent
	Undrain()      // the end of that; idempotent
}

// Door answers calls.
type Server struct {
	node     Node
	listener net.Listener
	http     fasthttp.Server
	log      *slog.Logger
	count    *counters.Counters

	mu      sync.Mutex
	callers []*caller // the one that came first, first
}

// caller is a connection to the door.
type caller struct {
	net.Conn
	came time.Time
	read bool // its call has come whole
}

// Listen opens the door; Run answers.
func Listen(address string, node Node, log *slog.Logger, count *counters.Counters) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_OPERATOR: %w", err)
	}
	d := &Server{node: node, listener: l, log: log, count: count}
	d.http = fasthttp.Server{Handler: d.handle, ErrorHandler: d.unreadable, DisableKeepalive: true,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, ReadBufferSize: maxHead, MaxRequestBodySize: maxBody,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, Logger: quiet{}}
	return d, nil
}

// Address is where the door listens.
func (d *Server) Address() string { return d.listener.Addr().String() }

// quiet drops fasthttp's own log: what callers do wrong is counted.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Run answers until the context ends, and closes what is open then.
func (d *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = d.listener.Close() }) // Accept returns
	defer stop()
	var open sync.WaitGroup
	for {
		nc, err := d.listener.Accept()
		switch {
		case err == nil:
			c := &caller{Conn: nc, came: time.Now()}
			d.admit(c)
			open.Go(func() { d.serve(c) })
			continue
		case ctx.Err() != nil:
			d.closeAll()
			open.Wait()
			return
		}
		// Out of descriptors, or the caller was gone already: an accept in a busy loop would take the core.
		select {
		case <-time.After(youngest):
		case <-ctx.Done():
		}
	}
}

// admit makes room for a caller, at the cost of the one that has been silent longest.
func (d *Server) admit(c *caller) {
	for {
		d.mu.Lock()
		if len(d.callers) < MaxConnections {
			d.callers = append(d.callers, c)
			d.mu.Unlock()
			d.count.Door.Open.Inc()
			return
		}
		at := slices.IndexFunc(d.callers, func(c *caller) bool { return !c.read && time.Since(c.came) >= youngest })
		if at < 0 { // all have just come, or are being answered, which takes no time
			d.mu.Unlock()
			time.Sleep(time.Millisecond)
			continue
		}
		victim := d.callers[at]
		d.callers = slices.Delete(d.callers, at, at+1)
		d.mu.Unlock()
		d.count.Door.Evicted.Inc()
		_ = victim.Close() // serve sees it
	}
}

func (d *Server) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.callers {
		_ = c.Close()
	}
}

func (d *Server) serve(c *caller) {
	defer func() {
		if p := recover(); p != nil {
			d.log.Error("panic at the operators' door", "code", "panic", "panic", p, "stack", string(debug.Stack()))
		}
		d.mu.Lock()
		if at := slices.Index(d.callers, c); at >= 0 {
			d.callers = slices.Delete(d.callers, at, at+1)
		}
		d.mu.Unlock()
		d.count.Door.Open.Add(-1)
		_ = c.Close()
	}()
	_ = d.http.ServeConn(c) // a caller that breaks off has nothing coming
}

// calls are the door's, by path and method.
var calls = map[string]struct {
	method string
	answer func(*Server, *fasthttp.RequestCtx)
}{
	"/healthcheck": {fasthttp.MethodGet, func(d *Server, ctx *fasthttp.RequestCtx) {
		if !d.node.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}},
	"/stats": {fasthttp.MethodGet, func(d *Server, ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/json")
		ctx.SetBody(d.node.Stats())
	}},
	"/healthcheck/fail": {fasthttp.MethodPut, func(d *Server, _ *fasthttp.RequestCtx) { d.node.Drain() }},
	"/healthcheck/ok":   {fasthttp.MethodPut, func(d *Server, _ *fasthttp.RequestCtx) { d.node.Undrain() }},
}

func (d *Server) handle(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*caller); ok {
		d.mu.Lock()
		c.read = true
		d.mu.Unlock()
	}
	call, ok := calls[string(ctx.Path())]
	switch {
	case !ok:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case string(ctx.Method()) != call.method:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		ctx.Response.Header.Set(fasthttp.HeaderAllow, call.method)
	default:
		call.answer(d, ctx)
	}
	d.book(ctx)
}

// unreadable answers what is no call.
func (d *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	} else {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
	d.book(ctx)
}

func (d *Server) book(ctx *fasthttp.RequestCtx) {
	if status := ctx.Response.StatusCode(); status >= 300 {
		d.count.Door.Refused.Inc(fmt.Sprint(status))
		return
	}
	d.count.Door.Calls.Inc()
}
