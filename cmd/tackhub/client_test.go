package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// response is one response of the node.
type response struct {
	status     int
	header     http.Header
	body       string
	closesConn bool // the node announced that it closes the connection
	took       time.Duration
}

// client is one client's connection.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (p *nodeProcess) dial() (*client, error) {
	c, err := net.DialTimeout("tcp", p.addr, waitTimeout)
	if err != nil {
		return nil, err
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(2 * waitTimeout))
	return &client{t: p.t, Conn: c, r: bufio.NewReader(c)}, nil
}

func (p *nodeProcess) connect() *client {
	p.t.Helper()
	c, err := p.dial()
	if err != nil {
		p.t.Fatal(err)
	}
	return c
}

func (c *client) write(raw string) {
	c.t.Helper()
	if _, err := io.WriteString(c, raw); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) read() (response, error) {
	began := time.Now()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), resp.Close, time.Since(began)}, err
}

func (p *nodeProcess) do(raw string) (response, error) {
	c, err := p.dial()
	if err != nil {
		return response{}, err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, raw); err != nil {
		return response{}, err
	}
	return c.read()
}

func (p *nodeProcess) mustDo(raw string) response {
	p.t.Helper()
	a, err := p.do(raw)
	if err != nil {
		p.t.Fatalf("no answer: %v", err)
	}
	return a
}

// requestCount counts the requests, so that each has an id of its own.
var requestCount atomic.Int64

// request is a request of a class, in the protocol's form.
func request(class string, deadline int, more ...string) string {
	head, body := "GET", ""
	if class != "look" {
		head, body = "POST", "amount=12"
		more = append(more, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	if class == "store" {
		more = append(more, "Idempotency-Key: 5c0f6e1a2b3d4c59")
	}
	head += " /" + class + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + fmt.Sprintf("9b1f%012x", requestCount.Add(1)) + "\r\nX-Class: " + class +
		"\r\nX-Tenant: acme\r\nX-Deadline-Ms: " + fmt.Sprint(deadline) + "\r\n"
	for _, m := range more {
		head += m + "\r\n"
	}
	return head + "\r\n" + body
}

// requestID is a request's X-Request-Id.
func requestID(request string) string {
	_, id, _ := strings.Cut(request, "X-Request-Id: ")
	return id[:16]
}

// asyncResult is what a request in the background got.
type asyncResult struct {
	a   response
	err error
}

// send sends a request in the background.
func (p *nodeProcess) send(raw string) <-chan asyncResult {
	out := make(chan asyncResult, 1)
	go func() {
		a, err := p.do(raw)
		out <- asyncResult{a, err}
	}()
	return out
}

// await waits for the response of a request in the background.
func await(t *testing.T, what string, from <-chan asyncResult) response {
	t.Helper()
	select {
	case o := <-from:
		if o.err != nil {
			t.Fatalf("%s: %v", what, o.err)
		}
		return o.a
	case <-time.After(waitTimeout):
		t.Fatalf("%s: nothing came", what)
	}
	return response{}
}

// doOn sends a request on a connection and reads the response.
func doOn(c *client) (response, error) {
	if _, err := c.Write([]byte(request("look", 1000))); err != nil {
		return response{}, err
	}
	return c.read()
}

// cancel ends a client's connection: by a FIN behind what it has sent, or by a reset.
func (c *client) cancel(hard bool) {
	if hard {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// cancelWays are the ways in which a client's connection ends; true for a reset.
var cancelWays = map[string]bool{"closed": false, "reset": true}
