package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

const leaseTTL = 4 * time.Second

// simulation simulates processes with clocks of different rates, on a network that loses, delays and duplicates messages.
type simulation struct {
	rng        *rand.Rand
	now        time.Duration
	names      []string
	addresses  map[string]string
	processes  []*process
	cutLinks   map[[2]string]bool // whether messages from the first member to the second are lost
	queue      eventQueue
	eventCount int // events scheduled so far
}

type process struct {
	name       string
	address    string
	generation uint64
	allocator  *Allocator
	clockRate  float64
	clockStart time.Duration
	running    bool
	paused     bool
	deferred   []func() // actions that became due while the process was paused
}

// localTime returns the current time by the process's own clock.
func (p *process) localTime(s *simulation) time.Duration {
	return p.clockStart + time.Duration(float64(s.now)*p.clockRate)
}

type event struct {
	at     time.Duration
	order  int
	action func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func newSimulation(n int, seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 9)), cutLinks: map[[2]string]bool{}}
	s.addresses = map[string]string{}
	for i := range n {
		name := fmt.Sprintf("n%02d", i)
		s.names = append(s.names, name)
		s.addresses[name] = name + ":1"
	}
	for _, name := range s.names {
		s.startProcess(name, name+":1")
	}
	return s
}

func (s *simulation) schedule(d time.Duration, action func()) {
	s.eventCount++
	heap.Push(&s.queue, event{s.now + d, s.eventCount, action})
}

// startProcess starts a process of a member. An earlier process at the same address must have ended.
func (s *simulation) startProcess(name, address string) *process {
	started := &process{name: name, address: address, generation: uint64(len(s.processes) + 1),
		clockRate: 1 + (s.rng.Float64()-0.5)*clockDrift, running: true, clockStart: time.Duration(s.rng.Int64N(int64(time.Hour)))}
	started.allocator = New(Options{Name: name, Members: s.addresses, Generation: started.generation, LeaseTTL: leaseTTL}, started.localTime(s))
	s.processes = append(s.processes, started)
	s.tick(started)
	for _, other := range s.processes { // each process sees the others after a random delay, or never
		if other != started && other.running {
			s.scheduleMemberSeen(started, other)
			s.scheduleMemberSeen(other, started)
		}
	}
	return started
}

// scheduleMemberSeen calls observer's MemberSeen with the process seen after a random delay. While the link is cut it retries.
func (s *simulation) scheduleMemberSeen(observer, seen *process) {
	s.schedule(time.Duration(s.rng.Int64N(int64(3*time.Second))), func() {
		if !observer.running {
			return
		}
		if s.cutLinks[[2]string{seen.name, observer.name}] && seen.running {
			s.scheduleMemberSeen(observer, seen)
			return
		}
		s.deliver(observer, func() { observer.allocator.MemberSeen(observer.localTime(s), seen.name, seen.generation, seen.address) })
	})
}

func (s *simulation) tick(p *process) {
	s.schedule(50*time.Millisecond, func() {
		if p.running {
			s.deliver(p, func() { p.allocator.Tick(p.localTime(s)) })
			s.tick(p)
		}
	})
}

// deliver runs an action on a process and sends the resulting messages. If the process is paused, the action waits until it resumes.
func (s *simulation) deliver(p *process, action func()) {
	if p.paused {
		p.deferred = append(p.deferred, action)
		return
	}
	action()
	for _, message := range p.allocator.TakeOutput() {
		s.send(p, message)
	}
}

// send sends a message with random loss, delay and duplication.
func (s *simulation) send(sender *process, message OutgoingMessage) {
	copies := 1
	if s.rng.IntN(10) == 0 {
		copies = 2
	}
	for range copies {
		if s.rng.IntN(10) == 0 || s.cutLinks[[2]string{sender.name, message.To}] {
			continue
		}
		delay := time.Duration(s.rng.ExpFloat64() * float64(30*time.Millisecond))
		if s.rng.IntN(200) == 0 {
			delay = time.Duration(s.rng.Int64N(int64(30 * time.Second)))
		}
		s.schedule(delay, func() {
			for _, receiver := range s.processes {
				if receiver.name != message.To || !receiver.running {
					continue
				}
				s.deliver(receiver, func() {
					receiver.allocator.Receive(receiver.localTime(s), IncomingMessage{Kind: message.Kind, From: sender.name,
						Generation: sender.generation, Address: sender.address, ForGeneration: message.ForGeneration,
						Seq: message.Seq, MembersHash: MembersHash(s.addresses)})
				})
			}
		})
	}
}

// kill ends a process. Its kernel closes its connections, which the other processes detect within 100 ms, or later if the link is
// cut. If the machine is lost too, they never detect it.
func (s *simulation) kill(killed *process, machineLost bool) {
	killed.running = false
	killed.deferred = nil
	if machineLost {
		return
	}
	for _, observer := range s.processes {
		if observer.running && observer != killed {
			s.scheduleProcessEnded(killed, observer)
		}
	}
}

// scheduleProcessEnded notifies observer after a random delay that a process has ended. While the link is cut it retries.
func (s *simulation) scheduleProcessEnded(ended, observer *process) {
	s.schedule(time.Duration(s.rng.Int64N(int64(100*time.Millisecond))), func() {
		switch {
		case !observer.running:
		case s.cutLinks[[2]string{ended.name, observer.name}]:
			s.schedule(time.Second, func() { s.scheduleProcessEnded(ended, observer) })
		default:
			s.deliver(observer, func() { observer.allocator.ProcessEnded(ended.name, ended.generation) })
		}
	})
}

// resume ends the pause of a process and runs its deferred actions.
func (s *simulation) resume(p *process) {
	p.paused = false
	for _, action := range p.deferred {
		s.deliver(p, action)
	}
	p.deferred = nil
}

// resumeAll resumes all paused processes and calls check after each.
func (s *simulation) resumeAll(check func()) {
	for _, p := range s.processes {
		if p.running && p.paused {
			s.resume(p)
			check()
		}
	}
}

// totalFraction returns the sum of the fractions that all running processes may use now. Paused processes use nothing.
func (s *simulation) totalFraction() float64 {
	out := 0.0
	for _, p := range s.processes {
		if p.running && !p.paused {
			out += p.allocator.Allocation(p.localTime(s)).Fraction
		}
	}
	return out
}

// run simulates a time span of d: it processes the events that are due and calls check after each.
func (s *simulation) run(d time.Duration, check func()) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.action()
		check()
	}
	s.now = end
}

// runningProcess returns the latest running process of a member, or nil if none is running.
func (s *simulation) runningProcess(name string) *process {
	for i := len(s.processes) - 1; i >= 0; i-- {
		if s.processes[i].name == name && s.processes[i].running {
			return s.processes[i]
		}
	}
	return nil
}
