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

// A client sends a request that breaks HTTP or the platform's protocol. It gets the status of its fault, the rejection
// is counted under the fault's code, and no server gets anything. Optional fields that make no sense are ignored.
func TestMalformedRequestsAreRejected(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	good := request("look", 1000)
	_, id, _ := strings.Cut(good, "X-Request-Id: ")
	id, _, _ = strings.Cut(id, "\r\n")
	without := func(from, part, with string) string {
		t.Helper()
		if !strings.Contains(from, part) {
			t.Fatalf("%q is not in the request", part)
		}
		return strings.Replace(from, part, with, 1)
	}
	for _, c := range []struct {
		name, raw string
		status    int
		code      string
	}{
		{"no id", without(good, "X-Request-Id: "+id+"\r\n", ""), 400, "bad_request_id"},
		{"endless id", without(good, "9b1f", strings.Repeat("9", 300)), 400, "bad_request_id"},
		{"no deadline", without(good, "X-Deadline-Ms: 1000\r\n", ""), 400, "bad_deadline"},
		{"odd deadline", without(good, "1000", "soon"), 400, "bad_deadline"},
		{"negative deadline", without(good, "1000", "-1"), 400, "bad_deadline"},
		{"signed deadline", without(good, "1000", "+1000"), 400, "bad_deadline"},
		{"deadline with an exponent", without(good, "1000", "1e3"), 400, "bad_deadline"},
		{"endless deadline", without(good, "1000", strings.Repeat("9", 40)), 400, "bad_deadline"},
		{"repeated id", without(good, "X-Class", "X-Request-Id: other\r\nX-Class"), 400, "repeated_field"},
		{"repeated deadline", without(good, "X-Class", "X-Deadline-Ms: 5\r\nX-Class"), 400, "repeated_field"},
		{"body with GET", without(good, "\r\n\r\n", "\r\nContent-Length: 2\r\n\r\nhi"), 400, "body_with_get"},
		{"folded field", without(good, "X-Tenant: acme", "X-Tenant:\r\n acme"), 400, "folded_field"},
		{"space in a name", without(good, "X-Tenant:", "X Tenant:"), 400, "bad_field_name"},
		{"space before the colon", without(good, "X-Tenant:", "X-Tenant :"), 400, "unreadable"},
		{"no colon", without(good, "X-Tenant: acme", "X-Tenant acme"), 400, "unreadable"},
		{"no host", without(good, "Host: app.svc\r\n", ""), 400, "unreadable"},
		{"two lengths", without(request("bill", 1000), "Content-Length: 9", "Content-Length: 9\r\nContent-Length: 9"), 400, "unreadable"},
		{"signed length", without(request("bill", 1000), "Content-Length: 9", "Content-Length: +9"), 400, "unreadable"},
		{"negative length", without(request("bill", 1000), "Content-Length: 9", "Content-Length: -9"), 400, "unreadable"},
		{"length that is no number", without(request("bill", 1000), "Content-Length: 9", "Content-Length: 9 9"), 400, "unreadable"},
		{"length and encoding", without(request("bill", 1000), "Content-Length: 9\r\n\r\namount=12",
			"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+request("look", 1000)), 400, "length_and_encoding"},
		{"encoding and length", without(request("bill", 1000), "Content-Length: 9\r\n\r\namount=12",
			"Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n9\r\namount=12\r\n0\r\n\r\n"), 400, "length_and_encoding"},
		{"encoding that is none", without(request("bill", 1000), "Content-Length: 9", "Transfer-Encoding: identity"), 400, "bad_encoding"},
		{"unknown encoding", without(request("bill", 1000), "Content-Length: 9", "Transfer-Encoding: gzip"), 400, "unreadable"},
		{"broken chunk", without(request("bill", 1000), "Content-Length: 9\r\n\r\namount=12",
			"Transfer-Encoding: chunked\r\n\r\nzz\r\namount=12\r\n0\r\n\r\n"), 400, "unreadable"},
		{"huge length", without(request("bill", 1000), "Content-Length: 9", "Content-Length: 3000000000"), 413, "body_too_large"},
		{"deadline past", without(good, "1000", "0"), 504, "deadline_past"},
		{"unknown class", strings.ReplaceAll(good, "look", "peek"), 400, "unknown_class"},
		{"no class", without(good, "X-Class: look\r\n", ""), 400, "unknown_class"},
		{"class and path differ", without(good, "GET /look", "GET /bill"), 400, "class_and_path_differ"},
		{"class is only a beginning", without(good, "GET /look", "GET /looking"), 400, "class_and_path_differ"},
		{"wrong method", without(good, "GET", "PUT"), 405, "wrong_method"},
		{"safe by POST", without(good, "GET", "POST"), 405, "wrong_method"},
		{"keyed without a key", without(request("store", 1000), "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n", ""), 400, "no_key"},
		{"garbage", "\x16\x03\x01\x02\x00\x01\r\n\r\n", 400, "unreadable"},
		{"body too large", without(request("bill", 1000), "Content-Length: 9", "Content-Length: 65537"), 413, "body_too_large"},
		{"head too large", without(good, "X-Tenant: acme", "X-Tenant: "+strings.Repeat("a", 8192)), 431, "head_too_large"},
	} {
		before := p.counts().Rejections[c.code]
		a, err := p.do(c.raw)
		if err != nil || a.status != c.status {
			t.Errorf("%s: %v %v, want %d", c.name, a, err, c.status)
		}
		if n := p.counts().Rejections[c.code]; n != before+1 {
			t.Errorf("%s: not counted as %s: %v", c.name, c.code, p.counts().Rejections)
		}
	}
	if n := len(s.requests()); n != 0 {
		t.Errorf("%d attempts for bad input", n)
	}
	if a := p.mustDo(request("look", 1000, "X-Extras: "+strings.Repeat("a=1,", 1500))); a.status != 200 {
		t.Errorf("a head of 6 KiB: status %d", a.status)
	}
	for _, odd := range []string{"X-Cost-Hint: many", "X-Cost-Hint: -5", "X-Cost-Hint: NaN", "X-Extras: ==,,=",
		"X-Retry: maybe"} {
		if a := p.mustDo(request("look", 1000, odd)); a.status != 200 {
			t.Errorf("%s: status %d, want it ignored", odd, a.status)
		}
	}
	if a := p.mustDo(strings.Replace(good, "acme", "nobody", 1)); a.status != 200 {
		t.Errorf("unknown tenant: status %d", a.status)
	}
	p.counts().addUp(t)
}

// A second client sends the id of a request that is in flight. The second one is rejected, the first is served, and the
// id is free again afterwards.
func TestDuplicateIDOfInFlightRequest(t *testing.T) {
	gate := make(chan struct{})
	s := startBackend(t, "s1", respondAfter(gate, respond(200, "done")))
	p, _ := startWithBackends(t, "", s)
	raw := request("bill", 1500)
	first := p.send(raw)
	eventually(t, "the first", func() bool { return len(s.requests()) == 1 })
	if a := p.mustDo(raw); a.status != 409 || !a.closesConn {
		t.Errorf("second: %d, last %v", a.status, a.closesConn)
	}
	close(gate)
	if a := await(t, "the first", first); a.status != 200 {
		t.Errorf("first: %d", a.status)
	}
	if a := p.mustDo(raw); a.status != 200 {
		t.Errorf("afterwards: %d", a.status)
	}
	if n := len(s.requests()); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
}

// A client sends a body of 60 MB. It is rejected before the body has arrived, and the next request is served.
func TestHugeBodyIsRejectedEarly(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(strings.Replace(request("bill", 1000), "Content-Length: 9", "Content-Length: 60000000", 1))
	go func() { _, _ = c.Write(make([]byte, 60_000_000)) }() // the node ends it midway
	if a, err := c.read(); err == nil && a.status != 413 {
		t.Errorf("status %d", a.status)
	}
	if a := p.mustDo(request("look", 1000)); a.status != 200 || len(s.requests()) != 1 {
		t.Errorf("a usual client: %d", a.status)
	}
}

// Requests wait unread in the kernel while the node is suspended. A request whose deadline has passed gets no attempt,
// and another only the time that it has left.
func TestDeadlineCountsFromArrival(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	old, young := p.connect(), p.connect()
	signal := func(sig syscall.Signal) {
		t.Helper()
		if err := p.cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGSTOP)
	eventually(t, "the suspension", p.suspended) // the signal stops its threads one by one
	old.write(request("bill", 200))
	young.write(request("look", 1400))
	time.Sleep(400 * time.Millisecond) // the passing of time is what is tested
	signal(syscall.SIGCONT)
	if a, err := old.read(); err != nil || a.status != 504 {
		t.Errorf("old: %v %v", a, err)
	}
	if a, err := young.read(); err != nil || a.status != 200 {
		t.Errorf("young: %v %v", a, err)
	}
	got := s.requests()
	if len(got) != 1 || !strings.HasPrefix(got[0].line, "GET /look") {
		t.Fatalf("%d attempts, want one for the young", len(got))
	}
	if left, err := strconv.Atoi(got[0].header.Get("X-Deadline-Ms")); err != nil || left > 1020 {
		t.Errorf("the server got a deadline of %d ms", left)
	}
}

// Requests arrive byte by byte, or several in one segment. Each is parsed and served by itself.
func TestRequestsInAnyFragmentation(t *testing.T) {
	p, s := startWithLargeBodies(t, respond(200, "done"))
	c := p.connect()
	raw := request("look", 1400) + request("store", 1400) + postHead("Transfer-Encoding: chunked") + chunked(largeBody(300), 7)
	for i := range raw {
		c.write(raw[i : i+1])
	}
	c.write(raw[:0] + request("bill", 1400) + request("look", 1400))
	for i := range 5 {
		if a, err := c.read(); err != nil || a.status != 200 {
			t.Fatalf("request %d: %d, %v", i, a.status, err)
		}
	}
	if n := len(s.requests()); n != 5 {
		t.Errorf("%d requests at the server", n)
	}
	if !slices.ContainsFunc(s.requests(), func(g receivedRequest) bool { return bytes.Equal(g.body, largeBody(300)) }) {
		t.Error("the chunked body did not come as it was sent")
	}
}

// A client sends a request and a part of the next one. The first response must not wait for the rest of the second
// request.
func TestResponseBeforePartialPipelinedRequest(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(request("look", 1000) + strings.TrimSuffix(request("bill", 1000), "12"))
	if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if a, err := c.read(); err != nil || a.status != 200 {
		t.Errorf("%v, %v: want the answer before the rest of the next request", a, err)
	}
}

// A client sends requests before the first is answered. While the node watches the connection for the client's end, it
// must lose none of their bytes.
func TestPipelinedRequestsAreServed(t *testing.T) {
	gate := make(chan struct{})
	s := startBackend(t, "s1", respondAfter(gate, respond(200, "done")))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(request("look", 1000) + request("bill", 1000) + request("look", 1000)[:20])
	eventually(t, "first request", func() bool { return len(s.requests()) == 1 })
	close(gate)
	for i := range 2 {
		if a, err := c.read(); err != nil || a.status != 200 {
			t.Fatalf("answer %d: %v %v", i, a, err)
		}
	}
	c.write(request("look", 1000)[20:])
	if a, err := c.read(); err != nil || a.status != 200 {
		t.Fatalf("last answer: %v %v", a, err)
	}
	if got := p.counts(); got.Requests["left"] != 0 || got.Requests["served"] != 3 {
		t.Errorf("counted %v", got.Requests)
	}
}
