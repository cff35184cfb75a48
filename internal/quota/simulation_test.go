package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

const leaseTTL = 4 * time.Second

// world simulates processes with clocks of different rates, on a network that loses, delays and duplicates messages.
type world struct {
	rng       *rand.Rand
	now       time.Duration
	names     []string
	addresses map[string]string
	procs     []*proc
	cut       map[[2]string]bool // from one member to another
	queue     events
	scheduled int // events so far
}

type proc struct {
	name       string
	address    string
	generation uint64
	allocator  *Allocator
	clockRate  float64
	clockStart time.Duration
	up         bool
	stopped    bool
	held       []func() // what came while it was stopped
}

func (p *proc) now(w *world) time.Duration {
	return p.clockStart + time.Duration(float64(w.now)*p.clockRate)
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func newWorld(n int, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), cut: map[[2]string]bool{}}
	w.addresses = map[string]string{}
	for i := range n {
		name := fmt.Sprintf("n%02d", i)
		w.names = append(w.names, name)
		w.addresses[name] = name + ":1"
	}
	for _, name := range w.names {
		w.start(name, name+":1")
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.scheduled++
	heap.Push(&w.queue, event{w.now + d, w.scheduled, do})
}

// start starts a process of a name at an address, whose earlier process has ended.
func (w *world) start(name, address string) *proc {
	p := &proc{name: name, address: address, generation: uint64(len(w.procs) + 1), clockRate: 1 + (w.rng.Float64()-0.5)*clockDrift, up: true,
		clockStart: time.Duration(w.rng.Int64N(int64(time.Hour)))}
	p.allocator = New(Options{Name: name, Members: w.addresses, Generation: p.generation, LeaseTTL: leaseTTL}, p.now(w))
	w.procs = append(w.procs, p)
	w.tick(p)
	for _, q := range w.procs { // each hears of the others, sooner or later, or never
		if q != p && q.up {
			w.meet(p, q)
			w.meet(q, p)
		}
	}
	return p
}

// meet has a process hear of another after a while.
func (w *world) meet(p, q *proc) {
	w.after(time.Duration(w.rng.Int64N(int64(3*time.Second))), func() {
		if !p.up {
			return
		}
		if w.cut[[2]string{q.name, p.name}] && q.up {
			w.meet(p, q)
			return
		}
		w.hand(p, func() { p.allocator.MemberSeen(p.now(w), q.name, q.generation, q.address) })
	})
}

func (w *world) tick(p *proc) {
	w.after(50*time.Millisecond, func() {
		if p.up {
			w.hand(p, func() { p.allocator.Tick(p.now(w)) })
			w.tick(p)
		}
	})
}

// hand has a process do something, later if it is stopped, and sends what comes of it.
func (w *world) hand(p *proc, do func()) {
	if p.stopped {
		p.held = append(p.held, do)
		return
	}
	do()
	for _, o := range p.allocator.TakeOutput() {
		w.send(p, o)
	}
}

func (w *world) send(p *proc, o OutgoingMessage) {
	copies := 1
	if w.rng.IntN(10) == 0 {
		copies = 2
	}
	for range copies {
		if w.rng.IntN(10) == 0 || w.cut[[2]string{p.name, o.To}] {
			continue
		}
		late := time.Duration(w.rng.ExpFloat64() * float64(30*time.Millisecond))
		if w.rng.IntN(200) == 0 {
			late = time.Duration(w.rng.Int64N(int64(30 * time.Second)))
		}
		w.after(late, func() {
			for _, q := range w.procs {
				if q.name != o.To || !q.up {
					continue
				}
				w.hand(q, func() {
					q.allocator.Receive(q.now(w), IncomingMessage{Kind: o.Kind, From: p.name, Generation: p.generation, Address: p.address,
						ForGeneration: o.ForGeneration, Seq: o.Seq, MembersHash: MembersHash(w.addresses)})
				})
			}
		})
	}
}

// kill ends a process. Its kernel closes its connections, which others see at once, late where the link is cut, or never
// where the machine goes too.
func (w *world) kill(p *proc, machine bool) {
	p.up = false
	p.held = nil
	if machine {
		return
	}
	for _, q := range w.procs {
		if q.up && q != p {
			w.fin(p, q)
		}
	}
}

// fin has one process see another's end.
func (w *world) fin(p, q *proc) {
	w.after(time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), func() {
		switch {
		case !q.up:
		case w.cut[[2]string{p.name, q.name}]:
			w.after(time.Second, func() { w.fin(p, q) })
		default:
			w.hand(q, func() { q.allocator.ProcessEnded(p.name, p.generation) })
		}
	})
}

// wake lets a stopped process go on.
func (w *world) wake(p *proc) {
	p.stopped = false
	for _, do := range p.held {
		w.hand(p, do)
	}
	p.held = nil
}

// wakeAll lets all stopped processes go on, and calls check after each.
func (w *world) wakeAll(check func()) {
	for _, p := range w.procs {
		if p.up && p.stopped {
			w.wake(p)
			check()
		}
	}
}

// sum is what all running processes may use at this instant.
func (w *world) sum() float64 {
	out := 0.0
	for _, p := range w.procs {
		if p.up && !p.stopped {
			out += p.allocator.Allocation(p.now(w)).Fraction
		}
	}
	return out
}

// run lets events happen, and calls check after each.
func (w *world) run(d time.Duration, check func()) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		check()
	}
	w.now = end
}

// current returns the latest running process of a name.
func (w *world) current(name string) *proc {
	for i := len(w.procs) - 1; i >= 0; i-- {
		if w.procs[i].name == name && w.procs[i].up {
			return w.procs[i]
		}
	}
	return nil
}
