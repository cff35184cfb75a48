package ingress

import (
	"errors"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/memory"
	"tackhub.example/tackhub/internal/proxy"
)

const (
	healthPath   = "/_health"
	countersPath = "/_counters" // no class has this path, because the path of a class is its name in the settings

	// headerTooLarge marks a request that announced a body above the maximum size. A request in which the client sets this
	// header itself is rejected in the same way.
	headerTooLarge = "Tackhub-Too-Large"

	codeBodyTooLarge  = "body_too_large"
	codeTooManyFields = "too_many_fields"
	codeNoCapacity    = "no_room" // no file, memory or disk space for a request
)

// serve serves a connection until it ends, then stops tracking its requests and logs its end.
func (s *Server) serve(c *conn) {
	defer s.serving.Done()
	err := s.serveHTTP(c)
	c.releaseAll(err)
	c.dropAhead()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.options.Memory.Release(memory.ClientConnections, connectionBytes)
	if c.isEvicted() {
		s.evicting.Add(-1)
	}
	s.options.Counters.Clients.Open.Add(-1)
	c.SetCloseReason(closeOther)
	s.options.Counters.ClientEnds.Inc(c.closeReason)
	args := []any{"code", c.closeReason, "client", c.RemoteAddr().String(), "requests", c.requests,
		"age_ms", time.Since(c.opened).Milliseconds()}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	s.options.Log.Info("client connection ended", args...)
}

// serveHTTP serves a connection and closes it. A panic while serving ends only this connection.
func (s *Server) serveHTTP(c *conn) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			s.options.Log.Error("panic while serving a client connection", "code", proxy.ReasonPanic, "panic", panicValue,
				"stack", string(debug.Stack()))
			c.SetCloseReason(proxy.ReasonPanic)
			err = c.Close()
		}
	}()
	return s.http.ServeConn(httpConn{c})
}

// headReceived checks a request's head before its body is read. If the announced body is too large, it marks the request so
// that dispatch rejects it at once, without reading the body.
func (s *Server) headReceived(header *fasthttp.RequestHeader) (unchanged fasthttp.RequestConfig) {
	if s.options.Bodies != nil && header.ContentLength() > s.options.Bodies.MaxRequestSize() {
		header.SetContentLength(0)
		header.Del(fasthttp.HeaderExpect)
		header.Set(headerTooLarge, "1")
	}
	return unchanged
}

// handle handles a request whose head was read, and decides whether the connection stays open.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	served, ok := ctx.Conn().(httpConn)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c := served.conn
	s.pace(c)
	c.countRequest()
	defer c.releaseBody()
	defer c.releaseMemory()
	s.dispatch(ctx, c)
	// fasthttp flushes each response if a write deadline is set. Otherwise it would delay a response until it has the body of
	// the next pipelined request.
	_ = ctx.SetWriteDeadline(time.Now().Add(writeTimeout)) // conn.SetWriteDeadline never fails
	c.localResponseAt = time.Time{}
	if !c.wasServed(ctx) {
		c.localResponseAt = time.Now()
	}
	c.markHandled()
	bodySize := bodySizeOf(&ctx.Request.Header)
	c.framing.countBuffered(&ctx.Request.Header, bodySize)
	c.framing.endRequest(bodySize)
	if ctx.Request.Header.ConnectionClose() {
		c.SetCloseReason(proxy.ReasonCloseRequested)
	} else if reason := c.closeReasonAfterResponse(); reason != "" {
		c.SetCloseReason(reason)
		ctx.SetConnectionClose()
	}
}

// wasServed reports whether the response of the current request is that of a server.
func (c *conn) wasServed(ctx *fasthttp.RequestCtx) bool {
	return c.forwarded && ctx.Response.StatusCode() == fasthttp.StatusOK
}

// bodySizeOf returns the size of a request's body in bytes, or -1 if it was not announced.
func bodySizeOf(header *fasthttp.RequestHeader) int {
	if header.IsGet() && header.ContentLength() < 0 && len(header.Peek(fasthttp.HeaderTransferEncoding)) == 0 {
		return 0
	}
	return header.ContentLength()
}

// dispatch rejects a malformed request, or passes the request on by its path.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, c *conn) {
	header := &ctx.Request.Header
	if countFields(header.RawHeaders()) > maxHeadFields { // only if readHead could not count them
		*header = fasthttp.RequestHeader{} // frees the memory of the fields
		s.reject(ctx, c, proxy.Rejection{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Code: codeTooManyFields})
		return
	}
	if code := framingErrorCode(header); code != "" {
		s.reject(ctx, c, proxy.Rejection{Status: fasthttp.StatusBadRequest, Code: code})
		return
	}
	if len(header.Peek(headerTooLarge)) > 0 {
		s.reject(ctx, c, proxy.Rejection{Status: fasthttp.StatusRequestEntityTooLarge, Code: codeBodyTooLarge})
		return
	}
	c.forwarded = false
	switch string(header.RequestURI()) {
	case healthPath:
		s.health(ctx)
	case countersPath:
		ctx.SetContentType("application/json")
		ctx.SetBody(s.options.Counters.JSON())
	default:
		s.serveRequest(ctx, c)
	}
}

// serveRequest reads a request's body and passes the request to the handler.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx, c *conn) {
	rejection := s.chargeHead(ctx, c)
	if rejection == nil {
		rejection = s.readBody(ctx, c)
	}
	id := string(ctx.Request.Header.Peek(proxy.HeaderID))
	class := string(ctx.Request.Header.Peek(proxy.HeaderClass))
	if rejection != nil {
		if rejection.Status == fasthttp.StatusServiceUnavailable { // counted here because the handler does not get the request
			// No server got the complete request, so a retry is safe, and another node may have capacity.
			ctx.Response.Header.Set("Retry-After", "1")
			s.options.Counters.Operations.For(class).Throttled.Inc()
		}
		s.reject(ctx, c, *rejection)
		return
	}
	c.forwarded = true
	c.track(id, class)
	s.options.Handler.Serve(ctx, c)
	c.setOutcome(ctx.Response.StatusCode())
}

// health responds 200 if clients should use this node, else 503. There is no check of readiness, because the node opens its
// listener only when it is able to route requests.
func (s *Server) health(ctx *fasthttp.RequestCtx) {
	// If a successor process accepts from the same queue, the node continues to serve, so either process responds 200.
	stopping := s.draining() && !s.hasSuccessor.Load()
	if stopping || s.AdminDraining() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handleMalformed rejects input that cannot be read as a request, and ends the connection.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	var c *conn
	if served, ok := ctx.Conn().(httpConn); ok {
		c = served.conn
	}
	rejection := proxy.Rejection{Status: fasthttp.StatusBadRequest, Code: codeUnreadable}
	var bufferTooSmall *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, errTooManyFields):
		rejection = proxy.Rejection{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Code: codeTooManyFields}
	case errors.As(err, &bufferTooSmall):
		rejection = proxy.Rejection{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Code: "head_too_large"}
	case isTimeout(err):
		rejection = timeoutRejection(c)
	}
	s.reject(ctx, c, rejection)
}

// reject responds to a request that is not passed to the handler. It closes the connection, because the start of the next
// request cannot be determined.
func (s *Server) reject(ctx *fasthttp.RequestCtx, c *conn, rejection proxy.Rejection) {
	s.options.Counters.Rejections.Inc(rejection.Code)
	if c != nil {
		c.SetCloseReason(closeBadRequest)
	}
	ctx.SetStatusCode(rejection.Status)
	ctx.SetConnectionClose()
}
