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
	CancelAfter time.Duration // after the send; 0: the client stays
	Random      uint64        // chance for what is not scheduled: which node, which back-off
}

// Event is one fault at one target, or its end.
type Event struct {
	At     time.Duration
	Kind   FaultKind
	Ends   bool
	Server int // -1: not a server
	Node   int // -1: not a node
	Peer   int // of a link from Node to it; -1: not a link
	Fault  Fault
}

// Schedule is all that will happen to the system, fixed before the run.
type Schedule struct {
	Arrivals []Arrival
	Events   []Event
	Speeds   []float64 // of the servers
}

// ErrTooManyArrivals says that a schedule would not fit into memory.
var ErrTooManyArrivals = errors.New("more than 20 million arrivals")

const maxArrivals = 20_000_000

// Streams of random numbers: each use has its own, so that a further fault does not move the arrivals.
const (
	streamArrivals = iota + 1
	streamFaults
	streamSpeeds
)

// Schedule works out the schedule from the scenario and its seed. The error is ErrTooManyArrivals, or says which target
// names nothing.
func (s *Scenario) Schedule() (*Schedule, error) {
	out := &Schedule{Speeds: s.speeds()}
	var err error
	if out.Arrivals, err = s.arrivals(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(s.Seed, streamFaults))
	for _, f := range s.Faults {
		events, err := s.targets(f, rng)
		if err != nil {
			return nil, err
		}
		out.Events = append(out.Events, events...)
	}
	sort.SliceStable(out.Events, func(i, j int) bool { return out.Events[i].At < out.Events[j].At })
	return out, nil
}

// speeds are the servers' speeds.
func (s *Scenario) speeds() []float64 {
	rng := rand.New(rand.NewPCG(s.Seed, streamSpeeds))
	out := make([]float64, s.Fleet.Servers)
	for i := range out {
		out[i] = s.Fleet.Speed * (1 + s.Fleet.SpeedSpread*(2*rng.Float64()-1))
	}
	return out
}

// Rate is the intended rate at a moment, in requests a second.
func (s *Scenario) Rate(at time.Duration) float64 {
	rate := 0.0
	for _, step := range s.Load {
		if at < step.At {
			break
		}
		to := step.Rate
		if step.Times > 0 {
			to = step.Times * s.Capacity()
		}
		if step.Burst > 0 && to == 0 {
			continue // a burst by itself leaves the rate as it is
		}
		if done := at - step.At; done < step.Ramp {
			rate += (to - rate) * float64(done) / float64(step.Ramp)
		} else {
			rate = to
		}
	}
	return rate
}

// arrivals are a Poisson process whose rate follows the steps, by thinning, and the bursts.
func (s *Scenario) arrivals() ([]Arrival, error) {
	rng := rand.New(rand.NewPCG(s.Seed, streamArrivals))
	end, top := s.Warmup+s.Duration, 0.0
	for _, step := range s.Load {
		top = max(top, step.Rate, step.Times*s.Capacity())
	}
	if top*end.Seconds() > maxArrivals {
		return nil, ErrTooManyArrivals
	}
	pick := newArrivalSource(s)
	var out []Arrival
	for at := 0.0; top > 0; {
		at += rng.ExpFloat64() / top
		when := time.Duration(at * float64(time.Second))
		if when >= end {
			break
		}
		if rng.Float64()*top < s.Rate(when) {
			out = append(out, pick.arrival(rng, when))
		}
	}
	for _, step := range s.Load {
		for range step.Burst {
			out = append(out, pick.arrival(rng, step.At))
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out, nil
}

// arrivalSource draws what one request is.
type arrivalSource struct {
	s       *Scenario
	classes []float64 // cumulated shares
	tenants []float64
}

// newArrivalSource works out the shares that requests are drawn by.
func newArrivalSource(s *Scenario) *arrivalSource {
	p := &arrivalSource{s: s}
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Share
		p.classes = append(p.classes, sum)
	}
	sum = 0
	for i := range s.Clients.Tenants {
		sum += math.Pow(float64(i+1), -s.Clients.Zipf)
		p.tenants = append(p.tenants, sum)
	}
	return p
}

// drawIndex draws an index by cumulated shares.
func drawIndex(rng *rand.Rand, cumulated []float64) int {
	x := rng.Float64() * cumulated[len(cumulated)-1]
	return min(sort.SearchFloat64s(cumulated, x), len(cumulated)-1)
}

// arrival draws one request.
func (p *arrivalSource) arrival(rng *rand.Rand, at time.Duration) Arrival {
	a := Arrival{At: at, Class: drawIndex(rng, p.classes), Tenant: drawIndex(rng, p.tenants), Random: rng.Uint64()}
	c := p.s.Classes[a.Class]
	a.Work = time.Duration(float64(c.Work) * workFactor(rng, c))
	if rng.Float64() < p.s.Clients.CancelShare {
		a.CancelAfter = max(1, time.Duration(rng.Float64()*float64(c.Deadline)))
	}
	return a
}

// workFactor is a request's work as a multiple of its class's mean.
func workFactor(rng *rand.Rand, c Class) float64 {
	switch c.Dist {
	case "exponential":
		return rng.ExpFloat64()
	case "lognormal": // its mean is 1 whatever sigma is
		return math.Exp(c.Sigma*rng.NormFloat64() - c.Sigma*c.Sigma/2)
	}
	return 1
}

// targets are the events of one fault. With a nil rng it only checks the target.
func (s *Scenario) targets(f Fault, rng *rand.Rand) ([]Event, error) {
	var out []Event
	hit := func(i, of, server, node, peer int) {
		at := f.At
		if of > 1 {
			at += f.Spread * time.Duration(i) / time.Duration(of)
		}
		out = append(out, Event{At: at, Kind: f.Kind, Server: server, Node: node, Peer: peer, Fault: f})
		if f.For > 0 {
			out = append(out, Event{At: at + f.For, Kind: f.Kind, Ends: true, Server: server, Node: node, Peer: peer, Fault: f})
		}
	}
	if f.Kind.OfLink() {
		links, err := s.links(f.Target, rng)
		if err != nil {
			return nil, err
		}
		for i, l := range links {
			hit(i, len(links), -1, l[0], l[1])
		}
		return out, nil
	}
	servers, nodes, err := s.targetsOf(f, rng)
	if err != nil {
		return nil, err
	}
	for i, server := range servers {
		hit(i, len(servers), server, -1, -1)
	}
	for i, node := range nodes {
		hit(i, len(nodes), -1, node, -1)
	}
	return out, nil
}

// targetsOf are the servers and nodes that a target names.
func (s *Scenario) targetsOf(f Fault, rng *rand.Rand) (servers, nodes []int, err error) {
	if f.Kind.ofNode() {
		nodes, err = s.targetNodes(f, rng)
		return nil, nodes, err
	}
	servers, err = s.targetServers(f, rng)
	return servers, nil, err
}

// targetNodes are the nodes that a target names.
func (s *Scenario) targetNodes(f Fault, rng *rand.Rand) ([]int, error) {
	what, name, _ := strings.Cut(f.Target, ":")
	switch {
	case f.Target == "" || f.Target == "all":
		return indexes(s.Nodes.Count), nil
	case what == "node":
		n, err := strconv.Atoi(name)
		if err != nil || n < 0 || n >= s.Nodes.Count {
			return nil, fmt.Errorf("%q is no node of %d", name, s.Nodes.Count)
		}
		return []int{n}, nil
	}
	n, err := parseCount(f.Target, s.Nodes.Count)
	if err != nil {
		return nil, fmt.Errorf("%q: a fault of kind %s needs node:N, all, or a number or share of the nodes", f.Target, f.Kind)
	}
	nodes := indexes(s.Nodes.Count)
	if rng != nil {
		rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	}
	return nodes[:n], nil
}

// targetServers are the servers that a target names. Without an rng a number or a share names none: it is only checked.
func (s *Scenario) targetServers(f Fault, rng *rand.Rand) ([]int, error) {
	what, name, _ := strings.Cut(f.Target, ":")
	all := indexes(s.Fleet.Servers)
	switch {
	case f.Target == "all":
		return all, nil
	case what == "server":
		n, err := strconv.Atoi(strings.TrimPrefix(name, "s"))
		if err != nil || n < 0 || n >= len(all) {
			return nil, fmt.Errorf("%q is no server of %d", name, len(all))
		}
		return []int{n}, nil
	case what == "zone":
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

// parseCount is a number of things, given as it stands or as a share ("25%").
func parseCount(text string, of int) (int, error) {
	if share, ok := strings.CutSuffix(text, "%"); ok {
		x, err := strconv.ParseFloat(share, 64)
		if err != nil || !(x > 0) || x > 100 {
			return 0, fmt.Errorf("%q is no share", text)
		}
		return max(1, int(math.Round(x/100*float64(of)))), nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > of {
		return 0, fmt.Errorf("%q is neither a share nor 1 to %d servers, nor server:N, zone:Z or all", text, of)
	}
	return n, nil
}

// indexes are 0 to n-1.
func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// PodOf is the pod of a server: pods lie within a zone, and zones take turns pod by pod.
func (s *Scenario) PodOf(server int) int { return server / s.Fleet.PodSize }

// ZoneOf is the zone of a server.
func (s *Scenario) ZoneOf(server int) string {
	return s.Fleet.Zones[s.PodOf(server)%len(s.Fleet.Zones)]
}

// NodeZone is the zone of a node.
func (s *Scenario) NodeZone(node int) string { return s.Fleet.Zones[node%len(s.Fleet.Zones)] }

// Bytes is the schedule in a form in which two can be compared.
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

// faultText is a fault in the schedule's form. Its words are part of every schedule's hash, by which runs of different
// versions are compared, so they stay when a Go field is renamed.
func faultText(f Fault) string {
	return fmt.Sprintf("{At:%v For:%v Kind:%s Target:%s Over:%v Times:%v Share:%v NewID:%v Delay:%v Jitter:%v Again:%v Way:%s}",
		f.At, f.For, f.Kind, f.Target, f.Spread, f.Factor, f.Share, f.NewID, f.Delay, f.Jitter, f.FollowUpSignals, f.Direction)
}

// Hash is a short name of the schedule.
func (s *Schedule) Hash() string { return fmt.Sprintf("%016x", xxhash.Sum64(s.Bytes())) }

// TenantShares are the tenants' shares of the requests; they add up to 1.
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
