package podsoak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// requestDeadline is the deadline of each request.
	requestDeadline = 1200 * time.Millisecond

	// responseMargin is how much longer a client waits for a response.
	responseMargin = 300 * time.Millisecond
)

// send sends one request on a connection of its own and reports whether it was served.
func send(address string, client, number int, keyed bool) bool {
	conn, err := net.DialTimeout("tcp", address, requestDeadline)
	if err != nil {
		time.Sleep(5 * time.Millisecond) // the node is being started
		return false
	}
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(time.Now().Add(requestDeadline+responseMargin)) != nil {
		return false
	}
	method, class, fields := "GET", "look", ""
	if keyed {
		method, class, fields = "POST", "store", fmt.Sprintf("Idempotency-Key: key-%d-%d\r\nContent-Length: 0\r\n", client, number)
	}
	_, err = fmt.Fprintf(conn, "%s /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %08x%08x\r\nX-Class: %s\r\nX-Tenant: t0\r\nX-Deadline-Ms: %d\r\n%s\r\n",
		method, class, client, number, class, requestDeadline.Milliseconds(), fields)
	if err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
