// Package membersim simulates clusters of internal/membership cores on a virtual clock. The simulated network cuts directed
// links, and loses, delays, duplicates and reorders messages; members are suspended, killed and restarted. All random numbers
// come from one seed. The simulation complements the tests with real processes: it covers more members and more fault
// schedules than one machine could run as processes.
package membersim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tackhub.example/tackhub/internal/membership"
)

// Options configure a simulated cluster.
type Options struct {
	Members   int
	Seed      uint64
	Period    time.Duration
	Timeout   time.Duration
	Suspicion time.Duration
	Loss      float64
	Delay     time.Duration // one way
	Jitter    time.Duration // a uniformly distributed delay below it is added
	Duplicate float64       // fraction of the datagrams that are delivered twice
	AllJoined bool          // every member knows every other member at the start
}

// Sim is a simulated cluster.
type Sim struct {
	options       Options
	rng           *rand.Rand
	now           time.Duration
	events        events
	seq           int
	nodes         []*Node
	cuts          map[[2]int]bool
	countsTraffic bool

	Sent, SentBytes int64 // messages and their bytes, in datagrams and streams, since ResetTraffic
	LargestDatagram int   // bytes of the largest datagram since ResetTraffic
}

// Node is a member of the cluster. It persists when its process is restarted.
type Node struct {
	Core          *membership.Core
	up            bool
	suspended     bool
	processNumber int // number of the current process; actions scheduled for an earlier process are dropped
	generation    uint64
	pending       []func()      // actions to run when the process is resumed
	clockOffset   time.Duration // added to the virtual time, because each node's clock starts at a different time
	Events        []membership.Event
}

// maxPending is how many actions a suspended process queues, like the receive buffer of its socket.
const maxPending = 400

// event is an action at a virtual time. seq orders events of the same time by when they were scheduled.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// events is a heap of events, ordered by time.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// New starts a cluster. The first two members are the seeds.
func New(o Options) *Sim {
	s := &Sim{options: o, rng: rand.New(rand.NewPCG(o.Seed, 77)), cuts: map[[2]int]bool{}}
	for range o.Members {
		s.nodes = append(s.nodes, &Node{clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour)))})
	}
	for i := range s.nodes {
		s.Restart(i)
	}
	if o.AllJoined {
		s.joinAll()
	}
	return s
}

// memberName returns the name of member i.
func memberName(i int) string { return fmt.Sprintf("n%03d", i) }

// memberAddress returns the address of member i.
func memberAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250) }

// memberIndex returns the index of the member with an address, or -1 if the address is malformed.
func memberIndex(address string) int {
	var block, offset int
	if _, err := fmt.Sscanf(address, "10.0.%d.%d:7946", &block, &offset); err != nil {
		return -1
	}
	return block*250 + offset
}

// joinAll makes every member known to every other, as after a full anti-entropy exchange.
func (s *Sim) joinAll() {
	var updates []membership.Update
	for i, n := range s.nodes {
		updates = append(updates, membership.Update{Name: memberName(i), Generation: n.generation, State: membership.Alive,
			Address: memberAddress(i)})
	}
	for i, n := range s.nodes {
		sender := (i + 1) % len(s.nodes)
		n.Core.Receive(s.localTime(i), &membership.Message{Kind: membership.SyncReply, Version: membership.WireVersion, ClusterHash: 1,
			From: memberName(sender), Generation: s.nodes[sender].generation, Address: memberAddress(sender), Updates: updates})
	}
}

// localTime returns the current time on the clock of node i.
func (s *Sim) localTime(i int) time.Duration { return s.now + s.nodes[i].clockOffset }

// Node returns a member.
func (s *Sim) Node(i int) *Node { return s.nodes[i] }

// Running reports whether a member's process runs and is not suspended.
func (s *Sim) Running(i int) bool { return s.nodes[i].up && !s.nodes[i].suspended }

// Now returns the virtual time since the start.
func (s *Sim) Now() time.Duration { return s.now }

// Restart starts a new process of a member. It replaces the current process, if any.
func (s *Sim) Restart(i int) {
	n := s.nodes[i]
	n.processNumber++
	n.generation++
	n.up, n.suspended, n.pending = true, false, nil
	n.Core = membership.New(membership.Options{Name: memberName(i), Address: memberAddress(i), ClusterHash: 1, Generation: n.generation,
		RandSeed:      s.options.Seed<<16 + uint64(i),
		ProbeInterval: s.options.Period, ProbeTimeout: s.options.Timeout, SuspicionTimeout: s.options.Suspicion, MaxMembers: 1024,
		SeedAddresses: []string{memberAddress(0), memberAddress(1 % s.options.Members)}}, s.localTime(i))
	s.tick(i, n.processNumber, time.Duration(s.rng.Int64N(int64(s.options.Period/5))))
}

// tick calls Tick of a core after a delay, and then five times per period until the process ends.
func (s *Sim) tick(i, process int, delay time.Duration) {
	s.schedule(delay, func() {
		n := s.nodes[i]
		if !n.up || n.processNumber != process {
			return
		}
		s.runOrQueue(i, func() { n.Core.Tick(s.localTime(i)) })
		s.tick(i, process, s.options.Period/5)
	})
}

// runOrQueue runs an action of a process now, or after it is resumed if it is suspended.
func (s *Sim) runOrQueue(i int, action func()) {
	n := s.nodes[i]
	if n.suspended {
		if len(n.pending) < maxPending {
			n.pending = append(n.pending, action)
		}
		return
	}
	action()
	s.sendOutput(i)
}

// Kill ends a process without notifying other members.
func (s *Sim) Kill(i int) {
	s.nodes[i].up, s.nodes[i].suspended, s.nodes[i].pending = false, false, nil
}

// Leave ends a process after it has notified other members. It does nothing if the process does not run or is suspended.
func (s *Sim) Leave(i int) {
	if !s.Running(i) {
		return
	}
	s.nodes[i].Core.Leave(s.localTime(i))
	s.sendOutput(i)
	s.nodes[i].up = false
}

// Suspend suspends a process, as SIGSTOP does.
func (s *Sim) Suspend(i int) { s.nodes[i].suspended = true }

// Resume resumes a process, as SIGCONT does. The process then receives the messages that arrived while it was suspended.
func (s *Sim) Resume(i int) {
	n := s.nodes[i]
	if !n.suspended {
		return
	}
	n.suspended = false
	pending := n.pending
	n.pending = nil
	for _, action := range pending {
		s.runOrQueue(i, action)
	}
}

// Cut starts or ends the cut of the directed link from one member to another.
func (s *Sim) Cut(from, to int, on bool) {
	if on {
		s.cuts[[2]int{from, to}] = true
	} else {
		delete(s.cuts, [2]int{from, to})
	}
}

// Heal ends all cuts, loss, duplication and jitter.
func (s *Sim) Heal() {
	clear(s.cuts)
	s.options.Loss, s.options.Duplicate, s.options.Jitter = 0, 0, 0
}

// IsCut reports whether a directed link is cut.
func (s *Sim) IsCut(from, to int) bool { return s.cuts[[2]int{from, to}] }

// Impair sets the loss, jitter and duplication of all links.
func (s *Sim) Impair(loss float64, jitter time.Duration, duplicate float64) {
	s.options.Loss, s.options.Jitter, s.options.Duplicate = loss, jitter, duplicate
}

// ResetTraffic starts a new measurement of traffic.
func (s *Sim) ResetTraffic() { s.Sent, s.SentBytes, s.LargestDatagram, s.countsTraffic = 0, 0, 0, true }

// schedule runs an action after a delay.
func (s *Sim) schedule(delay time.Duration, action func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + delay, s.seq, action})
}

// Run advances the simulation by a time span.
func (s *Sim) Run(span time.Duration) {
	end := s.now + span
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	s.now = end
}

// sendOutput sends the messages that the core of a member has queued.
func (s *Sim) sendOutput(i int) {
	n := s.nodes[i]
	messages, coreEvents := n.Core.TakeOutput()
	n.Events = append(n.Events, coreEvents...)
	for _, outgoing := range messages {
		to := memberIndex(outgoing.Address)
		if to < 0 || to >= len(s.nodes) {
			continue
		}
		message := outgoing.Message
		if s.countsTraffic {
			raw, err := message.MarshalMsg(nil)
			if err != nil {
				panic(err) // a message built by the core always encodes
			}
			s.Sent, s.SentBytes = s.Sent+1, s.SentBytes+int64(len(raw))
			if !outgoing.Stream {
				s.LargestDatagram = max(s.LargestDatagram, len(raw))
			}
		}
		if outgoing.Stream { // a stream needs both directions of the link and has no loss
			if message.Kind == membership.SyncRequest && !s.IsCut(i, to) && !s.IsCut(to, i) || message.Kind == membership.SyncReply {
				s.deliver(to, message, 3*s.options.Delay+s.jitter())
			}
			continue
		}
		if s.IsCut(i, to) || s.rng.Float64() < s.options.Loss {
			continue
		}
		s.deliver(to, message, s.options.Delay+s.jitter())
		if s.rng.Float64() < s.options.Duplicate {
			s.deliver(to, message, s.options.Delay+s.jitter())
		}
	}
}

// jitter returns a random delay below Options.Jitter.
func (s *Sim) jitter() time.Duration {
	if s.options.Jitter == 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(s.options.Jitter)))
}

// deliver passes a message to a member after a delay.
func (s *Sim) deliver(to int, message membership.Message, delay time.Duration) {
	message.Updates = slices.Clone(message.Updates)
	s.schedule(delay, func() {
		n := s.nodes[to]
		if n.up {
			process := n.processNumber
			s.runOrQueue(to, func() {
				if n.processNumber == process {
					n.Core.Receive(s.localTime(to), &message)
				}
			})
		}
	})
}

// Views returns the views of all running members.
func (s *Sim) Views() map[int]membership.View {
	views := map[int]membership.View{}
	for i, n := range s.nodes {
		if s.Running(i) {
			views[i] = n.Core.View()
		}
	}
	return views
}

// Converged reports whether every running member has exactly the running members in its view.
func (s *Sim) Converged() bool {
	var want []string
	for i := range s.nodes {
		if s.Running(i) {
			want = append(want, memberName(i))
		}
	}
	for _, v := range s.Views() {
		if !slices.Equal(v.Members, want) {
			return false
		}
	}
	return true
}

// HasMember reports whether the view of member i contains member j.
func (s *Sim) HasMember(i, j int) bool {
	return slices.Contains(s.nodes[i].Core.View().Members, memberName(j))
}
