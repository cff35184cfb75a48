package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// largeBody is a body of n bytes in which no two pieces are alike.
func largeBody(n int) []byte {
	b := make([]byte, 0, n+8)
	for i := 0; len(b) < n; i++ {
		b = fmt.Appendf(b, "%07x\n", i)
	}
	return b[:n]
}

// postHead is the head of a request with a large body.
func postHead(more ...string) string {
	return "POST /store HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + fmt.Sprintf("9b1f%012x", requestCount.Add(1)) +
		"\r\nX-Class: store\r\nX-Tenant: acme\r\nX-Deadline-Ms: 1400\r\nIdempotency-Key: 5c0f6e1a\r\n" + strings.Join(more, "\r\n") + "\r\n\r\n"
}

// chunked is a body in the chunked encoding, with extensions and a trailer.
func chunked(b []byte, size int) string {
	var out bytes.Buffer
	for len(b) > 0 {
		n := min(size, len(b))
		_, _ = fmt.Fprintf(&out, "%x;note=\"a\"\r\n%s\r\n", n, b[:n]) // a buffer takes all
		b = b[n:]
	}
	return out.String() + "0\r\nX-Sum: 1\r\n\r\n"
}

// startWithLargeBodies starts two servers and a node that has a folder for large bodies.
func startWithLargeBodies(t *testing.T, act behavior) (*nodeProcess, *backend) {
	t.Helper()
	s, other := startBackend(t, "s1", act), startBackend(t, "s2", act)
	s.alsoCounts = other
	d := startDiscoveryServer(t, members(s, other))
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TMPDIR=" + t.TempDir()}})
	eventually(t, "watch", func() bool { return d.watchCount() > 0 })
	return p, s
}

// bodyCounts are the large bodies that the node holds in files and in buffers.
func (p *nodeProcess) bodyCounts() (files, buffers int) {
	b := p.counts().Bodies
	return b["files"], b["buffers"]
}

// Requests with bodies of 3 MB arrive whole in each form that HTTP has for them, also when the first server rejects
// them and they are sent again.
func TestLargeRequestsArriveWhole(t *testing.T) {
	b := largeBody(3 << 20)
	var busy atomic.Bool
	p, s := startWithLargeBodies(t, func(c net.Conn, g receivedRequest) bool {
		if busy.CompareAndSwap(false, true) { // the file is kept: it can be sent again
			return respond(503, "busy", "X-Not-Run: 1")(c, g)
		}
		return respond(200, "done")(c, g)
	})
	length := fmt.Sprintf("Content-Length: %d", len(b))
	for name, raw := range map[string]string{
		"length": postHead(length) + string(b), "chunks": postHead("Transfer-Encoding: chunked") + chunked(b, 50_000),
		"100-continue":  postHead(length, "Expect: 100-continue") + string(b),
		"absolute form": strings.Replace(postHead(length), " /store", " http://app.svc/store", 1) + string(b),
		"HTTP/1.0":      strings.Replace(postHead(length), "HTTP/1.1", "HTTP/1.0", 1) + string(b),
	} {
		busy.Store(false)
		c := p.connect()
		go func() { _, _ = io.WriteString(c, raw) }() // the reading shows a failure
		a, err := c.read()
		if name == "100-continue" && a.status == 100 {
			a, err = c.read()
		}
		if err != nil || a.status != 200 || a.body != "done" {
			t.Errorf("%s: %d %q, %v", name, a.status, a.body, err)
			continue
		}
		for _, g := range s.requests() {
			if sha256.Sum256(g.body) != sha256.Sum256(b) {
				t.Errorf("%s: the server got %d bytes of another body", name, len(g.body))
			}
			if g.line != "POST /store HTTP/1.1" {
				t.Errorf("%s: %s", name, g.line)
			}
		}
	}
	eventually(t, "no room held", func() bool { f, b := p.bodyCounts(); return f == 0 && b == 0 })
}

// A client asks whether it may send a body above the limit. It is rejected before it sends any of it.
func TestExpectContinueBeyondLimit(t *testing.T) {
	p, _ := startWithLargeBodies(t, respond(200, "done"))
	if a := p.mustDo(postHead("Content-Length: 60000000", "Expect: 100-continue")); a.status != 413 {
		t.Errorf("status %d before the body", a.status)
	}
}

// A body is above the limit, announced or only found out while it arrives. It is rejected with 413, as is each large
// body where the node has no folder for them.
func TestTooLargeRequestsAreRejected(t *testing.T) {
	p, _ := startWithLargeBodies(t, respond(200, "done"))
	if a := p.mustDo(postHead(fmt.Sprintf("Content-Length: %d", 60_000_000)) + string(largeBody(10_000))); a.status != 413 {
		t.Errorf("60 MB announced: %d", a.status)
	}
	c := p.connect()
	go func() {
		_, _ = io.WriteString(c, postHead("Transfer-Encoding: chunked"))
		for range 600 {
			_, _ = fmt.Fprintf(c, "186a0\r\n%s\r\n", largeBody(100_000))
		}
	}()
	if a, err := c.read(); err != nil || a.status != 413 {
		t.Errorf("60 MB in chunks: %d, %v", a.status, err)
	}
	node := startNode(t, nodeOptions{discovery: freeAddress(t)})
	if a := node.mustDo(postHead("Content-Length: 100000") + string(largeBody(100_000))); a.status != 413 {
		t.Errorf("without $TMPDIR: %d", a.status)
	}
}

// A client never sends the end of a large body. It gets 408 in time, and its file and buffers are removed.
func TestIncompleteBodyIsCleanedUp(t *testing.T) {
	p, _ := startWithLargeBodies(t, respond(200, "done"))
	c := p.connect()
	c.write(postHead("Content-Length: 1000000") + string(largeBody(200_000)))
	eventually(t, "its file", func() bool { f, _ := p.bodyCounts(); return f == 1 })
	began := time.Now()
	if a, err := c.read(); err != nil || a.status != 408 || time.Since(began) > 6*time.Second {
		t.Errorf("status %d after %v, %v", a.status, time.Since(began), err)
	}
	eventually(t, "no room held", func() bool { f, b := p.bodyCounts(); return f == 0 && b == 0 })
	if left, err := os.ReadDir(strings.TrimPrefix(p.cmd.Env[len(p.cmd.Env)-1], "TMPDIR=")); err != nil || len(left) > 1 {
		t.Errorf("left behind: %v, %v", left, err) // the handover's socket alone
	}
}

// A server gets the beginning of a large body before the client has sent the end. If that server fails meanwhile,
// nothing has been executed, and another one gets the whole body. A body whose end never comes reaches no server whole.
func TestLargeRequestsAreStreamed(t *testing.T) {
	b := largeBody(1 << 20)
	whole, broken := make(chan []byte, 4), make(chan struct{}, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var first atomic.Bool
	began := make(chan int, 4)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		part := make([]byte, len(b)/2)
		n, _ := io.ReadFull(req.Body, part)
		began <- n
		if first.CompareAndSwap(false, true) {
			_ = c.Close() // with the other half unread, so it is reset
			broken <- struct{}{}
			return
		}
		rest, err := io.ReadAll(req.Body)
		if err == nil {
			whole <- append(part, rest...)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	var list []member
	for _, id := range []string{"s1", "s2", "s3"} { // one listener: which of them is asked first does not matter
		m := startBackend(t, id, respond(200, "")).member()
		m.HostPort = l.Addr().String()
		list = append(list, m)
	}
	d := startDiscoveryServer(t, list)
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TMPDIR=" + t.TempDir()}})
	eventually(t, "watch", func() bool { return d.watchCount() > 0 })
	c := p.connect()
	c.write(postHead(fmt.Sprintf("Content-Length: %d", len(b))) + string(b[:len(b)-1]))
	select {
	case n := <-began:
		if n != len(b)/2 {
			t.Errorf("a server got %d bytes ahead", n)
		}
	case <-time.After(waitTimeout):
		t.Fatal("no server got any of it ahead of its end")
	}
	<-broken // which the node notices now, if it is still writing, or with the last piece
	select {
	case <-whole:
		t.Error("a server got the whole body before its end had come")
	case <-time.After(50 * time.Millisecond): // it must not come
	}
	c.write(string(b[len(b)-1:]))
	if a, err := c.read(); err != nil || a.status != 200 || a.body != "done" {
		t.Fatalf("%d, %v", a.status, err)
	}
	if got := <-whole; !bytes.Equal(got, b) {
		t.Errorf("the server got %d other bytes", len(got))
	}
	if n := p.counts().Attempts["written"]; n != 1 {
		t.Errorf("%d attempts written whole, want the second alone", n)
	}
	// One that never gets its end is no request at any server.
	for len(began) > 0 {
		<-began
	}
	c = p.connect()
	c.write(postHead(fmt.Sprintf("Content-Length: %d", len(b))) + string(b[:len(b)-1]))
	<-began
	_ = c.Close()
	eventually(t, "no room held", func() bool { f, b := p.bodyCounts(); return f == 0 && b == 0 })
	select {
	case <-whole:
		t.Error("a body without its end came to a server whole")
	default:
	}
	p.counts().addUp(t)
}

// The folder for large bodies cannot be used. Each request that needs it is rejected and counted, and the cause is
// logged once.
func TestMissingBodyFolderIsLoggedOnce(t *testing.T) {
	d, dir, admin := startDiscoveryServer(t, members(startBackend(t, "s1", respond(200, "done")))), t.TempDir()+"/gone", freeAddress(t)
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TMPDIR=" + dir, "ROUTER_OPERATOR=" + admin}})
	for range 3 {
		if a := p.mustDo(postHead("Content-Length: 100000") + string(largeBody(100_000))); a.status != 503 || a.header.Get("Retry-After") == "" {
			t.Errorf("status %d, %v", a.status, a.header)
		}
	}
	if n := strings.Count(p.log.String(), `"code":"no_room"`); n != 1 {
		t.Errorf("%d lines", n)
	}
	if f := queryAdminStats(t, admin); f.Operations["store"]["throttled"] != 3 {
		t.Errorf("figures %v", f.Operations["store"])
	}
}
