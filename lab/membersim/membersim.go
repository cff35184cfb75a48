// Package membersim plays many cores of internal/membership on one virtual clock, over a network that cuts directed
// links, loses, delays, duplicates and reorders messages, and suspends, kills and restarts members. All random numbers
// come from one seed. It stands beside the tests with real processes, for numbers of members and of schedules that no
// machine runs.
package membersim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tackhub.example/tackhub/internal/membership"
)

// Options describe one cluster.
type Options struct {
	Members    int
	Seed       uint64
	Period     time.Duration
	Timeout    time.Duration
	Suspicion  time.Duration
	Loss       float64
	Delay      time.Duration // one way
	Jitter     time.Duration // added evenly between 0 and it
	Duplicate  float64       // share of the datagrams that come twice
	Introduced bool          // every member knows every other at the start
}

// Sim is a simulated cluster.
type Sim struct {
	options       Options
	rng           *rand.Rand
	now           time.Duration
	events        events
	seq           int
	nodes         []*Node
	cut           map[[2]int]bool
	countsTraffic bool

	Sent, Bytes int64 // datagrams and streams since ResetTraffic
	Largest     int   // datagram
}

// Node is one member over all its processes.
type Node struct {
	Core        *membership.Core
	up          bool
	stopped     bool
	incarnation int // number of the process; what an earlier one left in flight is void
	start       uint64
	held        []func()      // what came while it was suspended
	clockOffset time.Duration // each clock has a zero of its own
	Events      []membership.Event
}

// maxHeld is what a stopped process's socket holds.
const maxHeld = 400

type event struct {
	at     time.Duration
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is container/heap's.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is container/heap's.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// New starts a cluster; the first two members are the seeds.
func New(o Options) *Sim {
	s := &Sim{options: o, rng: rand.New(rand.NewPCG(o.Seed, 77)), cut: map[[2]int]bool{}}
	for range o.Members {
		s.nodes = append(s.nodes, &Node{clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour)))})
	}
	for i := range s.nodes {
		s.Restart(i)
	}
	if o.Introduced {
		s.introduce()
	}
	return s
}

func name(i int) string { return fmt.Sprintf("n%03d", i) }

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250) }

func index(address string) int {
	var a, b int
	if _, err := fmt.Sscanf(address, "10.0.%d.%d:7946", &a, &b); err != nil {
		return -1
	}
	return a*250 + b
}

// introduce has every member know every other, as after a full exchange.
func (s *Sim) introduce() {
	var news []membership.Update
	for i, n := range s.nodes {
		news = append(news, membership.Update{Name: name(i), Generation: n.start, State: membership.Alive, Address: address(i)})
	}
	for i, n := range s.nodes {
		from := (i + 1) % len(s.nodes)
		n.Core.Receive(s.local(i), &membership.Message{Kind: membership.SyncReply, Version: membership.WireVersion, ClusterHash: 1, From: name(from),
			Generation: s.nodes[from].start, Address: address(from), Updates: news})
	}
}

func (s *Sim) local(i int) time.Duration { return s.now + s.nodes[i].clockOffset }

// Node returns a member.
func (s *Sim) Node(i int) *Node { return s.nodes[i] }

// Running reports whether a member's process runs and is not suspended.
func (s *Sim) Running(i int) bool { return s.nodes[i].up && !s.nodes[i].stopped }

// Now is the time since the start.
func (s *Sim) Now() time.Duration { return s.now }

// Restart starts a member's process, in place of one that may run.
func (s *Sim) Restart(i int) {
	n := s.nodes[i]
	n.incarnation++
	n.start++
	n.up, n.stopped, n.held = true, false, nil
	n.Core = membership.New(membership.Options{Name: name(i), Address: address(i), ClusterHash: 1, Generation: n.start, RandSeed: s.options.Seed<<16 + uint64(i),
		ProbeInterval: s.options.Period, ProbeTimeout: s.options.Timeout, SuspicionTimeout: s.options.Suspicion, MaxMembers: 1024,
		SeedAddresses: []string{address(0), address(1 % s.options.Members)}}, s.local(i))
	s.tick(i, n.incarnation, time.Duration(s.rng.Int64N(int64(s.options.Period/5))))
}

func (s *Sim) tick(i, process int, in time.Duration) {
	s.schedule(in, func() {
		n := s.nodes[i]
		if !n.up || n.incarnation != process {
			return
		}
		s.runOrHold(i, func() { n.Core.Tick(s.local(i)) })
		s.tick(i, process, s.options.Period/5)
	})
}

// runOrHold has a process do something now, or when it is resumed.
func (s *Sim) runOrHold(i int, do func()) {
	n := s.nodes[i]
	if n.stopped {
		if len(n.held) < maxHeld {
			n.held = append(n.held, do)
		}
		return
	}
	do()
	s.sendOutput(i)
}

// Kill ends a process without a message.
func (s *Sim) Kill(i int) { s.nodes[i].up, s.nodes[i].stopped, s.nodes[i].held = false, false, nil }

// Leave ends a process as planned; one that is suspended cannot.
func (s *Sim) Leave(i int) {
	if !s.Running(i) {
		return
	}
	s.nodes[i].Core.Leave(s.local(i))
	s.sendOutput(i)
	s.nodes[i].up = false
}

// Suspend suspends a process, as SIGSTOP does.
func (s *Sim) Suspend(i int) { s.nodes[i].stopped = true }

// Resume resumes a process, as SIGCONT does. What came meanwhile is received then.
func (s *Sim) Resume(i int) {
	n := s.nodes[i]
	if !n.stopped {
		return
	}
	n.stopped = false
	held := n.held
	n.held = nil
	for _, do := range held {
		s.runOrHold(i, do)
	}
}

// Cut begins or ends a cut of the link from one member to another.
func (s *Sim) Cut(from, to int, on bool) {
	if on {
		s.cut[[2]int{from, to}] = true
	} else {
		delete(s.cut, [2]int{from, to})
	}
}

// Heal ends all cuts, and takes loss, duplication and jitter away.
func (s *Sim) Heal() {
	clear(s.cut)
	s.options.Loss, s.options.Duplicate, s.options.Jitter = 0, 0, 0
}

// IsCut reports whether a link is cut.
func (s *Sim) IsCut(from, to int) bool { return s.cut[[2]int{from, to}] }

// Impair sets what every link does.
func (s *Sim) Impair(loss float64, jitter time.Duration, double float64) {
	s.options.Loss, s.options.Jitter, s.options.Duplicate = loss, jitter, double
}

// ResetTraffic begins a new measurement of traffic.
func (s *Sim) ResetTraffic() { s.Sent, s.Bytes, s.Largest, s.countsTraffic = 0, 0, 0, true }

// schedule does something after a span.
func (s *Sim) schedule(in time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + in, s.seq, do})
}

// Run plays on for a span.
func (s *Sim) Run(span time.Duration) {
	end := s.now + span
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	s.now = end
}

// sendOutput sends what a core wants sent.
func (s *Sim) sendOutput(i int) {
	n := s.nodes[i]
	out, notes := n.Core.TakeOutput()
	n.Events = append(n.Events, notes...)
	for _, send := range out {
		to := index(send.Address)
		if to < 0 || to >= len(s.nodes) {
			continue
		}
		m := send.Message
		if s.countsTraffic {
			raw, err := m.MarshalMsg(nil)
			if err != nil {
				panic(err) // the core built the message, so it encodes
			}
			s.Sent, s.Bytes = s.Sent+1, s.Bytes+int64(len(raw))
			if !send.Stream {
				s.Largest = max(s.Largest, len(raw))
			}
		}
		if send.Stream { // a connection needs both ways, and loses nothing
			if m.Kind == membership.SyncRequest && !s.IsCut(i, to) && !s.IsCut(to, i) || m.Kind == membership.SyncReply {
				s.deliver(to, m, 3*s.options.Delay+s.jitter())
			}
			continue
		}
		if s.IsCut(i, to) || s.rng.Float64() < s.options.Loss {
			continue
		}
		s.deliver(to, m, s.options.Delay+s.jitter())
		if s.rng.Float64() < s.options.Duplicate {
			s.deliver(to, m, s.options.Delay+s.jitter())
		}
	}
}

func (s *Sim) jitter() time.Duration {
	if s.options.Jitter == 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(s.options.Jitter)))
}

func (s *Sim) deliver(to int, m membership.Message, in time.Duration) {
	m.Updates = slices.Clone(m.Updates)
	s.schedule(in, func() {
		n := s.nodes[to]
		if n.up {
			process := n.incarnation
			s.runOrHold(to, func() {
				if n.incarnation == process {
					n.Core.Receive(s.local(to), &m)
				}
			})
		}
	})
}

// Views are the views of the members that run.
func (s *Sim) Views() map[int]membership.View {
	out := map[int]membership.View{}
	for i, n := range s.nodes {
		if s.Running(i) {
			out[i] = n.Core.View()
		}
	}
	return out
}

// Converged reports whether all that run have exactly those that run in their views.
func (s *Sim) Converged() bool {
	var want []string
	for i := range s.nodes {
		if s.Running(i) {
			want = append(want, name(i))
		}
	}
	for _, v := range s.Views() {
		if !slices.Equal(v.Members, want) {
			return false
		}
	}
	return true
}

// HasMember reports whether a member's view has another.
func (s *Sim) HasMember(i, j int) bool {
	return slices.Contains(s.nodes[i].Core.View().Members, name(j))
}
