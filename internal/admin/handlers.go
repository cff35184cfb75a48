package admin

import (
	"errors"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"
)

// route is an operation of the listener: the one method that its path takes, and the handler.
type route struct {
	method string
	handle func(*Server, *fasthttp.RequestCtx)
}

// routes are the operations by path.
var routes = map[string]route{
	"/healthcheck":      {fasthttp.MethodGet, (*Server).healthcheck},
	"/stats":            {fasthttp.MethodGet, (*Server).stats},
	"/healthcheck/fail": {fasthttp.MethodPut, (*Server).drain},
	"/healthcheck/ok":   {fasthttp.MethodPut, (*Server).undrain},
}

// healthcheck answers 200 while the node is ready, else 503.
func (s *Server) healthcheck(ctx *fasthttp.RequestCtx) {
	if !s.node.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// stats answers the node's statistics as JSON.
func (s *Server) stats(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	ctx.SetBody(s.node.Stats())
}

// drain begins the administrative drain.
func (s *Server) drain(*fasthttp.RequestCtx) { s.node.Drain() }

// undrain ends the administrative drain.
func (s *Server) undrain(*fasthttp.RequestCtx) { s.node.Undrain() }

// handle routes a request: 404 for a path without a route, 405 with Allow for another method.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*connection); ok {
		s.connections.markRead(conn)
	}
	route, found := routes[string(ctx.Path())]
	switch {
	case !found:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case string(ctx.Method()) != route.method:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		ctx.Response.Header.Set(fasthttp.HeaderAllow, route.method)
	default:
		route.handle(s, ctx)
	}
	s.countResponse(ctx)
}

// handleUnreadable answers what could not be read as a request: 408 where it did not arrive in time, else 400.
func (s *Server) handleUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		status = fasthttp.StatusRequestTimeout
	}
	ctx.SetStatusCode(status)
	s.countResponse(ctx)
}

// countResponse counts a response among the answered requests, or by its status where it is a rejection.
func (s *Server) countResponse(ctx *fasthttp.RequestCtx) {
	if status := ctx.Response.StatusCode(); status >= fasthttp.StatusMultipleChoices {
		s.counters.Admin.Refused.Inc(strconv.Itoa(status))
		return
	}
	s.counters.Admin.Calls.Inc()
}
