// Package scenario reads an experiment from a TOML file, and works out every arrival and every fault of it beforehand
// from the seed alone. Two runs with one seed have the same schedule, byte for byte.
package scenario

import (
	"time"
)

// Scenario is one experiment.
type Scenario struct {
	Name     string        `toml:"name"`
	About    string        `toml:"about"`
	Seed     uint64        `toml:"seed"`
	Warmup   time.Duration `toml:"warmup"`   // before what counts
	Duration time.Duration `toml:"duration"` // of what counts
	RigLate  time.Duration `toml:"rig_late"` // a run whose own p99 delay in sending is above it is void
	Fleet    Fleet         `toml:"fleet"`
	Nodes    Nodes         `toml:"nodes"`
	Classes  []Class       `toml:"class"`
	Clients  Clients       `toml:"clients"`
	Load     []Step        `toml:"load"`
	Faults   []Fault       `toml:"fault"`
	Links    Links         `toml:"link"`
	Expect   Expectations  `toml:"expect"`

	Inventory *Inventory `toml:"inventory"` // nil: discovery alone lists the servers
	Mesh      *Mesh      `toml:"mesh"`      // nil: the nodes do not know of one another
}

// Inventory lists the servers in a file for each node, which a tool rewrites well and badly. Discovery is not used
// then.
type Inventory struct {
	Form    string        `toml:"form"` // csv or yaml
	Every   time.Duration `toml:"every"`
	Bad     float64       `toml:"bad"`    // share of the rewrites that no node may accept
	InPlace float64       `toml:"saving"` // share that is written slowly, in place
}

// Fleet is the servers.
type Fleet struct {
	Servers          int           `toml:"servers"`
	Zones            []string      `toml:"zones"`
	ZoneDelay        time.Duration `toml:"zone_delay"` // one way, between two zones
	PodSize          int           `toml:"pod_size"`
	PodLimit         int           `toml:"pod_limit"` // requests in flight in all servers of a pod; 0: none
	Cores            int           `toml:"cores"`
	Speed            float64       `toml:"speed"`
	SpeedSpread      float64       `toml:"speed_spread"` // speeds lie evenly within this share around Speed
	QueueMax         int           `toml:"queue_max"`
	CrowdDepth       float64       `toml:"crowd_depth"`     // queued requests for each core beyond which a server becomes slow; 0: never
	CrowdFor         time.Duration `toml:"crowd_for"`       // how long they must be queued
	SlowFactor       float64       `toml:"slow_times"`      // how much slower it then is
	RestFor          time.Duration `toml:"rest_for"`        // how long nothing must be queued until it recovers
	ColdSpeed        float64       `toml:"cold_from"`       // share of its speed that a cold server starts with
	ColdFor          time.Duration `toml:"cold_for"`        // until it is warm
	CollapseMultiple float64       `toml:"fall_multiple"`   // a cold server that is offered more than this times its capacity collapses
	CollapseWindow   time.Duration `toml:"fall_for"`        // the span over which that is measured
	ConnCost         time.Duration `toml:"connection_cost"` // on the first request of a connection
	MaxConns         int           `toml:"connections_max"`
	Reports          bool          `toml:"reports"`
	Probes           bool          `toml:"probes"`
	Coap             float64       `toml:"coap"` // share of the servers that speak CoAP, in tenths; needs an inventory
}

// Nodes are the balancers under test.
type Nodes struct {
	Count          int           `toml:"count"`
	Kind           string        `toml:"kind"`  // tackhub, random or least; empty: tackhub
	Defect         string        `toml:"break"` // a defect put into a baseline on purpose
	Program        string        `toml:"program"`
	OperatorFile   string        `toml:"edge"` // operator file
	Cores          float64       `toml:"cores"`
	MemoryMB       float64       `toml:"memory_mb"`
	Sockets        int           `toml:"sockets"`
	DrainGrace     time.Duration `toml:"drain_grace"`
	Attempts       int           `toml:"attempts"`
	DiscoveryDelay time.Duration `toml:"discovery_delay"` // from a change until discovery announces it
}

// The effects of a class: what a second execution of a request would do.
const (
	EffectSafe   = "safe"   // nothing
	EffectKeyed  = "keyed"  // nothing within the window, since its idempotency key is remembered
	EffectUnsafe = "unsafe" // harm
)

// Class is one class of requests.
type Class struct {
	Name     string        `toml:"name"`
	Effect   string        `toml:"effect"` // safe, keyed or unsafe
	Group    string        `toml:"group"`  // of a keyed class: all, zone or cell
	Window   time.Duration `toml:"window"`
	Share    float64       `toml:"share"`
	Worth    float64       `toml:"worth"`
	Aim      time.Duration `toml:"aim"`
	Deadline time.Duration `toml:"deadline"`
	Work     time.Duration `toml:"work"` // mean
	Dist     string        `toml:"dist"` // fixed, exponential or lognormal
	Sigma    float64       `toml:"sigma"`
	Body     int           `toml:"body"` // bytes sent with it
}

// Clients say how clients behave.
type Clients struct {
	Tenants     int           `toml:"tenants"`
	Zipf        float64       `toml:"zipf"`  // tenants' shares fall with this power of their rank
	Retry       string        `toml:"retry"` // none, now, backoff, follow or ignore
	Retries     int           `toml:"retries"`
	Backoff     time.Duration `toml:"backoff"`
	MarksRetry  bool          `toml:"marks_retry"`
	CancelShare float64       `toml:"leave"`   // share of the clients that cancel before the deadline
	Coap        float64       `toml:"coap"`    // share of the operations requested over CoAP instead of HTTP
	Devices     int           `toml:"devices"` // CoAP sockets to each node; each has one request in flight at a time
	Duplicates  int           `toml:"dup"`     // every CoAP message is sent so many times more
	Quota       float64       `toml:"quota"`   // over all tenants, requests a second; 0: none
}

// Step is the rate from a moment on; with a ramp it is reached linearly over that span. A burst adds so many requests
// at once.
type Step struct {
	At    time.Duration `toml:"at"`
	Rate  float64       `toml:"rate"`
	Times float64       `toml:"times"` // instead of rate: multiple of what the fleet can do
	Ramp  time.Duration `toml:"ramp"`
	Burst int           `toml:"burst"`
}

// Fault is one thing that goes wrong, or is set right.
type Fault struct {
	At              time.Duration `toml:"at"`
	For             time.Duration `toml:"for"` // when it ends; 0: it stays
	Kind            FaultKind     `toml:"kind"`
	Target          string        `toml:"target"` // "25%", "3" servers, "zone:b", "server:s004", "node:0", "all"
	Spread          time.Duration `toml:"over"`   // the targets are hit one after the other over this span
	Factor          float64       `toml:"times"`  // slow
	Share           float64       `toml:"share"`  // errors; loss, duplicate and reorder on a link
	NewID           bool          `toml:"new_id"` // what comes back has another id
	Delay           time.Duration `toml:"delay"`  // discovery; delay and reorder on a link
	Jitter          time.Duration `toml:"jitter"` // delay on a link: added evenly between 0 and it
	FollowUpSignals []string      `toml:"again"`  // of a node-replace: the signals that follow SIGTERM, TERM, INT, HUP or USR1
	Direction       string        `toml:"way"`    // of a stall: both, up (to the node or server) or down; empty: both
}

// Impairment is what a link does to what passes it.
type Impairment struct {
	Loss      float64       `toml:"loss"` // share of segments that have to be sent again, or datagrams lost
	RTO       time.Duration `toml:"rto"`  // the first retransmission time-out
	Delay     time.Duration `toml:"delay"`
	Jitter    time.Duration `toml:"jitter"`
	Bandwidth float64       `toml:"bandwidth"` // bytes a second; 0: no limit
	Direction string        `toml:"direction"` // both, up (to the node or server) or down
}

// Links are the impairments between the parties.
type Links struct {
	Clients   Impairment `toml:"clients"`
	Servers   Impairment `toml:"servers"`
	Discovery Impairment `toml:"discovery"`
}

// Expectations are what a run must show besides keeping the rules. What is not stated is not expected.
type Expectations struct {
	Worth      *float64       `toml:"worth_min"`        // share of the worth requested
	WorstShare *float64       `toml:"worst_window_min"` // the same in the worst window of Window
	Window     time.Duration  `toml:"window"`
	P99        *time.Duration `toml:"p99_max"` // of what was served, from the intended send
	Rejected   *float64       `toml:"refused_max"`
	Failed     *float64       `toml:"failed_max"`
	MemoryMB   *float64       `toml:"memory_mb_max"` // of any node
	Sockets    *int           `toml:"sockets_max"`
	Recover    *Recover       `toml:"recover"`
	Mesh       *MeshExpect    `toml:"mesh"`
}

// Recover expects that worth is back at a share within a time after a moment, and stays there for a window.
type Recover struct {
	From   time.Duration `toml:"from"`
	Within time.Duration `toml:"within"`
	To     float64       `toml:"to"`
}

// MaxPause is the longest that a node may be suspended with all rules still in force.
const MaxPause = 150 * time.Millisecond

// KillAfter is the earliest time after SIGTERM at which SIGKILL may come: the longest deadline, at most 3 s of it, and
// 0.7 s.
func (s *Scenario) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// HasFault reports whether a fault of a kind is scheduled: then the links that it acts on must be there from the start.
func (s *Scenario) HasFault(kind FaultKind) bool {
	for _, f := range s.Faults {
		if f.Kind == kind {
			return true
		}
	}
	return false
}

// Capacity is how many requests a second the warm fleet can serve at most.
func (s *Scenario) Capacity() float64 {
	mean, shares := 0.0, 0.0
	for _, c := range s.Classes {
		mean += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	return float64(s.Fleet.Servers*s.Fleet.Cores) * s.Fleet.Speed / (mean / shares)
}
