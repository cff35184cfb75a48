package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// requestOfSize returns a request of about the given size in bytes: a read with a long query, or an upload with a body.
func requestOfSize(class string, deadlineMs, size int) string {
	raw := request(class, deadlineMs)
	if class == "look" {
		return strings.Replace(raw, " /look ", " /look?"+strings.Repeat("q", size)+" ", 1)
	}
	return strings.Replace(raw, "Content-Length: 9\r\n\r\namount=12", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)), 1)
}

// A client writes many requests at once, stays, and reads all answers. The node took it for gone, since so much of its own lay unread that a
// close could have hidden behind it: it got 499 and the end of the connection in place of its answers. Clients whose requests fit into the
// kernel, and one that writes one at a time, are the neighbours.
func TestClientThatPipelinesAndStaysGetsAllAnswers(t *testing.T) {
	const clients, rounds = 4, 5
	for name, requests := range map[string][]string{
		"100 of 2 kB":          repeated(100, func() string { return requestOfSize("look", 10_000, 2000) }),
		"40 of 2 kB":           repeated(40, func() string { return requestOfSize("look", 10_000, 2000) }),
		"five, three of 60 kB": append(repeated(2, func() string { return requestOfSize("look", 10_000, 10) }), repeated(3, func() string { return requestOfSize("bill", 10_000, 60_000) })...),
		"20 of 20 kB":          repeated(20, func() string { return requestOfSize("bill", 10_000, 20_000) }),
		"20 of 2 kB":           repeated(20, func() string { return requestOfSize("look", 10_000, 2000) }),
		"heads alone":          repeated(100, func() string { return request("look", 10_000) }),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startForPipelines(t, 10*time.Millisecond)
			var all sync.WaitGroup
			for client := range clients {
				all.Go(func() {
					for round := range rounds {
						checkPipeline(t, p, fmt.Sprintf("%d-%d-", client, round), requests)
					}
				})
			}
			all.Wait()
		})
	}
}

// startForPipelines starts four servers that take a time for each request, and a node whose requests have 10 s, so that nothing is refused
// because it waits behind others.
func startForPipelines(t *testing.T, work time.Duration) *nodeProcess {
	t.Helper()
	var servers []*backend
	for i := range 4 {
		servers = append(servers, startBackend(t, fmt.Sprintf("s%d", i), func(c net.Conn, req receivedRequest) bool {
			time.Sleep(work)
			return respondWithID(c, req)
		}))
	}
	settings := strings.ReplaceAll(testSettings, `"hard_limit_ms":1500`, `"hard_limit_ms":10000`)
	p, _ := startWithBackends(t, strings.ReplaceAll(settings, `"aim_ms":400`, `"aim_ms":8000`), servers...)
	return p
}

// repeated returns n requests.
func repeated(n int, make func() string) []string {
	var out []string
	for range n {
		out = append(out, make())
	}
	return out
}

// checkPipeline writes requests at once and expects the answer of each, in order. It gives each an id of its own.
func checkPipeline(t *testing.T, p *nodeProcess, prefix string, requests []string) {
	t.Helper()
	var ids []string
	var text strings.Builder
	for i, raw := range requests {
		id := fmt.Sprintf("%-16s", fmt.Sprintf("%s%d", prefix, i))
		id = strings.ReplaceAll(id, " ", "x")
		ids = append(ids, id)
		text.WriteString(strings.Replace(raw, requestID(raw), id, 1))
	}
	c := p.connect()
	defer func() { _ = c.Close() }()
	go func() { _, _ = c.Write([]byte(text.String())) }()
	for i, id := range ids {
		resp, err := c.read()
		if err != nil || resp.status != 200 || resp.body != id {
			t.Errorf("answer %d of %d: status %d %q, error %v, want 200 %q", i+1, len(ids), resp.status, resp.body, err, id)
			return
		}
	}
}

// Clients write requests behind one another before SIGTERM. The answer of the first one after the signal closed the connection, and those behind
// it, which the node's machine had taken, got no answer. A client that sends no more is closed after its answer as before.
func TestRequestsWrittenBeforeStopAreAnsweredBehindOneAnother(t *testing.T) {
	const clients, together = 4, 6
	p := startForPipelines(t, 40*time.Millisecond)
	var written, all sync.WaitGroup
	written.Add(clients)
	for range clients {
		all.Go(func() {
			c := p.connect()
			defer func() { _ = c.Close() }()
			requests := repeated(together, func() string { return request("look", 10_000) })
			c.write(strings.Join(requests, ""))
			written.Done()
			for i, raw := range requests {
				if resp, err := c.read(); err != nil || resp.status != 200 || resp.body != requestID(raw) {
					t.Errorf("answer %d of %d: %+v, error %v, want 200", i+1, together, resp, err)
					return
				}
			}
			if _, err := c.read(); err == nil {
				t.Error("the connection stays open after the stop, want it closed")
			}
		})
	}
	written.Wait()
	time.Sleep(60 * time.Millisecond) // within the second request of each
	p.terminate()
	all.Wait()
	if code := p.exit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}

// A client floods the node with health checks while it stops. Its connection stayed open for what lay unread, and the flood made other clients'
// answers late. It must be closed after the next answer, long before the stop ends.
func TestFloodOfHealthChecksEndsWithTheStop(t *testing.T) {
	p := startForPipelines(t, 300*time.Millisecond)
	pending := p.send(request("look", 5000)) // keeps the node from ending at once
	c := p.connect()
	ended := make(chan time.Time, 1)
	go func() {
		flood := strings.Repeat("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", 200)
		for {
			if _, err := c.Write([]byte(flood)); err != nil {
				ended <- time.Now()
				return
			}
		}
	}()
	go func() {
		for {
			if _, err := c.read(); err != nil {
				_ = c.Close()
				return
			}
		}
	}()
	time.Sleep(50 * time.Millisecond)
	stopped := time.Now()
	p.terminate()
	if resp := await(t, "the request in flight", pending); resp.status != 200 {
		t.Errorf("the request in flight got status %d, want 200", resp.status)
	}
	select {
	case at := <-ended:
		if took := at.Sub(stopped); took > 300*time.Millisecond {
			t.Errorf("the flood ended %v after the stop began, want within 300 ms", took)
		}
	case <-time.After(5 * time.Second):
		t.Error("the flood goes on 5 s after the stop began")
	}
}
