package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// slowReadRate is the lowest rate, in bytes per second, at which clients read a response.
const slowReadRate = 64_000

// respondFast returns a behavior that responds with the body as fast as the node takes it.
func respondFast(body []byte) behavior {
	return func(c net.Conn, _ receivedRequest) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		if err == nil {
			_, err = c.Write(body)
		}
		return err == nil
	}
}

// readSlowly requests a response and reads it at slowReadRate for the given time. It returns the number of bytes read.
func (p *nodeProcess) readSlowly(forTime time.Duration) (int, error) {
	c, err := p.dial()
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, request("look", 1400)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	const interval = 50 * time.Millisecond
	piece := make([]byte, int(slowReadRate*interval.Seconds()))
	total := 0
	for end := time.Now().Add(forTime); time.Now().Before(end); time.Sleep(interval) {
		n, err := io.ReadFull(resp.Body, piece)
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// A client reads a long response at 64 kB/s. The kernel reports free space in the send buffer only when a third of it is free, which takes
// longer than the node's write timeout at that rate. The node once cut the response off, although the client was reading all the time.
func TestSlowlyReadResponseIsNotCutOff(t *testing.T) {
	s := startBackend(t, "s1", respondFast(largeBody(24<<20)))
	p, _ := startWithBackends(t, "", s)
	ended := make(chan error, 1)
	go func() {
		_, err := p.readSlowly(9 * time.Second)
		ended <- err
	}()
	time.Sleep(8 * time.Second)
	// The client finds out only after it has read what the kernel holds.
	if counts := p.counts(); counts.Bodies["broken"] > 0 {
		t.Errorf("the response was cut off: connection ends %v", counts.ClientEnds)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// More clients read long responses slowly than the node has buffers for. The node once waited 1.5 s for a buffer and then cut the responses
// off that had got none.
func TestManySlowlyReadResponsesAreNotCutOff(t *testing.T) {
	const readers = 230 // a node with 48 MB has 192 buffers
	body := largeBody(20 << 20)
	servers := []*backend{}
	for i := range 12 { // a server takes at most a quarter of the connections
		servers = append(servers, startBackend(t, fmt.Sprintf("s%d", i), respondFast(body)))
	}
	d := startDiscoveryServer(t, members(servers...))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 1024, memoryMB: leastMemoryMB})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	peakMemory := watchMemory(t, p)
	traffic, stopTraffic := p.startOrdinaryTraffic()
	var mu sync.Mutex
	var failures []string
	var reading sync.WaitGroup
	began := time.Now()
	for range readers {
		time.Sleep(5 * time.Millisecond)
		reading.Go(func() {
			n, err := p.readSlowly(5 * time.Second)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Sprintf("%v after %d bytes", err, n))
			}
		})
	}
	time.Sleep(time.Until(began.Add(4500 * time.Millisecond))) // no client has left yet
	if counts := p.counts(); counts.Bodies["broken"] > 0 {
		t.Errorf("%d responses were cut off: connection ends %v", counts.Bodies["broken"], counts.ClientEnds)
	}
	reading.Wait()
	stopTraffic()
	peak := peakMemory()
	t.Logf("peak %.0f MB; %d ordinary requests, 99%% within %v", peak.total, traffic.count(), traffic.percentile(0.99))
	if len(failures) > 0 {
		t.Errorf("%d of %d responses were cut off, the first: %s", len(failures), readers, failures[0])
	}
	if limit := usableFraction * float64(leastMemoryMB); !raceEnabled && peak.total > limit {
		t.Errorf("the node used %.0f MB, want at most %.0f MB", peak.total, limit)
	}
}
