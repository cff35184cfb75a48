package main

import (
	"os"
	"testing"
)

// Nobody reads the node's log, so its pipe is full. Requests are served, and log lines are dropped and counted.
func TestBlockedLogStallsNothing(t *testing.T) {
	r, w, err := os.Pipe() // nobody reads it
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = r.Close(), w.Close() }()
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, stderr: w})
	eventually(t, "list", func() bool { return d.watchCount() > 0 })
	for i := range 6000 { // a line for each connection: far more than pipe and queue hold
		a, err := p.do(request("look", 1000, "Connection: close"))
		if err != nil || a.status != 200 {
			t.Fatalf("request %d: %v %v", i, a, err)
		}
		if i%500 == 0 && p.counts().Log["dropped"] > 0 {
			return
		}
	}
	t.Error("no line was ever dropped: the log is not stuck")
}

// The reader of standard error closes its end. By default the next log line would kill the process by SIGPIPE.
func TestLogReaderCloses(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, stderr: w})
	eventually(t, "list", func() bool { return d.watchCount() > 0 })
	_, _ = r.Close(), w.Close()
	for i := range 20 { // each leaves a line
		a, err := p.do(request("look", 1000, "Connection: close"))
		if err != nil || a.status != 200 {
			t.Fatalf("request %d: %v %v", i, a, err)
		}
	}
	p.terminate()
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
