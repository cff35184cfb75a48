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
	firstOnConn := true
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		firstByteAt := time.Now()
		if req.ReadLimitBody(r, 64<<10) != nil {
			return
		}
		s.waitResponsive()
		resp.Reset()
		resp.Header.DisableNormalizing()
		if !s.answer(req, resp, node, firstOnConn, firstByteAt) {
			_ = raw.SetLinger(0)
			return
		}
		firstOnConn = false
		if lumps, size, pause := lumpsOf(req); lumps > 0 && resp.StatusCode() == fasthttp.StatusOK {
			if s.writeInLumps(c, lumps, size, pause) != nil {
				return
			}
			continue
		}
		if resp.Write(w) != nil || w.Flush() != nil {
			return
		}
	}
}

// waitResponsive blocks while a vanish fault makes the server unresponsive: nothing is read, and connections stay open.
func (s *Server) waitResponsive() {
	for {
		s.mu.Lock()
		blocked := s.unresponsive
		s.mu.Unlock()
		if !blocked {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-s.closed:
			return
		}
	}
}

// answer handles one request and fills in the response. It returns false if the connection must be reset instead.
// firstOnConn is true for the first request on a connection.
func (s *Server) answer(req *fasthttp.Request, resp *fasthttp.Response, node int, firstOnConn bool, firstByteAt time.Time) bool {
	switch path := string(req.URI().Path()); {
	case s.fleet.scenario.Fleet.Probes && (path == "/ping" || path == "/_load"):
		resp.SetBodyString(s.report())
		return true
	case path == "/ping" || path == "/_load":
		resp.SetStatusCode(fasthttp.StatusNotFound)
		return true
	}
	res := s.execute(req, node, firstOnConn, firstByteAt)
	if res.died {
		return false
	}
	resp.SetStatusCode(res.status)
	if res.notExecuted {
		resp.Header.Set("X-Not-Run", "1")
	}
	if report := s.report(); report != "" {
		resp.Header.Set("X-Load", report)
	}
	if res.status == fasthttp.StatusOK {
		resp.SetBodyString("id=" + attemptID(req) + "&server=" + s.name() + bodyTail)
	}
	return true
}

// bodyTail ends each response body, so that clients detect a truncated body.
const bodyTail = "&stills=0123456789abcdef0123456789abcdef"

// attemptID returns the lab's ID of an attempt. Over CoAP the node creates the request ID, so the lab's ID is a query
// parameter there.
func attemptID(req *fasthttp.Request) string {
	if id := req.URI().QueryArgs().Peek("try"); len(id) > 0 {
		return string(id)
	}
	return string(req.Header.Peek("X-Request-Id"))
}

// OperationOf returns the operation number in an attempt ID, and false if the ID does not have the lab's format.
func OperationOf(id string) (int, bool) {
	if len(id) < 13 {
		return 0, false
	}
	n, err := strconv.ParseInt(id[:12], 16, 64)
	return int(n), err == nil
}

// AttemptID returns the ID of an attempt of an operation: 12 hexadecimal digits for the operation and 4 for the attempt.
func AttemptID(operation, attempt int) string { return fmt.Sprintf("%012x%04x", operation, attempt) }
