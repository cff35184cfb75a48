package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// manyShortFields returns the head of a request of some 7.8 kB with 1,900 fields, without the empty line at its end.
func manyShortFields() string {
	head, _, _ := strings.Cut(request("look", 1400), "\r\n\r\n")
	return head + "\r\n" + strings.Repeat("a:\r\n", 1900)
}

// partOfBody returns a request with an announced body, of which only a part follows.
func partOfBody(announced, sent int) string {
	return postHead(fmt.Sprintf("Content-Length: %d", announced)) + strings.Repeat("x", sent)
}

// The parts of requests that the clients of a test send, by the number of the client.
var (
	unfinishedHead = func(int) string { return manyShortFields() }
	completeHead   = func(int) string { return manyShortFields() + "\r\n" }
	halfSmallBody  = func(int) string { return partOfBody(65_000, 64_000) }
	halfLargeBody  = func(int) string { return partOfBody(8<<20, 4<<20) }
	longField      = func(int) string {
		return strings.TrimSuffix(request("look", 1400, "X-Long: "+strings.Repeat("x", 7000)), "\r\n")
	}
	everyKind = func(i int) string {
		kinds := []func(int) string{unfinishedHead, completeHead, halfSmallBody, halfLargeBody, longField}
		return kinds[i%len(kinds)](i)
	}
)

// pressureTime is how long the clients of a test stay connected: longer than the node waits for the rest of a request.
const pressureTime = 4 * time.Second

// Hundreds of clients send requests slowly, or stop in the middle of one. The node once kept what each of them had sent in memory or in
// files, without any limit on the sum, until it exceeded its memory limit and was killed.
func TestNodeStaysWithinMemoryUnderSlowClients(t *testing.T) {
	for name, test := range map[string]struct {
		clients           int
		sockets, memoryMB int
		request           func(i int) string
		quarterCore       bool
	}{
		"unfinished heads of short fields":       {450, 1024, leastMemoryMB, unfinishedHead, false},
		"complete heads of short fields":         {450, 1024, leastMemoryMB, completeHead, false},
		"half of small bodies":                   {450, 1024, leastMemoryMB, halfSmallBody, false},
		"half of 40 large bodies":                {40, 1024, leastMemoryMB, halfLargeBody, false},
		"half of 200 large bodies":               {200, 1024, leastMemoryMB, halfLargeBody, false},
		"everything with 256 descriptors":        {220, 256, leastMemoryMB, everyKind, false},
		"unfinished heads with 192 MB":           {900, 2048, 192, unfinishedHead, false},
		"unfinished heads at a quarter core":     {450, 1024, leastMemoryMB, unfinishedHead, true},
		"half of large bodies at a quarter core": {200, 1024, leastMemoryMB, halfLargeBody, true},
		"everything at a quarter core":           {450, 1024, leastMemoryMB, everyKind, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", respond(200, "done"))
			d := startDiscoveryServer(t, members(s))
			p := startNode(t, nodeOptions{discovery: d.addr, sockets: test.sockets, memoryMB: test.memoryMB, env: []string{"TMPDIR=" + t.TempDir()}})
			eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
			if test.quarterCore {
				p.throttle()
			}
			peakMemory := watchMemory(t, p)
			traffic, stopTraffic := p.startOrdinaryTraffic()
			for i := range test.clients {
				c := p.connect()
				go func() { _, _ = io.WriteString(c, test.request(i)) }() // the node may close the connection
			}
			time.Sleep(pressureTime)
			stopTraffic()
			peak := peakMemory()
			t.Logf("peak %.0f MB: %.0f MB resident, %.0f MB in files; %d ordinary requests, 99%% within %v", peak.total, peak.resident, peak.files,
				traffic.count(), traffic.percentile(0.99))
			limit := usableFraction * float64(test.memoryMB)
			if !raceEnabled && peak.total > limit { // the race detector multiplies the memory of the node
				t.Errorf("the node used %.0f MB (%.0f MB resident, %.0f MB in files), want at most %.0f MB", peak.total, peak.resident, peak.files, limit)
			}
			if len(traffic.failures) > 0 {
				t.Errorf("%d of %d ordinary requests were not served, the first: %s", len(traffic.failures), traffic.count(), traffic.failures[0])
			}
		})
	}
}
