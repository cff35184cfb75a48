package experiment

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/loopback"
	"tackhub.example/tackhub/lab/netfault"
	"tackhub.example/tackhub/lab/scenario"
)

const (
	// viewInterval is the time between two questions to a process for its view.
	viewInterval = 50 * time.Millisecond

	// maxViewAge is how long an answer may take to count: one that a process gave after it was suspended belongs to another
	// moment.
	maxViewAge = 200 * time.Millisecond
)

// meshRun is the part of a run that concerns the nodes among themselves.
type meshRun struct {
	links *netfault.Mesh

	mu             sync.Mutex // guards what follows
	samples        []audit.MemberSample
	linkEvents     []audit.LinkEvent
	otherFaultEnds []audit.Offset
	grants         []audit.QuotaGrant
	lastGrant      map[[2]uint64]int64 // when the last recorded quota of each process was granted
	starts         []trafficMark       // by node, at the start of what counts
	bytes          []float64           // a second, by node
}

// trafficMark is what a node's counters say it has sent up to a moment.
type trafficMark struct {
	at    time.Time
	bytes float64
}

// openMesh opens a link for each directed pair of nodes and writes the nodes' [cluster] sections.
func (r *run) openMesh(dir string) error {
	s := r.options.Scenario
	if s.Mesh == nil {
		return nil
	}
	var listens []string
	for range s.Nodes.Count {
		addr, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		listens = append(listens, addr)
	}
	links, err := netfault.NewMesh(listens, s.Seed)
	if err != nil {
		return err
	}
	r.mesh = &meshRun{
		links:     links,
		lastGrant: map[[2]uint64]int64{},
		starts:    make([]trafficMark, s.Nodes.Count),
		bytes:     make([]float64, s.Nodes.Count),
	}
	for i := range s.Nodes.Count {
		if err := appendOperatorFile(dir, i, r.clusterSection(i, listens)); err != nil {
			return err
		}
	}
	return nil
}

// maxSeeds is how many other nodes a node is configured to contact first.
const maxSeeds = 2

// clusterSection is the [cluster] section of a node's operator file. It reaches each other node by the address of the link
// to it.
func (r *run) clusterSection(node int, listens []string) string {
	s := r.options.Scenario
	var seeds, addresses, all []string
	for j, listen := range listens {
		all = append(all, fmt.Sprintf("n%d = %q", j, listen))
		if node == j {
			continue
		}
		address := r.mesh.links.Address(node, j)
		if len(seeds) < maxSeeds {
			seeds = append(seeds, strconv.Quote(address))
		}
		addresses = append(addresses, fmt.Sprintf("n%d = %q", j, address))
	}
	text := fmt.Sprintf("\n[cluster]\nlisten = %q\nseeds = [%s]\naddresses = { %s }\n", listens[node], strings.Join(seeds, ", "),
		strings.Join(addresses, ", "))
	if s.Mesh.Overload {
		text += "overload = true\n"
	}
	if s.Mesh.Quotas {
		text += fmt.Sprintf("shares = { %s }\n", strings.Join(all, ", "))
	}
	for key, d := range map[string]time.Duration{"period": s.Mesh.Period, "timeout": s.Mesh.Timeout, "suspicion": s.Mesh.Suspicion} {
		if d > 0 {
			text += fmt.Sprintf("%s = %q\n", key, d)
		}
	}
	return text
}

// apply begins or ends a fault of a link.
func (m *meshRun) apply(e scenario.Event, at time.Duration) {
	on := !e.Ends
	m.links.SetFaults(e.Node, e.Peer, func(w *netfault.PacketFaults) {
		switch f := e.Fault; e.Kind {
		case scenario.FaultCut:
			w.Cut = on
		case scenario.FaultLoss:
			w.Loss = f.Share * factor(on)
		case scenario.FaultDelay:
			w.Delay = f.Delay * time.Duration(factor(on))
			w.Jitter = f.Jitter * time.Duration(factor(on))
		case scenario.FaultDuplicate:
			w.Duplicate = f.Share * factor(on)
		case scenario.FaultReorder:
			w.Reorder = f.Share * factor(on)
			w.ReorderDelay = f.Delay
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.Kind == scenario.FaultCut {
		m.linkEvents = append(m.linkEvents, audit.LinkEvent{At: at, From: e.Node, To: e.Peer, Cut: on})
	} else if e.Ends {
		m.otherFaultEnds = append(m.otherFaultEnds, at)
	}
}

// factor is 1 where a fault begins and 0 where it ends.
func factor(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// watchMembers asks every process for its view until the run is done.
func (r *run) watchMembers(done <-chan struct{}) {
	var all sync.WaitGroup
	for i := range r.options.Scenario.Nodes.Count {
		all.Go(func() {
			tick := time.NewTicker(viewInterval)
			defer tick.Stop()
			path := cluster.SocketPath(r.nodes.DataDir(i), "n"+strconv.Itoa(i))
			for {
				select {
				case <-tick.C:
				case <-done:
					return
				}
				began := time.Now()
				st, _, err := cluster.QueryStatus(path)
				if err == nil && time.Since(began) < maxViewAge {
					r.mesh.sample(i, st, r.start)
				}
			}
		})
	}
	all.Wait()
}

// sample records what a node's process says of its view and its quotas.
func (m *meshRun) sample(node int, st cluster.Status, start time.Time) {
	at := time.Since(start)
	s := audit.MemberSample{At: at, Node: node, Start: st.Generation, View: st.View.Number, HasMajority: st.Connectivity == membership.Connected}
	for i := range 64 {
		for _, name := range st.View.Members {
			if name == "n"+strconv.Itoa(i) {
				s.Members = append(s.Members, i)
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples = append(m.samples, s)
	if st.Quota == nil {
		return
	}
	key := [2]uint64{uint64(node), st.Generation}
	for _, h := range st.Quota.Allocations {
		if h.EffectiveFrom <= m.lastGrant[key] {
			continue
		}
		m.lastGrant[key] = h.EffectiveFrom
		until := audit.Forever
		if h.ValidUntil != math.MaxInt64 {
			until = time.Duration(h.ValidUntil - start.UnixNano())
		}
		m.grants = append(m.grants, audit.QuotaGrant{Node: node, Start: st.Generation, At: time.Duration(h.EffectiveFrom - start.UnixNano()), Value: h.Fraction,
			Until: until, After: h.FractionAfter})
	}
}

// countTraffic marks what each node has sent to the others; with end it works out the rate since the mark before.
func (r *run) countTraffic(end bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, addr := range r.nodes.Addresses() {
		resp, err := client.Get("http://" + addr + "/_counters")
		if err != nil {
			continue // it is down or suspended at the moment
		}
		var got struct {
			Cluster struct {
				Sent float64 `json:"sent_bytes"`
			} `json:"cluster"`
		}
		err = json.NewDecoder(resp.Body).Decode(&got)
		_ = resp.Body.Close()
		now := trafficMark{time.Now(), got.Cluster.Sent}
		if was := r.mesh.starts[i]; err == nil && end && !was.at.IsZero() && now.bytes >= was.bytes {
			r.mesh.bytes[i] = (now.bytes - was.bytes) / now.at.Sub(was.at).Seconds()
		}
		r.mesh.starts[i] = now
	}
}

// judgeMembers compares the nodes' views with what really happened.
func (r *run) judgeMembers(out *Result) {
	s := r.options.Scenario
	limits := audit.MemberLimits{DetectWithin: time.Hour, ConvergeWithin: time.Hour}
	if e := s.Expect.Mesh; e != nil {
		limits = audit.MemberLimits{DetectWithin: e.DetectWithin, ConvergeWithin: e.ConvergeWithin, IgnorePartial: e.IgnorePartial}
	}
	record := audit.MembershipRecord{
		Nodes:          s.Nodes.Count,
		From:           r.scheduleStart + s.Warmup,
		Until:          r.ended,
		Samples:        r.mesh.samples,
		Links:          r.mesh.linkEvents,
		OtherFaultEnds: r.mesh.otherFaultEnds,
		Quotas:         r.mesh.grants,
		Downtimes:      r.nodes.Downtimes(),
	}
	breaches, figures := record.Judge(limits)
	out.Members = &figures
	out.Breaches = append(out.Breaches, breaches...)
	for _, b := range breaches {
		out.BreachesByRule[b.Rule]++
	}
	for i, n := range out.Nodes {
		out.Figures.MeshBytes = max(out.Figures.MeshBytes, r.mesh.bytes[i])
		if k := len(n.Samples); k > 1 {
			first, last := n.Samples[0], n.Samples[k-1]
			out.Figures.MaxCPU = max(out.Figures.MaxCPU, (last.CPU-first.CPU)/(last.At-first.At).Seconds())
		}
	}
}
