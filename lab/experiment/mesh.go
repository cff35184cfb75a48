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
	// viewInterval is the time between two status queries to a node.
	viewInterval = 50 * time.Millisecond

	// maxQueryTime is the longest duration of a status query whose result is used. If the node's process was suspended during
	// a longer query, its view may date from a much earlier time than the sample.
	maxQueryTime = 200 * time.Millisecond
)

// meshState holds the links between the nodes and the data recorded about the cluster.
type meshState struct {
	links *netfault.Mesh

	mu             sync.Mutex // guards the fields below
	samples        []audit.MemberSample
	linkEvents     []audit.LinkEvent
	otherFaultEnds []audit.Offset
	quotaGrants    []audit.QuotaGrant
	lastGrant      map[[2]uint64]int64 // start of the last recorded quota in Unix nanoseconds, by node and generation
	trafficStarts  []trafficCount      // by node, at the start of the load
	bytesPerSecond []float64           // by node
}

// trafficCount is the value of a node's counter of bytes sent to other nodes at one point in time.
type trafficCount struct {
	at    time.Time
	bytes float64
}

// openMesh opens a link for each directed pair of nodes and writes the [cluster] sections of the operator files.
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
	r.mesh = &meshState{
		links:          links,
		lastGrant:      map[[2]uint64]int64{},
		trafficStarts:  make([]trafficCount, s.Nodes.Count),
		bytesPerSecond: make([]float64, s.Nodes.Count),
	}
	for i := range s.Nodes.Count {
		if err := appendOperatorFile(dir, i, r.clusterSection(i, listens)); err != nil {
			return err
		}
	}
	return nil
}

// maxSeeds is the maximum number of other nodes that a node contacts to join the cluster.
const maxSeeds = 2

// clusterSection returns the [cluster] section of a node's operator file. The address of each other node is that of the
// link to it.
func (r *run) clusterSection(node int, listens []string) string {
	s := r.options.Scenario
	var seeds, addresses, listenAddresses []string
	for j, listen := range listens {
		listenAddresses = append(listenAddresses, fmt.Sprintf("n%d = %q", j, listen))
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
		text += fmt.Sprintf("shares = { %s }\n", strings.Join(listenAddresses, ", "))
	}
	for key, d := range map[string]time.Duration{"period": s.Mesh.Period, "timeout": s.Mesh.Timeout, "suspicion": s.Mesh.Suspicion} {
		if d > 0 {
			text += fmt.Sprintf("%s = %q\n", key, d)
		}
	}
	return text
}

// applyFault starts or ends a fault of a link.
func (m *meshState) applyFault(e scenario.Event, at time.Duration) {
	on := !e.Ends
	m.links.SetFaults(e.Node, e.Peer, func(faults *netfault.PacketFaults) {
		switch f := e.Fault; e.Kind {
		case scenario.FaultCut:
			faults.Cut = on
		case scenario.FaultLoss:
			faults.Loss = f.Fraction * faultScale(on)
		case scenario.FaultDelay:
			faults.Delay = f.Delay * time.Duration(faultScale(on))
			faults.Jitter = f.Jitter * time.Duration(faultScale(on))
		case scenario.FaultDuplicate:
			faults.Duplicate = f.Fraction * faultScale(on)
		case scenario.FaultReorder:
			faults.Reorder = f.Fraction * faultScale(on)
			faults.ReorderDelay = f.Delay
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

// faultScale returns 1 if a fault starts and 0 if it ends.
func faultScale(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// pollViews queries the view and the quotas of every node until done is closed.
func (r *run) pollViews(done <-chan struct{}) {
	var pollers sync.WaitGroup
	for i := range r.options.Scenario.Nodes.Count {
		pollers.Go(func() {
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
				status, _, err := cluster.QueryStatus(path)
				if err == nil && time.Since(began) < maxQueryTime {
					r.mesh.addSample(i, status, r.start)
				}
			}
		})
	}
	pollers.Wait()
}

// addSample records the view and the quotas that a node's process returned.
func (m *meshState) addSample(node int, status cluster.Status, start time.Time) {
	at := time.Since(start)
	sample := audit.MemberSample{At: at, Node: node, Generation: status.Generation, View: status.View.Number,
		HasMajority: status.Connectivity == membership.Connected}
	for i := range 64 {
		for _, name := range status.View.Members {
			if name == "n"+strconv.Itoa(i) {
				sample.Members = append(sample.Members, i)
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples = append(m.samples, sample)
	if status.Quota == nil {
		return
	}
	key := [2]uint64{uint64(node), status.Generation}
	for _, allocation := range status.Quota.Allocations {
		if allocation.EffectiveFrom <= m.lastGrant[key] {
			continue
		}
		m.lastGrant[key] = allocation.EffectiveFrom
		until := audit.Forever
		if allocation.ValidUntil != math.MaxInt64 {
			until = time.Duration(allocation.ValidUntil - start.UnixNano())
		}
		m.quotaGrants = append(m.quotaGrants, audit.QuotaGrant{Node: node, Generation: status.Generation,
			At: time.Duration(allocation.EffectiveFrom - start.UnixNano()), Value: allocation.Fraction,
			Until: until, After: allocation.FractionAfter})
	}
}

// countTraffic reads each node's counter of bytes sent to other nodes. If end is true, it also computes the rate since the
// previous call.
func (r *run) countTraffic(end bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, addr := range r.nodes.Addresses() {
		resp, err := client.Get("http://" + addr + "/_counters")
		if err != nil {
			continue // the node is down or suspended
		}
		var counters struct {
			Cluster struct {
				Sent float64 `json:"sent_bytes"`
			} `json:"cluster"`
		}
		err = json.NewDecoder(resp.Body).Decode(&counters)
		_ = resp.Body.Close()
		current := trafficCount{time.Now(), counters.Cluster.Sent}
		if previous := r.mesh.trafficStarts[i]; err == nil && end && !previous.at.IsZero() && current.bytes >= previous.bytes {
			r.mesh.bytesPerSecond[i] = (current.bytes - previous.bytes) / current.at.Sub(previous.at).Seconds()
		}
		r.mesh.trafficStarts[i] = current
	}
}

// judgeMembers checks the nodes' views and quotas with the auditor, against the faults and downtimes of the run. It adds
// the breaches and the figures to the result.
func (r *run) judgeMembers(out *Result) {
	s := r.options.Scenario
	limits := audit.MemberLimits{DetectWithin: time.Hour, ConvergeWithin: time.Hour}
	if e := s.Expect.Mesh; e != nil {
		limits = audit.MemberLimits{DetectWithin: e.DetectWithin, ConvergeWithin: e.ConvergeWithin, IgnorePartial: e.IgnorePartial}
	}
	record := audit.MembershipRecord{
		Nodes:          s.Nodes.Count,
		From:           r.scheduleStart + s.Warmup,
		Until:          r.loadEnd,
		Samples:        r.mesh.samples,
		Links:          r.mesh.linkEvents,
		OtherFaultEnds: r.mesh.otherFaultEnds,
		Quotas:         r.mesh.quotaGrants,
		Downtimes:      r.nodes.Downtimes(),
	}
	breaches, figures := record.Judge(limits)
	out.Members = &figures
	out.Breaches = append(out.Breaches, breaches...)
	for _, b := range breaches {
		out.BreachesByRule[b.Rule]++
	}
	for i, n := range out.Nodes {
		out.Figures.MeshBytes = max(out.Figures.MeshBytes, r.mesh.bytesPerSecond[i])
		if samples := len(n.Samples); samples > 1 {
			first, last := n.Samples[0], n.Samples[samples-1]
			out.Figures.MaxCPU = max(out.Figures.MaxCPU, (last.CPU-first.CPU)/(last.At-first.At).Seconds())
		}
	}
}
