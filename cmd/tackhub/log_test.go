package main

import (
	"os"
	"testing"
)

// The pipe of the node's log is full because its reader has stopped reading. The node must serve requests, and drop and count
// log lines.
func TestBlockedLogDoesNotBlockRequests(t *testing.T) {
	r, w, err := os.Pipe() // the test never reads from r
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = r.Close(), w.Close() }()
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, stderr: w})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	for i := range 6000 { // each connection writes a log line; the pipe and the queue hold far fewer
		resp, err := p.do(request("look", 1000, "Connection: close"))
		if err != nil || resp.status != 200 {
			t.Fatalf("request %d: %v, %v, want status 200", i, resp, err)
		}
		if i%500 == 0 && p.counts().Log["dropped"] > 0 {
			return
		}
	}
	t.Error("no log line was dropped: the pipe did not fill up")
}

// The reader of standard error closes its end of the pipe. The node must continue to run; by default the next log line would end
// the process with SIGPIPE.
func TestNodeKeepsRunningAfterLogReaderCloses(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, stderr: w})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	_, _ = r.Close(), w.Close()
	for i := range 20 { // each connection writes a log line
		resp, err := p.do(request("look", 1000, "Connection: close"))
		if err != nil || resp.status != 200 {
			t.Fatalf("request %d: %v, %v, want status 200", i, resp, err)
		}
	}
	p.terminate()
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}
