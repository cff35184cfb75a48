package scenario

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Arrival is one request that a client intends to send.
type Arrival struct {
	At          time.Duration // from the start of the run
	Class       int
	Tenant      int
	Work        time.Duration
	CancelAfter time.Duration // after the send; 0: the client does not cancel
	Random      uint64        // seeds the client's choices during the run: node and backoff
}

// Event is the start or the end of a fault at one target.
type Event struct {
	At     time.Duration
	Kind   FaultKind
	Ends   bool
	Server int // -1: the target is not a server
	Node   int // -1: the target is not a node
	Peer   int // the end of a link that starts at Node; -1: the target is not a link
	Fault  Fault
}

// Schedule holds all requests and faults of a run, computed before it starts.
type Schedule struct {
	Arrivals []Arrival
	Events   []Event
	Speeds   []float64 // by server
}

// ErrTooManyArrivals means that the schedule would need too much memory.
var ErrTooManyArrivals = errors.New("more than 20 million arrivals")

const maxArrivals = 20_000_000

// Random number streams. Each purpose has its own stream, so that an additional fault does not change the arrivals.
const (
	streamArrivals = iota + 1
	streamFaults
	streamSpeeds
)

// Schedule computes the schedule from the scenario and its seed. It returns ErrTooManyArrivals, or an error that names the
// invalid target of a fault.
func (s *Scenario) Schedule() (*Schedule, error) {
	out := &Schedule{Speeds: s.drawSpeeds()}
	var err error
	if out.Arrivals, err = s.drawArrivals(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(s.Seed, streamFaults))
	for _, f := range s.Faults {
		events, err := s.faultEvents(f, rng)
		if err != nil {
			return nil, err
		}
		out.Events = append(out.Events, events...)
	}
	sort.SliceStable(out.Events, func(i, j int) bool { return out.Events[i].At < out.Events[j].At })
	return out, nil
}

// drawSpeeds draws the speed of each server.
func (s *Scenario) drawSpeeds() []float64 {
	rng := rand.New(rand.NewPCG(s.Seed, streamSpeeds))
	out := make([]float64, s.Fleet.Servers)
	for i := range out {
		out[i] = s.Fleet.Speed * (1 + s.Fleet.SpeedSpread*(2*rng.Float64()-1))
	}
	return out
}

// Rate returns the scheduled rate in requests per second at the given time since the start of the run.
func (s *Scenario) Rate(at time.Duration) float64 {
	rate := 0.0
	for _, step := range s.Load {
		if at < step.At {
			break
		}
		target := step.Rate
		if step.CapacityMultiple > 0 {
			target = step.CapacityMultiple * s.Capacity()
		}
		if step.Burst > 0 && target == 0 {
			continue // a step with only a burst does not change the rate
		}
		if elapsed := at - step.At; elapsed < step.Ramp {
			rate += (target - rate) * float64(elapsed) / float64(step.Ramp)
		} else {
			rate = target
		}
	}
	return rate
}

// drawArrivals draws the arrivals of a Poisson process whose rate follows the load steps, by thinning a process of the
// maximum rate, and adds the bursts.
func (s *Scenario) drawArrivals() ([]Arrival, error) {
	rng := rand.New(rand.NewPCG(s.Seed, streamArrivals))
	end, maxRate := s.Warmup+s.Duration, 0.0
	for _, step := range s.Load {
		maxRate = max(maxRate, step.Rate, step.CapacityMultiple*s.Capacity())
	}
	if maxRate*end.Seconds() > maxArrivals {
		return nil, ErrTooManyArrivals
	}
	source := newArrivalSource(s)
	var out []Arrival
	for seconds := 0.0; maxRate > 0; {
		seconds += rng.ExpFloat64() / maxRate
		when := time.Duration(seconds * float64(time.Second))
		if when >= end {
			break
		}
		if rng.Float64()*maxRate < s.Rate(when) {
			out = append(out, source.draw(rng, when))
		}
	}
	for _, step := range s.Load {
		for range step.Burst {
			out = append(out, source.draw(rng, step.At))
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out, nil
}

// arrivalSource draws the properties of requests.
type arrivalSource struct {
	scenario     *Scenario
	classShares  []float64 // cumulative
	tenantShares []float64
}

// newArrivalSource computes the cumulative shares of the classes and tenants.
func newArrivalSource(s *Scenario) *arrivalSource {
	source := &arrivalSource{scenario: s}
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Share
		source.classShares = append(source.classShares, sum)
	}
	sum = 0
	for i := range s.Clients.Tenants {
		sum += math.Pow(float64(i+1), -s.Clients.Zipf)
		source.tenantShares = append(source.tenantShares, sum)
	}
	return source
}

// drawIndex draws an index with the probabilities given by cumulative shares.
func drawIndex(rng *rand.Rand, cumulative []float64) int {
	x := rng.Float64() * cumulative[len(cumulative)-1]
	return min(sort.SearchFloat64s(cumulative, x), len(cumulative)-1)
}

// draw draws the request that arrives at the given time.
func (p *arrivalSource) draw(rng *rand.Rand, at time.Duration) Arrival {
	arrival := Arrival{At: at, Class: drawIndex(rng, p.classShares), Tenant: drawIndex(rng, p.tenantShares), Random: rng.Uint64()}
	class := p.scenario.Classes[arrival.Class]
	arrival.Work = time.Duration(float64(class.Work) * workFactor(rng, class))
	if rng.Float64() < p.scenario.Clients.CancelFraction {
		arrival.CancelAfter = max(1, time.Duration(rng.Float64()*float64(class.Deadline)))
	}
	return arrival
}

// workFactor draws a request's work as a multiple of the mean work of its class.
func workFactor(rng *rand.Rand, c Class) float64 {
	switch c.Dist {
	case "exponential":
		return rng.ExpFloat64()
	case "lognormal": // the mean is 1 for every sigma
		return math.Exp(c.Sigma*rng.NormFloat64() - c.Sigma*c.Sigma/2)
	}
	return 1
}

// faultEvents returns the events of one fault. With a nil rng it only validates the target.
func (s *Scenario) faultEvents(fault Fault, rng *rand.Rand) ([]Event, error) {
	var out []Event
	addEvents := func(i, targets, server, node, peer int) {
		at := fault.At
		if targets > 1 {
			at += fault.Spread * time.Duration(i) / time.Duration(targets)
		}
		out = append(out, Event{At: at, Kind: fault.Kind, Server: server, Node: node, Peer: peer, Fault: fault})
		if fault.For > 0 {
			out = append(out, Event{At: at + fault.For, Kind: fault.Kind, Ends: true, Server: server, Node: node, Peer: peer, Fault: fault})
		}
	}
	if fault.Kind.AffectsLink() {
		links, err := s.targetLinks(fault.Target, rng)
		if err != nil {
			return nil, err
		}
		for i, link := range links {
			addEvents(i, len(links), -1, link[0], link[1])
		}
		return out, nil
	}
	servers, nodes, err := s.targetServersAndNodes(fault, rng)
	if err != nil {
		return nil, err
	}
	for i, server := range servers {
		addEvents(i, len(servers), server, -1, -1)
	}
	for i, node := range nodes {
		addEvents(i, len(nodes), -1, node, -1)
	}
	return out, nil
}

// targetServersAndNodes returns the servers or the nodes that a fault's target selects.
func (s *Scenario) targetServersAndNodes(f Fault, rng *rand.Rand) (servers, nodes []int, err error) {
	if f.Kind.targetsNodes() {
		nodes, err = s.targetNodes(f, rng)
		return nil, nodes, err
	}
	servers, err = s.targetServers(f, rng)
	return servers, nil, err
}

// targetNodes returns the nodes that a fault's target selects.
func (s *Scenario) targetNodes(f Fault, rng *rand.Rand) ([]int, error) {
	kind, name, _ := strings.Cut(f.Target, ":")
	switch {
	case f.Target == "" || f.Target == "all":
		return indexes(s.Nodes.Count), nil
	case kind == "node":
		n, err := strconv.Atoi(name)
		if err != nil || n < 0 || n >= s.Nodes.Count {
			return nil, fmt.Errorf("%q is not one of the %d nodes", name, s.Nodes.Count)
		}
		return []int{n}, nil
	}
	n, err := parseCount(f.Target, s.Nodes.Count)
	if err != nil {
		return nil, fmt.Errorf("%q: a fault of kind %s needs node:N, all, or a number or percentage of the nodes", f.Target, f.Kind)
	}
	nodes := indexes(s.Nodes.Count)
	if rng != nil {
		rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	}
	return nodes[:n], nil
}

// targetServers returns the servers that a fault's target selects. With a nil rng, a number or percentage is only validated
// and selects none.
func (s *Scenario) targetServers(f Fault, rng *rand.Rand) ([]int, error) {
	kind, name, _ := strings.Cut(f.Target, ":")
	all := indexes(s.Fleet.Servers)
	switch {
	case f.Target == "all":
		return all, nil
	case kind == "server":
		n, err := strconv.Atoi(strings.TrimPrefix(name, "s"))
		if err != nil || n < 0 || n >= len(all) {
			return nil, fmt.Errorf("%q is not one of the %d servers", name, len(all))
		}
		return []int{n}, nil
	case kind == "zone":
		var servers []int
		for i := range all {
			if s.ZoneOf(i) == name {
				servers = append(servers, i)
			}
		}
		if len(servers) == 0 {
			return nil, fmt.Errorf("no server is in zone %q", name)
		}
		return servers, nil
	}
	n, err := parseCount(f.Target, len(all))
	if err != nil || rng == nil {
		return nil, err
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:n], nil
}

// parseCount parses a number of targets, given as a number or as a percentage of total ("25%").
func parseCount(text string, total int) (int, error) {
	if percent, ok := strings.CutSuffix(text, "%"); ok {
		x, err := strconv.ParseFloat(percent, 64)
		if err != nil || !(x > 0) || x > 100 {
			return 0, fmt.Errorf("%q must be above 0%% and at most 100%%", text)
		}
		return max(1, int(math.Round(x/100*float64(total)))), nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > total {
		return 0, fmt.Errorf("%q selects no servers: expected a percentage, a number from 1 to %d, server:N, zone:Z or all", text, total)
	}
	return n, nil
}

// indexes returns the integers from 0 to n-1.
func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// PodOf returns the pod of a server. A pod has consecutive servers of one zone; consecutive pods rotate through the zones.
func (s *Scenario) PodOf(server int) int { return server / s.Fleet.PodSize }

// ZoneOf returns the zone of a server.
func (s *Scenario) ZoneOf(server int) string {
	return s.Fleet.Zones[s.PodOf(server)%len(s.Fleet.Zones)]
}

// NodeZone returns the zone of a node.
func (s *Scenario) NodeZone(node int) string { return s.Fleet.Zones[node%len(s.Fleet.Zones)] }

// Bytes returns an encoding of the schedule for comparing two schedules.
func (s *Schedule) Bytes() []byte {
	out := make([]byte, 0, 48*len(s.Arrivals)+64*len(s.Events))
	for _, a := range s.Arrivals {
		for _, n := range []uint64{uint64(a.At), uint64(a.Class), uint64(a.Tenant), uint64(a.Work), uint64(a.CancelAfter), a.Random} {
			out = binary.BigEndian.AppendUint64(out, n)
		}
	}
	for _, e := range s.Events {
		out = fmt.Appendf(out, "%d %s %v %d %d %d %s\n", e.At, e.Kind, e.Ends, e.Server, e.Node, e.Peer, faultText(e.Fault))
	}
	for _, v := range s.Speeds {
		out = binary.BigEndian.AppendUint64(out, math.Float64bits(v))
	}
	return out
}

// faultText encodes a fault for Bytes. Its field names are part of the schedule's hash, by which runs of different versions
// are compared, so they do not follow renames of Go fields.
func faultText(f Fault) string {
	return fmt.Sprintf("{At:%v For:%v Kind:%s Target:%s Over:%v Times:%v Share:%v NewID:%v Delay:%v Jitter:%v Again:%v Way:%s}",
		f.At, f.For, f.Kind, f.Target, f.Spread, f.Factor, f.Fraction, f.NewID, f.Delay, f.Jitter, f.FollowUpSignals, f.Direction)
}

// Hash returns a 64-bit hash of Bytes in hexadecimal.
func (s *Schedule) Hash() string { return fmt.Sprintf("%016x", xxhash.Sum64(s.Bytes())) }

// TenantShares returns the fraction of the requests that each tenant sends; the fractions add up to 1.
func (s *Scenario) TenantShares() []float64 {
	out, sum := make([]float64, s.Clients.Tenants), 0.0
	for i := range out {
		out[i] = math.Pow(float64(i+1), -s.Clients.Zipf)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}
