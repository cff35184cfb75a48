package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// adminStats holds the fields of the admin listener's /stats response that the tests check.
type adminStats struct {
	Operations   map[string]map[string]int `json:"operations"`
	Relayed      int                       `json:"relayed"`
	OpenRequests int                       `json:"open_requests"`
	Endpoints    int                       `json:"registry_entries"`
	Ejected      int                       `json:"out_of_rotation"`
}

// startWithAdmin starts a discovery server and a node with an admin listener, and returns the listener's address.
func startWithAdmin(t *testing.T, servers ...*backend) (p *nodeProcess, admin string) {
	t.Helper()
	d := startDiscoveryServer(t, members(servers...))
	admin = freeAddress(t)
	p = startNode(t, nodeOptions{discovery: d.addr, env: []string{"ROUTER_OPERATOR=" + admin}})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	return p, admin
}

// adminCall sends one request to the admin listener and returns its response.
func adminCall(t *testing.T, admin, method, path string) response {
	t.Helper()
	c, err := net.DialTimeout("tcp", admin, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: staff\r\n\r\n", method, path) // if the write fails, so does the read
	raw, err := io.ReadAll(c)                                                    // the node closes the connection after one response
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
	if err != nil {
		t.Fatalf("%s %s: %v in %q", method, path, err, raw)
	}
	body, _ := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body)}
}

// queryAdminStats returns the statistics that the admin listener reports.
func queryAdminStats(t *testing.T, admin string) (stats adminStats) {
	t.Helper()
	resp := adminCall(t, admin, "GET", "/stats")
	if err := json.Unmarshal([]byte(resp.body), &stats); err != nil || resp.status != 200 {
		t.Fatalf("GET /stats: status %d, %v, body %s", resp.status, err, resp.body)
	}
	return stats
}

// The admin listener serves four endpoints. Any other path is answered with 404, and a wrong method with 405 and the allowed
// method in Allow.
func TestAdminEndpoints(t *testing.T) {
	_, admin := startWithAdmin(t, startBackend(t, "s1", respond(200, "done")))
	for _, c := range []struct {
		method, path string
		status       int
		allow        string
	}{
		{"GET", "/healthcheck", 200, ""}, {"GET", "/stats", 200, ""}, {"PUT", "/healthcheck/ok", 200, ""},
		{"POST", "/stats", 405, "GET"}, {"GET", "/healthcheck/fail", 405, "PUT"},
		{"GET", "/", 404, ""}, {"GET", "/_counters", 404, ""}, {"noise", "", 400, ""},
	} {
		if resp := adminCall(t, admin, c.method, c.path); resp.status != c.status || resp.header.Get("Allow") != c.allow {
			t.Errorf("%s %s: status %d, Allow %q, want %d, %q", c.method, c.path, resp.status, resp.header.Get("Allow"), c.status, c.allow)
		}
	}
}

// Clients use all connections that the node accepts, and 60 connections without a complete request are open to the admin
// listener. The admin listener must still answer a health check within a second.
func TestAdminAnswersAtConnectionLimit(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d, admin := startDiscoveryServer(t, members(s)), freeAddress(t)
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 96, env: []string{"ROUTER_OPERATOR=" + admin}})
	for range 40 { // more than the node accepts
		p.connect().write("GET /look HTTP/1.1\r\n")
	}
	for i := range 60 {
		c, err := net.Dial("tcp", admin)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /st")
		}
	}
	began := time.Now()
	if resp := adminCall(t, admin, "GET", "/healthcheck"); resp.status != 200 || time.Since(began) > time.Second {
		t.Errorf("health check: status %d after %v, want 200 within a second", resp.status, time.Since(began))
	}
}

// The admin statistics must agree with the responses that clients received and the requests that the server received, for
// fulfilled, throttled and failed requests.
func TestAdminStatsMatchTraffic(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, admin := startWithAdmin(t, s)
	if stats := queryAdminStats(t, admin); len(stats.Operations) != 3 || stats.Endpoints != 1 || stats.Ejected != 0 {
		t.Errorf("stats before the first request = %+v, want three classes, one server and no ejection", stats)
	}
	statusCounts := map[string]int{}
	sendRequests := func(class string, n int) {
		for range n {
			statusCounts[fmt.Sprint(class, p.mustDo(request(class, 500)).status)]++
		}
	}
	sendRequests("look", 5)
	sendRequests("store", 3)
	s.setBehavior(respond(500, "no"))
	sendRequests("bill", 2)
	s.setBehavior(respond(503, "busy", "X-Not-Run: 1"))
	sendRequests("look", 2)
	p.mustDo("GET /look HTTP/1.1\r\nHost: x\r\nX-Class: look\r\n\r\n") // rejected without an attempt, as it has no request ID
	gate := make(chan struct{})
	s.setBehavior(respondAfter(gate, respond(200, "done")))
	inFlight := p.send(request("store", 1400))
	eventually(t, "a request in flight", func() bool { return queryAdminStats(t, admin).OpenRequests == 1 })
	stats := queryAdminStats(t, admin)
	close(gate)
	await(t, "the request in flight", inFlight)
	for _, class := range []string{"look", "store", "bill"} {
		operations := stats.Operations[class]
		if operations["fulfilled"] != statusCounts[class+"200"] || operations["throttled"] != statusCounts[class+"503"] ||
			operations["faulted"] != statusCounts[class+"502"]+statusCounts[class+"504"] {
			t.Errorf("%s: stats = %v, but the clients' status counts are %v", class, operations, statusCounts)
		}
		received := 0
		for _, r := range s.requests() {
			if strings.Contains(r.line, "/"+class) {
				received++
			}
		}
		if operations["relayed"] != received {
			t.Errorf("%s: relayed = %d, want %d as received by the server", class, operations["relayed"], received)
		}
	}
	if total := len(s.requests()); stats.Relayed != total {
		t.Errorf("relayed = %d, want %d as received by the server", stats.Relayed, total)
	}
	if statusCounts["look200"] != 5 || statusCounts["bill502"] != 2 || statusCounts["look503"] != 2 {
		t.Errorf("status counts of the clients = %v, want look200:5, bill502:2 and look503:2", statusCounts)
	}
}

// An operator drains the node through the admin listener and resumes it later. During the drain the node serves the
// request in flight and a new one, and closes idle connections; after it, the node is healthy again. SIGTERM during a
// drain must end the process with exit code 0.
func TestAdminDrainServesRequestsAndResumes(t *testing.T) {
	gate := make(chan struct{})
	p, admin := startWithAdmin(t, startBackend(t, "s1", respondAfter(gate, respond(200, "done"))))
	healthStatusIs := func(status int) func() bool {
		return func() bool {
			resp, err := p.do("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			return err == nil && resp.status == status
		}
	}
	idle, busy := p.connect(), p.connect()
	idle.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := idle.read(); err != nil {
		t.Fatal(err)
	}
	busy.write(request("bill", 1500))
	eventually(t, "a request in flight", func() bool { return p.counts().Requests["open"] == 1 })
	for range 2 { // the second call repeats the drain while it is active
		if resp := adminCall(t, admin, "PUT", "/healthcheck/fail"); resp.status != 200 {
			t.Fatalf("PUT /healthcheck/fail: status %d, want 200", resp.status)
		}
	}
	if !healthStatusIs(503)() || adminCall(t, admin, "GET", "/healthcheck").status != 503 {
		t.Error("the node reports healthy during the drain, want 503")
	}
	duringDrain := p.send(request("look", 1500))
	close(gate)
	if resp, err := busy.read(); err != nil || resp.status != 200 || !resp.closesConn {
		t.Errorf("request in flight: %+v, %v, want 200 and a closed connection", resp, err)
	}
	if resp := await(t, "request sent during the drain", duringDrain); resp.status != 200 || !resp.closesConn {
		t.Errorf("request sent during the drain: %+v, want 200 and a closed connection", resp)
	}
	if _, err := idle.read(); err != io.EOF && err != io.ErrUnexpectedEOF {
		t.Errorf("read from the idle connection: %v, want EOF", err)
	}
	for range 2 { // no drain is active during the second call
		adminCall(t, admin, "PUT", "/healthcheck/ok")
	}
	if !healthStatusIs(200)() || adminCall(t, admin, "GET", "/healthcheck").status != 200 {
		t.Error("the node does not report healthy after the drain, want 200")
	}
	if resp := p.mustDo(request("look", 500)); resp.status != 200 {
		t.Errorf("request after the drain: status %d, want 200", resp.status)
	}
	adminCall(t, admin, "PUT", "/healthcheck/fail")
	p.terminate()
	if code := p.exit(); code != 0 {
		t.Errorf("SIGTERM during a drain: exit code %d, want 0", code)
	}
}

// The admin listener's address is already in use. The node must exit with one line that names the environment variable.
func TestStartFailsIfAdminAddressIsInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	cmd := exec.Command(program)
	cmd.Env = append(environment(t, freeAddress(t), nodeOptions{discovery: freeAddress(t)}), "ROUTER_OPERATOR="+l.Addr().String())
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "ROUTER_OPERATOR") || strings.Count(strings.TrimSpace(string(out)), "\n") != 0 {
		t.Errorf("error %v, output %q, want a failure with one line that names ROUTER_OPERATOR", err, out)
	}
}
