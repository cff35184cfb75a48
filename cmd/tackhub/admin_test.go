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

// adminStats is what the admin listener reports.
type adminStats struct {
	Operations map[string]map[string]int `json:"operations"`
	Relayed    int                       `json:"relayed"`
	Open       int                       `json:"open_requests"`
	Entries    int                       `json:"registry_entries"`
	Ejected    int                       `json:"out_of_rotation"`
}

// startWithAdmin starts a discovery and a node with an admin listener.
func startWithAdmin(t *testing.T, servers ...*backend) (p *nodeProcess, admin string) {
	t.Helper()
	d := startDiscoveryServer(t, members(servers...))
	admin = freeAddress(t)
	p = startNode(t, nodeOptions{discovery: d.addr, env: []string{"ROUTER_OPERATOR=" + admin}})
	eventually(t, "watch", func() bool { return d.watchCount() > 0 })
	return p, admin
}

// adminCall makes one call to an admin listener.
func adminCall(t *testing.T, admin, method, path string) response {
	t.Helper()
	c, err := net.DialTimeout("tcp", admin, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: staff\r\n\r\n", method, path) // a failure shows in the reading
	raw, err := io.ReadAll(c)                                                    // one call to a connection: it ends
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

// queryAdminStats reads the statistics of an admin listener.
func queryAdminStats(t *testing.T, admin string) (f adminStats) {
	t.Helper()
	a := adminCall(t, admin, "GET", "/stats")
	if err := json.Unmarshal([]byte(a.body), &f); err != nil || a.status != 200 {
		t.Fatalf("%d, %v in %s", a.status, err, a.body)
	}
	return f
}

// The admin listener has four calls. Another method gets 405 with the allowed one, another path 404.
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
		if a := adminCall(t, admin, c.method, c.path); a.status != c.status || a.header.Get("Allow") != c.allow {
			t.Errorf("%s %s: %d, allow %q", c.method, c.path, a.status, a.header.Get("Allow"))
		}
	}
}

// Clients hold all connections that the node has, and silent callers wait at the admin listener. A health check must
// still be answered within a second.
func TestAdminAnswersAtConnectionLimit(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d, admin := startDiscoveryServer(t, members(s)), freeAddress(t)
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 96, env: []string{"ROUTER_OPERATOR=" + admin}})
	for range 40 { // more than the node takes
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
	if a := adminCall(t, admin, "GET", "/healthcheck"); a.status != 200 || time.Since(began) > time.Second {
		t.Errorf("status %d after %v", a.status, time.Since(began))
	}
}

// The admin statistics are compared with what clients and servers counted, over every outcome.
func TestAdminStatsMatchTraffic(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, admin := startWithAdmin(t, s)
	if f := queryAdminStats(t, admin); len(f.Operations) != 3 || f.Entries != 1 || f.Ejected != 0 {
		t.Errorf("at the start %+v", f)
	}
	seen := map[string]int{}
	ask := func(class string, n int) {
		for range n {
			seen[fmt.Sprint(class, p.mustDo(request(class, 500)).status)]++
		}
	}
	ask("look", 5)
	ask("store", 3)
	s.setBehavior(respond(500, "no"))
	ask("bill", 2)
	s.setBehavior(respond(503, "busy", "X-Not-Run: 1"))
	ask("look", 2)
	p.mustDo("GET /look HTTP/1.1\r\nHost: x\r\nX-Class: look\r\n\r\n") // no request: it has no id
	gate := make(chan struct{})
	s.setBehavior(respondAfter(gate, respond(200, "done")))
	inFlight := p.send(request("store", 1400))
	eventually(t, "a request in flight", func() bool { return queryAdminStats(t, admin).Open == 1 })
	f := queryAdminStats(t, admin)
	close(gate)
	await(t, "the request in flight", inFlight)
	for _, class := range []string{"look", "store", "bill"} {
		o := f.Operations[class]
		if o["fulfilled"] != seen[class+"200"] || o["throttled"] != seen[class+"503"] ||
			o["faulted"] != seen[class+"502"]+seen[class+"504"] {
			t.Errorf("%s: %v, but clients saw %v", class, o, seen)
		}
		got := 0
		for _, r := range s.requests() {
			if strings.Contains(r.line, "/"+class) {
				got++
			}
		}
		if o["relayed"] != got {
			t.Errorf("%s: %d attempts, but the server got %d", class, o["relayed"], got)
		}
	}
	if all := len(s.requests()); f.Relayed != all {
		t.Errorf("%d attempts, but the server got %d", f.Relayed, all)
	}
	if seen["look200"] != 5 || seen["bill502"] != 2 || seen["look503"] != 2 {
		t.Errorf("the traffic was not mixed: %v", seen)
	}
}

// An operator drains the node by the admin listener and ends the drain. The request in flight and one that came
// meanwhile are served, idle connections are closed, and the node serves again. SIGTERM during a drain ends it as
// planned.
func TestAdminDrainAndResume(t *testing.T) {
	gate := make(chan struct{})
	p, admin := startWithAdmin(t, startBackend(t, "s1", respondAfter(gate, respond(200, "done"))))
	health := func(status int) func() bool {
		return func() bool {
			a, err := p.do("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			return err == nil && a.status == status
		}
	}
	idle, busy := p.connect(), p.connect()
	idle.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := idle.read(); err != nil {
		t.Fatal(err)
	}
	busy.write(request("bill", 1500))
	eventually(t, "a request in flight", func() bool { return p.counts().Requests["open"] == 1 })
	for range 2 { // a drain during a drain
		if a := adminCall(t, admin, "PUT", "/healthcheck/fail"); a.status != 200 {
			t.Fatalf("drain: %d", a.status)
		}
	}
	if !health(503)() || adminCall(t, admin, "GET", "/healthcheck").status != 503 {
		t.Error("a drained node reports healthy")
	}
	late := p.send(request("look", 1500))
	close(gate)
	if a, err := busy.read(); err != nil || a.status != 200 || !a.closesConn {
		t.Errorf("the request in flight: %+v, %v", a, err)
	}
	if a := await(t, "one that came during the drain", late); a.status != 200 || !a.closesConn {
		t.Errorf("one that came during the drain: %+v", a)
	}
	if _, err := idle.read(); err != io.EOF && err != io.ErrUnexpectedEOF {
		t.Errorf("the idle connection: %v", err)
	}
	for range 2 { // also without a drain
		adminCall(t, admin, "PUT", "/healthcheck/ok")
	}
	if !health(200)() || adminCall(t, admin, "GET", "/healthcheck").status != 200 {
		t.Error("not healthy after the drain")
	}
	if a := p.mustDo(request("look", 500)); a.status != 200 {
		t.Errorf("after the drain: %d", a.status)
	}
	adminCall(t, admin, "PUT", "/healthcheck/fail")
	p.terminate()
	if code := p.exit(); code != 0 {
		t.Errorf("SIGTERM during a drain: exit %d", code)
	}
}

// The admin listener's address is in use. The start fails with one line that names the variable.
func TestAdminAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	cmd := exec.Command(program)
	cmd.Env = append(environment(t, freeAddress(t), nodeOptions{discovery: freeAddress(t)}), "ROUTER_OPERATOR="+l.Addr().String())
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "ROUTER_OPERATOR") || strings.Count(strings.TrimSpace(string(out)), "\n") != 0 {
		t.Errorf("%v, said %q", err, out)
	}
}
