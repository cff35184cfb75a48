package soak

import (
	"math/rand/v2"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

const (
	// deviceFraction is the fraction of the operations that come from CoAP devices.
	deviceFraction = 0.5

	// devicesPerNode is the number of CoAP devices that use each node.
	devicesPerNode = 32

	// deviceWork is the mean work of a request in runs with devices. It is longer than the time after which a device repeats its
	// message, so that repeats arrive while their requests run.
	deviceWork = 180 * time.Millisecond

	// maxDeviceDelay bounds the delay of the clients' links in each direction.
	maxDeviceDelay = 150 * time.Millisecond
)

// deviceDeadlines are the deadlines of the requests in runs with devices. They leave time for repeats, and for another node after a
// rejection.
var deviceDeadlines = []time.Duration{1500 * time.Millisecond, 3 * time.Second}

// addDevices makes CoAP devices send a part of the operations. A device repeats each message until it is acknowledged, and sends its
// request to the next node after a rejection. In half of the runs the links of the clients have a delay, so that repeats cross answers,
// and in half of them messages are duplicated.
func addDevices(s *scenario.Scenario, rng *rand.Rand) {
	s.Clients.Coap = deviceFraction
	s.Clients.Devices = devicesPerNode
	s.Clients.Duplicates = rng.IntN(2)
	s.Clients.Retry = []string{"now", "backoff"}[rng.IntN(2)]
	deadline := deviceDeadlines[rng.IntN(len(deviceDeadlines))]
	for i := range s.Classes {
		s.Classes[i].Deadline = deadline
		s.Classes[i].LatencyObjective = deadline / 2
		s.Classes[i].Work = deviceWork
	}
	if rng.IntN(2) == 0 {
		s.Links.Clients.Delay = time.Duration(rng.Int64N(int64(maxDeviceDelay)))
	}
}
