package main

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A client sends a request that violates HTTP or the platform's protocol. The node must reject it with the matching
// status, count the rejection under the matching code and send nothing to a server. Invalid values of optional fields
// are ignored.
func TestMalformedRequestsAreRejected(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	good := request("look", 1000)
	_, id, _ := strings.Cut(good, "X-Request-Id: ")
	id, _, _ = strings.Cut(id, "\r\n")
	replaceOnce := func(from, old, replacement string) string {
		t.Helper()
		if !strings.Contains(from, old) {
			t.Fatalf("the request does not contain %q", old)
		}
		return strings.Replace(from, old, replacement, 1)
	}
	for _, c := range []struct {
		name, raw string
		status    int
		code      string
	}{
		{"no request ID", replaceOnce(good, "X-Request-Id: "+id+"\r\n", ""), 400, "bad_request_id"},
		{"request ID too long", replaceOnce(good, "9b1f", strings.Repeat("9", 300)), 400, "bad_request_id"},
		{"no deadline", replaceOnce(good, "X-Deadline-Ms: 1000\r\n", ""), 400, "bad_deadline"},
		{"deadline not a number", replaceOnce(good, "1000", "soon"), 400, "bad_deadline"},
		{"negative deadline", replaceOnce(good, "1000", "-1"), 400, "bad_deadline"},
		{"signed deadline", replaceOnce(good, "1000", "+1000"), 400, "bad_deadline"},
		{"deadline with an exponent", replaceOnce(good, "1000", "1e3"), 400, "bad_deadline"},
		{"deadline too long", replaceOnce(good, "1000", strings.Repeat("9", 40)), 400, "bad_deadline"},
		{"repeated request ID", replaceOnce(good, "X-Class", "X-Request-Id: other\r\nX-Class"), 400, "repeated_field"},
		{"repeated deadline", replaceOnce(good, "X-Class", "X-Deadline-Ms: 5\r\nX-Class"), 400, "repeated_field"},
		{"body with GET", replaceOnce(good, "\r\n\r\n", "\r\nContent-Length: 2\r\n\r\nhi"), 400, "body_with_get"},
		{"folded field", replaceOnce(good, "X-Tenant: acme", "X-Tenant:\r\n acme"), 400, "folded_field"},
		{"space in a field name", replaceOnce(good, "X-Tenant:", "X Tenant:"), 400, "bad_field_name"},
		{"space before the colon", replaceOnce(good, "X-Tenant:", "X-Tenant :"), 400, "unreadable"},
		{"no colon", replaceOnce(good, "X-Tenant: acme", "X-Tenant acme"), 400, "unreadable"},
		{"no host", replaceOnce(good, "Host: app.svc\r\n", ""), 400, "unreadable"},
		{"two lengths", replaceOnce(request("bill", 1000), "Content-Length: 9", "Content-Length: 9\r\nContent-Length: 9"), 400, "unreadable"},
		{"signed length", replaceOnce(request("bill", 1000), "Content-Length: 9", "Content-Length: +9"), 400, "unreadable"},
		{"negative length", replaceOnce(request("bill", 1000), "Content-Length: 9", "Content-Length: -9"), 400, "unreadable"},
		{"length not a number", replaceOnce(request("bill", 1000), "Content-Length: 9", "Content-Length: 9 9"), 400, "unreadable"},
		{"Content-Length before Transfer-Encoding", replaceOnce(request("bill", 1000), "Content-Length: 9\r\n\r\namount=12",
			"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+request("look", 1000)), 400, "length_and_encoding"},
		{"Transfer-Encoding before Content-Length", replaceOnce(request("bill", 1000), "Content-Length: 9\r\n\r\namount=12",
			"Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n9\r\namount=12\r\n0\r\n\r\n"), 400, "length_and_encoding"},
		{"identity encoding", replaceOnce(request("bill", 1000), "Content-Length: 9", "Transfer-Encoding: identity"), 400, "bad_encoding"},
		{"unknown encoding", replaceOnce(request("bill", 1000), "Content-Length: 9", "Transfer-Encoding: gzip"), 400, "unreadable"},
		{"broken chunk", replaceOnce(request("bill", 1000), "Content-Length: 9\r\n\r\namount=12",
			"Transfer-Encoding: chunked\r\n\r\nzz\r\namount=12\r\n0\r\n\r\n"), 400, "unreadable"},
		{"length above 2^31", replaceOnce(request("bill", 1000), "Content-Length: 9", "Content-Length: 3000000000"), 413, "body_too_large"},
		{"deadline past", replaceOnce(good, "1000", "0"), 504, "deadline_past"},
		{"unknown class", strings.ReplaceAll(good, "look", "peek"), 400, "unknown_class"},
		{"no class", replaceOnce(good, "X-Class: look\r\n", ""), 400, "unknown_class"},
		{"class and path differ", replaceOnce(good, "GET /look", "GET /bill"), 400, "class_and_path_differ"},
		{"class is a prefix of the path segment", replaceOnce(good, "GET /look", "GET /looking"), 400, "class_and_path_differ"},
		{"path that leaves the class", replaceOnce(good, "GET /look", "GET /look/../bill"), 400, "class_and_path_differ"},
		{"path that leaves the class, encoded", replaceOnce(good, "GET /look", "GET /look/%2e%2E/bill"), 400, "class_and_path_differ"},
		{"wrong method", replaceOnce(good, "GET", "PUT"), 405, "wrong_method"},
		{"safe class with POST", replaceOnce(good, "GET", "POST"), 405, "wrong_method"},
		{"guarded class without Idempotency-Key", replaceOnce(request("store", 1000), "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n", ""), 400, "no_key"},
		{"garbage", "\x16\x03\x01\x02\x00\x01\r\n\r\n", 400, "unreadable"},
		{"body too large", replaceOnce(request("bill", 1000), "Content-Length: 9", "Content-Length: 65537"), 413, "body_too_large"},
		{"head too large", replaceOnce(good, "X-Tenant: acme", "X-Tenant: "+strings.Repeat("a", 8192)), 431, "head_too_large"},
	} {
		before := p.counts().Rejections[c.code]
		resp, err := p.do(c.raw)
		if err != nil || resp.status != c.status {
			t.Errorf("%s: response %v, %v, want status %d", c.name, resp, err, c.status)
		}
		if n := p.counts().Rejections[c.code]; n != before+1 {
			t.Errorf("%s: not counted once as %s: rejections = %v", c.name, c.code, p.counts().Rejections)
		}
	}
	if n := len(s.requests()); n != 0 {
		t.Errorf("the server received %d malformed requests, want 0", n)
	}
	if resp := p.mustDo(request("look", 1000, "X-Extras: "+strings.Repeat("a=1,", 1500))); resp.status != 200 {
		t.Errorf("request head of 6 KiB: status %d, want 200", resp.status)
	}
	for _, field := range []string{"X-Cost-Hint: many", "X-Cost-Hint: -5", "X-Cost-Hint: NaN", "X-Extras: ==,,=",
		"X-Retry: maybe"} {
		if resp := p.mustDo(request("look", 1000, field)); resp.status != 200 {
			t.Errorf("%s: status %d, want 200 with the field ignored", field, resp.status)
		}
	}
	if resp := p.mustDo(strings.Replace(good, "acme", "nobody", 1)); resp.status != 200 {
		t.Errorf("unknown tenant: status %d, want 200", resp.status)
	}
	p.counts().checkRequestTotals(t)
}

// A second client sends a request with the ID of a request in flight. The node must reject the second request and serve
// the first. Afterwards the ID can be used again for a request that may run twice, and is rejected for any other: it once ran again.
func TestRepeatedIDOfInFlightRequestIsRejected(t *testing.T) {
	for class, test := range map[string]struct{ statusAfterwards, runs int }{
		"look":  {200, 2},
		"bill":  {409, 1},
		"store": {409, 1},
	} {
		t.Run(class, func(t *testing.T) {
			gate := make(chan struct{})
			s := startBackend(t, "s1", respondAfter(gate, respond(200, "done")))
			p, _ := startWithBackends(t, "", s)
			raw := request(class, 1500)
			first := p.send(raw)
			eventually(t, "the first request at the server", func() bool { return len(s.requests()) == 1 })
			if resp := p.mustDo(raw); resp.status != 409 || !resp.closesConn {
				t.Errorf("second request: status %d, closes the connection: %v, want 409 and a close", resp.status, resp.closesConn)
			}
			close(gate)
			if resp := await(t, "the first request", first); resp.status != 200 {
				t.Errorf("first request: status %d, want 200", resp.status)
			}
			if resp := p.mustDo(raw); resp.status != test.statusAfterwards {
				t.Errorf("request after the first has ended: status %d, want %d", resp.status, test.statusAfterwards)
			}
			if n := len(s.requests()); n != test.runs {
				t.Errorf("the server received %d requests, want %d", n, test.runs)
			}
		})
	}
}

// A client announces a body of 60 MB. The node must reject the request before the body has arrived, and serve the next
// request.
func TestTooLargeBodyIsRejectedBeforeItArrives(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(strings.Replace(request("bill", 1000), "Content-Length: 9", "Content-Length: 60000000", 1))
	go func() { _, _ = c.Write(make([]byte, 60_000_000)) }() // fails when the node closes the connection
	if resp, err := c.read(); err == nil && resp.status != 413 {
		t.Errorf("request with 60 MB: status %d, want 413", resp.status)
	}
	if resp := p.mustDo(request("look", 1000)); resp.status != 200 || len(s.requests()) != 1 {
		t.Errorf("next request: status %d, want 200 and no other request at the server", resp.status)
	}
}

// Requests wait unread in the kernel's receive buffer while the node is suspended for 400 ms. The node must send no attempt
// for a request whose deadline has passed meanwhile, and must forward the other request with only its remaining time.
func TestDeadlineIncludesTimeInReceiveBuffer(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	expired, unexpired := p.connect(), p.connect()
	signal := func(sig syscall.Signal) {
		t.Helper()
		if err := p.cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGSTOP)
	eventually(t, "the suspension", p.suspended) // SIGSTOP stops the threads one after the other
	expired.write(request("bill", 200))
	unexpired.write(request("look", 1400))
	time.Sleep(400 * time.Millisecond) // longer than the deadline of the first request
	signal(syscall.SIGCONT)
	if resp, err := expired.read(); err != nil || resp.status != 504 {
		t.Errorf("request past its deadline: %v, %v, want status 504", resp, err)
	}
	if resp, err := unexpired.read(); err != nil || resp.status != 200 {
		t.Errorf("request before its deadline: %v, %v, want status 200", resp, err)
	}
	got := s.requests()
	if len(got) != 1 || !strings.HasPrefix(got[0].line, "GET /look") {
		t.Fatalf("the server received %d requests, want only the one before its deadline", len(got))
	}
	if remaining, err := strconv.Atoi(got[0].header.Get("X-Deadline-Ms")); err != nil || remaining > 1020 {
		t.Errorf("the server received a deadline of %d ms, want at most 1020", remaining)
	}
}

// Requests arrive byte by byte, or several in one segment. Each must be parsed and served separately.
func TestFragmentedAndPipelinedRequestsAreParsed(t *testing.T) {
	p, s := startWithLargeBodies(t, respond(200, "done"))
	c := p.connect()
	raw := request("look", 1400) + request("store", 1400) + postHead("Transfer-Encoding: chunked") + chunked(largeBody(300), 7)
	for i := range raw {
		c.write(raw[i : i+1])
	}
	c.write(raw[:0] + request("bill", 1400) + request("look", 1400))
	for i := range 5 {
		if resp, err := c.read(); err != nil || resp.status != 200 {
			t.Fatalf("request %d: status %d, %v, want 200", i, resp.status, err)
		}
	}
	if n := len(s.requests()); n != 5 {
		t.Errorf("the server received %d requests, want 5", n)
	}
	if !slices.ContainsFunc(s.requests(), func(req receivedRequest) bool { return bytes.Equal(req.body, largeBody(300)) }) {
		t.Error("the server did not receive the chunked body unchanged")
	}
}

// A client sends a request and the beginning of the next one. The node must send the first response without waiting for
// the rest of the second request.
func TestResponseDoesNotWaitForNextPipelinedRequest(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(request("look", 1000) + strings.TrimSuffix(request("bill", 1000), "12"))
	if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if resp, err := c.read(); err != nil || resp.status != 200 {
		t.Errorf("response %v, %v, want status 200 before the rest of the next request is sent", resp, err)
	}
}

// A client pipelines requests. While the first is in flight, the node reads from the connection to detect that the client
// closes it, and must not lose bytes of the other requests.
func TestPipelinedRequestsAreServed(t *testing.T) {
	gate := make(chan struct{})
	s := startBackend(t, "s1", respondAfter(gate, respond(200, "done")))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(request("look", 1000) + request("bill", 1000) + request("look", 1000)[:20])
	eventually(t, "the first request at the server", func() bool { return len(s.requests()) == 1 })
	close(gate)
	for i := range 2 {
		if resp, err := c.read(); err != nil || resp.status != 200 {
			t.Fatalf("response %d: %v, %v, want status 200", i, resp, err)
		}
	}
	c.write(request("look", 1000)[20:])
	if resp, err := c.read(); err != nil || resp.status != 200 {
		t.Fatalf("last response: %v, %v, want status 200", resp, err)
	}
	if got := p.counts(); got.Requests["left"] != 0 || got.Requests["served"] != 3 {
		t.Errorf("request counters = %v, want 3 served and none left", got.Requests)
	}
}
