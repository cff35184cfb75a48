// Package quota divides a quota among the members of a cluster, such that all processes together never use more than the whole at
// any instant, whatever is cut, paused, killed or restarted, and however wrong any view of the members is.
//
// Each member owns an equal part, cut into units. Each unit has a lessor: another member, fixed by the names alone. The owner, the
// unit's lessee, uses the unit while its lease lasts by its own clock, counted from the moment at which it asked. The lessor uses
// it once the lease has run out by the lessor's clock, counted from the later moment at which it granted, and longer by the drift
// allowed. So at most one of the two uses it. A proof that a process has ended (ProcessEnded, or a successor at the same address)
// spares the wait. The derivation, and what is not covered, is in docs/members.md.
//
// The package does no I/O: times and messages come in, messages and allocations go out.
package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxUnits is the number of units in each member's part, as far as there are lessors for them: with the loss of one lessor an
// eighth of a part is lost or won.
const maxUnits = 8

// Options configure one process.
type Options struct {
	Name       string
	Members    map[string]string // addresses, by name, of all members that divide the whole; the same everywhere
	Generation uint64            // of this process
	LeaseTTL   time.Duration     // how long a unit stays with its owner after the last renewal that was granted
}

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	Renew Kind = iota + 1 // the lessee asks the lessor to renew a lease
	Grant                 // the lessor grants it
)

// OutgoingMessage is a message to a member's process.
type OutgoingMessage struct {
	Kind          Kind
	To            string
	ForGeneration uint64 // the process it is meant for; another one of that name ignores it
	Seq           uint32 // of the renewal
}

// IncomingMessage is a message of a member's process.
type IncomingMessage struct {
	Kind          Kind
	From          string
	Generation    uint64 // of the sender
	Address       string // of the sender
	ForGeneration uint64
	Seq           uint32
	MembersHash   uint32 // of the sender's Members
}

// Allocation is what a process may use of the whole. Until ValidUntil it is Fraction; from then on, if no newer allocation has
// come, FractionAfter.
type Allocation struct {
	Fraction      float64
	ValidUntil    time.Duration // math.MaxInt64: for ever
	FractionAfter float64
}

// Allocator is the state of one process. It is not safe for concurrent use.
type Allocator struct {
	options      Options
	startedAt    time.Duration
	unitFraction float64 // one unit's part of the whole
	membersHash  uint32
	lessors      []*lessor
	lessees      []*lessee
	seq          uint32
	outgoing     []OutgoingMessage
}

// New returns the state of a process that holds no lease yet, and therefore may use nothing.
func New(options Options, now time.Duration) *Allocator {
	names := slices.Sorted(maps.Keys(options.Members))
	units := max(1, min(maxUnits, len(names)-1))
	a := &Allocator{
		options:      options,
		startedAt:    now,
		unitFraction: 1 / float64(len(names)*units),
		membersHash:  MembersHash(options.Members),
	}
	for _, name := range names {
		if name == options.Name {
			continue
		}
		if n := count(Lessors(options.Name, names), name); n > 0 {
			a.lessors = append(a.lessors, &lessor{name: name, units: n, leasedUntil: now, renewAt: now})
		}
		if n := count(Lessors(name, names), options.Name); n > 0 {
			a.lessees = append(a.lessees, &lessee{name: name, units: n})
		}
	}
	return a
}

func count(names []string, name string) int {
	n := 0
	for _, other := range names {
		if other == name {
			n++
		}
	}
	return n
}

// MembersHash identifies a list of members. Processes with different lists grant each other nothing: by two lists a unit might
// have two lessors.
func MembersHash(members map[string]string) uint32 {
	d := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(members)) {
		_, _ = d.WriteString(name + "\x00" + members[name] + "\x00")
	}
	return uint32(d.Sum64())
}

// Lessors returns the lessors of a member's units, by rendezvous hashing of the names: the same at every process.
func Lessors(name string, members []string) []string {
	type ranked struct {
		name string
		rank uint64
	}
	var others []ranked
	for _, other := range members {
		if other != name {
			others = append(others, ranked{other, xxhash.Sum64String(name + "\x00" + other)})
		}
	}
	slices.SortFunc(others, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	var out []string
	for _, other := range others[:min(maxUnits, len(others))] {
		out = append(out, other.name)
	}
	return out
}

// Peers returns the sorted names of the lessors and lessees: this process must learn of the end of their processes, and they of
// the end of this one.
func (a *Allocator) Peers() []string {
	var out []string
	for _, l := range a.lessors {
		out = append(out, l.name)
	}
	for _, l := range a.lessees {
		out = append(out, l.name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// MemberSeen records that a process of a member is running. Only one at the member's listed address counts: the kernel gives an
// address to one process at a time, so a later process there proves that the earlier has ended. One elsewhere proves nothing.
func (a *Allocator) MemberSeen(now time.Duration, name string, generation uint64, address string) {
	if address != a.options.Members[name] {
		return
	}
	for _, l := range a.lessors {
		if l.name == name {
			l.processSeen(now, generation, a.options.LeaseTTL)
		}
	}
}

// ProcessEnded records a proof that a process has ended: its kernel closed a connection that the process itself never closes.
func (a *Allocator) ProcessEnded(name string, generation uint64) {
	for _, l := range a.lessors {
		if l.name == name && l.boundTo == generation {
			l.ended = true
		}
	}
	for _, l := range a.lessees {
		if l.name == name && l.generation == generation {
			l.ended = true
		}
	}
}

// Tick asks for the leases that are due for renewal.
func (a *Allocator) Tick(now time.Duration) {
	for _, l := range a.lessors {
		if now < l.renewAt || !l.canBeAsked() {
			continue
		}
		a.seq++
		l.renew(now, a.seq, a.options.LeaseTTL)
		a.outgoing = append(a.outgoing, OutgoingMessage{Kind: Renew, To: l.name, ForGeneration: l.seen, Seq: a.seq})
	}
}

// Receive takes a message of a member's process; one that is meant for another process is ignored. When a Renew is granted this
// process may no longer use the units: what TakeOutput returns may be sent only once Allocation is in force.
func (a *Allocator) Receive(now time.Duration, m IncomingMessage) {
	if m.ForGeneration != a.options.Generation {
		return
	}
	switch m.Kind {
	case Renew:
		a.handleRenew(now, m)
	case Grant:
		a.handleGrant(m)
	}
}

// handleRenew grants a lease. A process younger than a lessor's term grants nothing: what the process before it granted, of which
// it knows nothing, must have run out.
func (a *Allocator) handleRenew(now time.Duration, m IncomingMessage) {
	if m.MembersHash != a.membersHash || now-a.startedAt <= lessorTerm(a.options.LeaseTTL) {
		return
	}
	if m.Address != a.options.Members[m.From] {
		return
	}
	for _, l := range a.lessees {
		if l.name != m.From || !l.mayLease(m.Generation) {
			continue
		}
		l.grant(now, m.Generation)
		a.outgoing = append(a.outgoing, OutgoingMessage{Kind: Grant, To: m.From, ForGeneration: m.Generation, Seq: m.Seq})
	}
}

func (a *Allocator) handleGrant(m IncomingMessage) {
	for _, l := range a.lessors {
		if l.name == m.From {
			l.granted(m.Generation, m.Seq, a.options.LeaseTTL)
		}
	}
}

// Allocation returns what this process may use at a moment.
func (a *Allocator) Allocation(now time.Duration) Allocation {
	const forEver = time.Duration(math.MaxInt64)
	out := Allocation{ValidUntil: forEver}
	for _, l := range a.lessors {
		fraction := float64(l.units) * a.unitFraction
		if l.leased(now) {
			out.Fraction += fraction
		}
		if l.ended {
			out.FractionAfter += fraction
		} else if l.leased(now) {
			out.ValidUntil = min(out.ValidUntil, l.leasedUntil)
		}
	}
	for _, l := range a.lessees {
		if l.lapsed(now, a.options.LeaseTTL) {
			out.Fraction += float64(l.units) * a.unitFraction
			out.FractionAfter += float64(l.units) * a.unitFraction
		}
	}
	if out.ValidUntil == forEver {
		out.FractionAfter = out.Fraction
	}
	return out
}

// TakeOutput returns what is to be sent since the last call.
func (a *Allocator) TakeOutput() []OutgoingMessage {
	out := a.outgoing
	a.outgoing = nil
	return out
}
