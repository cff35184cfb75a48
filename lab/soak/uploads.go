package soak

import (
	"math/rand/v2"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

const (
	// coapServerFraction is the fraction of the servers that speak CoAP in runs with uploads.
	coapServerFraction = 0.5

	// minUpload and maxUpload bound the length of a body, in bytes. A body to a CoAP server takes one round trip for each 1,024 bytes.
	minUpload, maxUpload = 16 << 10, 48 << 10

	// minServerDelay and maxServerDelay bound the delay of the servers' links in each direction.
	minServerDelay, maxServerDelay = 3 * time.Millisecond, 25 * time.Millisecond

	// uploadWindow is the time for which servers drop repeats of a key. Most uploads to CoAP servers take longer.
	uploadWindow = 400 * time.Millisecond

	// resetInterval is the mean time between resets of connections to servers, which leave open whether a request has run.
	resetInterval = 600 * time.Millisecond

	// uploadSockets is the descriptor limit of a node. Long uploads hold their connections for seconds, and the limit of the other runs would
	// leave clients in the queue of connections that were not accepted.
	uploadSockets = 2048

	// inventoryInterval is how often the nodes' lists are written, and invalidFraction how many of them are not valid.
	inventoryInterval = 300 * time.Millisecond
	invalidFraction   = 0.1
)

// uploadDeadlines are the deadlines of the requests in runs with uploads.
var uploadDeadlines = []time.Duration{1500 * time.Millisecond, 3 * time.Second}

// addUploads gives requests with an effect long bodies, and lets half of the servers speak CoAP, in groups with the others. Connections
// to servers are reset while requests run, so that a repeat of a key may reach a CoAP server after the window of the key.
func addUploads(s *scenario.Scenario, rng *rand.Rand) {
	s.Fleet.Coap = coapServerFraction
	s.Inventory = &scenario.Inventory{Format: "csv", RewriteInterval: inventoryInterval, InvalidFraction: invalidFraction}
	s.Clients.Retry = "backoff"
	s.Nodes.Sockets = uploadSockets
	s.Links.Servers.Delay = minServerDelay + time.Duration(rng.Int64N(int64(maxServerDelay-minServerDelay)))
	deadline := uploadDeadlines[rng.IntN(len(uploadDeadlines))]
	for i := range s.Classes {
		class := &s.Classes[i]
		class.Deadline = deadline
		class.LatencyObjective = deadline / 2
		if class.Effect != scenario.EffectSafe {
			class.Body = minUpload + rng.IntN(maxUpload-minUpload)
		}
		if class.Effect == scenario.EffectKeyed {
			class.Window = uploadWindow
		}
	}
	addResets(s, rng)
}

// addResets adds resets of connections to servers until the end of the faults of a run.
func addResets(s *scenario.Scenario, rng *rand.Rand) {
	end := s.Warmup + s.Duration - faultFreeTail
	for at := s.Warmup; at < end; at += time.Duration(rng.Int64N(int64(2 * resetInterval))) {
		s.Faults = append(s.Faults, scenario.Fault{At: at, Kind: scenario.FaultServersReset, Target: "50%"})
	}
}
