package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// postOfSize returns a request with a body of n bytes.
func postOfSize(deadline time.Duration, n int) string {
	head := strings.Replace(postHead(fmt.Sprintf("Content-Length: %d", n)), "X-Deadline-Ms: 1400", fmt.Sprintf("X-Deadline-Ms: %d", deadline.Milliseconds()), 1)
	return head + strings.Repeat("x", n)
}

// lateBy is how long after its deadline the answer to a request counts as lost.
const lateBy = 500 * time.Millisecond

// Clients that stopped half way through large requests occupy every file that the node may use for such requests. Another client sends a
// large request that is complete. The node once waited up to 1.5 s for a file and again for a buffer, regardless of the request's deadline.
func TestLargeRequestIsAnsweredInTimeWhileFilesAreShort(t *testing.T) {
	const deadline = 390 * time.Millisecond
	s := startBackend(t, "s1", respond(200, "done"))
	d := startDiscoveryServer(t, members(s))
	p := startNode(t, nodeOptions{discovery: d.addr, sockets: 1024, memoryMB: leastMemoryMB, env: []string{"TMPDIR=" + t.TempDir()}})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	for range 80 {
		c := p.connect()
		go func() { _, _ = io.WriteString(c, partOfBody(400_000, 200_000)) }()
	}
	time.Sleep(200 * time.Millisecond)
	var sending sync.WaitGroup
	for range 10 {
		sending.Go(func() {
			c := p.connect()
			began := time.Now() // the kernel takes the whole request at once
			c.write(postOfSize(deadline, 100_000))
			if resp, err := c.read(); err != nil || time.Since(began) > deadline+lateBy {
				t.Errorf("status %d, %v after %v, want an answer within %v", resp.status, err, time.Since(began), deadline+lateBy)
			}
		})
	}
	sending.Wait()
}
