package experiment

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/cluster"
	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/loopback"
	"tackhub.example/tackhub/lab/netfault"
	"tackhub.example/tackhub/lab/scenario"
)

// membersEvery is how often each process is asked for its view, answerIn how fresh an answer must be to count: one that a
// process gave after a standstill tells of another moment.
const membersEvery, answerIn = 50 * time.Millisecond, 200 * time.Millisecond

// meshed is the part of a run that concerns the nodes among themselves.
type meshed struct {
	links *netfault.Mesh

	mu      sync.Mutex
	samples []audit.MemberSample
	cuts    []audit.LinkEvent
	others  []audit.At
	shares  []audit.ShareTold
	told    map[[2]uint64]int64 // the last share of each process that is noted
	starts  []traffic           // by node, when what counts began
	bytes   []float64           // a second, by node
}

// traffic is what a node's counters say it has sent.
type traffic struct {
	at    time.Time
	bytes float64
}

// weave opens the links and has the nodes' operator files name them.
func (r *run) weave(dir string) error {
	s := r.o.Scenario
	if s.Mesh == nil {
		return nil
	}
	var listens []string
	for range s.Nodes.Count {
		addr, err := loopback.Free()
		if err != nil {
			return err
		}
		listens = append(listens, addr)
	}
	links, err := netfault.NewMesh(listens, s.Seed)
	if err != nil {
		return err
	}
	var all []string
	for i, addr := range listens {
		all = append(all, fmt.Sprintf("n%d = %q", i, addr))
	}
	r.mesh = &meshed{links: links, told: map[[2]uint64]int64{}, starts: make([]traffic, s.Nodes.Count), bytes: make([]float64, s.Nodes.Count)}
	for i := range s.Nodes.Count {
		var seeds, book []string
		for j := range s.Nodes.Count {
			if i == j {
				continue
			}
			if len(seeds) < 2 {
				seeds = append(seeds, strconv.Quote(links.Address(i, j)))
			}
			book = append(book, fmt.Sprintf("n%d = %q", j, links.Address(i, j)))
		}
		text := fmt.Sprintf("\n[cluster]\nlisten = %q\nseeds = [%s]\naddresses = { %s }\n", listens[i], strings.Join(seeds, ", "), strings.Join(book, ", "))
		if s.Mesh.Overload {
			text += "overload = true\n"
		}
		if s.Mesh.Shares {
			text += fmt.Sprintf("shares = { %s }\n", strings.Join(all, ", "))
		}
		for key, d := range map[string]time.Duration{"period": s.Mesh.Period, "timeout": s.Mesh.Timeout, "suspicion": s.Mesh.Suspicion} {
			if d > 0 {
				text += fmt.Sprintf("%s = %q\n", key, d)
			}
		}
		f, err := os.OpenFile(backend.EdgePath(dir, i), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		if _, err = f.WriteString(text); err != nil {
			return err
		}
		if err = f.Close(); err != nil {
			return err
		}
	}
	return nil
}

// applyLink carries out a fault of a link, or ends it.
func (m *meshed) apply(e scenario.Event, at time.Duration) {
	on := !e.Ends
	m.links.Set(e.Node, e.Peer, func(w *netfault.Way) {
		switch f := e.Fault; e.Kind {
		case "cut":
			w.Cut = on
		case "loss":
			w.Loss = f.Share * num(on)
		case "delay":
			w.Delay, w.Jitter = f.Delay*time.Duration(num(on)), f.Jitter*time.Duration(num(on))
		case "duplicate":
			w.Double = f.Share * num(on)
		case "reorder":
			w.Reorder, w.Back = f.Share*num(on), f.Delay
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.Kind == "cut" {
		m.cuts = append(m.cuts, audit.LinkEvent{At: at, From: e.Node, To: e.Peer, Cut: on})
	} else if e.Ends {
		m.others = append(m.others, at)
	}
}

func num(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// watch asks every process for its view until the run is done.
func (r *run) watchMembers(done <-chan struct{}) {
	var all sync.WaitGroup
	for i := range r.o.Scenario.Nodes.Count {
		all.Go(func() {
			tick := time.NewTicker(membersEvery)
			defer tick.Stop()
			path := cluster.SocketPath(r.bank.Disk(i), "n"+strconv.Itoa(i))
			for {
				select {
				case <-tick.C:
				case <-done:
					return
				}
				began := time.Now()
				st, _, err := cluster.QueryStatus(path)
				if err == nil && time.Since(began) < answerIn {
					r.mesh.sample(i, st, r.start)
				}
			}
		})
	}
	all.Wait()
}

func (m *meshed) sample(node int, st cluster.Status, start time.Time) {
	at := time.Since(start)
	s := audit.MemberSample{At: at, Node: node, Start: st.Generation, View: st.View.Number, Whole: st.Connectivity == membership.Connected}
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
		if h.At <= m.told[key] {
			continue
		}
		m.told[key] = h.At
		until := audit.ForEver
		if h.ValidUntil != math.MaxInt64 {
			until = time.Duration(h.ValidUntil - start.UnixNano())
		}
		m.shares = append(m.shares, audit.ShareTold{Node: node, Start: st.Generation, At: time.Duration(h.At - start.UnixNano()), Value: h.Fraction,
			Until: until, After: h.FractionAfter})
	}
}

// account begins, and with end finishes, the account of what each node sends to the others.
func (r *run) account(end bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, addr := range r.bank.Addrs() {
		resp, err := client.Get("http://" + addr + "/_counters")
		if err != nil {
			continue // it is down or stands still just now
		}
		var got struct {
			Cluster struct {
				Sent float64 `json:"sent_bytes"`
			} `json:"cluster"`
		}
		err = json.NewDecoder(resp.Body).Decode(&got)
		_ = resp.Body.Close()
		now := traffic{time.Now(), got.Cluster.Sent}
		if was := r.mesh.starts[i]; err == nil && end && !was.at.IsZero() && now.bytes >= was.bytes {
			r.mesh.bytes[i] = (now.bytes - was.bytes) / now.at.Sub(was.at).Seconds()
		}
		r.mesh.starts[i] = now
	}
}

// judgeMembers holds the views against what was really so.
func (r *run) judgeMembers(out *Result) {
	s := r.o.Scenario
	limits := audit.MemberLimits{Notice: time.Hour, Heal: time.Hour}
	if e := s.Expect.Mesh; e != nil {
		limits = audit.MemberLimits{Notice: e.Notice, Heal: e.Heal, Uneven: e.Uneven}
	}
	record := audit.Members{Nodes: s.Nodes.Count, From: r.lead + s.Warmup, Until: r.ended, Samples: r.mesh.samples, Links: r.mesh.cuts, Others: r.mesh.others, Shares: r.mesh.shares}
	record.Downs = r.bank.Downs()
	breaches, figures := record.Judge(limits)
	out.Members = &figures
	out.Breaches = append(out.Breaches, breaches...)
	for _, b := range breaches {
		out.BreachesN[b.Rule]++
	}
	for i, n := range out.Nodes {
		out.Figures.MeshBytes = max(out.Figures.MeshBytes, r.mesh.bytes[i])
		if k := len(n.Samples); k > 1 {
			first, last := n.Samples[0], n.Samples[k-1]
			out.Figures.MostCPU = max(out.Figures.MostCPU, (last.CPU-first.CPU)/(last.At-first.At).Seconds())
		}
	}
}
