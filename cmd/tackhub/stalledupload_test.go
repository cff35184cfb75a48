package main

import (
	"testing"
	"time"
)

// Clients send most of a large request, which is then forwarded, stop, and leave after some time. The node once counted that time as the
// server's, took the server for slow, and rejected the requests of other clients.
func TestStalledUploadDoesNotMakeServerSlow(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, env: []string{"TMPDIR=" + t.TempDir()}})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	for range 4 {
		c := p.connect()
		c.write(partOfBody(1_000_000, 900_000))
		eventually(t, "the upload to be forwarded", func() bool { return p.counts().Attempts["open"] > 0 })
		time.Sleep(1200 * time.Millisecond)
		_ = c.Close()
		eventually(t, "the upload to end", func() bool { return p.counts().Attempts["open"] == 0 })
		for i := range 5 {
			if resp := p.mustDo(request("look", 1400)); resp.status != 200 {
				t.Fatalf("request %d after the stalled upload: status %d, want 200", i, resp.status)
			}
		}
	}
}

// The process has no CPU time while the answers of its server wait in the kernel's buffer. The node once counted that time as the server's, took the
// server for slow, and rejected the requests of clients while the server was idle.
func TestStandstillDoesNotMakeServerSlow(t *testing.T) {
	const standstill = 600 * time.Millisecond
	s := startBackend(t, "s1", respondAfterTime(20*time.Millisecond, respond(200, "done")))
	p, _ := startWithBackends(t, "", s)
	for range 4 {
		received := len(s.requests())
		pending := p.send(request("look", 1400))
		eventually(t, "the request at the server", func() bool { return len(s.requests()) > received })
		p.whileSuspended(func() { time.Sleep(standstill) })
		await(t, "the response after the standstill", pending)
		for i := range 5 {
			if resp := p.mustDo(request("look", 1400)); resp.status != 200 {
				t.Fatalf("request %d after the standstill: status %d, want 200", i, resp.status)
			}
		}
	}
}
