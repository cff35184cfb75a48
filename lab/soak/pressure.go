package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/scenario"
)

const (
	// pressureMemoryMB is the memory limit of a node under pressure: the least that a deployment gives it.
	pressureMemoryMB = 48

	// pressureCores is the share of a core that the configuration of a node under pressure names.
	pressureCores = 0.25

	// waveInterval is the mean time between two waves of clients at one node, and waveTime how long the clients of a wave stay.
	waveInterval, waveTime = 1500 * time.Millisecond, 2800 * time.Millisecond

	// waveFraction is the largest number of clients in a wave, as a fraction of the node's descriptors.
	waveFraction = 0.4

	// lumpReaders is the number of clients at each node that read responses in lumps, and idRepeaters of those that repeat requests.
	lumpReaders, idRepeaters = 2, 2

	// lumpDeadline is the deadline of a request whose response comes in lumps.
	lumpDeadline = 390 * time.Millisecond

	// lumpResponseTime is how long the client waits for such a response, which is large, so that only its first bytes are due at the deadline.
	lumpResponseTime = 15 * time.Second
)

// pressureSockets are the descriptor limits of nodes under pressure.
var pressureSockets = []int{256, 1024}

// addPressure gives the nodes little memory and few descriptors, and lets clients press for them.
func addPressure(s *scenario.Scenario, rng *rand.Rand) {
	s.Clients.Pressure = true
	s.Nodes.Count = 2 + rng.IntN(2)
	s.Nodes.MemoryMB = pressureMemoryMB
	s.Nodes.Cores = pressureCores
	s.Nodes.Sockets = pressureSockets[rng.IntN(len(pressureSockets))]
	s.Load = []scenario.Step{{CapacityMultiple: 0.1 + 0.1*rng.Float64()}}
}

// beginPressure starts the clients that press for the nodes' memory and CPU time.
func (c *Clients) beginPressure(nodes []string) {
	for node, address := range nodes {
		rng := rand.New(rand.NewPCG(c.scenario.Seed, 1<<40+uint64(node)))
		c.running.Go(func() { c.sendWaves(rng, address) })
		for range lumpReaders {
			readerRand := rand.New(rand.NewPCG(rng.Uint64(), 3))
			c.running.Go(func() { c.readLumps(readerRand, node, address) })
		}
		for range idRepeaters {
			repeaterRand := rand.New(rand.NewPCG(rng.Uint64(), 4))
			c.running.Go(func() { c.repeatIDs(repeaterRand, node, address) })
		}
		for range pipeliners {
			pipelineRand := rand.New(rand.NewPCG(rng.Uint64(), 5))
			c.running.Go(func() { c.sendPipelines(pipelineRand, node, address) })
		}
	}
}

// sendWaves lets many clients of one kind connect at once, again and again.
func (c *Clients) sendWaves(rng *rand.Rand, address string) {
	for !c.runEndsBefore(time.Now().Add(waveInterval/2 + randomDuration(rng, waveInterval))) {
		clients := 1 + rng.IntN(int(waveFraction*float64(c.scenario.Nodes.Sockets)))
		input := partialRequests[rng.IntN(len(partialRequests))](c, rng)
		until := time.Now().Add(randomDuration(rng, waveTime))
		if rng.IntN(4) == 0 {
			clients = 1 + rng.IntN(8)
			input = strings.Repeat("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n", 200)
			for range clients {
				c.running.Go(func() { c.flood(address, input, until) })
			}
			continue
		}
		for range clients {
			c.running.Go(func() { c.sendPart(address, input, until) })
		}
	}
}

// partialRequests are the kinds of incomplete or unusable requests that the clients of a wave send.
var partialRequests = []func(c *Clients, rng *rand.Rand) string{
	func(*Clients, *rand.Rand) string {
		return "GET /read HTTP/1.1\r\nHost: lab\r\n" + strings.Repeat("a:\r\n", 1900)
	},
	func(*Clients, *rand.Rand) string {
		return "GET /read HTTP/1.1\r\nHost: lab\r\n" + strings.Repeat("a:\r\n", 1900) + "\r\n"
	},
	func(c *Clients, _ *rand.Rand) string { return c.partOfPut(65_000, 64_000) },
	func(c *Clients, rng *rand.Rand) string { return c.partOfPut(4<<20, rng.IntN(2<<20)) },
	func(c *Clients, rng *rand.Rand) string { return c.partOfPut(1_000_000, 900_000+rng.IntN(90_000)) },
}

// partOfPut returns a request with a body of which only a part follows.
func (c *Clients) partOfPut(announced, sent int) string {
	operation := firstOperation + int(c.lastOperation.Add(1))
	return fmt.Sprintf("POST /put?w=1000 HTTP/1.1\r\nHost: lab\r\nX-Request-Id: %s\r\nX-Class: put\r\nX-Tenant: t000\r\nX-Deadline-Ms: 800\r\n"+
		"Idempotency-Key: k%012x\r\nContent-Length: %d\r\n\r\n", backend.AttemptID(operation, 0), operation, announced) + strings.Repeat("x", sent)
}

// sendPart sends the input on a new connection and stays until the given time.
func (c *Clients) sendPart(address, input string, until time.Time) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	defer conn.close()
	_ = conn.SetDeadline(until)
	if _, err := io.WriteString(conn, input); err == nil {
		_ = c.runEndsBefore(until)
	}
}

// flood sends the input again and again without waiting for the responses.
func (c *Clients) flood(address, input string, until time.Time) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	defer conn.close()
	_ = conn.SetDeadline(until)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for err == nil && time.Now().Before(until) {
		_, err = io.WriteString(conn, input)
	}
}

// readLumps requests large responses in lumps, one at a time, and reports those that are cut off while no planned stop, kill or server fault can be
// the reason.
func (c *Clients) readLumps(rng *rand.Rand, node int, address string) {
	for !c.runEndsBefore(time.Now().Add(randomDuration(rng, time.Second))) {
		lumps := 2 + rng.IntN(6)
		size := lumps * (20<<10 + rng.IntN(30<<10))
		pause := time.Duration(200+rng.IntN(1400)) * time.Millisecond
		c.readInLumps(node, address, lumps, size, pause)
	}
}

// readInLumps requests one response in lumps.
func (c *Clients) readInLumps(node int, address string, lumps, size int, pause time.Duration) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	defer conn.close()
	operation := firstOperation + int(c.lastOperation.Add(1))
	began := time.Since(c.start)
	_ = conn.SetDeadline(time.Now().Add(lumpResponseTime))
	_, _ = fmt.Fprintf(conn, "GET /read?w=1000&lumps=%d&size=%d&pause=%d HTTP/1.1\r\nHost: lab\r\nX-Request-Id: %s\r\nX-Class: read\r\nX-Tenant: t000\r\n"+
		"X-Deadline-Ms: %d\r\nConnection: close\r\n\r\n", lumps, size, pause.Milliseconds(), backend.AttemptID(operation, 0), lumpDeadline.Milliseconds())
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	received, err := io.Copy(io.Discard, resp.Body)
	ended := time.Since(c.start)
	if err == nil || c.excused(node, began, ended) {
		return
	}
	c.addBreach(ended, fmt.Sprintf("%s: the response ended after %d of %d bytes, %v after the request to node %d: %v",
		backend.AttemptID(operation, 0), received, size/lumps*lumps, ended-began, node, err))
}

// excused reports whether a response may have been cut off between two times because its node was stopped or a server had a fault.
func (c *Clients) excused(node int, from, to time.Duration) bool {
	for _, fault := range c.scenario.Faults {
		isServerFault := fault.Kind != scenario.FaultNodePause && fault.Kind != scenario.FaultNodeReplace && fault.Kind != scenario.FaultDiscoveryDown &&
			fault.Kind != scenario.FaultDiscoveryStale
		isStop := fault.Kind == scenario.FaultNodeReplace && fault.Target == fmt.Sprintf("node:%d", node)
		end := fault.At + fault.For + c.scenario.KillAfter() + excuseSlack
		if (isServerFault || isStop) && fault.At-excuseSlack <= to && end >= from {
			return true
		}
	}
	return false
}

// excuseSlack is by how much the times of faults and of clients may differ.
const excuseSlack = 500 * time.Millisecond

// repeatIDs sends unsafe requests, leaves, and sends each again with the same id. The auditor reports those that run twice.
func (c *Clients) repeatIDs(rng *rand.Rand, node int, address string) {
	unsafe := c.scenario.Classes[len(c.scenario.Classes)-1]
	for !c.runEndsBefore(time.Now().Add(randomDuration(rng, 300*time.Millisecond))) {
		r := c.newRequestOf(unsafe)
		c.sendAndLeave(r, node, address, randomDuration(rng, 30*time.Millisecond))
		c.sendAndLeave(r, node, address, randomDuration(rng, 60*time.Millisecond))
	}
}

// sendAndLeave sends a request on a new connection and closes the connection after the given time.
func (c *Clients) sendAndLeave(r request, node int, address string, after time.Duration) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	defer conn.close()
	_, _ = io.WriteString(conn, r.raw)
	_ = c.runEndsBefore(time.Now().Add(after))
}
