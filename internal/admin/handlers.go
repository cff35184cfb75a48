package admin

import (
	"errors"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"
)

// route is the handler of a path, with the only method that is allowed there.
type route struct {
	method string
	handle func(*Server, *fasthttp.RequestCtx)
}

// routes holds the routes by path.
var routes = map[string]route{
	"/healthcheck":      {fasthttp.MethodGet, (*Server).healthcheck},
	"/stats":            {fasthttp.MethodGet, (*Server).stats},
	"/healthcheck/fail": {fasthttp.MethodPut, (*Server).drain},
	"/healthcheck/ok":   {fasthttp.MethodPut, (*Server).undrain},
}

// healthcheck responds with 200 if the node is ready, and with 503 otherwise.
func (s *Server) healthcheck(ctx *fasthttp.RequestCtx) {
	if !s.node.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// stats responds with the node's statistics as JSON.
func (s *Server) stats(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	ctx.SetBody(s.node.Stats())
}

// drain begins the administrative drain.
func (s *Server) drain(*fasthttp.RequestCtx) { s.node.Drain() }

// undrain ends the administrative drain.
func (s *Server) undrain(*fasthttp.RequestCtx) { s.node.Undrain() }

// handle routes a request. It responds with 404 to an unknown path, and with 405 and an Allow header to another method.
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

// handleUnreadable responds to a request that could not be read: with 408 if it did not arrive in time, and with 400 otherwise.
func (s *Server) handleUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		status = fasthttp.StatusRequestTimeout
	}
	ctx.SetStatusCode(status)
	s.countResponse(ctx)
}

// countResponse counts a 2xx response as an answered request, and any other response by its status.
func (s *Server) countResponse(ctx *fasthttp.RequestCtx) {
	if status := ctx.Response.StatusCode(); status >= fasthttp.StatusMultipleChoices {
		s.counters.Admin.Refused.Inc(strconv.Itoa(status))
		return
	}
	s.counters.Admin.Calls.Inc()
}
