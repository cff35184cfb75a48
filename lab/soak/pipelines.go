package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
)

const (
	// pipeliners is the number of clients at each node that write many requests at once, stay, and read all answers.
	pipeliners = 2

	// minPipeline and maxPipeline limit the number of requests that such a client writes at once.
	minPipeline, maxPipeline = 5, 100

	// pipelinePadding is the largest number of bytes by which a query makes such a request longer.
	pipelinePadding = 2000

	// pipelineDeadline is the deadline of each of these requests, and pipelineTime how long the client waits for all answers.
	pipelineDeadline, pipelineTime = 5 * time.Second, 15 * time.Second

	// statusClientGone is the status with which a node answers a client that it takes for gone.
	statusClientGone = 499
)

// sendPipelines writes many requests at once on a connection, and reads the answers, again and again.
func (c *Clients) sendPipelines(rng *rand.Rand, node int, address string) {
	for !c.runEndsBefore(time.Now().Add(randomDuration(rng, time.Second))) {
		c.sendPipeline(rng, node, address)
	}
}

// sendPipeline sends one pipeline. A client that stays must not be answered as one that has left, nor cut off without a word: only the end of the
// node, or an answer that announces the end of the connection, may leave requests unanswered.
func (c *Clients) sendPipeline(rng *rand.Rand, node int, address string) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	defer conn.close()
	began := time.Since(c.start)
	_ = conn.SetDeadline(time.Now().Add(pipelineTime))
	requests := minPipeline + rng.IntN(maxPipeline-minPipeline)
	text := c.pipeline(requests, rng.IntN(pipelinePadding))
	go func() { _, _ = conn.Write([]byte(text)) }() // a failure shows in the answers
	for answered := range requests {
		resp, err := http.ReadResponse(conn.reader, nil)
		if err == nil {
			_ = resp.Body.Close()
		}
		ended := time.Since(c.start)
		switch {
		case err != nil && !c.excused(node, began, ended) && !c.isOver():
			c.addBreach(ended, fmt.Sprintf("node %d: %d of %d pipelined requests were answered, then %v", node, answered, requests, err))
			return
		case err == nil && resp.StatusCode == statusClientGone:
			c.addBreach(ended, fmt.Sprintf("node %d: pipelined request %d of %d was answered as if its client had left", node, answered+1, requests))
			return
		case err != nil || resp.Close:
			return
		}
	}
}

// pipeline returns requests of a safe class, one behind the other.
func (c *Clients) pipeline(requests, padding int) string {
	var text strings.Builder
	for range requests {
		operation := firstOperation + int(c.lastOperation.Add(1))
		_, _ = fmt.Fprintf(&text, "GET /read?w=1000&pad=%s HTTP/1.1\r\nHost: lab\r\nX-Request-Id: %s\r\nX-Class: read\r\nX-Tenant: t000\r\nX-Deadline-Ms: %d\r\n\r\n",
			strings.Repeat("p", padding), backend.AttemptID(operation, 0), pipelineDeadline.Milliseconds())
	}
	return text.String()
}

// isOver reports whether the run is over.
func (c *Clients) isOver() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// addBreach records that a response was cut off.
func (c *Clients) addBreach(at time.Duration, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, audit.Breach{Rule: audit.RuleCutOff, At: at, Text: text})
}
