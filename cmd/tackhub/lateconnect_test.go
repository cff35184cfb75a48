package main

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// maxDeadlineExcess is by how much the time that the node tells a server may exceed the time that is left to the client.
const maxDeadlineExcess = 150 * time.Millisecond

// A connection to a server comes up a second after the attempt began. The node once told the server the time that had been left then, so that the
// server worked on requests whose clients had given up.
func TestTimeLeftIsThatOfTheWrite(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	s := startBlockedBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, strings.Replace(testSettings, `"connect_timeout_ms":150`, `"connect_timeout_ms":5000`, 1), s.backend)
	began := time.Now()
	pending := p.send(request("bill", int(deadline.Milliseconds())))
	eventually(t, "an open attempt", func() bool { return p.counts().Attempts["open"] == 1 })
	s.unblock()
	eventually(t, "the request at the server", func() bool { return len(s.requests()) == 1 })
	left := deadline - time.Since(began)
	await(t, "a response", pending)
	told, err := strconv.Atoi(s.requests()[0].header.Get("X-Deadline-Ms"))
	if err != nil || time.Duration(told)*time.Millisecond > left+maxDeadlineExcess {
		t.Errorf("the server was told %d ms, %v, want at most the %v that were left and %v", told, err, left, maxDeadlineExcess)
	}
}
