package backend

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// serve reads requests from one connection and answers them in order.
func (s *Server) serve(raw *net.TCPConn, node int) {
	var c net.Conn = raw
	if l := s.fleet.links[s.index][node]; l != nil {
		c = l.Wrap(raw)
	}
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, raw)
		s.openConns--
	}()
	r := bufio.NewReaderSize(c, 4096)
	w := bufio.NewWriterSize(c, 4096)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fresh := true
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		if req.ReadLimitBody(r, 64<<10) != nil {
			return
		}
		s.waitResponsive()
		resp.Reset()
		resp.Header.DisableNormalizing()
		if !s.answer(req, resp, node, fresh, first) {
			_ = raw.SetLinger(0)
			return
		}
		fresh = false
		if resp.Write(w) != nil || w.Flush() != nil {
			return
		}
	}
}

// waitResponsive blocks while the server's machine has vanished: nothing is read, and no connection breaks.
func (s *Server) waitResponsive() {
	for {
		s.mu.Lock()
		gone := s.unresponsive
		s.mu.Unlock()
		if !gone {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-s.closed:
			return
		}
	}
}

// answer handles one request; false says that the connection is to be reset instead.
func (s *Server) answer(req *fasthttp.Request, resp *fasthttp.Response, node int, fresh bool, first time.Time) bool {
	switch path := string(req.URI().Path()); {
	case s.fleet.scenario.Fleet.Probes && (path == "/ping" || path == "/_load"):
		resp.SetBodyString(s.report())
		return true
	case path == "/ping" || path == "/_load":
		resp.SetStatusCode(fasthttp.StatusNotFound)
		return true
	}
	a := s.execute(req, node, fresh, first)
	if a.died {
		return false
	}
	resp.SetStatusCode(a.status)
	if a.notExecuted {
		resp.Header.Set("X-Not-Run", "1")
	}
	if report := s.report(); report != "" {
		resp.Header.Set("X-Load", report)
	}
	if a.status == fasthttp.StatusOK {
		resp.SetBodyString("id=" + attemptID(req) + "&server=" + s.name() + bodyTail)
	}
	return true
}

// bodyTail fills up a response's body, so that a short read is seen.
const bodyTail = "&stills=0123456789abcdef0123456789abcdef"

// attemptID is the lab's own id of an attempt. Over CoAP the node makes the request's id, so the lab's goes in the
// query.
func attemptID(req *fasthttp.Request) string {
	if id := req.URI().QueryArgs().Peek("try"); len(id) > 0 {
		return string(id)
	}
	return string(req.Header.Peek("X-Request-Id"))
}

// OperationOf is the operation in an attempt's id; false where the id is not the lab's.
func OperationOf(id string) (int, bool) {
	if len(id) < 13 {
		return 0, false
	}
	n, err := strconv.ParseInt(id[:12], 16, 64)
	return int(n), err == nil
}

// AttemptID is the id of an operation's attempt: the operation in 12 hexadecimal digits, the attempt in 4.
func AttemptID(op, try int) string { return fmt.Sprintf("%012x%04x", op, try) }
