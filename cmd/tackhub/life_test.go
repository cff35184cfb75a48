package main

import (
	"strings"
	"syscall"
	"testing"
)

// restart starts a node again under the name and address that another had.
func (p *process) restart(s setup) *process {
	p.t.Helper()
	return startNodeAt(p.t, p.addr, s)
}

func TestRestartUnderTheSameAddress(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	d := startDiscovery(t, members(s))
	set := setup{discovery: d.addr, known: members(s)}
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		p := startNode(t, set)
		held := p.connect() // its end lingers in the kernel
		held.write(request("look", 1000))
		if a, err := held.read(); err != nil || a.status != 200 {
			t.Fatalf("%v %v", a, err)
		}
		if err := p.cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		p.exit()
		again := p.restart(set)
		if a := again.mustAsk(request("bill", 1000)); a.status != 200 {
			t.Errorf("after %v: status %d", sig, a.status)
		}
	}
}

func TestCountersOnRequestAndAtExit(t *testing.T) {
	p := startNode(t, setup{discovery: freeAddress(t)})
	said := func() int { return strings.Count(p.log.String(), `"code":"counters"`) }
	if err := p.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	eventually(t, "counters on request", func() bool { return said() == 1 })
	p.terminate()
	if code := p.exit(); code != 0 || said() != 2 {
		t.Errorf("exit code %d, counters said %d times", code, said())
	}
}

func TestListThatMustBeAskedFor(t *testing.T) {
	settings := strings.Replace(testSettings, `"discovery":"automatic"`, `"discovery":"subscribe"`, 1)
	settings = strings.Replace(settings, `"cold_from"`, `"must_ask_in_ms":10000,"cold_from"`, 1)
	s := startServer(t, "s1", say(200, "done"))
	p, d := startWith(t, settings, s) // its watch says that it has asked
	if a := p.mustAsk(request("look", 1000)); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
	full := p.counts().List["full"]
	d.babble("nonsense")
	eventually(t, "a failed call", func() bool { return p.counts().List["failed"] > 0 })
	d.babble("")
	eventually(t, "asking again", func() bool { return p.counts().List["full"] > full })
	if a := p.mustAsk(request("look", 1000)); a.status != 200 {
		t.Errorf("status %d after an outage", a.status)
	}
}

// TestKeyedStaysInItsGroup has two servers that drop each other's repeats no more than strangers would.
func TestKeyedStaysInItsGroup(t *testing.T) {
	s1, s2 := startServer(t, "s1", reset), startServer(t, "s2", reset)
	list := members(s1, s2)
	list[1].Cell = 7
	d := startDiscovery(t, list)
	p := startNode(t, setup{discovery: d.addr})
	eventually(t, "list", func() bool { return d.watched() > 0 })
	for i := range 4 {
		before := len(s1.requests()) + len(s2.requests())
		if a := p.mustAsk(request("store", 1000)); a.status != 502 {
			t.Errorf("request %d: status %d", i, a.status)
		}
		if n := len(s1.requests()) + len(s2.requests()); n != before+1 {
			t.Errorf("request %d: %d copies", i, n-before)
		}
	}
}
