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

// largeBody returns a body of n bytes in which each group of 8 bytes is unique, so that missing, repeated or reordered
// parts are detected.
func largeBody(n int) []byte {
	b := make([]byte, 0, n+8)
	for i := 0; len(b) < n; i++ {
		b = fmt.Appendf(b, "%07x\n", i)
	}
	return b[:n]
}

// postHead returns the head of a request with a large body, with additional header lines.
func postHead(header ...string) string {
	return "POST /store HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + fmt.Sprintf("9b1f%012x", requestCount.Add(1)) +
		"\r\nX-Class: store\r\nX-Tenant: acme\r\nX-Deadline-Ms: 1400\r\nIdempotency-Key: 5c0f6e1a\r\n" + strings.Join(header, "\r\n") + "\r\n\r\n"
}

// chunked returns a body in the chunked encoding, in chunks of at most size bytes, with chunk extensions and a trailer.
func chunked(body []byte, size int) string {
	var out bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = fmt.Fprintf(&out, "%x;note=\"a\"\r\n%s\r\n", n, body[:n]) // writing to a bytes.Buffer never fails
		body = body[n:]
	}
	return out.String() + "0\r\nX-Sum: 1\r\n\r\n"
}

// startWithLargeBodies starts two servers and a node that has a folder for large bodies. The method
// requests of the returned backend returns the requests of both servers.
func startWithLargeBodies(t *testing.T, act behavior) (*nodeProcess, *backend) {
	t.Helper()
	s, other := startBackend(t, "s1", act), startBackend(t, "s2", act)
	s.otherBackend = other
	d := startDiscoveryServer(t, members(s, other))
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TMPDIR=" + t.TempDir()}})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	return p, s
}

// bodyCounts returns the numbers of files and of buffers in which the node holds large bodies.
func (p *nodeProcess) bodyCounts() (files, buffers int) {
	bodies := p.counts().Bodies
	return bodies["files"], bodies["buffers"]
}

// Requests with bodies of 3 MB, in each form that HTTP defines for them, are rejected by the first server and retried. Each
// must arrive complete at both servers.
func TestLargeRequestsArriveComplete(t *testing.T) {
	sent := largeBody(3 << 20)
	var rejected atomic.Bool
	p, s := startWithLargeBodies(t, func(c net.Conn, req receivedRequest) bool {
		if rejected.CompareAndSwap(false, true) { // the node must keep the file for the retry
			return respond(503, "busy", "X-Not-Run: 1")(c, req)
		}
		return respond(200, "done")(c, req)
	})
	length := fmt.Sprintf("Content-Length: %d", len(sent))
	for name, raw := range map[string]string{
		"length": postHead(length) + string(sent), "chunks": postHead("Transfer-Encoding: chunked") + chunked(sent, 50_000),
		"100-continue":  postHead(length, "Expect: 100-continue") + string(sent),
		"absolute form": strings.Replace(postHead(length), " /store", " http://app.svc/store", 1) + string(sent),
		"HTTP/1.0":      strings.Replace(postHead(length), "HTTP/1.1", "HTTP/1.0", 1) + string(sent),
	} {
		rejected.Store(false)
		c := p.connect()
		go func() { _, _ = io.WriteString(c, raw) }() // a failed write becomes a failed read
		resp, err := c.read()
		if name == "100-continue" && resp.status == 100 {
			resp, err = c.read()
		}
		if err != nil || resp.status != 200 || resp.body != "done" {
			t.Errorf("%s: got %d %q, %v, want 200 \"done\"", name, resp.status, resp.body, err)
			continue
		}
		for _, req := range s.requests() {
			if sha256.Sum256(req.body) != sha256.Sum256(sent) {
				t.Errorf("%s: the server got a body of %d bytes with a wrong checksum", name, len(req.body))
			}
			if req.line != "POST /store HTTP/1.1" {
				t.Errorf("%s: got request line %q, want %q", name, req.line, "POST /store HTTP/1.1")
			}
		}
	}
	eventually(t, "the files and buffers of bodies to be released", func() bool { files, buffers := p.bodyCounts(); return files == 0 && buffers == 0 })
}

// A client asks with Expect: 100-continue whether it may send a body above the limit. It must be rejected before it
// sends any of the body.
func TestExpectContinueAboveLimitIsRejectedBeforeBody(t *testing.T) {
	p, _ := startWithLargeBodies(t, respond(200, "done"))
	if resp := p.mustDo(postHead("Content-Length: 60000000", "Expect: 100-continue")); resp.status != 413 {
		t.Errorf("got status %d before the body, want 413", resp.status)
	}
}

// A body exceeds the limit according to its Content-Length, or without one after some of its chunks. It must be rejected
// with 413. Without a folder for large bodies, the node must reject each large body with 413.
func TestTooLargeRequestsAreRejected(t *testing.T) {
	p, _ := startWithLargeBodies(t, respond(200, "done"))
	if resp := p.mustDo(postHead(fmt.Sprintf("Content-Length: %d", 60_000_000)) + string(largeBody(10_000))); resp.status != 413 {
		t.Errorf("Content-Length of 60 MB: got status %d, want 413", resp.status)
	}
	c := p.connect()
	go func() {
		_, _ = io.WriteString(c, postHead("Transfer-Encoding: chunked"))
		for range 600 {
			_, _ = fmt.Fprintf(c, "186a0\r\n%s\r\n", largeBody(100_000))
		}
	}()
	if resp, err := c.read(); err != nil || resp.status != 413 {
		t.Errorf("60 MB in chunks: got status %d, %v, want 413", resp.status, err)
	}
	nodeWithoutFolder := startNode(t, nodeOptions{discovery: freeAddress(t)})
	if resp := nodeWithoutFolder.mustDo(postHead("Content-Length: 100000") + string(largeBody(100_000))); resp.status != 413 {
		t.Errorf("without $TMPDIR: got status %d, want 413", resp.status)
	}
}

// A client never sends the end of a large body. It must get 408 in time, and the file and buffers must be removed.
func TestIncompleteBodyIsCleanedUp(t *testing.T) {
	p, _ := startWithLargeBodies(t, respond(200, "done"))
	c := p.connect()
	c.write(postHead("Content-Length: 1000000") + string(largeBody(200_000)))
	eventually(t, "the file of the body", func() bool { files, _ := p.bodyCounts(); return files == 1 })
	began := time.Now()
	if resp, err := c.read(); err != nil || resp.status != 408 || time.Since(began) > 6*time.Second {
		t.Errorf("got status %d after %v, %v, want 408 within 6s", resp.status, time.Since(began), err)
	}
	eventually(t, "the files and buffers of bodies to be released", func() bool { files, buffers := p.bodyCounts(); return files == 0 && buffers == 0 })
	if entries, err := os.ReadDir(strings.TrimPrefix(p.cmd.Env[len(p.cmd.Env)-1], "TMPDIR=")); err != nil || len(entries) > 1 {
		t.Errorf("$TMPDIR contains %v, %v, want at most the handover socket", entries, err)
	}
}

// A server must get the beginning of a large body before the client has sent the end. If that server fails meanwhile,
// nothing was executed, and another server must get the complete body. If the client never sends the end, no server may
// get a complete request.
func TestLargeRequestsAreStreamed(t *testing.T) {
	sent := largeBody(1 << 20)
	complete, reset := make(chan []byte, 4), make(chan struct{}, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var resetSent atomic.Bool
	receivedHalf := make(chan int, 4)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		part := make([]byte, len(sent)/2)
		n, _ := io.ReadFull(req.Body, part)
		receivedHalf <- n
		if resetSent.CompareAndSwap(false, true) {
			_ = c.Close() // half of the body is unread, so the kernel sends a reset
			reset <- struct{}{}
			return
		}
		rest, err := io.ReadAll(req.Body)
		if err == nil {
			complete <- append(part, rest...)
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
	for _, id := range []string{"s1", "s2", "s3"} { // all at one listener, so the order in which they are tried is irrelevant
		entry := startBackend(t, id, respond(200, "")).member()
		entry.HostPort = l.Addr().String()
		list = append(list, entry)
	}
	d := startDiscoveryServer(t, list)
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TMPDIR=" + t.TempDir()}})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	c := p.connect()
	c.write(postHead(fmt.Sprintf("Content-Length: %d", len(sent))) + string(sent[:len(sent)-1]))
	select {
	case n := <-receivedHalf:
		if n != len(sent)/2 {
			t.Errorf("a server got %d bytes before the end of the body, want %d", n, len(sent)/2)
		}
	case <-time.After(waitTimeout):
		t.Fatalf("no server got half of the body within %v", waitTimeout)
	}
	<-reset // the node detects the reset now if it is still writing, and otherwise when it writes the last byte
	select {
	case <-complete:
		t.Error("a server got a complete body before the client sent the last byte")
	case <-time.After(50 * time.Millisecond): // no server got a complete body, as expected
	}
	c.write(string(sent[len(sent)-1:]))
	if resp, err := c.read(); err != nil || resp.status != 200 || resp.body != "done" {
		t.Fatalf("got status %d, %v, want 200", resp.status, err)
	}
	if got := <-complete; !bytes.Equal(got, sent) {
		t.Errorf("the server got a different body of %d bytes, want the %d bytes that were sent", len(got), len(sent))
	}
	if n := p.counts().Attempts["written"]; n != 1 {
		t.Errorf("got %d attempts written completely, want 1 (the second)", n)
	}
	// The client sends another request and closes the connection before the last byte. No server may get it complete.
	for len(receivedHalf) > 0 {
		<-receivedHalf
	}
	c = p.connect()
	c.write(postHead(fmt.Sprintf("Content-Length: %d", len(sent))) + string(sent[:len(sent)-1]))
	<-receivedHalf
	_ = c.Close()
	eventually(t, "the files and buffers of bodies to be released", func() bool { files, buffers := p.bodyCounts(); return files == 0 && buffers == 0 })
	select {
	case <-complete:
		t.Error("a server got a complete body, but the client never sent the last byte")
	default:
	}
	p.counts().checkRequestTotals(t)
}

// The folder for large bodies does not exist. Each request that needs it must be rejected and counted, and the cause
// must be logged only once.
func TestMissingBodyFolderIsLoggedOnce(t *testing.T) {
	d, dir, admin := startDiscoveryServer(t, members(startBackend(t, "s1", respond(200, "done")))), t.TempDir()+"/gone", freeAddress(t)
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TMPDIR=" + dir, "ROUTER_OPERATOR=" + admin}})
	for range 3 {
		if resp := p.mustDo(postHead("Content-Length: 100000") + string(largeBody(100_000))); resp.status != 503 || resp.header.Get("Retry-After") == "" {
			t.Errorf("got status %d, header %v, want 503 with Retry-After", resp.status, resp.header)
		}
	}
	if n := strings.Count(p.log.String(), `"code":"no_room"`); n != 1 {
		t.Errorf("got %d log lines with code no_room, want 1", n)
	}
	if stats := queryAdminStats(t, admin); stats.Operations["store"]["throttled"] != 3 {
		t.Errorf("operations of store: got %v, want 3 throttled", stats.Operations["store"])
	}
}
