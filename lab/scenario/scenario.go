// Package scenario reads what an experiment is to be from a TOML file, and works out beforehand every arrival and every
// fault of it from the seed alone. Two runs with one seed have the same schedule, byte for byte.
package scenario

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is one experiment.
type Scenario struct {
	Name     string        `toml:"name"`
	About    string        `toml:"about"`
	Seed     uint64        `toml:"seed"`
	Warmup   time.Duration `toml:"warmup"`   // before what counts
	Duration time.Duration `toml:"duration"` // of what counts
	RigLate  time.Duration `toml:"rig_late"` // a run whose own p99 lateness is above it is void
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

// Inventory lists the servers in a file for each node, which a tool rewrites well and badly. Discovery is not used then.
type Inventory struct {
	Form    string        `toml:"form"` // csv or yaml
	Every   time.Duration `toml:"every"`
	Bad     float64       `toml:"bad"`    // share of the rewrites that no node may take
	InPlace float64       `toml:"saving"` // share that is written slowly, in place
}

// Fleet is the servers.
type Fleet struct {
	Servers          int           `toml:"servers"`
	Zones            []string      `toml:"zones"`
	ZoneDelay        time.Duration `toml:"zone_delay"` // one way, between two zones
	PodSize          int           `toml:"pod_size"`
	PodLimit         int           `toml:"pod_limit"` // requests in hand in all servers of a pod; 0: none
	Cores            int           `toml:"cores"`
	Speed            float64       `toml:"speed"`
	SpeedSpread      float64       `toml:"speed_spread"` // speeds lie evenly within this share around Speed
	QueueMax         int           `toml:"queue_max"`
	CrowdDepth       float64       `toml:"crowd_depth"`
	CrowdFor         time.Duration `toml:"crowd_for"`
	SlowFactor       float64       `toml:"slow_times"`
	RestFor          time.Duration `toml:"rest_for"`
	ColdSpeed        float64       `toml:"cold_from"`
	ColdFor          time.Duration `toml:"cold_for"`
	CollapseMultiple float64       `toml:"fall_multiple"`
	CollapseWindow   time.Duration `toml:"fall_for"`
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
	DiscoveryDelay time.Duration `toml:"discovery_delay"` // from a change to its being told
}

// Class is one class of request.
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

// Clients are how clients behave.
type Clients struct {
	Tenants     int           `toml:"tenants"`
	Zipf        float64       `toml:"zipf"`  // tenants' shares fall with this power of their rank
	Retry       string        `toml:"retry"` // none, now, backoff, follow or ignore
	Retries     int           `toml:"retries"`
	Backoff     time.Duration `toml:"backoff"`
	MarksRetry  bool          `toml:"marks_retry"`
	CancelShare float64       `toml:"leave"`   // share that leaves before the deadline
	Coap        float64       `toml:"coap"`    // share of the operations asked over CoAP instead of HTTP
	Devices     int           `toml:"devices"` // CoAP sockets to each node; each has one request in hand at a time
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
	Kind            string        `toml:"kind"`
	Target          string        `toml:"target"` // "25%", "3" servers, "zone:b", "server:s004", "node:0", "all"
	Spread          time.Duration `toml:"over"`   // the targets are hit one by one over this span
	Factor          float64       `toml:"times"`  // slow
	Share           float64       `toml:"share"`  // errors; loss, duplicate and reorder on a link
	NewID           bool          `toml:"new_id"` // what comes back has another id
	Delay           time.Duration `toml:"delay"`  // discovery; delay and reorder on a link
	Jitter          time.Duration `toml:"jitter"` // delay on a link: added evenly between 0 and it
	FollowUpSignals []string      `toml:"again"`  // of a node-replace: the signals that follow SIGTERM, TERM, INT, HUP or USR1
	Direction       string        `toml:"way"`    // of a stall: both, up (to the node or server) or down; empty: both
}

// Impair is what a link does to what passes it.
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

// Expect is what the run must show besides keeping the rules. What is not stated is not asked.
type Expectations struct {
	Worth      *float64       `toml:"worth_min"`        // share of the worth asked for
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

// Recover asks that worth be back at a share within a time of a moment, and stay there for a window.
type Recover struct {
	From   time.Duration `toml:"from"`
	Within time.Duration `toml:"within"`
	To     float64       `toml:"to"`
}

// Load reads and checks a file.
func Load(path string, overrides ...string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(string(raw), overrides...)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads a scenario. An override is key=value with the key in dotted form, and wins over the text.
func Parse(text string, overrides ...string) (*Scenario, error) {
	s := defaults()
	for _, o := range overrides {
		if key, _, ok := strings.Cut(o, "="); !ok || strings.TrimSpace(key) == "" {
			return nil, fmt.Errorf("override %q is not key=value", o)
		}
	}
	if err := decode(text, s); err != nil {
		return nil, err
	}
	for _, o := range overrides {
		if err := override(o, s); err != nil {
			return nil, fmt.Errorf("override %q: %w", o, err)
		}
	}
	return s, s.check()
}

func decode(text string, s *Scenario) error {
	md, err := toml.Decode(text, s)
	if err != nil {
		return err
	}
	if rest := md.Undecoded(); len(rest) > 0 {
		return fmt.Errorf("%s is no key of a scenario", rest[0])
	}
	return nil
}

// override sets one key. A value that TOML does not read as it stands is taken for a text.
func override(o string, s *Scenario) error {
	key, value, _ := strings.Cut(o, "=")
	switch strings.TrimSpace(key) { // a list is replaced whole: the decoder would fill the new one into the old entries
	case "fault":
		s.Faults = nil
	case "load":
		s.Load = nil
	case "class":
		s.Classes = nil
	}
	line := key + " = " + value
	if err := decode(line, s); err == nil {
		return nil
	}
	return decode(key+" = "+strconv.Quote(value), s)
}

func defaults() *Scenario {
	return &Scenario{
		Seed: 1, Warmup: 2 * time.Second, Duration: 10 * time.Second, RigLate: 5 * time.Millisecond,
		Fleet: Fleet{Servers: 12, Zones: []string{"a", "b"}, PodSize: 3, Cores: 1, Speed: 1, QueueMax: 64, SlowFactor: 1,
			ColdSpeed: 0.3, ColdFor: 6 * time.Second, CollapseMultiple: 3, CollapseWindow: time.Second, MaxConns: 256, Reports: true},
		Nodes: Nodes{Count: 2, Kind: "tackhub", Cores: 1, MemoryMB: 192, Sockets: 1024, DrainGrace: 1500 * time.Millisecond,
			Attempts: 4, DiscoveryDelay: 200 * time.Millisecond},
		Clients: Clients{Tenants: 8, Zipf: 1, Retry: "none", Backoff: 50 * time.Millisecond, MarksRetry: true, Devices: 64},
		Expect:  Expectations{Window: 2 * time.Second},
	}
}

var (
	effects    = []string{"safe", "keyed", "unsafe"}
	groupNames = []string{"", "all", "zone", "cell"}
	dists      = []string{"", "fixed", "exponential", "lognormal"}
	retries    = []string{"none", "now", "backoff", "follow", "ignore"}
	kinds      = []string{"tackhub", "random", "least"}
	directions = []string{"", "both", "up", "down"}
	signals    = []string{"TERM", "INT", "HUP", "USR1"}

	// FaultKinds are the faults a scenario can name.
	FaultKinds = []string{"crash", "vanish", "hang", "slow", "errors", "drain", "cold-return", "node-kill", "node-stop",
		"node-restart", "discovery-down", "discovery-stale", "discovery-wrong", "clients-stall", "clients-reset", "clients-half-close",
		"node-replace", "node-pause", "servers-stall", "servers-reset", "reports-off", "disk-lost", "cut", "loss", "delay", "duplicate", "reorder"}

	// Defects are what a baseline can be broken by, to try the auditor.
	Defects = []string{"", "double-send", "lost-answer", "late-drain", "swapped-answer", "late-answer", "cold-push", "refuse-run"}
)

// PauseMost is the longest that a node may be held up with all rules still in force.
const MaxPause = 150 * time.Millisecond

// KillAfter is how long after SIGTERM SIGKILL may come at the earliest: the longest deadline, counted as 3 s at most, and 0.7 s.
func (s *Scenario) KillAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, 3*time.Second) + 700*time.Millisecond
}

// check names the first thing that cannot be.
func (s *Scenario) check() error {
	f, n := s.Fleet, s.Nodes
	for _, c := range []struct {
		bad bool
		key string
		why string
	}{
		{s.Name == "", "name", "is missing"},
		{s.Duration <= 0, "duration", "must be above 0"},
		{s.Warmup < 0, "warmup", "must not be negative"},
		{f.Servers < 1 || f.Servers > 2000, "fleet.servers", "must be 1 to 2000"},
		{len(f.Zones) == 0, "fleet.zones", "needs at least one zone"},
		{f.PodSize < 1, "fleet.pod_size", "must be at least 1"},
		{f.Cores < 1, "fleet.cores", "must be at least 1"},
		{f.Speed <= 0, "fleet.speed", "must be above 0"},
		{f.SpeedSpread < 0 || f.SpeedSpread >= 1, "fleet.speed_spread", "must be 0 to 1"},
		{f.ColdSpeed <= 0 || f.ColdSpeed > 1, "fleet.cold_from", "must be above 0 and at most 1"},
		{f.SlowFactor < 1, "fleet.slow_times", "must be at least 1"},
		{n.Count < 1 || n.Count > 64, "nodes.count", "must be 1 to 64"},
		{!slices.Contains(kinds, n.Kind), "nodes.kind", "must be one of " + strings.Join(kinds, ", ")},
		{!slices.Contains(Defects, n.Defect), "nodes.break", "must be one of " + strings.Join(Defects[1:], ", ")},
		{n.Defect != "" && n.Kind == "tackhub", "nodes.break", "goes with a baseline only"},
		{len(s.Classes) == 0, "class", "needs at least one class"},
		{len(s.Load) == 0, "load", "needs at least one step"},
		{s.Clients.Tenants < 1, "clients.tenants", "must be at least 1"},
		{!slices.Contains(retries, s.Clients.Retry), "clients.retry", "must be one of " + strings.Join(retries, ", ")},
		{s.Clients.Coap < 0 || s.Clients.Coap > 1, "clients.coap", "must be 0 to 1"},
		{s.Clients.Devices < 1 || s.Clients.Devices > 1000, "clients.devices", "must be 1 to 1000"},
		{s.Clients.Duplicates < 0 || s.Clients.Duplicates > 8, "clients.dup", "must be 0 to 8"},
		{f.Coap < 0 || f.Coap > 1, "fleet.coap", "must be 0 to 1"},
		{f.Coap > 0 && s.Inventory == nil, "fleet.coap", "needs an [inventory]: discovery lists HTTP servers alone"},
		{s.Clients.CancelShare < 0 || s.Clients.CancelShare > 1, "clients.leave", "must be 0 to 1"},
		{s.Expect.Window <= 0, "expect.window", "must be above 0"},
	} {
		if c.bad {
			return fmt.Errorf("%s %s", c.key, c.why)
		}
	}
	if i := s.Inventory; i != nil && (i.Form != "csv" && i.Form != "yaml" || i.Every <= 0 || i.Bad < 0 || i.InPlace < 0 || i.Bad+i.InPlace > 1) {
		return fmt.Errorf("inventory: a form of csv or yaml, a time between rewrites, and shares from 0 to 1 are needed")
	}
	for name, l := range map[string]Impairment{"clients": s.Links.Clients, "servers": s.Links.Servers, "discovery": s.Links.Discovery} {
		if l.Loss < 0 || l.Loss >= 1 || l.Delay < 0 || l.Jitter < 0 || l.Bandwidth < 0 || !slices.Contains(directions, l.Direction) {
			return fmt.Errorf("link.%s: a loss of 0 to 1, no negative figure, and a direction of both, up or down are needed", name)
		}
	}
	if err := s.checkMesh(); err != nil {
		return err
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	return s.checkTimes()
}

func (s *Scenario) checkClasses() error {
	seen := map[string]bool{}
	for i, c := range s.Classes {
		at := fmt.Sprintf("class[%d]", i)
		switch {
		case c.Name == "" || strings.ContainsAny(c.Name, "/ ?#"):
			return fmt.Errorf("%s.name %q cannot be the first part of a path", at, c.Name)
		case seen[c.Name]:
			return fmt.Errorf("%s.name %q comes twice", at, c.Name)
		case !slices.Contains(effects, c.Effect):
			return fmt.Errorf("%s.effect must be one of %s", at, strings.Join(effects, ", "))
		case !slices.Contains(groupNames, c.Group):
			return fmt.Errorf("%s.group must be all, zone or cell", at)
		case !slices.Contains(dists, c.Dist):
			return fmt.Errorf("%s.dist must be one of %s", at, strings.Join(dists[1:], ", "))
		case c.Share <= 0 || c.Worth < 0 || c.Work <= 0:
			return fmt.Errorf("%s needs a share and work above 0 and no negative worth", at)
		case c.Aim <= 0 || c.Deadline < c.Aim:
			return fmt.Errorf("%s needs an aim above 0 and a deadline no shorter", at)
		case c.Body < 0 || c.Body > 64<<10:
			return fmt.Errorf("%s.body must be 0 to 65536", at)
		case c.Effect == "keyed" && c.Window <= 0:
			return fmt.Errorf("%s.window must be above 0 for a keyed class", at)
		}
		seen[c.Name] = true
	}
	return nil
}

func (s *Scenario) checkTimes() error {
	end := s.Warmup + s.Duration
	last := time.Duration(-1)
	for i, l := range s.Load {
		if l.At <= last && i > 0 || l.At < 0 {
			return fmt.Errorf("load[%d].at must come after the step before", i)
		}
		if l.Rate < 0 || l.Times < 0 || l.Burst < 0 || l.Rate > 0 && l.Times > 0 {
			return fmt.Errorf("load[%d] needs a rate or times, not both, and nothing negative", i)
		}
		last = l.At
	}
	for i, f := range s.Faults {
		switch {
		case !slices.Contains(FaultKinds, f.Kind):
			return fmt.Errorf("fault[%d].kind %q is not one of %s", i, f.Kind, strings.Join(FaultKinds, ", "))
		case f.At < 0 || f.At >= end:
			return fmt.Errorf("fault[%d].at lies outside the run of %v", i, end)
		case f.Kind == "slow" && f.Factor <= 0:
			return fmt.Errorf("fault[%d].times must be above 0", i)
		case f.Kind == "node-pause" && (f.For <= 0 || f.For > MaxPause):
			return fmt.Errorf("fault[%d].for must be above 0 and at most %v", i, MaxPause)
		case slices.ContainsFunc(f.FollowUpSignals, func(name string) bool { return !slices.Contains(signals, name) }):
			return fmt.Errorf("fault[%d].again may name %s", i, strings.Join(signals, ", "))
		case !slices.Contains(directions, f.Direction):
			return fmt.Errorf("fault[%d].way must be both, up or down", i)
		case f.Kind == "errors" && (f.Share <= 0 || f.Share > 1):
			return fmt.Errorf("fault[%d].share must be above 0 and at most 1", i)
		}
		if _, err := s.targets(f, nil); err != nil {
			return fmt.Errorf("fault[%d].target: %w", i, err)
		}
	}
	return nil
}

// Stalls tells whether some fault of a kind is among them: then the links it acts on must be there from the start.
func (s *Scenario) HasFault(kind string) bool {
	for _, f := range s.Faults {
		if f.Kind == kind {
			return true
		}
	}
	return false
}

// Capacity is the requests a second that the warm fleet can do at most.
func (s *Scenario) Capacity() float64 {
	mean, shares := 0.0, 0.0
	for _, c := range s.Classes {
		mean += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	return float64(s.Fleet.Servers*s.Fleet.Cores) * s.Fleet.Speed / (mean / shares)
}
