package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// floodTime is how long clients flood the node.
const floodTime = 4 * time.Second

// pipeline sends the same requests on a connection without waiting for the responses, until the given time. If the node closes the connection,
// it continues on a new one.
func (p *nodeProcess) pipeline(requests string, until time.Time) {
	for time.Now().Before(until) {
		c, err := p.dial()
		if err != nil {
			continue
		}
		_ = c.SetDeadline(until)
		go func() { _, _ = io.Copy(io.Discard, c) }()
		for err == nil && time.Now().Before(until) {
			_, err = io.WriteString(c, requests)
		}
		_ = c.Close()
	}
}

// Clients send small requests on their connections at full speed, while the node has a quarter of a core. The node once served them before
// all others, so that the requests of other clients were answered late or rejected.
func TestFloodOfSmallRequestsDoesNotDelayOthers(t *testing.T) {
	const batch = 200
	health := strings.Repeat("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", batch)
	for name, test := range map[string]struct {
		connections int
		requests    func() string
		maxLatency  time.Duration // of 99% of the other requests
	}{
		"one connection":                    {1, func() string { return health }, 60 * time.Millisecond},
		"eight connections":                 {8, func() string { return health }, 150 * time.Millisecond},
		"requests that cannot be used":      {1, func() string { return strings.Repeat(request("nonsense", 100), batch) }, 60 * time.Millisecond},
		"eight, requests that are unusable": {8, func() string { return strings.Repeat("?\r\n\r\n", batch) }, 150 * time.Millisecond},
		"new names": {1, func() string {
			var all strings.Builder
			for i := range batch {
				_, _ = fmt.Fprintf(&all, "GET /c%d HTTP/1.1\r\nHost: x\r\nX-Request-Id: i%d\r\nX-Class: c%d\r\nX-Tenant: t%d\r\nX-Deadline-Ms: 100\r\n\r\n", i, i, i, i)
			}
			return all.String()
		}, 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", respond(200, "done"))
			d := startDiscoveryServer(t, members(s))
			p := startNode(t, nodeOptions{discovery: d.addr, sockets: 1024, memoryMB: leastMemoryMB, cores: 0.25})
			eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
			p.throttle()
			var flooding sync.WaitGroup
			until := time.Now().Add(floodTime)
			for range test.connections {
				flooding.Go(func() { p.pipeline(test.requests(), until) })
			}
			peakMemory := watchMemory(t, p)
			traffic, stopTraffic := p.startOrdinaryTraffic()
			flooding.Wait()
			stopTraffic()
			peak := peakMemory()
			p99 := traffic.percentile(0.99)
			t.Logf("%d ordinary requests, half within %v, 99%% within %v; %.0f MB", traffic.count(), traffic.percentile(0.5), p99, peak.total)
			if len(traffic.failures) > 0 {
				t.Errorf("%d of %d ordinary requests were not served, the first: %s", len(traffic.failures), traffic.count(), traffic.failures[0])
			}
			if p99 > test.maxLatency {
				t.Errorf("99%% of the ordinary requests took up to %v, want at most %v", p99, test.maxLatency)
			}
			if limit := usableFraction * float64(leastMemoryMB); !raceEnabled && peak.total > limit {
				t.Errorf("the node used %.0f MB, want at most %.0f MB", peak.total, limit)
			}
		})
	}
}
