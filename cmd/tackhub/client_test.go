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

// response is a response from the node.
type response struct {
	status     int
	header     http.Header
	body       string
	closesConn bool          // the response announces that the node closes the connection
	took       time.Duration // from the start of the read to the end of the body
}

// client is a client connection to the node.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

// dial opens a client connection to the node.
func (p *nodeProcess) dial() (*client, error) {
	c, err := net.DialTimeout("tcp", p.addr, waitTimeout)
	if err != nil {
		return nil, err
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(2 * waitTimeout))
	return &client{t: p.t, Conn: c, r: bufio.NewReader(c)}, nil
}

// connect is dial, but fails the test on an error.
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

// read reads one response.
func (c *client) read() (response, error) {
	began := time.Now()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), resp.Close, time.Since(began)}, err
}

// do sends a raw request on a new connection and reads the response.
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

// mustDo is do, but fails the test on an error.
func (p *nodeProcess) mustDo(raw string) response {
	p.t.Helper()
	resp, err := p.do(raw)
	if err != nil {
		p.t.Fatalf("no response to %.40q: %v", raw, err)
	}
	return resp
}

// requestCount counts the requests of this test run and makes their ids unique.
var requestCount atomic.Int64

// request returns a raw HTTP request of a class, with the deadline in milliseconds and additional header lines.
func request(class string, deadlineMs int, header ...string) string {
	head, body := "GET", ""
	if class != "look" {
		head, body = "POST", "amount=12"
		header = append(header, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	if class == "store" {
		header = append(header, "Idempotency-Key: 5c0f6e1a2b3d4c59")
	}
	head += " /" + class + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + fmt.Sprintf("9b1f%012x", requestCount.Add(1)) + "\r\nX-Class: " + class +
		"\r\nX-Tenant: acme\r\nX-Deadline-Ms: " + fmt.Sprint(deadlineMs) + "\r\n"
	for _, h := range header {
		head += h + "\r\n"
	}
	return head + "\r\n" + body
}

// requestID returns the X-Request-Id of a raw request.
func requestID(request string) string {
	_, id, _ := strings.Cut(request, "X-Request-Id: ")
	return id[:16]
}

// asyncResult is the response to a request sent in the background, or the error.
type asyncResult struct {
	resp response
	err  error
}

// send sends a raw request in the background.
func (p *nodeProcess) send(raw string) <-chan asyncResult {
	out := make(chan asyncResult, 1)
	go func() {
		resp, err := p.do(raw)
		out <- asyncResult{resp, err}
	}()
	return out
}

// await waits for the response of a request in the background.
func await(t *testing.T, description string, pending <-chan asyncResult) response {
	t.Helper()
	select {
	case result := <-pending:
		if result.err != nil {
			t.Fatalf("%s: %v", description, result.err)
		}
		return result.resp
	case <-time.After(waitTimeout):
		t.Fatalf("%s: no response within %v", description, waitTimeout)
	}
	return response{}
}

// doOn sends a request on an open connection and reads the response.
func doOn(c *client) (response, error) {
	if _, err := c.Write([]byte(request("look", 1000))); err != nil {
		return response{}, err
	}
	return c.read()
}

// disconnect closes the client's connection: with a reset, or else with a FIN after the sent data.
func (c *client) disconnect(reset bool) {
	if reset {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// disconnectModes maps the name of each way to close a client's connection to the argument of client.disconnect.
var disconnectModes = map[string]bool{"closed": false, "reset": true}
