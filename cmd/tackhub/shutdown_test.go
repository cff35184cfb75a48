package main

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// SIGTERM comes while requests are in flight, and the platform's front still opens connections. Requests in flight and
// late ones are served, health turns to 503, idle connections are closed, and the exit code is 0.
func TestShutdownLosesNoRequest(t *testing.T) {
	gate := make(chan struct{})
	var servers []*backend
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5"} {
		servers = append(servers, startBackend(t, id, respondAfter(gate, respond(200, "done"))))
	}
	p, _ := startWithBackends(t, "", servers...)
	sent := func(n int) func() bool {
		return func() bool {
			got := 0
			for _, s := range servers {
				got += len(s.requests())
			}
			return got == n
		}
	}
	idle, kept := p.connect(), p.connect()
	kept.write(request("bill", 1500))
	inFlight := p.send(request("look", 1500))
	eventually(t, "requests in flight", sent(2))
	p.terminate()
	eventually(t, "drain", func() bool { return strings.Contains(p.log.String(), `"code":"drain"`) })
	late := p.send(request("look", 1500)) // the front goes on dealing connections out
	eventually(t, "the late request", sent(3))
	if a := p.mustDo("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); a.status != 503 {
		t.Errorf("health is %d while draining", a.status)
	}
	close(gate)
	if a := await(t, "in flight", inFlight); a.status != 200 {
		t.Errorf("in flight: %d", a.status)
	}
	if a := await(t, "late", late); a.status != 200 || !a.closesConn {
		t.Errorf("late: %d, last %v", a.status, a.closesConn)
	}
	if a, err := kept.read(); err != nil || a.status != 200 {
		t.Errorf("kept: %v %v", a, err)
	}
	if _, err := idle.read(); err == nil {
		t.Error("an idle connection got an answer")
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if !strings.Contains(p.log.String(), `"code":"counters"`) || !strings.Contains(p.log.String(), `"code":"drained"`) {
		t.Error("no counters at the end, or no line of a drained connection")
	}
}

// Clients go on connecting while the node shuts down. Whoever gets a connection gets a response.
func TestShutdownUnderLoad(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	stop := make(chan struct{})
	results := make(chan asyncResult, 10_000)
	for range 4 {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := p.dial()
				if err != nil {
					return // refused: the node never took it
				}
				a, err := doOn(c)
				results <- asyncResult{a, err}
				_ = c.Close()
			}
		}()
	}
	eventually(t, "traffic", func() bool { return len(results) > 50 })
	p.terminate()
	time.AfterFunc(400*time.Millisecond, func() { close(stop) }) // the protocol's longest time of new ones
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for range len(results) {
		if o := <-results; o.err != nil || o.a.status != 200 && o.a.status != 503 {
			t.Fatalf("lost: %v, %v", o.a, o.err)
		}
	}
}

// A server does not respond while the node shuts down. The client gets 504 at its deadline, and the node exits in time.
func TestShutdownWithSilentServer(t *testing.T) {
	s := startBackend(t, "s1", neverRespond)
	p, _ := startWithBackends(t, "", s)
	pending := p.send(request("bill", 400))
	eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
	began := time.Now()
	p.terminate()
	if a := await(t, "pending", pending); a.status != 504 {
		t.Errorf("status %d", a.status)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if took := time.Since(began); took > 1500*time.Millisecond+700*time.Millisecond {
		t.Errorf("ended only after %v", took)
	}
}

// A client goes on using its connection during a shutdown. Its request is served with a notice that the connection
// ends.
func TestShutdownEndsConnectionsBetweenRequests(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(request("look", 1000))
	if a, err := c.read(); err != nil || a.status != 200 {
		t.Fatalf("%v %v", a, err)
	}
	p.terminate()
	eventually(t, "drain", func() bool { return strings.Contains(p.log.String(), `"code":"drain"`) })
	c.write(request("bill", 1000)) // clients go on using what they have
	if a, err := c.read(); err != nil || a.status != 200 || !a.closesConn {
		t.Fatalf("%v %v", a, err)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// A client has sent a part of a request that never becomes whole. It must not delay the shutdown.
func TestShutdownWithPartialRequest(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(request("look", 1000)[:30]) // it will never be whole, so it is not taken
	watch := p.connect()
	eventually(t, "arrival", func() bool {
		got, ok := p.countsOn(watch)
		return ok && got.Clients["open"] == 2
	})
	began := time.Now()
	p.terminate()
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if took := time.Since(began); took > 4*time.Second { // a request may take 5 s to arrive otherwise
		t.Errorf("ended only after %v", took)
	}
}

// A partial request at shutdown was once left until the process ended, so its last byte could arrive, be accepted and
// never be answered. It must be rejected while the client can still go to another node.
func TestShutdownRejectsPartialRequests(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, d := startWithBackends(t, "", s)
	big := strings.Repeat("x", 200<<10)
	for name, raw := range map[string]string{
		"head":       request("look", 1500)[:30],
		"body":       strings.TrimSuffix(request("bill", 1500), "12"),
		"large body": strings.Replace(request("bill", 1500), "Content-Length: 9\r\n\r\namount=12", "Content-Length: 204800\r\n\r\n"+big[:100<<10], 1),
	} {
		t.Run(name, func(t *testing.T) {
			p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TMPDIR=" + t.TempDir()}})
			c := p.connect()
			c.write(raw)
			watch := p.connect()
			eventually(t, "arrival", func() bool {
				got, ok := p.countsOn(watch)
				return ok && got.Clients["open"] == 2
			})
			p.terminate()
			if a, err := c.read(); err != nil || a.status != 503 || !a.closesConn {
				t.Errorf("%v, %v: want a rejection that ends the connection", a, err)
			}
			if code := p.exit(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
	p.terminate()
	p.exit()
	if n := len(s.requests()); n > 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}

// Further signals come during a shutdown, as from an impatient supervisor. They must take nothing from the request in
// flight.
func TestRepeatedSignalsDuringShutdown(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1} {
		t.Run(sig.String(), func(t *testing.T) {
			gate := make(chan struct{})
			s := startBackend(t, "s1", respondAfter(gate, respond(200, "done")))
			p, _ := startWithBackends(t, "", s)
			pending := p.send(request("bill", 1400))
			eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
			p.terminate()
			eventually(t, "drain", func() bool { return strings.Contains(p.log.String(), `"code":"drain"`) })
			for range 3 {
				if err := p.cmd.Process.Signal(sig); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Millisecond)
			}
			close(gate)
			if a := await(t, "pending", pending); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			if code := p.exit(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}
