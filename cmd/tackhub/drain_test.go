package main

import (
	"strings"
	"testing"
	"time"
)

// outcome is what a client that works in the background got.
type outcome struct {
	a   answer
	err error
}

// send asks in the background.
func (p *process) send(raw string) <-chan outcome {
	out := make(chan outcome, 1)
	go func() {
		a, err := p.ask(raw)
		out <- outcome{a, err}
	}()
	return out
}

func wait(t *testing.T, what string, from <-chan outcome) answer {
	t.Helper()
	select {
	case o := <-from:
		if o.err != nil {
			t.Fatalf("%s: %v", what, o.err)
		}
		return o.a
	case <-time.After(patience):
		t.Fatalf("%s: nothing came", what)
	}
	return answer{}
}

func TestPlannedStopLosesNothing(t *testing.T) {
	gate := make(chan struct{})
	var servers []*server
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5"} {
		servers = append(servers, startServer(t, id, after(gate, say(200, "done"))))
	}
	p, _ := startWith(t, "", servers...)
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
	inHand := p.send(request("look", 1500))
	eventually(t, "requests in hand", sent(2))
	p.terminate()
	eventually(t, "drain", func() bool { return strings.Contains(p.log.String(), `"code":"drain"`) })
	late := p.send(request("look", 1500)) // the front goes on dealing connections out
	eventually(t, "the late request", sent(3))
	if a := p.mustAsk("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); a.status != 503 {
		t.Errorf("health is %d while draining", a.status)
	}
	close(gate)
	if a := wait(t, "in hand", inHand); a.status != 200 {
		t.Errorf("in hand: %d", a.status)
	}
	if a := wait(t, "late", late); a.status != 200 || !a.last {
		t.Errorf("late: %d, last %v", a.status, a.last)
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

// TestStopUnderLoad goes on connecting while the node ends: whoever got a connection gets an answer.
func TestStopUnderLoad(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	p, _ := startWith(t, "", s)
	stop := make(chan struct{})
	results := make(chan outcome, 10_000)
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
				a, err := outcomeOf(c)
				results <- outcome{a, err}
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

func outcomeOf(c *client) (answer, error) {
	if _, err := c.Write([]byte(request("look", 1000))); err != nil {
		return answer{}, err
	}
	return c.read()
}

func TestStopWithSilentServerEndsInTime(t *testing.T) {
	s := startServer(t, "s1", silence)
	p, _ := startWith(t, "", s)
	pending := p.send(request("bill", 400))
	eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
	began := time.Now()
	p.terminate()
	if a := wait(t, "pending", pending); a.status != 504 {
		t.Errorf("status %d", a.status)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	if took := time.Since(began); took > 1500*time.Millisecond+700*time.Millisecond {
		t.Errorf("ended only after %v", took)
	}
}

func TestKeptConnectionsEndBetweenRequests(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	p, _ := startWith(t, "", s)
	c := p.connect()
	c.write(request("look", 1000))
	if a, err := c.read(); err != nil || a.status != 200 {
		t.Fatalf("%v %v", a, err)
	}
	p.terminate()
	eventually(t, "drain", func() bool { return strings.Contains(p.log.String(), `"code":"drain"`) })
	c.write(request("bill", 1000)) // clients go on using what they have
	if a, err := c.read(); err != nil || a.status != 200 || !a.last {
		t.Fatalf("%v %v", a, err)
	}
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

func TestStopWithHalfARequestEndsInTime(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	p, _ := startWith(t, "", s)
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

// TestStopTellsHalfRequests: what is not whole when its time could no longer be kept is refused, while its client can still
// go elsewhere. It was left until the process ended: a last byte that came before that was taken and never answered.
func TestStopTellsHalfRequests(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	p, d := startWith(t, "", s)
	big := strings.Repeat("x", 200<<10)
	for name, raw := range map[string]string{
		"head":       request("look", 1500)[:30],
		"body":       strings.TrimSuffix(request("bill", 1500), "12"),
		"large body": strings.Replace(request("bill", 1500), "Content-Length: 9\r\n\r\namount=12", "Content-Length: 204800\r\n\r\n"+big[:100<<10], 1),
	} {
		t.Run(name, func(t *testing.T) {
			p := startNode(t, setup{discovery: d.addr, env: []string{"TMPDIR=" + t.TempDir()}})
			c := p.connect()
			c.write(raw)
			watch := p.connect()
			eventually(t, "arrival", func() bool {
				got, ok := p.countsOn(watch)
				return ok && got.Clients["open"] == 2
			})
			p.terminate()
			if a, err := c.read(); err != nil || a.status != 503 || !a.last {
				t.Errorf("%v, %v: want a refusal that ends the connection", a, err)
			}
			if code := p.exit(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
	p.terminate()
	p.exit()
	if n := len(s.requests()); n > 0 {
		t.Errorf("%d requests went on", n)
	}
}
