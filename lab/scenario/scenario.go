// Package scenario reads an experiment from a TOML file and computes the schedule of all its requests and faults before
// the run. The schedule depends only on the scenario and its seed: two runs with the same seed have the same schedule,
// byte for byte.
package scenario

import (
	"time"
)

// Scenario describes one experiment.
type Scenario struct {
	Name         string        `toml:"name"`
	About        string        `toml:"about"`
	Seed         uint64        `toml:"seed"`
	Warmup       time.Duration `toml:"warmup"`   // of the part of the run before the measured part
	Duration     time.Duration `toml:"duration"` // of the measured part
	MaxSendDelay time.Duration `toml:"rig_late"` // maximum p99 delay of the lab's own sends; above it the run is invalid
	Fleet        Fleet         `toml:"fleet"`
	Nodes        Nodes         `toml:"nodes"`
	Classes      []Class       `toml:"class"`
	Clients      Clients       `toml:"clients"`
	Load         []Step        `toml:"load"`
	Faults       []Fault       `toml:"fault"`
	Links        Links         `toml:"link"`
	Expect       Expectations  `toml:"expect"`

	Inventory *Inventory `toml:"inventory"` // nil: only discovery lists the servers
	Mesh      *Mesh      `toml:"mesh"`      // nil: the nodes are not connected to each other
}

// Inventory lists the servers in a file for each node instead of in discovery. The lab keeps rewriting the files, some of
// them with invalid contents.
type Inventory struct {
	Format          string        `toml:"form"` // csv or yaml
	RewriteInterval time.Duration `toml:"every"`
	InvalidFraction float64       `toml:"bad"`    // fraction of the rewrites that are invalid: no node may accept them
	InPlaceFraction float64       `toml:"saving"` // fraction of the rewrites that are written slowly, in place
}

// Fleet describes the simulated servers.
type Fleet struct {
	Servers            int           `toml:"servers"`
	Zones              []string      `toml:"zones"`
	ZoneDelay          time.Duration `toml:"zone_delay"` // one way, between two zones
	PodSize            int           `toml:"pod_size"`
	PodLimit           int           `toml:"pod_limit"` // maximum requests in flight on all servers of a pod; 0: no limit
	Cores              int           `toml:"cores"`
	Speed              float64       `toml:"speed"`
	SpeedSpread        float64       `toml:"speed_spread"` // speeds are uniform within this fraction below and above Speed
	QueueMax           int           `toml:"queue_max"`
	SlowdownQueueDepth float64       `toml:"crowd_depth"`     // queued requests per core above which a server becomes slow; 0: never
	SlowdownDelay      time.Duration `toml:"crowd_for"`       // how long the queue must be that deep
	SlowdownFactor     float64       `toml:"slow_times"`      // divides the speed of a slow server
	SlowdownRecovery   time.Duration `toml:"rest_for"`        // how long the queue must be empty until the server is fast again
	InitialSpeed       float64       `toml:"cold_from"`       // fraction of its full speed that a restarted server starts with
	SlowStartDuration  time.Duration `toml:"cold_for"`        // until a restarted server has its full speed
	CollapseMultiple   float64       `toml:"fall_multiple"`   // load above this multiple of its capacity makes a server in slow start collapse
	CollapseWindow     time.Duration `toml:"fall_for"`        // the window over which the offered load is measured
	ConnCost           time.Duration `toml:"connection_cost"` // extra time for the first request of a connection
	MaxConns           int           `toml:"connections_max"`
	Reports            bool          `toml:"reports"`
	Probes             bool          `toml:"probes"`
	Coap               float64       `toml:"coap"` // fraction of the servers that speak CoAP, in steps of 0.1; needs an inventory
}

// Nodes describes the balancer nodes under test.
type Nodes struct {
	Count          int           `toml:"count"`
	Kind           string        `toml:"kind"`  // tackhub (default), random or least
	Defect         string        `toml:"break"` // intentional defect of a baseline, one of Defects
	Program        string        `toml:"program"`
	OperatorFile   string        `toml:"edge"` // path of an operator file, passed to the nodes as TACKHUB_EDGE; empty: TACKHUB_EDGE is not set from it
	Cores          float64       `toml:"cores"`
	MemoryMB       float64       `toml:"memory_mb"`
	Sockets        int           `toml:"sockets"`
	DrainGrace     time.Duration `toml:"drain_grace"`
	Attempts       int           `toml:"attempts"`
	KeepList       bool          `toml:"keep_list"`       // each node keeps its endpoint list on disk, for its next process
	DiscoveryDelay time.Duration `toml:"discovery_delay"` // from a change of the servers until discovery reports it
}

// The values of Class.Effect: the effect of executing the same request more than once.
const (
	EffectSafe   = "safe"   // none
	EffectKeyed  = "keyed"  // none within the window, because the servers store the idempotency key
	EffectUnsafe = "unsafe" // harmful: the request must not be repeated
)

// Class describes one class of requests.
type Class struct {
	Name             string        `toml:"name"`
	Effect           string        `toml:"effect"` // safe, keyed or unsafe
	Group            string        `toml:"group"`  // idempotency scope of a keyed class: all, zone or cell
	Window           time.Duration `toml:"window"`
	Share            float64       `toml:"share"` // of the requests, relative to the sum over all classes
	PriorityWeight   float64       `toml:"worth"` // of one request
	LatencyObjective time.Duration `toml:"aim"`   // longest latency that counts as served in the goodput
	Deadline         time.Duration `toml:"deadline"`
	Work             time.Duration `toml:"work"` // mean per request
	Dist             string        `toml:"dist"` // fixed, exponential or lognormal
	Sigma            float64       `toml:"sigma"`
	Body             int           `toml:"body"` // request body in bytes
}

// Clients describes the behavior of the clients.
type Clients struct {
	Tenants        int           `toml:"tenants"`
	Zipf           float64       `toml:"zipf"`  // the tenant of rank r sends requests in proportion to r^-Zipf
	Retry          string        `toml:"retry"` // none, now, backoff, follow or ignore
	Retries        int           `toml:"retries"`
	Backoff        time.Duration `toml:"backoff"`
	MarksRetry     bool          `toml:"marks_retry"`
	CancelFraction float64       `toml:"leave"`    // fraction of the requests that the client cancels before the deadline
	Coap           float64       `toml:"coap"`     // fraction of the operations sent over CoAP instead of HTTP
	Devices        int           `toml:"devices"`  // CoAP sockets to each node; each has one request in flight at a time
	Duplicates     int           `toml:"dup"`      // additional copies of every CoAP message
	Quota          float64       `toml:"quota"`    // requests per second of all tenants together; 0: none
	Pressure       bool          `toml:"pressure"` // further clients press for the nodes' memory and CPU time; the nodes' memory is audited
}

// Step sets the request rate from At on. With a ramp the rate changes linearly over that duration. A burst adds that many
// requests at once.
type Step struct {
	At               time.Duration `toml:"at"`
	Rate             float64       `toml:"rate"`  // requests per second
	CapacityMultiple float64       `toml:"times"` // rate as a multiple of the fleet's capacity, instead of Rate
	Ramp             time.Duration `toml:"ramp"`
	Burst            int           `toml:"burst"`
}

// Fault is one scheduled fault, or a planned change such as a drain or a restart.
type Fault struct {
	At              time.Duration `toml:"at"`
	For             time.Duration `toml:"for"` // duration; 0: until the end of the run
	Kind            FaultKind     `toml:"kind"`
	Target          string        `toml:"target"` // "25%", "3" servers, "zone:b", "server:s004", "node:0", "all"
	Spread          time.Duration `toml:"over"`   // the fault starts at one target after the other over this duration
	Factor          float64       `toml:"times"`  // of slow: divides the speed
	Fraction        float64       `toml:"share"`  // of errors, loss, duplicate and reorder: affected fraction of the requests or packets
	NewID           bool          `toml:"new_id"` // a server that returns has a new ID
	Delay           time.Duration `toml:"delay"`  // of discovery faults, and of delay and reorder on a link
	Jitter          time.Duration `toml:"jitter"` // of delay on a link: a uniform delay between 0 and Jitter is added
	FollowUpSignals []string      `toml:"again"`  // of node-replace: signals sent after SIGTERM: TERM, INT, HUP or USR1
	Direction       string        `toml:"way"`    // of a stall: both, up (to the node or server) or down; empty: both
}

// Impairment describes the packet loss, delay and bandwidth limit of a link.
type Impairment struct {
	Loss      float64       `toml:"loss"` // fraction of TCP segments that are retransmitted, or of datagrams that are lost
	RTO       time.Duration `toml:"rto"`  // the first retransmission timeout
	Delay     time.Duration `toml:"delay"`
	Jitter    time.Duration `toml:"jitter"`
	Bandwidth float64       `toml:"bandwidth"` // bytes per second; 0: no limit
	Direction string        `toml:"direction"` // both, up (to the node or server) or down
}

// Links holds the impairments of the nodes' links to clients, servers and discovery.
type Links struct {
	Clients   Impairment `toml:"clients"`
	Servers   Impairment `toml:"servers"`
	Discovery Impairment `toml:"discovery"`
}

// Expectations holds the requirements that a run must meet in addition to the auditor's rules. An unset field is not checked.
type Expectations struct {
	Goodput     *float64       `toml:"worth_min"`        // minimum fraction of the priority weight served within the latency objective
	WorstWindow *float64       `toml:"worst_window_min"` // minimum of the same fraction in any interval of length Window
	Window      time.Duration  `toml:"window"`
	P99         *time.Duration `toml:"p99_max"` // latency of served requests, from the scheduled send time
	Rejected    *float64       `toml:"refused_max"`
	Failed      *float64       `toml:"failed_max"`
	MemoryMB    *float64       `toml:"memory_mb_max"` // limit for each node
	Sockets     *int           `toml:"sockets_max"`
	Recover     *Recover       `toml:"recover"`
	Mesh        *MeshExpect    `toml:"mesh"`
}

// Recover requires that a window with a goodput of at least Goodput starts no later than Within after From.
type Recover struct {
	From    time.Duration `toml:"from"`
	Within  time.Duration `toml:"within"`
	Goodput float64       `toml:"to"`
}

// MaxPause is the longest suspension of a node during which all rules still apply.
const MaxPause = 150 * time.Millisecond

// KillAfter returns the earliest time after SIGTERM at which SIGKILL may be sent: the longest deadline of a class, but at
// most 3 s, plus 0.7 s.
func (s *Scenario) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// HasFault reports whether a fault of a kind is scheduled. If a fault will act on a link, its callers create the link at the
// start of the run even if the link has no other impairment.
func (s *Scenario) HasFault(kind FaultKind) bool {
	for _, f := range s.Faults {
		if f.Kind == kind {
			return true
		}
	}
	return false
}

// Capacity returns the maximum number of requests per second that the fleet can serve when no server is in slow start.
func (s *Scenario) Capacity() float64 {
	weightedWork, shareSum := 0.0, 0.0
	for _, c := range s.Classes {
		weightedWork += c.Share * c.Work.Seconds()
		shareSum += c.Share
	}
	return float64(s.Fleet.Servers*s.Fleet.Cores) * s.Fleet.Speed / (weightedWork / shareSum)
}
