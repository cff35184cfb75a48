package cluster

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/membership"
	"tackhub.example/tackhub/internal/quota"
)

const (
	// extensionStep is by how much the end of an allocation must have moved before the balancer hears of it. Leases are renewed
	// a few times in their span, and each extension is an event for the balancer.
	extensionStep = 100 * time.Millisecond

	// maxAllocationRecords are kept for the status: more than a second's, so that a caller that asks ten times a second misses
	// none.
	maxAllocationRecords = 32

	// millionths is the unit of the counter that shows the allocation.
	millionths = 1e6
)

const forEver = time.Duration(math.MaxInt64)

// quotaAgent connects the quota to the core and the balancer. A nil agent, where the quota is off, does nothing. Its methods run on
// the core's goroutine unless they say otherwise.
type quotaAgent struct {
	link        *link
	membersHash uint32
	peers       []string         // members with which this one exchanges leases
	allocator   *quota.Allocator // nil until this process has joined: its generation may change until then
	applied     quota.Allocation // what the balancer has
	everApplied bool
	records     []AllocationRecord

	mu             sync.Mutex
	livenessByPeer map[string]int // liveness streams that peers hold to this process
}

// newQuotaAgent returns the agent; nil where the quota is off.
func newQuotaAgent(l *link) *quotaAgent {
	members := l.options.QuotaMembers
	if len(members) == 0 {
		return nil
	}
	return &quotaAgent{link: l, membersHash: quota.MembersHash(members), livenessByPeer: map[string]int{}}
}

// start takes the balancer's quota away, since other members may have leased by now what this one would use by itself, and opens
// the liveness streams. It is called before the core's goroutine starts.
func (q *quotaAgent) start(ctx context.Context) {
	if q == nil {
		return
	}
	q.link.node.ApplyEvent(balancer.FleetQuota{}, true)
	q.peers = quota.New(quota.Options{Name: q.link.name, Members: q.link.options.QuotaMembers}, 0).Peers()
	for _, name := range q.peers {
		q.link.tasks.Go(func() { q.holdLivenessStream(ctx, name) })
	}
}

// stop takes the balancer's quota away before any other member can see that this process ends. It may be called on any goroutine.
func (q *quotaAgent) stop() {
	if q != nil {
		q.link.node.ApplyEvent(balancer.FleetQuota{}, true)
	}
}

// receive takes what concerns the quota from a member's message.
func (q *quotaAgent) receive(m *membership.Message) {
	if q == nil || q.allocator == nil {
		return
	}
	now := q.link.now()
	q.allocator.MemberSeen(now, m.From, m.Generation, m.Address)
	switch m.Kind {
	case membership.RenewLease:
		if m.MembersHash != q.membersHash {
			q.link.drop(dropMembersDiffer)
			return
		}
		q.allocator.Receive(now, leaseMessage(quota.Renew, m))
	case membership.GrantLease:
		q.allocator.Receive(now, leaseMessage(quota.Grant, m))
	}
	q.flush()
}

// leaseMessage returns a member's message as the allocator takes it.
func leaseMessage(kind quota.Kind, m *membership.Message) quota.IncomingMessage {
	return quota.IncomingMessage{
		Kind:          kind,
		From:          m.From,
		Generation:    m.Generation,
		Address:       m.Address,
		ForGeneration: m.ForGeneration,
		Seq:           m.Seq,
		MembersHash:   m.MembersHash,
	}
}

// tick renews leases, and applies what has changed.
func (q *quotaAgent) tick() {
	if q == nil {
		return
	}
	core := q.link.core
	if q.allocator == nil {
		if core.State() != membership.Alive {
			return
		}
		q.allocator = quota.New(quota.Options{
			Name:       q.link.name,
			Members:    q.link.options.QuotaMembers,
			Generation: core.Generation(),
			LeaseTTL:   q.link.options.LeaseTTL.Std(),
		}, q.link.now())
	}
	now := q.link.now()
	for _, name := range q.peers {
		if generation, address, ok := core.Process(name); ok {
			q.allocator.MemberSeen(now, name, generation, address)
		}
	}
	if core.Connectivity() != membership.Superseded {
		q.allocator.Tick(now)
	}
	q.flush()
}

// processEnded handles a proof that a member's process has ended.
func (q *quotaAgent) processEnded(name string, generation uint64) {
	if q == nil || q.allocator == nil {
		return
	}
	q.allocator.ProcessEnded(name, generation)
	q.flush()
}

// flush applies the allocation, and then sends the allocator's messages. The order matters: a grant may be sent only once the
// balancer no longer uses what is granted, or two members would use the same units.
func (q *quotaAgent) flush() {
	now := q.link.now()
	allocation := q.allocator.Allocation(now)
	if q.link.core.Connectivity() == membership.Superseded { // the units belong to the process that has the name now
		allocation = quota.Allocation{ValidUntil: forEver}
	}
	outgoing := q.allocator.TakeOutput()
	if q.mustApply(allocation) {
		q.apply(now, allocation, len(outgoing) > 0)
	}
	for _, out := range outgoing {
		kind := membership.RenewLease
		if out.Kind == quota.Grant {
			kind = membership.GrantLease
		}
		q.link.core.SendToMember(out.To,
			membership.Message{Kind: kind, ForGeneration: out.ForGeneration, Seq: out.Seq, MembersHash: q.membersHash})
	}
}

// mustApply reports whether the balancer has to hear of an allocation.
func (q *quotaAgent) mustApply(next quota.Allocation) bool {
	changed := next.Fraction != q.applied.Fraction || next.FractionAfter != q.applied.FractionAfter
	extended := next.ValidUntil > q.applied.ValidUntil+extensionStep
	return !q.everApplied || changed || extended
}

// apply hands an allocation to the balancer. With messages waiting to be sent it returns only once a smaller one is in force.
func (q *quotaAgent) apply(now time.Duration, next quota.Allocation, messagesWait bool) {
	reduced := next.Fraction < q.applied.Fraction || next.FractionAfter < q.applied.FractionAfter
	balancerUntil := balancer.Millis(math.MaxInt64)
	if next.ValidUntil != forEver {
		balancerUntil = q.link.node.Clock().Now() + float64(next.ValidUntil-now)/float64(time.Millisecond)
	}
	// For the record a larger allocation holds from before it is applied, a smaller one from after.
	since := time.Now()
	until := int64(math.MaxInt64)
	if next.ValidUntil != forEver {
		until = since.Add(next.ValidUntil - now).UnixNano()
	}
	event := balancer.FleetQuota{Current: next.Fraction, Until: balancerUntil, After: next.FractionAfter}
	q.link.node.ApplyEvent(event, reduced && messagesWait)
	if reduced {
		since = time.Now()
	}
	q.record(AllocationRecord{At: since.UnixNano(), Fraction: next.Fraction, ValidUntil: until, FractionAfter: next.FractionAfter})
	q.applied = next
	q.everApplied = true
	q.link.counters.Share.Set(int64(next.Fraction * millionths))
}

func (q *quotaAgent) record(r AllocationRecord) {
	q.records = append(q.records, r)
	if len(q.records) > maxAllocationRecords {
		q.records = q.records[1:]
	}
}

// status returns what operators see; nil where the quota is off.
func (q *quotaAgent) status() *QuotaStatus {
	if q == nil {
		return nil
	}
	out := &QuotaStatus{Allocations: slices.Clone(q.records)}
	if q.allocator != nil {
		out.Status = q.allocator.Status(q.link.now())
	}
	return out
}
