// Package quota divides what the whole fleet may use together, so that all processes never use more than the whole at any
// instant, whatever is cut, paused, killed or restarted, and however wrong any view is.
//
// Each member owns an equal part, cut into units. Each unit has a guard: another member, fixed by the names alone. The owner
// uses a unit while the guard's lease on it lasts by the owner's own clock, from the moment the owner asked; the guard uses it
// once the lease has run out by the guard's clock, from the later moment at which it granted, and longer by the drift allowed.
// So of the two exactly one, at most, uses it. What ends a process provably (Ended, and a successor at the same address)
// spares the wait. The derivation, and what is not covered, is in docs/members.md.
//
// It is pure: times and messages in, messages and the share out.
package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unitsMost of each member's part have guards of their own: with the loss of one guard an eighth of a part is lost or won.
	unitsMost = 8

	// drift is by how much the rates of two machines' clocks may differ; ordinary ones differ by a ten-thousandth, and those
	// that are being set are slewed by a two-thousandth.
	drift = 0.05

	// renewals are asked for in each lease, so that losing some in a row costs nothing.
	renewals = 4

	// keptAsks are remembered until they are granted.
	keptAsks = 8
)

// Options are one process's.
type Options struct {
	Name       string
	Members    map[string]string // addresses of all members that the whole is divided among, by name; the same everywhere
	Generation uint64            // of this process
	LeaseTTL   time.Duration     // how long a unit stays with its owner after the last grant
}

// Kind is what a message asks.
type Kind uint8

// The kinds.
const (
	Renew Kind = iota + 1 // the owner asks the guard for a lease
	Grant                 // the guard grants it
)

// Out is a message to a member's process.
type OutgoingMessage struct {
	Kind          Kind
	To            string
	ForGeneration uint64 // the process it is meant for; another one of that name drops it
	Seq           uint32
}

// Share is what a process may use of the whole. Until is when the next lease runs out: from then on, if it is told nothing
// newer, it may use After.
type Allocation struct {
	Fraction      float64
	ValidUntil    time.Duration
	FractionAfter float64
}

// ask is a renewal under way.
type ask struct {
	seq uint32
	at  time.Duration
	to  uint64
}

// guard is a member that guards some of this process's units.
type guard struct {
	name  string
	units int
	seen  uint64        // the start of its process, as last seen; 0: none
	bound uint64        // of the one that has granted; 0: none
	until time.Duration // the lease, by this process's clock
	sole  bool          // the bound process has ended, and no other has been asked
	asks  []ask
	next  time.Duration
}

// owner is a member some of whose units this process guards.
type owner struct {
	name    string
	units   int
	session uint64        // start of the process whose units they are; 0: none has asked yet
	granted time.Duration // last
	ended   bool          // that process has
}

// Shares is one process's state.
type Allocator struct {
	o      Options
	born   time.Duration
	unit   float64
	sum    uint32
	guards []*guard
	owners []*owner
	seq    uint32
	out    []OutgoingMessage
}

// New makes the state of a process that has asked nobody yet, and therefore has nothing.
func New(o Options, now time.Duration) *Allocator {
	all := slices.Sorted(maps.Keys(o.Members))
	units := max(1, min(unitsMost, len(all)-1))
	s := &Allocator{o: o, born: now, unit: 1 / float64(len(all)*units), sum: MembersHash(o.Members)}
	for _, name := range all {
		if name == o.Name {
			continue
		}
		if n := count(Lessors(o.Name, all), name); n > 0 {
			s.guards = append(s.guards, &guard{name: name, units: n, until: now, next: now})
		}
		if n := count(Lessors(name, all), o.Name); n > 0 {
			s.owners = append(s.owners, &owner{name: name, units: n})
		}
	}
	return s
}

func count(names []string, name string) int {
	n := 0
	for _, x := range names {
		if x == name {
			n++
		}
	}
	return n
}

// Sum is a short name of a list of members: processes with different lists grant each other nothing.
func MembersHash(all map[string]string) uint32 {
	d := xxhash.New()
	for _, n := range slices.Sorted(maps.Keys(all)) {
		_, _ = d.WriteString(n + "\x00" + all[n] + "\x00")
	}
	return uint32(d.Sum64())
}

// Guards are the members that guard one's units, by rendezvous hashing: the same at every process.
func Lessors(name string, all []string) []string {
	type ranked struct {
		name string
		at   uint64
	}
	var others []ranked
	for _, n := range all {
		if n != name {
			others = append(others, ranked{n, xxhash.Sum64String(name + "\x00" + n)})
		}
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.name, b.name)) })
	var out []string
	for _, r := range others[:min(unitsMost, len(others))] {
		out = append(out, r.name)
	}
	return out
}

// Partners are the members whose end this process wants to know, and who want to know its own.
func (s *Allocator) Peers() []string {
	var out []string
	for _, g := range s.guards {
		out = append(out, g.name)
	}
	for _, o := range s.owners {
		out = append(out, o.name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Seen says that a process of a member is there. It counts at the member's own address alone: the kernel gives that to one
// process at a time, so that a later one there proves that the earlier has ended, and one elsewhere has no part in this.
func (s *Allocator) MemberSeen(now time.Duration, name string, start uint64, address string) {
	for _, g := range s.guards {
		if g.name != name || start <= g.seen || address != s.o.Members[name] {
			continue
		}
		g.seen, g.next = start, now
		if g.bound != 0 && start > g.bound {
			// It grants nothing before its own first lease is over; until it is asked, nothing changes hands.
			g.sole, g.next = true, now+s.longLease()+s.o.LeaseTTL/renewals
		}
	}
}

// Ended says that a process has ended, by proof: its kernel closed the connection that it never closes itself.
func (s *Allocator) ProcessEnded(name string, start uint64) {
	for _, g := range s.guards {
		if g.name == name && g.bound == start {
			g.sole = true
		}
	}
	for _, o := range s.owners {
		if o.name == name && o.session == start {
			o.ended = true
		}
	}
}

// longLease is the guard's span: the owner's, by a clock that may run faster.
func (s *Allocator) longLease() time.Duration {
	return time.Duration(float64(s.o.LeaseTTL)*(1+drift)/(1-drift)) + time.Millisecond
}

// mine tells whether this process may use the units of a guard.
func (g *guard) mine(now time.Duration) bool { return g.sole || now < g.until }

// mine tells whether this process may use the units of an owner.
func (s *Allocator) inherits(o *owner, now time.Duration) bool {
	return o.session != 0 && (o.ended || now-o.granted > s.longLease())
}

// Tick asks for the leases that are due.
func (s *Allocator) Tick(now time.Duration) {
	for _, g := range s.guards {
		if now < g.next || g.seen == 0 || g.sole && g.seen <= g.bound {
			continue // nobody to ask
		}
		if g.sole { // from the first word to it on, the new process may count on what it hears from us, and no longer
			g.sole, g.bound, g.until = false, 0, now+s.o.LeaseTTL
		}
		g.next = now + s.o.LeaseTTL/renewals
		s.seq++
		if len(g.asks) == keptAsks {
			g.asks = g.asks[1:]
		}
		g.asks = append(g.asks, ask{s.seq, now, g.seen})
		s.out = append(s.out, OutgoingMessage{Renew, g.name, g.seen, s.seq})
	}
}

// Renewed takes an owner's wish for a lease. Where it is granted, this process does not use the units from this moment on: what
// Take gives may be sent only once Share has been heeded.
func (s *Allocator) HandleRenew(now time.Duration, name string, from uint64, address string, to uint64, seq, sum uint32) {
	if to != s.o.Generation || sum != s.sum || now-s.born <= s.longLease() {
		return // what the process before this one granted must have run out
	}
	for _, o := range s.owners {
		if o.name != name || address != s.o.Members[name] || from < o.session || from == o.session && o.ended {
			continue
		}
		o.session, o.granted, o.ended = from, now, false
		s.out = append(s.out, OutgoingMessage{Grant, name, from, seq})
	}
}

// Granted takes a guard's grant.
func (s *Allocator) HandleGrant(name string, from, to uint64, seq uint32) {
	if to != s.o.Generation {
		return
	}
	for _, g := range s.guards {
		at := slices.IndexFunc(g.asks, func(a ask) bool { return a.seq == seq && a.to == from })
		if g.name != name || at < 0 || g.sole {
			continue
		}
		if g.bound == 0 {
			g.bound = from
		}
		if g.bound == from {
			g.until = max(g.until, g.asks[at].at+s.o.LeaseTTL)
		}
		g.asks = slices.Delete(g.asks, at, at+1)
	}
}

// Share is what this process may use at a moment.
func (s *Allocator) Allocation(now time.Duration) Allocation {
	const forEver = time.Duration(1<<63 - 1)
	out := Allocation{ValidUntil: forEver}
	for _, g := range s.guards {
		part := float64(g.units) * s.unit
		if g.mine(now) {
			out.Fraction += part
		}
		if g.sole {
			out.FractionAfter += part
		} else if g.mine(now) {
			out.ValidUntil = min(out.ValidUntil, g.until)
		}
	}
	for _, o := range s.owners {
		if s.inherits(o, now) {
			out.Fraction += float64(o.units) * s.unit
			out.FractionAfter += float64(o.units) * s.unit
		}
	}
	if out.ValidUntil == forEver {
		out.FractionAfter = out.Fraction
	}
	return out
}

// Take gives what is to be sent since the last call.
func (s *Allocator) TakeOutput() []OutgoingMessage {
	out := s.out
	s.out = nil
	return out
}

// Status tells of how many units each kind are, for whoever asks.
type Status struct {
	Fraction      float64  `json:"share"`
	Members       int      `json:"members"`      // that the whole is divided among
	UnitsLeased   int      `json:"units_leased"` // own, by a guard's lease
	UnitsSole     int      `json:"units_sole"`   // own, since their guard's process has ended
	LapsedLessors []string `json:"lapsed,omitempty"`
	InheritedFrom []string `json:"inherited,omitempty"` // members whose units this process has
}

// Status tells everything at a moment.
func (s *Allocator) Status(now time.Duration) Status {
	out := Status{Fraction: s.Allocation(now).Fraction, Members: len(s.o.Members)}
	for _, g := range s.guards {
		switch {
		case g.sole:
			out.UnitsSole += g.units
		case g.mine(now):
			out.UnitsLeased += g.units
		default:
			out.LapsedLessors = append(out.LapsedLessors, g.name)
		}
	}
	for _, o := range s.owners {
		if s.inherits(o, now) {
			out.InheritedFrom = append(out.InheritedFrom, o.name)
		}
	}
	return out
}
