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
	// minExtension is the minimum extension of an allocation's validity that is passed to the balancer. Leases are renewed a few
	// times within their duration, and each extension is an event for the balancer.
	minExtension = 100 * time.Millisecond

	// maxAllocationRecords is the number of allocations kept for the status. They cover more than a second, so a caller that queries
	// ten times a second sees all of them.
	maxAllocationRecords = 32

	// allocationCounterScale is the value of the counter for the whole quota: the counter shows the allocated fraction in millionths.
	allocationCounterScale = 1e6
)

// noExpiry is the ValidUntil of an allocation that does not expire.
const noExpiry = time.Duration(math.MaxInt64)

// quotaAgent connects the quota to the core and the balancer. If the quota is off, the agent is nil and its methods do nothing. They
// must be called on the core's goroutine except where documented otherwise.
type quotaAgent struct {
	link        *link
	membersHash uint32
	peers       []string         // lessors and lessees of this member
	allocator   *quota.Allocator // nil until this process has joined, since its generation may change before that
	applied     quota.Allocation // the allocation last passed to the balancer
	hasApplied  bool
	records     []AllocationRecord

	mu             sync.Mutex
	livenessByPeer map[string]int // number of open liveness streams from each peer
}

// newQuotaAgent returns the agent, or nil if the quota is off.
func newQuotaAgent(l *link) *quotaAgent {
	members := l.options.QuotaMembers
	if len(members) == 0 {
		return nil
	}
	return &quotaAgent{link: l, membersHash: quota.MembersHash(members), livenessByPeer: map[string]int{}}
}

// start sets the balancer's quota to zero, since other members may already use the units of this one, and opens the liveness streams.
// It is called before the core's goroutine starts.
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

// stop sets the balancer's quota to zero before any other member can detect the end of this process. It may be called on any goroutine.
func (q *quotaAgent) stop() {
	if q != nil {
		q.link.node.ApplyEvent(balancer.FleetQuota{}, true)
	}
}

// receive passes the sender's generation and address, and lease messages, to the allocator.
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

// leaseMessage converts a member's message to a message for the allocator.
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

// tick renews leases and applies changes of the allocation. Once this process has joined, it also creates the allocator.
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

// processEnded handles the proven end of a member's process.
func (q *quotaAgent) processEnded(name string, generation uint64) {
	if q == nil || q.allocator == nil {
		return
	}
	q.allocator.ProcessEnded(name, generation)
	q.flush()
}

// flush first applies the allocation and then sends the allocator's messages. If a grant were sent while the balancer still uses the
// granted units, two members would use them at once.
func (q *quotaAgent) flush() {
	now := q.link.now()
	allocation := q.allocator.Allocation(now)
	if q.link.core.Connectivity() == membership.Superseded { // the units belong to the process that superseded this one
		allocation = quota.Allocation{ValidUntil: noExpiry}
	}
	outgoing := q.allocator.TakeOutput()
	if q.needsApply(allocation) {
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

// needsApply reports whether an allocation must be passed to the balancer.
func (q *quotaAgent) needsApply(next quota.Allocation) bool {
	changed := next.Fraction != q.applied.Fraction || next.FractionAfter != q.applied.FractionAfter
	extended := next.ValidUntil > q.applied.ValidUntil+minExtension
	return !q.hasApplied || changed || extended
}

// apply passes an allocation to the balancer. If the allocation is smaller than the previous one and there are messages to send, it
// returns only after the allocation has taken effect.
func (q *quotaAgent) apply(now time.Duration, next quota.Allocation, messagesPending bool) {
	reduced := next.Fraction < q.applied.Fraction || next.FractionAfter < q.applied.FractionAfter
	balancerUntil := balancer.Millis(math.MaxInt64)
	if next.ValidUntil != noExpiry {
		balancerUntil = q.link.node.Clock().Now() + float64(next.ValidUntil-now)/float64(time.Millisecond)
	}
	// For an increase, EffectiveFrom is taken before the balancer gets the event, and for a decrease after that, so that the records do
	// not show less than the balancer used.
	since := time.Now()
	until := int64(math.MaxInt64)
	if next.ValidUntil != noExpiry {
		until = since.Add(next.ValidUntil - now).UnixNano()
	}
	event := balancer.FleetQuota{Current: next.Fraction, Until: balancerUntil, After: next.FractionAfter}
	q.link.node.ApplyEvent(event, reduced && messagesPending)
	if reduced {
		since = time.Now()
	}
	q.addRecord(AllocationRecord{EffectiveFrom: since.UnixNano(), Fraction: next.Fraction, ValidUntil: until, FractionAfter: next.FractionAfter})
	q.applied = next
	q.hasApplied = true
	q.link.counters.QuotaFraction.Set(int64(next.Fraction * allocationCounterScale))
}

// addRecord adds an allocation to those kept for the status.
func (q *quotaAgent) addRecord(r AllocationRecord) {
	q.records = append(q.records, r)
	if len(q.records) > maxAllocationRecords {
		q.records = q.records[1:]
	}
}

// status returns the status shown to operators, or nil if the quota is off.
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
