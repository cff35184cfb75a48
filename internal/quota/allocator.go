// Package quota divides a quota among the members of a cluster. All processes together never use more than the whole quota at any
// instant. This holds during network partitions, pauses, crashes and restarts, and even if members have wrong views of each other.
//
// Each member owns an equal fraction of the quota, divided into units. Each unit has a lessor: another member, determined by a hash
// of the member names. The owner of the unit is its lessee. It uses the unit until its lease expires by its own clock, counted from
// the time at which it sent the request. The lessor uses the unit after the lease has expired by the lessor's clock, counted from
// the grant, which is later than the request, and extended by the allowed clock drift. So at most one of the two uses the unit at
// any time. If a process is proven to have ended (ProcessEnded, or a later process at the same address), the other side does not
// wait for the expiry. docs/members.md has the derivation and the cases that are not covered.
//
// The package does no I/O: the caller passes in times and messages, and gets messages and allocations back.
package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxUnitsPerMember is the number of units that each member owns if there are enough other members as lessors. The loss of one
// lessor then affects an eighth of a member's fraction.
const maxUnitsPerMember = 8

// Options configure one process.
type Options struct {
	Name       string
	Members    map[string]string // addresses, by name, of all members that divide the quota; must be the same at every member
	Generation uint64            // of this process
	LeaseTTL   time.Duration     // how long the owner may use a unit after it requested the latest granted renewal
}

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	Renew Kind = iota + 1 // the lessee asks the lessor to grant or renew a lease
	Grant                 // the lessor grants a Renew
)

// OutgoingMessage is a message to a process of another member.
type OutgoingMessage struct {
	Kind          Kind
	To            string
	ForGeneration uint64 // generation of the receiving process; other processes of that name ignore the message
	Seq           uint32 // sequence number of the renewal
}

// IncomingMessage is a message from a process of another member.
type IncomingMessage struct {
	Kind          Kind
	From          string
	Generation    uint64 // of the sender
	Address       string // of the sender
	ForGeneration uint64
	Seq           uint32
	MembersHash   uint32 // hash of the sender's Members
}

// Allocation is the fraction of the quota that a process may use: Fraction until ValidUntil, and FractionAfter from then on unless
// a newer allocation replaces it.
type Allocation struct {
	Fraction      float64
	ValidUntil    time.Duration // math.MaxInt64: does not expire
	FractionAfter float64
}

// Allocator is the state of one process. It is not safe for concurrent use.
type Allocator struct {
	options      Options
	startedAt    time.Duration
	unitFraction float64 // fraction of the quota in one unit
	membersHash  uint32
	lessors      []*lessor
	lessees      []*lessee
	seq          uint32
	outgoing     []OutgoingMessage
}

// New returns an Allocator that has no lease yet and therefore allocates nothing to its process.
func New(options Options, now time.Duration) *Allocator {
	names := slices.Sorted(maps.Keys(options.Members))
	units := max(1, min(maxUnitsPerMember, len(names)-1))
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
		if n := countOccurrences(Lessors(options.Name, names), name); n > 0 {
			a.lessors = append(a.lessors, &lessor{name: name, units: n, leasedUntil: now, renewAt: now})
		}
		if n := countOccurrences(Lessors(name, names), options.Name); n > 0 {
			a.lessees = append(a.lessees, &lessee{name: name, units: n})
		}
	}
	return a
}

// countOccurrences returns how often a name is in names.
func countOccurrences(names []string, name string) int {
	n := 0
	for _, other := range names {
		if other == name {
			n++
		}
	}
	return n
}

// MembersHash returns a hash of a member list. Processes with different lists grant each other no leases, because a unit could have
// a different lessor in each list.
func MembersHash(members map[string]string) uint32 {
	d := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(members)) {
		_, _ = d.WriteString(name + "\x00" + members[name] + "\x00")
	}
	return uint32(d.Sum64())
}

// Lessors returns the lessors of a member's units. Rendezvous hashing of the names gives the same result at every process.
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
	for _, other := range others[:min(maxUnitsPerMember, len(others))] {
		out = append(out, other.name)
	}
	return out
}

// Peers returns the sorted names of the lessors and lessees. This process must be notified when a peer's process ends, and the peers'
// processes when this one ends.
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

// MemberSeen records that a process of a member is running. A process at an address other than the listed one is ignored: the
// kernel lets only one process at a time listen on an address, so only a later process at the same address proves that the earlier
// one has ended.
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

// ProcessEnded records that a process has provably ended: its kernel closed a connection that the process itself never closes
// while it uses its quota.
func (a *Allocator) ProcessEnded(name string, generation uint64) {
	for _, l := range a.lessors {
		if l.name == name && l.grantorGeneration == generation {
			l.processEnded = true
		}
	}
	for _, l := range a.lessees {
		if l.name == name && l.generation == generation {
			l.processEnded = true
		}
	}
}

// Tick requests each renewal of a lease that is due.
func (a *Allocator) Tick(now time.Duration) {
	for _, l := range a.lessors {
		if now < l.renewAt || !l.canRequestRenewal() {
			continue
		}
		a.seq++
		l.recordRequest(now, a.seq, a.options.LeaseTTL)
		a.outgoing = append(a.outgoing, OutgoingMessage{Kind: Renew, To: l.name, ForGeneration: l.seenGeneration, Seq: a.seq})
	}
}

// Receive handles a message from a process of another member. It ignores messages for other generations of this member.
//
// After granting a Renew this process may no longer use the units, so the caller must apply Allocation before it sends the messages
// that TakeOutput returns.
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

// handleRenew grants a lease. For the first lessorLeaseTTL after its start a process grants nothing, since leases that its predecessor
// granted may not have expired yet.
func (a *Allocator) handleRenew(now time.Duration, m IncomingMessage) {
	if m.MembersHash != a.membersHash || now-a.startedAt <= lessorLeaseTTL(a.options.LeaseTTL) {
		return
	}
	if m.Address != a.options.Members[m.From] {
		return
	}
	for _, l := range a.lessees {
		if l.name != m.From || !l.canGrant(m.Generation) {
			continue
		}
		l.recordGrant(now, m.Generation)
		a.outgoing = append(a.outgoing, OutgoingMessage{Kind: Grant, To: m.From, ForGeneration: m.Generation, Seq: m.Seq})
	}
}

// handleGrant extends the lease whose renewal the message grants.
func (a *Allocator) handleGrant(m IncomingMessage) {
	for _, l := range a.lessors {
		if l.name == m.From {
			l.extendLease(m.Generation, m.Seq, a.options.LeaseTTL)
		}
	}
}

// Allocation returns the fraction of the quota that this process may use at the given time.
func (a *Allocator) Allocation(now time.Duration) Allocation {
	const noExpiry = time.Duration(math.MaxInt64)
	out := Allocation{ValidUntil: noExpiry}
	for _, l := range a.lessors {
		fraction := float64(l.units) * a.unitFraction
		if l.leased(now) {
			out.Fraction += fraction
		}
		if l.processEnded {
			out.FractionAfter += fraction
		} else if l.leased(now) {
			out.ValidUntil = min(out.ValidUntil, l.leasedUntil)
		}
	}
	for _, l := range a.lessees {
		if l.leaseEnded(now, a.options.LeaseTTL) {
			out.Fraction += float64(l.units) * a.unitFraction
			out.FractionAfter += float64(l.units) * a.unitFraction
		}
	}
	if out.ValidUntil == noExpiry {
		out.FractionAfter = out.Fraction
	}
	return out
}

// TakeOutput returns the messages to send that have accumulated since the last call.
func (a *Allocator) TakeOutput() []OutgoingMessage {
	out := a.outgoing
	a.outgoing = nil
	return out
}
